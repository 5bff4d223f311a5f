package org.mallowroad.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.MonthDay;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.time.zone.ZoneOffsetTransition;
import java.time.zone.ZoneRules;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.calendar.CatchupPolicy.Missed;
import org.mallowroad.calendar.FiringQueue.Batch;
import org.mallowroad.calendar.FiringRules.Closed;
import org.mallowroad.calendar.FiringRules.Repeated;
import org.mallowroad.calendar.FiringRules.Skipped;

/** Compares schedules with a reference search that tests every minute against the rules. */
final class ScheduleTest {
  private static final List<String> ZONES =
      List.of(
          "America/New_York",
          "Europe/London",
          "Australia/Lord_Howe",
          "Pacific/Apia",
          "America/Sao_Paulo",
          "Africa/Casablanca",
          "Asia/Kathmandu",
          "UTC");

  private static Schedule schedule(String cron, String zone, FiringRules rules)
      throws InvalidCronExpressionException {
    return new Schedule(
        CronExpression.parse(cron), ZoneId.of(zone), BusinessCalendar.alwaysOpen(), rules);
  }

  // The reference search: a deliberately simple implementation of the rules, minute by minute.

  private static TreeSet<Instant> firingsByMinuteWalk(
      CronExpression expression,
      ZoneRules zone,
      BusinessCalendar calendar,
      FiringRules rules,
      Instant from,
      Instant to) {
    TreeSet<Instant> firings = new TreeSet<>();
    for (Instant instant = from; instant.isBefore(to); instant = instant.plusSeconds(60)) {
      LocalDateTime localTime = LocalDateTime.ofInstant(instant, zone.getOffset(instant));
      if (matches(expression, calendar, rules.closed(), localTime)) {
        List<ZoneOffset> offsets = zone.getValidOffsets(localTime);
        if (rules.repeated() == Repeated.BOTH || zone.getOffset(instant).equals(offsets.get(0))) {
          firings.add(instant);
        }
      }
      ZoneOffsetTransition transition = zone.getTransition(localTime);
      ZoneOffsetTransition gap = zone.previousTransition(instant.plusNanos(1));
      if (transition == null && gap != null && gap.getInstant().equals(instant) && gap.isGap()) {
        for (LocalDateTime skippedTime = gap.getDateTimeBefore();
            rules.skipped() == Skipped.RUN && skippedTime.isBefore(gap.getDateTimeAfter());
            skippedTime = skippedTime.plusMinutes(1)) {
          if (matches(expression, calendar, rules.closed(), skippedTime)) {
            firings.add(instant);
          }
        }
      }
    }
    return firings;
  }

  private static boolean matches(
      CronExpression expression,
      BusinessCalendar calendar,
      Closed closed,
      LocalDateTime localTime) {
    LocalDate day = localTime.toLocalDate();
    if (closed == Closed.RUN) {
      return expression.matches(localTime);
    }
    if (!calendar.isOpen(day)) {
      return false;
    }
    if (expression.matches(localTime)) {
      return true;
    }
    int direction = closed == Closed.NEXT ? -1 : closed == Closed.PREVIOUS ? 1 : 0;
    for (LocalDate closedDay = day.plusDays(direction);
        direction != 0 && !calendar.isOpen(closedDay);
        closedDay = closedDay.plusDays(direction)) {
      if (expression.matches(closedDay.atTime(localTime.toLocalTime()))) {
        return true;
      }
    }
    return false;
  }

  @Provide
  Arbitrary<String> expressions() {
    return Combinators.combine(field(0, 59), field(0, 23), field(1, 31), field(1, 12), field(0, 7))
        .as((a, b, c, d, e) -> String.join(" ", a, b, c, d, e));
  }

  private static Arbitrary<String> field(int min, int max) {
    Arbitrary<Integer> number = Arbitraries.integers().between(min, max);
    Arbitrary<String> single = number.map(String::valueOf);
    Arbitrary<String> range =
        Combinators.combine(number, number, Arbitraries.integers().between(1, 7))
            .as((a, b, s) -> Math.min(a, b) + "-" + Math.max(a, b) + "/" + s);
    Arbitrary<String> step = Arbitraries.integers().between(1, max).map(s -> "*/" + s);
    Arbitrary<String> list = Combinators.combine(single, range).as((a, b) -> a + "," + b);
    return Arbitraries.frequencyOf(
        net.jqwik.api.Tuple.of(5, Arbitraries.just("*")),
        net.jqwik.api.Tuple.of(2, single),
        net.jqwik.api.Tuple.of(1, range),
        net.jqwik.api.Tuple.of(1, step),
        net.jqwik.api.Tuple.of(1, list));
  }

