package org.mallowroad.calendar;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Which firings of an entry still fire if they are late because no leader was there to fire them.
 *
 * @param missed which of the missed firings fire
 * @param gracePeriod how late a firing may be before it counts as missed; well above the duration
 *     of a takeover
 * @param window with {@link Missed#ALL}, missed firings older than this are dropped
 * @param maxFirings with {@link Missed#ALL}, only this many of the latest missed firings fire; at
 *     most {@link #MAX_MISSED_FIRINGS}
 */
public record CatchupPolicy(Missed missed, Duration gracePeriod, Duration window, int maxFirings) {
  /** Which of an entry's missed firings fire. */
  public enum Missed {
    /** None of them fires. */
    NONE,
    /** The latest one fires. */
    LATEST,
    /** All that lie within the window fire, up to the maximum number. */
    ALL
  }

  /** The most missed firings of one entry that may fire after the leaders' absence. */
  public static final int MAX_MISSED_FIRINGS = 10_000;

  /** Checks the range of the limits. */
  public CatchupPolicy {
    if (maxFirings < 0
        || maxFirings > MAX_MISSED_FIRINGS
        || gracePeriod.isNegative()
        || window.isNegative()) {
      throw new IllegalArgumentException(
          "maxFirings must be from 0 to "
              + MAX_MISSED_FIRINGS
              + ", and durations must not be negative");
    }
  }

  /** Whether a firing is so late that it counts as missed. */
  boolean isMissed(Instant firing, Instant now) {
    return firing.isBefore(now.minus(gracePeriod));
  }

  /**
   * The earliest missed firing, at or after the given one, that still fires; empty if none does.
   * Searches backwards from the latest missed firing and examines at most {@code maxFirings} of
   * them, however long the absence was.
   *
   * @param from a missed firing of the schedule
   */
  Optional<Instant> firstToFire(Schedule schedule, Instant from, Instant now) {
    Instant missedBefore = now.minus(gracePeriod);
    if (missed == Missed.NONE) {
      return Optional.empty();
    }
    Optional<Instant> candidate = schedule.previous(missedBefore);
    if (missed == Missed.LATEST) {
      return candidate;
    }
    Instant oldest = now.minus(window);
    Optional<Instant> earliest = Optional.empty();
    for (int i = 0; i < maxFirings; i++) {
      if (candidate.isEmpty()
          || candidate.get().isBefore(from)
          || candidate.get().isBefore(oldest)) {
        break;
      }
      earliest = candidate;
      candidate = schedule.previous(candidate.get());
    }
    return earliest;
  }
}
