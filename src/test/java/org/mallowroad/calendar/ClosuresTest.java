package org.mallowroad.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.calendar.Rules.Closed;
import org.mallowroad.calendar.Rules.Repeated;
import org.mallowroad.calendar.Rules.Skipped;

/** Closed days out of iCalendar files; what is not supported is refused by its name. */
final class ClosuresTest {
  private static String file(String... lines) {
    return "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//test//EN\r\n"
        + String.join("\r\n", lines)
        + "\r\nEND:VCALENDAR\r\n";
  }

  private static String event(String... lines) {
    return "BEGIN:VEVENT\r\nUID:1@test\r\nDTSTAMP:20260101T000000Z\r\nSUMMARY:Day\r\n"
        + String.join("\r\n", lines)
        + "\r\nEND:VEVENT";
  }

  private static List<String> closed(Closures c, String from, String to) {
    List<String> out = new ArrayList<>();
    for (LocalDate d = LocalDate.parse(from); d.isBefore(LocalDate.parse(to)); d = d.plusDays(1)) {
      if (c.closed(d)) {
        out.add(d.toString());
      }
    }
    return out;
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "DTSTART;VALUE=DATE:20270405|2027-04-05",
        "DTSTART;VALUE=DATE:20270405#DTEND;VALUE=DATE:20270408|2027-04-05 2027-04-06 2027-04-07",
        // Over the new year: what began in the year before goes on.
        "DTSTART;VALUE=DATE:20261230#DTEND;VALUE=DATE:20270103|2027-01-01 2027-01-02",
        "DTSTART;VALUE=DATE:20200704#RRULE:FREQ=YEARLY|2027-07-04",
        "DTSTART;VALUE=DATE:20200101#RRULE:FREQ=YEARLY;BYMONTH=9;BYDAY=1MO|2027-09-06",
        "DTSTART;VALUE=DATE:20270101#RRULE:FREQ=MONTHLY;COUNT=3|2027-01-01 2027-02-01 2027-03-01",
        "DTSTART;VALUE=DATE:20270101#RRULE:FREQ=MONTHLY;UNTIL=20270228|2027-01-01 2027-02-01",
        "DTSTART;VALUE=DATE:20270101#RRULE:FREQ=MONTHLY;COUNT=3#EXDATE;VALUE=DATE:20270201"
            + "|2027-01-01 2027-03-01",
        "DTSTART;VALUE=DATE:20270101#RDATE;VALUE=DATE:20270105|2027-01-01 2027-01-05",
        "DTSTART;VALUE=DATE:20270101#STATUS:CANCELLED|''",
      })
  void daysOfAYear(String lines, String expected) throws Exception {
    Closures c = Closures.read(file(event(lines.split("#"))));
    assertEquals(expected, String.join(" ", closed(c, "2027-01-01", "2028-01-01")).strip(), lines);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "DTSTART:20270101T100000Z|event Day: DTSTART with a time is not supported",
        "DTSTART;VALUE=DATE:20270101#DTEND:20270101T100000Z|event Day: DTEND with a time",
        "DTSTART;VALUE=DATE:20270105#DTEND;VALUE=DATE:20270101|event Day: DTEND is 1 to 400 days",
        "SUMMARY:x|event Day: DTSTART is needed",
        "DTSTART;VALUE=DATE:20270101#DURATION:P2D|event Day: DURATION is not supported",
        "DTSTART;VALUE=DATE:20270101#RECURRENCE-ID;VALUE=DATE:20270101"
            + "|event Day: RECURRENCE-ID is not supported",
      })
  void whatIsNotSupportedIsNamed(String lines, String error) {
    InvalidCalendarException e =
        assertThrows(
            InvalidCalendarException.class, () -> Closures.read(file(event(lines.split("#")))));
    assertTrue(e.getMessage().startsWith(error), e.getMessage());
  }

  @Test
  void whatIsNoCalendarIsSaid() {
    for (String text : List.of("", "BEGIN:VCALENDAR", "{}", "BEGIN:VEVENT\r\nEND:VEVENT\r\n")) {
      assertTrue(
          assertThrows(InvalidCalendarException.class, () -> Closures.read(text))
              .getMessage()
              .contains("not iCalendar"));
    }
    String todo = file("BEGIN:VTODO", "UID:1", "DTSTAMP:20260101T000000Z", "END:VTODO");
    assertEquals(
        "VTODO is not supported, only VEVENT",
        assertThrows(InvalidCalendarException.class, () -> Closures.read(todo)).getMessage());
  }

  @Test
  void aFiringMovesOverWhatAFileCloses() throws Exception {
    Closures easter =
        Closures.read(file(event("DTSTART;VALUE=DATE:20270326", "DTEND;VALUE=DATE:20270330")));
    OpenDays park =
        new OpenDays("park", null, Set.of(), Set.of(), Set.of(), List.of(), List.of(easter));
    String[][] table = {
      {"NEXT", "2027-03-30T07:00:00Z"},
      {"PREVIOUS", "2027-03-25T07:00:00Z"},
      {"SKIP", "2028-03-27T07:00:00Z"},
      {"RUN", "2027-03-27T07:00:00Z"},
    };
    for (String[] row : table) {
      Schedule s =
          new Schedule(
              CronExpression.parse("0 7 27 3 *"),
              ZoneId.of("UTC"),
              park,
              new Rules(Skipped.RUN, Repeated.FIRST, Closed.valueOf(row[0])));
      assertEquals(
          Optional.of(Instant.parse(row[1])),
          s.next(Instant.parse("2027-01-01T00:00:00Z")),
          row[0]);
    }
  }
}
