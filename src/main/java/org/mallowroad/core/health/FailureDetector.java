package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Who has not been heard, and what the shape of the silence says. One silent machine is dead, hung
 * or cut off. Many that fall silent while others of their zone go on were taken or died. A zone of
 * which nobody at all is heard, while the other zones go on, is cut off: with a hundred machines
 * that report every few seconds three without a single report say it, before most of them are
 * overdue. Silence everywhere is rather this side's fault.
 *
 * <p>Machines are kept in the order in which they were last heard, so a judgement costs the late
 * ones only.
 */
public final class FailureDetector {
  /** A worker that must look for the leader first: time-out of its report, and the way. */
  private static final long SEARCH_MS = 2_500;

  /**
   * Reports that should have come from a zone before nobody's report says that it is cut: with
   * arrivals at random, so many fail to come once in 160,000 times.
   */
  private static final double MISSED = 12;

  /**
   * And not before this part of a report's time: arrivals are not quite at random, since machines
   * that came up together report together.
   */
  private static final double QUIET_REPORTS = 0.75;

  /** What a judgement says of a zone. */
  public record Verdict(int zone, boolean cut, int late, int known, long lastedMs) {}

  private final HealthPolicy policy;
  private final long reportMs;
  private final long lateMs;
  private final ObjectLinkedOpenHashSet<MachineHealth> order = new ObjectLinkedOpenHashSet<>();
  private final int[] known;
  private final int[] late;
  private final boolean[] cut;
  private final long[] sinceMs;
  private final long[] zoneHeardMs;
  private int lateAll;
  private int knownAll;
  private final long[] listeningMs;
  private long looked;

  /** For workers that report every {@code heartbeatIntervalS}, give or take a quarter. */
  public FailureDetector(int zones, double heartbeatIntervalS, HealthPolicy policy, long now) {
    this.policy = policy;
    this.reportMs = (long) (heartbeatIntervalS * 1000);
    this.lateMs = (long) (heartbeatIntervalS * 1250) + 500;
    this.known = new int[zones];
    this.late = new int[zones];
    this.cut = new boolean[zones];
    this.sinceMs = new long[zones];
    this.zoneHeardMs = new long[zones];
    Arrays.fill(zoneHeardMs, now);
    Arrays.fill(sinceMs, now);
    this.listeningMs = new long[zones];
    Arrays.fill(listeningMs, now);
  }

  /** A machine became known otherwise than by its report: it is given time to be heard. */
  public void met(MachineHealth m, long now) {
    if (!order.contains(m)) {
      known[m.zone]++;
      knownAll++;
      m.heardMs = now + SEARCH_MS;
      order.addAndMoveToLast(m);
    }
  }

  /** A report of the machine, which had come at {@code at}. */
  public void heard(MachineHealth m, long at) {
    if (order.addAndMoveToLast(m)) {
      known[m.zone]++;
      knownAll++;
    }
    m.heardMs = at;
    zoneHeardMs[m.zone] = Math.max(zoneHeardMs[m.zone], at);
    late(m, false);
  }

  /** The machine is gone. */
  public void gone(MachineHealth m) {
    if (order.remove(m)) {
      late(m, false);
      known[m.zone]--;
      knownAll--;
    }
  }

  /**
   * This side did not listen before: everybody has a report's time again, and that to find the way
   * back here, since they were turned away or gave this node up.
   */
  public void listen(long now) {
    Arrays.fill(listeningMs, now + SEARCH_MS);
    for (MachineHealth m : order) {
      late(m, false);
    }
  }

  /**
   * The zone's workers have lost their way to this side, and the first of them is heard by way of a
   * peer: the others are given the time to find it too, or half a fleet that lives would be
   * returned as silent while the rest is on its way round.
   */
  public void rerouted(int zone, long now) {
    listeningMs[zone] = now + SEARCH_MS;
    for (MachineHealth m : order) {
      if (m.zone == zone) {
        late(m, false);
      }
    }
  }

  private void late(MachineHealth m, boolean is) {
    if (m.late != is) {
      m.late = is;
      late[m.zone] += is ? 1 : -1;
      lateAll += is ? 1 : -1;
    }
  }

