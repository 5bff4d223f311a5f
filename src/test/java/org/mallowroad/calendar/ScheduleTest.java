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
import org.mallowroad.calendar.Agenda.Batch;
import org.mallowroad.calendar.Catchup.Missed;
import org.mallowroad.calendar.Rules.Closed;
import org.mallowroad.calendar.Rules.Repeated;
import org.mallowroad.calendar.Rules.Skipped;

/** Each firing exactly when its class says, against a search that walks every minute. */
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

  private static Schedule of(String cron, String zone, Rules rules)
      throws InvalidCronExpressionException {
    return new Schedule(CronExpression.parse(cron), ZoneId.of(zone), OpenDays.always(), rules);
  }

  // What the words of the rules say, minute by minute; nothing here is clever.

  private static TreeSet<Instant> walk(
      CronExpression e, ZoneRules z, OpenDays c, Rules r, Instant from, Instant to) {
    TreeSet<Instant> out = new TreeSet<>();
    for (Instant i = from; i.isBefore(to); i = i.plusSeconds(60)) {
      LocalDateTime l = LocalDateTime.ofInstant(i, z.getOffset(i));
      if (matches(e, c, r.closed(), l)) {
        List<ZoneOffset> offsets = z.getValidOffsets(l);
        if (r.repeated() == Repeated.BOTH || z.getOffset(i).equals(offsets.get(0))) {
          out.add(i);
        }
      }
      ZoneOffsetTransition t = z.getTransition(l);
      ZoneOffsetTransition gap = z.previousTransition(i.plusNanos(1));
      if (t == null && gap != null && gap.getInstant().equals(i) && gap.isGap()) {
        for (LocalDateTime g = gap.getDateTimeBefore();
            r.skipped() == Skipped.RUN && g.isBefore(gap.getDateTimeAfter());
            g = g.plusMinutes(1)) {
          if (matches(e, c, r.closed(), g)) {
            out.add(i);
          }
        }
      }
    }
    return out;
  }

  private static boolean matches(CronExpression e, OpenDays c, Closed closed, LocalDateTime l) {
    LocalDate d = l.toLocalDate();
    if (closed == Closed.RUN) {
      return e.has(l);
    }
    if (!c.open(d)) {
      return false;
    }
    if (e.has(l)) {
      return true;
    }
    int way = closed == Closed.NEXT ? -1 : closed == Closed.PREVIOUS ? 1 : 0;
    for (LocalDate x = d.plusDays(way); way != 0 && !c.open(x); x = x.plusDays(way)) {
      if (e.has(x.atTime(l.toLocalTime()))) {
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

  private static Arbitrary<String> field(int least, int most) {
    Arbitrary<Integer> n = Arbitraries.integers().between(least, most);
    Arbitrary<String> one = n.map(String::valueOf);
    Arbitrary<String> range =
        Combinators.combine(n, n, Arbitraries.integers().between(1, 7))
            .as((a, b, s) -> Math.min(a, b) + "-" + Math.max(a, b) + "/" + s);
    Arbitrary<String> step = Arbitraries.integers().between(1, most).map(s -> "*/" + s);
    Arbitrary<String> list = Combinators.combine(one, range).as((a, b) -> a + "," + b);
    return Arbitraries.frequencyOf(
        net.jqwik.api.Tuple.of(5, Arbitraries.just("*")),
        net.jqwik.api.Tuple.of(2, one),
        net.jqwik.api.Tuple.of(1, range),
        net.jqwik.api.Tuple.of(1, step),
        net.jqwik.api.Tuple.of(1, list));
  }

  private static Rules rules(int n) {
    return new Rules(
        Skipped.values()[n % 2], Repeated.values()[n / 2 % 2], Closed.values()[n / 4 % 4]);
  }

  private static final OpenDays CLUB =
      new OpenDays(
          "club",
          new OpenDays(
              "country", null, Set.of(), Set.of(), Set.of(MonthDay.of(1, 1)), List.of(), List.of()),
          Set.of(DayOfWeek.MONDAY, DayOfWeek.TUESDAY),
          Set.of(LocalDate.of(2011, 12, 31)),
          Set.of(),
          List.of(new OpenDays.Season(MonthDay.of(11, 20), MonthDay.of(3, 12))),
          List.of());

  /** About each change of offset of each zone: two days before it, for four days. */
  @Property(tries = 400, seed = "15")
  void nextAndPreviousAreWhatAWalkFinds(
      @ForAll("expressions") String text,
      @ForAll @IntRange(max = 7) int zone,
      @ForAll @IntRange(min = 1985, max = 2040) int year,
      @ForAll @IntRange(max = 5) int change,
      @ForAll @IntRange(max = 15) int rules,
      @ForAll boolean club)
      throws InvalidCronExpressionException {
    ZoneRules z = ZoneId.of(ZONES.get(zone)).getRules();
    Instant start = Instant.parse(year + "-01-01T00:00:00Z");
    for (int i = 0; i < change; i++) {
      ZoneOffsetTransition t = z.nextTransition(start);
      start = t == null ? start.plus(97, ChronoUnit.DAYS) : t.getInstant();
    }
    start = start.minus(2, ChronoUnit.DAYS);
    Instant end = start.plus(4, ChronoUnit.DAYS);
    CronExpression e = CronExpression.parse(text);
    OpenDays c = club ? CLUB : OpenDays.always();
    Rules r = rules(rules);
    TreeSet<Instant> walked = walk(e, z, c, r, start, end);
    Schedule s = new Schedule(e, ZoneId.of(ZONES.get(zone)), c, r);
    List<Instant> found = new ArrayList<>();
    for (Optional<Instant> i = s.next(start.minusNanos(1));
        i.isPresent() && i.get().isBefore(end);
        i = s.next(i.get())) {
      found.add(i.get());
    }
    assertEquals(new ArrayList<>(walked), found, text + " " + ZONES.get(zone) + " " + r);
    List<Instant> back = new ArrayList<>();
    for (Optional<Instant> i = s.previous(end);
        i.isPresent() && !i.get().isBefore(start);
        i = s.previous(i.get())) {
      back.add(0, i.get());
    }
    assertEquals(found, back, text + " " + ZONES.get(zone) + " " + r);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        // New York's clocks go from 02:00 to 03:00 on 14 March 2027, and back on 7 November.
        "30 2 * * *|America/New_York|2027-03-13T12:00:00Z|2027-03-14T07:00:00Z",
        "30 1 * * *|America/New_York|2027-11-07T05:30:00Z|2027-11-08T06:30:00Z",
        // "Every so often" goes on by true time through both.
        "*/30 * * * *|America/New_York|2027-11-07T05:30:00Z|2027-11-07T06:00:00Z",
        // Lord Howe moves by half an hour.
        "10 2 * * *|Australia/Lord_Howe|2027-10-02T00:00:00Z|2027-10-02T15:30:00Z",
        // Apia had no 30 December 2011.
        "0 9 30 12 *|Pacific/Apia|2011-12-01T00:00:00Z|2011-12-30T10:00:00Z",
        // Sao Paulo's midnight was left out.
        "0 0 * * *|America/Sao_Paulo|2018-11-03T12:00:00Z|2018-11-04T03:00:00Z",
        "0 0 29 2 1|UTC|2027-01-01T00:00:00Z|2027-02-01T00:00:00Z",
        "0 0 29 2 *|UTC|2097-01-01T00:00:00Z|2104-02-29T00:00:00Z",
        "@weekly|UTC|2027-01-01T00:00:00Z|2027-01-03T00:00:00Z",
        "0 0 31 */2 *|UTC|2027-02-01T00:00:00Z|2027-03-31T00:00:00Z",
      })
  void knownInstants(String cron, String zone, String after, String expected) throws Exception {
    Schedule s = of(cron, zone, Rules.usual(CronExpression.parse(cron)));
    assertEquals(Optional.of(Instant.parse(expected)), s.next(Instant.parse(after)));
  }

  @Test
  void neverIsFoundOutAndFast() throws Exception {
    Rules run = new Rules(Skipped.RUN, Repeated.FIRST, Closed.RUN);
    Instant at = Instant.parse("2027-01-01T00:00:00Z");
    for (String zone : ZONES) {
      assertEquals(Optional.empty(), of("0 0 30 2 *", zone, run).next(at));
      assertEquals(Optional.empty(), of("0 0 31 4,6,9,11 *", zone, run).previous(at));
      // Comes, but once in 28 or 40 years.
      assertTrue(of("0 0 29 2 *", zone, run).next(at).isPresent());
    }
    OpenDays shut =
        new OpenDays(
            "shut", null, Set.of(DayOfWeek.values()), Set.of(), Set.of(), List.of(), List.of());
    for (Closed c : Closed.values()) {
      Schedule s =
          new Schedule(
              CronExpression.parse("@daily"),
              ZoneId.of("UTC"),
              shut,
              new Rules(Skipped.RUN, Repeated.FIRST, c));
      assertEquals(c == Closed.RUN, s.next(at).isPresent());
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
  void whatIsNoExpressionIsNamed(String text, String error) {
    InvalidCronExpressionException e =
        assertThrows(InvalidCronExpressionException.class, () -> CronExpression.parse(text));
    assertTrue(e.getMessage().startsWith(error), e.getMessage());
  }

  @Test
  void sundayIsBothNumbersAndNamesAreInAnyCase() throws Exception {
    LocalDateTime sunday = LocalDateTime.of(2027, 1, 3, 0, 0);
    for (String day : List.of("0", "7", "sun", "SUN", "5-7", "fri-7", "0-6/6")) {
      assertTrue(CronExpression.parse("0 0 * JAN " + day).has(sunday), day);
    }
  }

  private static final Instant T0 = Instant.parse("2027-03-14T00:00:00Z");

  /** Someone asks at any times: each firing once, in order, never early, and none is left out. */
  @Property(tries = 300, seed = "16")
  void whoeverAsksInTimeFiresEachInstantOnce(
      @ForAll("expressions") String text,
      @ForAll @Size(min = 1, max = 40) List<@IntRange(min = -900, max = 7_200) Integer> steps,
      @ForAll @IntRange(max = 2) int missed)
      throws InvalidCronExpressionException {
    Schedule s = of(text, "America/New_York", new Rules(Skipped.RUN, Repeated.BOTH, Closed.RUN));
    Catchup c =
        new Catchup(Missed.values()[missed], Duration.ofHours(2), Duration.ofDays(9), 1_000);
    Agenda agenda = agenda(s, c);
    List<Instant> fired = new ArrayList<>();
    Instant watermark = T0;
    Instant now = T0;
    for (int step : steps) {
      now = now.plusSeconds(step); // Backwards too: a clock that is set back.
      Batch due = agenda.due(now, 1_000);
      assertTrue(!due.watermark().instant().isBefore(watermark));
      for (Firing f : due.fire()) {
        assertTrue(!f.instant().isAfter(now), "early");
        fired.add(f.instant());
      }
      watermark = due.watermark().instant();
    }
    List<Instant> all = new ArrayList<>();
    for (Optional<Instant> i = s.next(T0);
        i.isPresent() && !i.get().isAfter(watermark);
        i = s.next(i.get())) {
      all.add(i.get());
    }
    assertEquals(all, fired);
  }

  private static Agenda agenda(Schedule s, Catchup c) {
    return new Agenda(new Table("t", List.of(new Table.Entry("e", s, c))), Position.upTo(T0));
  }

  private static List<Integer> hours(Schedule s, Missed missed, int most) {
    Instant now = T0.plus(Duration.ofMinutes(10 * 60 + 30));
    Catchup c = new Catchup(missed, Duration.ofMinutes(1), Duration.ofHours(4), most);
    return agenda(s, c).due(now, 1_000).fire().stream()
        .map(f -> (int) Duration.between(T0, f.instant()).toHours())
        .toList();
  }

  @Test
  void whatWasMissedFollowsItsClass() throws Exception {
    Schedule hourly = of("@hourly", "UTC", new Rules(Skipped.RUN, Repeated.BOTH, Closed.RUN));
    assertEquals(List.of(), hours(hourly, Missed.NONE, 9));
    assertEquals(List.of(10), hours(hourly, Missed.LATEST, 9));
    assertEquals(List.of(7, 8, 9, 10), hours(hourly, Missed.ALL, 9));
    assertEquals(List.of(9, 10), hours(hourly, Missed.ALL, 2));
    // Ten years of minutes are not walked, and come in parts when all of them may fire.
    Schedule minutes = of("* * * * *", "UTC", new Rules(Skipped.RUN, Repeated.BOTH, Closed.RUN));
    Agenda a =
        agenda(minutes, new Catchup(Missed.ALL, Duration.ofMinutes(1), Duration.ofDays(1), 1_000));
    Instant now = T0.plus(Duration.ofDays(3650));
    Batch due = a.due(now, 600);
    assertEquals(600, due.fire().size());
    assertEquals(due.fire().get(599).position(), due.watermark());
    Batch rest = a.due(now, 600);
    assertEquals(402, rest.fire().size(), "1,000 missed ones and two on time");
    assertEquals(due.watermark().instant().plusSeconds(60), rest.fire().get(0).instant());
    assertEquals(Position.upTo(now), rest.watermark());
  }

  @Test
  void nothingDueCostsNothingAndABatchItsOwnFirings() throws Exception {
    Rules r = new Rules(Skipped.RUN, Repeated.FIRST, Closed.RUN);
    Catchup c = new Catchup(Missed.LATEST, Duration.ofMinutes(1), Duration.ZERO, 0);
    List<Table.Entry> entries = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      String cron = i < 5_000 ? "0 3 * * *" : i % 60 + " " + (4 + i % 20) + " * * *";
      entries.add(new Table.Entry(String.format("e%05d", i), of(cron, "UTC", r), c));
    }
    Agenda a = new Agenda(new Table("t", entries), Position.upTo(T0));
    for (int s = 0; s < 10_000; s++) {
      assertEquals(List.of(), a.due(T0.plusSeconds(s), 10).fire());
    }
    assertEquals(0, a.looked());
    Instant three = T0.plus(Duration.ofHours(3));
    assertEquals(Optional.of(three), a.next());
    Set<String> fired = new TreeSet<>();
    for (int batch = 1; batch <= 500; batch++) {
      Batch b = a.due(three.plusSeconds(batch / 10), 10);
      assertEquals(10, b.fire().size());
      b.fire().forEach(f -> fired.add(f.entry()));
      assertTrue(a.looked() <= 10L * batch, a.looked() + " looks for " + 10 * batch);
    }
    assertEquals(5_000, fired.size());
    assertEquals(List.of(), a.due(three.plusSeconds(50), 10).fire());
  }
}
