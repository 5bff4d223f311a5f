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
import org.mallowroad.calendar.FiringRules.Closed;
import org.mallowroad.calendar.FiringRules.Repeated;
import org.mallowroad.calendar.FiringRules.Skipped;

/** Closed days from iCalendar files; unsupported content is rejected by name. */
final class ClosedDaysTest {
  private static String calendarFile(String... lines) {
    return "BEGIN:VCALENDAR\r\nVERSION:2.0\r\nPRODID:-//test//EN\r\n"
        + String.join("\r\n", lines)
        + "\r\nEND:VCALENDAR\r\n";
  }

  private static String event(String... lines) {
    return "BEGIN:VEVENT\r\nUID:1@test\r\nDTSTAMP:20260101T000000Z\r\nSUMMARY:Day\r\n"
        + String.join("\r\n", lines)
        + "\r\nEND:VEVENT";
  }

  private static List<String> closedDays(ClosedDays days, String from, String to) {
    List<String> closed = new ArrayList<>();
    for (LocalDate day = LocalDate.parse(from);
        day.isBefore(LocalDate.parse(to));
        day = day.plusDays(1)) {
      if (days.isClosed(day)) {
        closed.add(day.toString());
      }
    }
    return closed;
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "DTSTART;VALUE=DATE:20270405|2027-04-05",
        "DTSTART;VALUE=DATE:20270405#DTEND;VALUE=DATE:20270408|2027-04-05 2027-04-06 2027-04-07",
        // Over the new year: an event that began in the year before extends into this one.
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
  void eventsCloseTheExpectedDays(String lines, String expected) throws Exception {
    ClosedDays days = ClosedDays.parse(calendarFile(event(lines.split("#"))));
    assertEquals(
        expected, String.join(" ", closedDays(days, "2027-01-01", "2028-01-01")).strip(), lines);
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
  void unsupportedPropertiesAreRejectedByName(String lines, String error) {
    InvalidCalendarException exception =
        assertThrows(
            InvalidCalendarException.class,
            () -> ClosedDays.parse(calendarFile(event(lines.split("#")))));
    assertTrue(exception.getMessage().startsWith(error), exception.getMessage());
  }

  @Test
  void malformedCalendarsAndOtherComponentsAreRejected() {
    for (String text : List.of("", "BEGIN:VCALENDAR", "{}", "BEGIN:VEVENT\r\nEND:VEVENT\r\n")) {
      assertTrue(
          assertThrows(InvalidCalendarException.class, () -> ClosedDays.parse(text))
              .getMessage()
              .contains("not iCalendar"));
    }
    String todo = calendarFile("BEGIN:VTODO", "UID:1", "DTSTAMP:20260101T000000Z", "END:VTODO");
    assertEquals(
        "VTODO is not supported, only VEVENT",
        assertThrows(InvalidCalendarException.class, () -> ClosedDays.parse(todo)).getMessage());
  }

  @Test
  void firingOnAClosedDayFollowsTheClosedRule() throws Exception {
    ClosedDays easter =
        ClosedDays.parse(
            calendarFile(event("DTSTART;VALUE=DATE:20270326", "DTEND;VALUE=DATE:20270330")));
    BusinessCalendar park =
        new BusinessCalendar(
            "park", null, Set.of(), Set.of(), Set.of(), List.of(), List.of(easter));
    String[][] cases = {
      {"NEXT", "2027-03-30T07:00:00Z"},
      {"PREVIOUS", "2027-03-25T07:00:00Z"},
      {"SKIP", "2028-03-27T07:00:00Z"},
      {"RUN", "2027-03-27T07:00:00Z"},
    };
    for (String[] testCase : cases) {
      Schedule schedule =
          new Schedule(
              CronExpression.parse("0 7 27 3 *"),
              ZoneId.of("UTC"),
              park,
              new FiringRules(Skipped.RUN, Repeated.FIRST, Closed.valueOf(testCase[0])));
      assertEquals(
          Optional.of(Instant.parse(testCase[1])),
          schedule.next(Instant.parse("2027-01-01T00:00:00Z")),
          testCase[0]);
    }
  }
}
