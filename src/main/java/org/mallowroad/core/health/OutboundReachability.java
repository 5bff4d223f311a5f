package org.mallowroad.core.health;

/**
 * Whether what is said to a machine reaches it. A machine whose reports arrive looks alive,
 * although its answers and orders may be lost: its lease runs out, its tasks die with each session,
 * and whatever is placed there never starts. Its own reports show it: a token that an earlier
 * answer carried is not in them, launches that were in one are not listed, and a session ends
 * although its reports were answered. Evidence only: it frees nothing.
 */
public final class OutboundReachability {
  /** So many reports in a row that do not know what the answers before them said. */
  static final int MISSED = 3;

  /** And for so long: an answer may be lost, and the report after it come at once. */
  static final long MISSED_MS = 4_000;

  /** A deaf machine is told a higher token so often: the first that it has seen ends the doubt. */
  static final long PROBE_MS = 10_000;

  private int missed;
  private long sinceMs;
  private long probedMs;
  private boolean deaf;

  /** A report shows something that only an answer or order can have told it. */
  public void heeded() {
    missed = 0;
    deaf = false;
  }

  /** A report does not show what the answer before it said. */
  public void missed(long now) {
    if (missed++ == 0) {
      sinceMs = now;
    }
    if (missed >= MISSED && now - sinceMs >= MISSED_MS && !deaf) {
      deaf = true;
      probedMs = now;
    }
  }

  /** Its session ended although reports of it were answered within its lease. */
  public void sessionLost(long now) {
    deaf = true;
    probedMs = now;
  }

  /** True when nothing that is said reaches it, as far as its reports show. */
  public boolean deaf() {
    return deaf;
  }

  /** True once in {@link #PROBE_MS} while it is deaf. */
  public boolean probe(long now) {
    if (!deaf || now - probedMs < PROBE_MS) {
      return false;
    }
    probedMs = now;
    return true;
  }
}