  /** How long the machine has been silent, not counting when this side did not listen. */
  public long silentMs(MachineHealth m, long now) {
    return now - Math.max(m.heardMs, listeningMs[m.zone]);
  }

  /** True when the machine's report is overdue, as of the newest judgement. */
  public boolean late(MachineHealth m) {
    return m.late;
  }

  /** True while the zone is held to be cut off. */
  public boolean cut(int zone) {
    return cut[zone];
  }

  /** How long the zone has been held to be cut off; 0 while it is not. */
  public long cutForMs(int zone, long now) {
    return cut[zone] ? now - sinceMs[zone] : 0;
  }

  /** Zones that are held to be cut off. */
  public int cuts() {
    int n = 0;
    for (boolean c : cut) {
      n += c ? 1 : 0;
    }
    return n;
  }

  /**
   * True when most machines outside cut zones are silent, or no zone has been heard for so long
   * that it is no chance, though few machines may be overdue yet: nothing can be said of anybody
   * then.
   */
  public boolean deaf(long now) {
    if (knownAll >= policy.cutLeast() && allQuiet(now)) {
      return true;
    }
    int of = 0;
    int silent = 0;
    for (int z = 0; z < cut.length; z++) {
      if (!cut[z]) {
        of += known[z];
        silent += late[z];
      }
    }
    return 2 * silent > of;
  }

  /** Machines looked at so far: what judgements cost. */
  public long looked() {
    return looked;
  }

  /** Machines whose reports are overdue. */
  public int lateCount() {
    return lateAll;
  }

  /** Machines that are known. */
  public int known() {
    return knownAll;
  }

  /** Machines of a zone that are known. */
  public int known(int zone) {
    return known[zone];
  }

  /** Judges the zones anew; returns those whose verdict changed. */
  public List<Verdict> judge(long now) {
    for (MachineHealth m : order) {
      looked++;
      if (now - m.heardMs <= lateMs) {
        break; // Those behind it were heard later.
      }
      if (silentMs(m, now) > lateMs) {
        late(m, true);
      }
    }
    List<Verdict> changed = new ArrayList<>();
    for (int z = 0; z < cut.length; z++) {
      boolean is = cut[z] ? stays(z, now) : begins(z, now);
      if (is != cut[z]) {
        cut[z] = is;
        changed.add(new Verdict(z, is, late[z], known[z], now - sinceMs[z]));
        sinceMs[z] = now;
      }
    }
    return changed;
  }

  private boolean begins(int z, long now) {
    return known[z] >= policy.cutLeast()
        && othersGoOn(z, now)
        && (quiet(z, now) || late[z] >= policy.cutShare() * known[z]);
  }

  /** A cut is over when the zone is heard again, and most of its machines are, or are returned. */
  private boolean stays(int z, long now) {
    return known[z] >= policy.cutLeast() && (quiet(z, now) || 2 * late[z] > known[z]);
  }

  private boolean allQuiet(long now) {
    for (int z = 0; z < cut.length; z++) {
      if (known[z] > 0 && !cut[z] && now - zoneHeardMs[z] <= quietMs(z)) {
        return false;
      }
    }
    return true;
  }

  /** Nobody of the zone was heard for so long that it is no chance. */
  private boolean quiet(int z, long now) {
    return now - Math.max(zoneHeardMs[z], listeningMs[z] + (long) (1.25 * reportMs)) > quietMs(z);
  }

  private long quietMs(int z) {
    return (long) Math.max(QUIET_REPORTS * reportMs, MISSED * reportMs / Math.max(1, known[z]));
  }

  /**
   * The rest of the fleet is heard, and was in the last third of the time that the zone is quiet:
   * when all fall silent together the fault is on this side, whichever was heard last.
   */
  private boolean othersGoOn(int z, long now) {
    int others = knownAll - known[z];
    int lateOthers = lateAll - late[z];
    for (int o = 0; o < cut.length; o++) {
      if (o != z && !cut[o] && 3 * (now - zoneHeardMs[o]) < quietMs(z)) {
        return others - lateOthers >= policy.cutLeast() && 2 * lateOthers < others;
      }
    }
    return false;
  }
}