  private static FiringRules rules(int index) {
    return new FiringRules(
        Skipped.values()[index % 2],
        Repeated.values()[index / 2 % 2],
        Closed.values()[index / 4 % 4]);
  }

  private static final BusinessCalendar CLUB =
      new BusinessCalendar(
          "club",
          new BusinessCalendar(
              "country", null, Set.of(), Set.of(), Set.of(MonthDay.of(1, 1)), List.of(), List.of()),
          Set.of(DayOfWeek.MONDAY, DayOfWeek.TUESDAY),
          Set.of(LocalDate.of(2011, 12, 31)),
          Set.of(),
          List.of(new BusinessCalendar.Season(MonthDay.of(11, 20), MonthDay.of(3, 12))),
          List.of());

  /** Tests a window of four days that begins two days before an offset transition of a zone. */
  @Property(tries = 400, seed = "15")
  void nextAndPreviousMatchAMinuteWalk(
      @ForAll("expressions") String text,
      @ForAll @IntRange(max = 7) int zone,
      @ForAll @IntRange(min = 1985, max = 2040) int year,
      @ForAll @IntRange(max = 5) int change,
      @ForAll @IntRange(max = 15) int rules,
      @ForAll boolean club)
      throws InvalidCronExpressionException {
    ZoneRules zoneRules = ZoneId.of(ZONES.get(zone)).getRules();
    Instant start = Instant.parse(year + "-01-01T00:00:00Z");
    for (int i = 0; i < change; i++) {
      ZoneOffsetTransition transition = zoneRules.nextTransition(start);
      start = transition == null ? start.plus(97, ChronoUnit.DAYS) : transition.getInstant();
    }
    start = start.minus(2, ChronoUnit.DAYS);
    Instant end = start.plus(4, ChronoUnit.DAYS);
    CronExpression expression = CronExpression.parse(text);
    BusinessCalendar calendar = club ? CLUB : BusinessCalendar.alwaysOpen();
    FiringRules firingRules = rules(rules);
    TreeSet<Instant> walked =
        firingsByMinuteWalk(expression, zoneRules, calendar, firingRules, start, end);
    Schedule schedule = new Schedule(expression, ZoneId.of(ZONES.get(zone)), calendar, firingRules);
    List<Instant> foundForwards = new ArrayList<>();
    for (Optional<Instant> instant = schedule.next(start.minusNanos(1));
        instant.isPresent() && instant.get().isBefore(end);
        instant = schedule.next(instant.get())) {
      foundForwards.add(instant.get());
    }
    assertEquals(
        new ArrayList<>(walked), foundForwards, text + " " + ZONES.get(zone) + " " + firingRules);
    List<Instant> foundBackwards = new ArrayList<>();
    for (Optional<Instant> instant = schedule.previous(end);
        instant.isPresent() && !instant.get().isBefore(start);
        instant = schedule.previous(instant.get())) {
      foundBackwards.add(0, instant.get());
    }
    assertEquals(foundForwards, foundBackwards, text + " " + ZONES.get(zone) + " " + firingRules);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        // New York's clocks go from 02:00 to 03:00 on 14 March 2027, and back on 7 November.
        "30 2 * * *|America/New_York|2027-03-13T12:00:00Z|2027-03-14T07:00:00Z",
        "30 1 * * *|America/New_York|2027-11-07T05:30:00Z|2027-11-08T06:30:00Z",
        // An interval (a star in the hours) continues in elapsed time through both transitions.
        "*/30 * * * *|America/New_York|2027-11-07T05:30:00Z|2027-11-07T06:00:00Z",
        // Lord Howe Island changes its offset by half an hour.
        "10 2 * * *|Australia/Lord_Howe|2027-10-02T00:00:00Z|2027-10-02T15:30:00Z",
        // Apia skipped 30 December 2011 entirely.
        "0 9 30 12 *|Pacific/Apia|2011-12-01T00:00:00Z|2011-12-30T10:00:00Z",
        // In Sao Paulo the clocks skipped midnight.
        "0 0 * * *|America/Sao_Paulo|2018-11-03T12:00:00Z|2018-11-04T03:00:00Z",
        "0 0 29 2 1|UTC|2027-01-01T00:00:00Z|2027-02-01T00:00:00Z",
        "0 0 29 2 *|UTC|2097-01-01T00:00:00Z|2104-02-29T00:00:00Z",
        "@weekly|UTC|2027-01-01T00:00:00Z|2027-01-03T00:00:00Z",
        "0 0 31 */2 *|UTC|2027-02-01T00:00:00Z|2027-03-31T00:00:00Z",
      })
  void nextFiringAcrossOffsetChanges(String cron, String zone, String after, String expected)
      throws Exception {
    Schedule schedule = schedule(cron, zone, FiringRules.defaultsFor(CronExpression.parse(cron)));
    assertEquals(Optional.of(Instant.parse(expected)), schedule.next(Instant.parse(after)));
  }

  @Test
  void schedulesThatNeverFireReturnEmpty() throws Exception {
    FiringRules rules = new FiringRules(Skipped.RUN, Repeated.FIRST, Closed.RUN);
    Instant instant = Instant.parse("2027-01-01T00:00:00Z");
    for (String zone : ZONES) {
      assertEquals(Optional.empty(), schedule("0 0 30 2 *", zone, rules).next(instant));
      assertEquals(Optional.empty(), schedule("0 0 31 4,6,9,11 *", zone, rules).previous(instant));
      // 29 February does occur, so this must not be taken for never.
      assertTrue(schedule("0 0 29 2 *", zone, rules).next(instant).isPresent());
    }
    BusinessCalendar alwaysClosed =
        new BusinessCalendar(
            "shut", null, Set.of(DayOfWeek.values()), Set.of(), Set.of(), List.of(), List.of());
    for (Closed closed : Closed.values()) {
      Schedule schedule =
          new Schedule(
              CronExpression.parse("@daily"),
              ZoneId.of("UTC"),
              alwaysClosed,
              new FiringRules(Skipped.RUN, Repeated.FIRST, closed));
      assertEquals(closed == Closed.RUN, schedule.next(instant).isPresent());
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "''|column 1: found the end",
        "* * * *|column 8: found the end, expected one of ',', '/', a blank and the next field",
        "* * * * * *|column 11: found \"*\", expected the end",
        "60 * * * *|column 1: the minute is a number from 0 to 59",
        "* 24 * * *|column 3: the hour is a number from 0 to 23",
        "* * 0 * *|column 5: the day of the month is a number from 1 to 31",
        "* * * 13 *|column 7: the month is a number from 1 to 12",
        "* * * * 8|column 9: the day of the week is a number from 0 to 7",
        "* * * foo *|column 7: expected one of jan, feb",
        "mon * * * *|column 1: the minute is a number",
        "5/15 * * * *|column 3: a step follows a star or a range",
        "*/0 * * * *|column 3: the step is a number from 1 to 59",
        "30-10 * * * *|column 1: a range runs upwards, not from 30 to 10",
        "1, * * * *|column 3: found \" \", expected one of a number, a name",
        "1;2 * * * *|column 2: found \";\"",
        "99999999999 * * * *|column 1: the minute is a number",
        "@reboot|column 1: @reboot has no time of its own",
        "@fortnightly|column 1: expected @yearly",
      })
  void invalidExpressionsAreRejectedWithTheColumn(String text, String error) {
    InvalidCronExpressionException exception =
        assertThrows(InvalidCronExpressionException.class, () -> CronExpression.parse(text));
    assertTrue(exception.getMessage().startsWith(error), exception.getMessage());
  }

  @Test
  void sundayIsZeroOrSevenAndNamesAreCaseInsensitive() throws Exception {
    LocalDateTime sunday = LocalDateTime.of(2027, 1, 3, 0, 0);
    for (String day : List.of("0", "7", "sun", "SUN", "5-7", "fri-7", "0-6/6")) {
      assertTrue(CronExpression.parse("0 0 * JAN " + day).matches(sunday), day);
    }
  }

  private static final Instant START = Instant.parse("2027-03-14T00:00:00Z");

  /**
   * Polls at arbitrary times, with the clock also set back. Guards against a firing that is lost,
   * repeated, out of order or early.
   */
  @Property(tries = 300, seed = "16")
  void pollingFiresEachInstantOnceAndNeverEarly(
      @ForAll("expressions") String text,
      @ForAll @Size(min = 1, max = 40) List<@IntRange(min = -900, max = 7_200) Integer> steps,
      @ForAll @IntRange(max = 2) int missed)
      throws InvalidCronExpressionException {
    Schedule schedule =
        schedule(text, "America/New_York", new FiringRules(Skipped.RUN, Repeated.BOTH, Closed.RUN));
    CatchupPolicy catchup =
        new CatchupPolicy(Missed.values()[missed], Duration.ofHours(2), Duration.ofDays(9), 1_000);
    FiringQueue queue = firingQueue(schedule, catchup);
    List<Instant> fired = new ArrayList<>();
    Instant watermark = START;
    Instant now = START;
    for (int step : steps) {
      now = now.plusSeconds(step); // Negative steps model a clock that is set back.
      Batch batch = queue.takeDue(now, 1_000);
      assertTrue(!batch.watermark().instant().isBefore(watermark));
      for (Firing firing : batch.firings()) {
        assertTrue(!firing.instant().isAfter(now), "early");
        fired.add(firing.instant());
      }
      watermark = batch.watermark().instant();
    }
    List<Instant> expected = new ArrayList<>();
    for (Optional<Instant> instant = schedule.next(START);
        instant.isPresent() && !instant.get().isAfter(watermark);
        instant = schedule.next(instant.get())) {
      expected.add(instant.get());
    }
    assertEquals(expected, fired);
  }

  private static FiringQueue firingQueue(Schedule schedule, CatchupPolicy catchup) {
    return new FiringQueue(
        new CronTable("t", List.of(new CronTable.Entry("e", schedule, catchup))),
        Position.upTo(START));
  }

  private static List<Integer> firedHours(Schedule schedule, Missed missed, int maxFirings) {
    Instant now = START.plus(Duration.ofMinutes(10 * 60 + 30));
    CatchupPolicy catchup =
        new CatchupPolicy(missed, Duration.ofMinutes(1), Duration.ofHours(4), maxFirings);
    return firingQueue(schedule, catchup).takeDue(now, 1_000).firings().stream()
        .map(firing -> (int) Duration.between(START, firing.instant()).toHours())
        .toList();
  }

  @Test
  void missedFiringsFollowTheCatchupPolicy() throws Exception {
    Schedule hourly =
        schedule("@hourly", "UTC", new FiringRules(Skipped.RUN, Repeated.BOTH, Closed.RUN));
    assertEquals(List.of(), firedHours(hourly, Missed.NONE, 9));
    assertEquals(List.of(10), firedHours(hourly, Missed.LATEST, 9));
    assertEquals(List.of(7, 8, 9, 10), firedHours(hourly, Missed.ALL, 9));
    assertEquals(List.of(9, 10), firedHours(hourly, Missed.ALL, 2));
    // After an absence of ten years, the queue does not iterate over every missed minute, and
    // returns
    // the firings that the policy allows in several batches.
    Schedule minutes =
        schedule("* * * * *", "UTC", new FiringRules(Skipped.RUN, Repeated.BOTH, Closed.RUN));
    FiringQueue queue =
        firingQueue(
            minutes,
            new CatchupPolicy(Missed.ALL, Duration.ofMinutes(1), Duration.ofDays(1), 1_000));
    Instant now = START.plus(Duration.ofDays(3650));
    Batch first = queue.takeDue(now, 600);
    assertEquals(600, first.firings().size());
    assertEquals(first.firings().get(599).position(), first.watermark());
    Batch rest = queue.takeDue(now, 600);
    assertEquals(402, rest.firings().size(), "1,000 missed firings and two on time");
    assertEquals(first.watermark().instant().plusSeconds(60), rest.firings().get(0).instant());
    assertEquals(Position.upTo(now), rest.watermark());
  }

  @Test
  void takingDueFiringsExaminesOnlyDueEntries() throws Exception {
    FiringRules rules = new FiringRules(Skipped.RUN, Repeated.FIRST, Closed.RUN);
    CatchupPolicy catchup =
        new CatchupPolicy(Missed.LATEST, Duration.ofMinutes(1), Duration.ZERO, 0);
    List<CronTable.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      String cron = i < 5_000 ? "0 3 * * *" : i % 60 + " " + (4 + i % 20) + " * * *";
      entries.add(
          new CronTable.Entry(String.format("e%05d", i), schedule(cron, "UTC", rules), catchup));
    }
    FiringQueue queue = new FiringQueue(new CronTable("t", entries), Position.upTo(START));
    for (int second = 0; second < 10_000; second++) {
      assertEquals(List.of(), queue.takeDue(START.plusSeconds(second), 10).firings());
    }
    assertEquals(0, queue.examinedEntries());
    Instant three = START.plus(Duration.ofHours(3));
    assertEquals(Optional.of(three), queue.nextDue());
    Set<String> fired = new TreeSet<>();
    for (int batch = 1; batch <= 500; batch++) {
      Batch due = queue.takeDue(three.plusSeconds(batch / 10), 10);
      assertEquals(10, due.firings().size());
      due.firings().forEach(firing -> fired.add(firing.entry()));
      assertTrue(
          queue.examinedEntries() <= 10L * batch,
          queue.examinedEntries() + " entries examined for " + 10 * batch);
    }
    assertEquals(5_000, fired.size());
    assertEquals(List.of(), queue.takeDue(three.plusSeconds(50), 10).firings());
  }
}
