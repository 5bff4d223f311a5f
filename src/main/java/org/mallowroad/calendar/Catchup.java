package org.mallowroad.calendar;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Which firings are due, given up to when they were decided before. What is decided is decided for
 * ever: the watermark only rises, whatever the wall clock does.
 *
 * @param missed what becomes of those that are late, since nobody was there to fire them
 * @param onTime a firing later than this is a missed one; well above the time a takeover takes
 * @param window of {@link Missed#ALL}: older ones are dropped
 * @param most of {@link Missed#ALL}: the newest so many
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

  /**
   * Firings decided at a time: more are left for the next time, with the watermark between them.
   */
  public static final int MOST_AT_ONCE = 1_000;

  /**
   * A decision.
   *
   * @param fire instants to fire, oldest first
   * @param watermark up to when firings are decided with it, this instant included
   */
  public record Due(List<Instant> fire, Instant watermark) {}

  /**
   * What is due. No more instants are looked at than may fire, however long nobody was there.
   *
   * @param watermark up to when firings were decided before
   * @param now true time is this at the least, so that nothing fires before its time
   */
  public Due due(Schedule s, Instant watermark, Instant now) {
    if (!now.isAfter(watermark)) {
      return new Due(List.of(), watermark); // A clock set back fires nothing again.
    }
    Instant late = now.minus(onTime);
    List<Instant> fire =
        late.isAfter(watermark) ? missed(s, watermark, late, now) : new ArrayList<>();
    Optional<Instant> next = s.next(late.isAfter(watermark) ? late : watermark);
    while (next.isPresent() && !next.get().isAfter(now) && fire.size() < MOST_AT_ONCE) {
      fire.add(next.get());
      next = s.next(next.get());
    }
    if (next.isPresent() && !next.get().isAfter(now)) {
      return new Due(fire, fire.get(fire.size() - 1));
    }
    return new Due(fire, now);
  }

  /** Of those after the watermark and up to {@code late} the ones that the class lets fire. */
  private List<Instant> missed(Schedule s, Instant watermark, Instant late, Instant now) {
    int limit =
        switch (missed) {
          case NONE -> 0;
          case LATEST -> 1;
          case ALL -> Math.min(most, MOST_AT_ONCE - 1);
        };
    Instant from = missed == Missed.ALL ? now.minus(window) : watermark;
    from = from.isBefore(watermark) ? watermark : from;
    List<Instant> out = new ArrayList<>();
    Optional<Instant> p = limit == 0 ? Optional.empty() : s.previous(late.plusNanos(1));
    while (p.isPresent() && p.get().isAfter(from) && out.size() < limit) {
      out.add(p.get());
      p = s.previous(p.get());
    }
    Collections.reverse(out);
    return out;
  }
}
