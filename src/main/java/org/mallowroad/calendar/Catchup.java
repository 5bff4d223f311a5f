package org.mallowroad.calendar;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What becomes of firings that are late, since nobody was there to fire them.
 *
 * @param onTime a firing later than this is a missed one; well above the time a takeover takes
 * @param window of {@link Missed#ALL}: older ones are dropped
 * @param most of {@link Missed#ALL}: the newest so many, {@link #MOST} at the most
 */
public record Catchup(Missed missed, Duration onTime, Duration window, int most) {
  /** What becomes of firings that were missed. */
  public enum Missed {
    /** None of them fires. */
    NONE,
    /** The latest one fires. */
    LATEST,
    /** All within a window and a number. */
    ALL
  }

  /** Missed firings of one entry that may fire after an absence. */
  public static final int MOST = 10_000;

  /** Checks the bound. */
  public Catchup {
    if (most < 0 || most > MOST || onTime.isNegative() || window.isNegative()) {
      throw new IllegalArgumentException("0 to " + MOST + " missed firings, and no negative times");
    }
  }

  /** True when a firing is late enough to be a missed one. */
  boolean missed(Instant firing, Instant now) {
    return firing.isBefore(now.minus(onTime));
  }

  /**
   * The first of the missed firings from one on that fires after all; empty when none does. No more
   * instants are looked at than may fire, however long the absence was.
   *
   * @param from a missed firing of the schedule
   */
  Optional<Instant> first(Schedule s, Instant from, Instant now) {
    Instant late = now.minus(onTime);
    if (missed == Missed.NONE) {
      return Optional.empty();
    }
    Optional<Instant> p = s.previous(late);
    if (missed == Missed.LATEST) {
      return p;
    }
    Instant oldest = now.minus(window);
    Optional<Instant> best = Optional.empty();
    for (int i = 0; i < most; i++) {
      if (p.isEmpty() || p.get().isBefore(from) || p.get().isBefore(oldest)) {
        break;
      }
      best = p;
      p = s.previous(p.get());
    }
    return best;
  }
}
