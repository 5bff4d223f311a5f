package org.mallowroad.calendar;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import java.io.IOException;
import java.io.StringReader;
import java.time.LocalDate;
import java.time.temporal.ChronoUnit;
import java.time.temporal.Temporal;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import net.fortuna.ical4j.data.CalendarBuilder;
import net.fortuna.ical4j.data.ParserException;
import net.fortuna.ical4j.model.Calendar;
import net.fortuna.ical4j.model.Period;
import net.fortuna.ical4j.model.Property;
import net.fortuna.ical4j.model.component.CalendarComponent;
import net.fortuna.ical4j.model.component.VEvent;
import net.fortuna.ical4j.model.property.DtEnd;
import net.fortuna.ical4j.model.property.DtStart;

/**
 * The closed days of an iCalendar file (RFC 5545): the days of its all-day events, including their
 * recurrences (RRULE), additional dates (RDATE) and exceptions (EXDATE). A file with unsupported
 * content (times of day, other components, changes to single occurrences) is rejected with an error
 * that names the content; nothing that would affect the closed days is ignored.
 *
 * <p>Days are calculated per year on first use, and cached for the {@link #MAX_CACHED_YEARS} most
 * recently used years.
 */
public final class ClosedDays {
  /** The most events that a file may have. */
  static final int MAX_EVENTS = 2_000;

  /** The longest event, in days. */
  private static final int MAX_EVENT_DAYS = 400;

  private static final int MAX_CACHED_YEARS = 64;
  private static final int MAX_CHARACTERS = 1 << 20;

  /** Properties that do not affect the closed days, or that the iCalendar library evaluates. */
  private static final Set<String> SUPPORTED_PROPERTIES =
      Set.of(
          "UID",
          "DTSTAMP",
          "DTSTART",
          "DTEND",
          "RRULE",
          "RDATE",
          "EXDATE",
          "SUMMARY",
          "DESCRIPTION",
          "LOCATION",
          "CATEGORIES",
          "CLASS",
          "CREATED",
          "LAST-MODIFIED",
          "SEQUENCE",
          "STATUS",
          "TRANSP",
          "URL",
          "PRIORITY",
          "COMMENT",
          "CONTACT",
          "ORGANIZER",
          "GEO");

  /** An event and the number of days of each of its occurrences. */
  private record Event(VEvent event, int days) {}

  private final List<Event> events;
  private final Int2ObjectLinkedOpenHashMap<Set<LocalDate>> daysByYear =
      new Int2ObjectLinkedOpenHashMap<>();

  private ClosedDays(List<Event> events) {
    this.events = events;
  }

  /** Parses the text of an iCalendar file. */
  public static ClosedDays parse(String text) throws InvalidCalendarException {
    if (text.length() > MAX_CHARACTERS) {
      throw new InvalidCalendarException(
          "the file has more than " + MAX_CHARACTERS + " characters");
    }
    Calendar calendar;
    try {
      calendar = new CalendarBuilder().build(new StringReader(text));
    } catch (ParserException e) {
      throw new InvalidCalendarException("line " + e.getLineNo() + ": not iCalendar");
    } catch (IOException | RuntimeException e) {
      throw new InvalidCalendarException("not iCalendar");
    }
    List<Event> events = new ArrayList<>();
    List<CalendarComponent> components = calendar.getComponents();
    if (components.size() > MAX_EVENTS) {
      throw new InvalidCalendarException("the file has more than " + MAX_EVENTS + " events");
    }
    for (CalendarComponent component : components) {
      if (component instanceof VEvent e) {
        if (!isCancelled(e)) {
          events.add(parseEvent(e));
        }
      } else if (!component.getName().equals("VTIMEZONE")) {
        throw new InvalidCalendarException(component.getName() + " is not supported, only VEVENT");
      }
    }
    ClosedDays closedDays = new ClosedDays(events);
    try {
      // Evaluates one year, so that a recurrence that the library cannot evaluate is rejected here
      // and does not fail at a firing.
      closedDays.daysOf(2000);
    } catch (RuntimeException e) {
      throw new InvalidCalendarException("a recurrence rule cannot be evaluated");
    }
    return closedDays;
  }

  private static boolean isCancelled(VEvent event) {
    return event.getProperties().stream()
        .anyMatch(
            property ->
                property.getName().equals("STATUS") && property.getValue().equals("CANCELLED"));
  }

  private static String summary(VEvent event) {
    return event.getProperties().stream()
        .filter(property -> property.getName().equals("SUMMARY"))
        .map(Property::getValue)
        .findFirst()
        .orElse("without a summary");
  }

  private static Event parseEvent(VEvent event) throws InvalidCalendarException {
    String messagePrefix = "event " + summary(event) + ": ";
    for (Property property : event.getProperties()) {
      String propertyName = property.getName().toUpperCase(Locale.ROOT);
      if (!SUPPORTED_PROPERTIES.contains(propertyName) && !propertyName.startsWith("X-")) {
        throw new InvalidCalendarException(messagePrefix + propertyName + " is not supported");
      }
    }
    DtStart<Temporal> start = property(event, DtStart.class);
    if (start == null) {
      throw new InvalidCalendarException(messagePrefix + "DTSTART is needed");
    }
    LocalDate firstDay = wholeDay(start.getDate(), messagePrefix + "DTSTART");
    DtEnd<Temporal> end = property(event, DtEnd.class);
    long days =
        end == null
            ? 1
            : ChronoUnit.DAYS.between(firstDay, wholeDay(end.getDate(), messagePrefix + "DTEND"));
    if (days < 1 || days > MAX_EVENT_DAYS) {
      throw new InvalidCalendarException(
          messagePrefix + "DTEND is 1 to " + MAX_EVENT_DAYS + " days after DTSTART");
    }
    return new Event(event, (int) days);
  }

  /** The event's first property of a type, or null if it has none. */
  @SuppressWarnings(
      "unchecked") // The library's date properties are generic in their temporal type.
  private static <T> T property(VEvent event, Class<?> type) {
    return (T) event.getProperties().stream().filter(type::isInstance).findFirst().orElse(null);
  }

  private static LocalDate wholeDay(Temporal date, String what) throws InvalidCalendarException {
    if (date instanceof LocalDate day) {
      return day;
    }
    throw new InvalidCalendarException(
        what + " with a time is not supported: only whole days can be closed (VALUE=DATE)");
  }

  /** Whether an event covers the day. */
  public boolean isClosed(LocalDate day) {
    return daysOf(day.getYear()).contains(day);
  }

  private Set<LocalDate> daysOf(int year) {
    Set<LocalDate> days = daysByYear.getAndMoveToLast(year);
    if (days == null) {
      days = calculateDays(year);
      daysByYear.putAndMoveToLast(year, days);
      if (daysByYear.size() > MAX_CACHED_YEARS) {
        daysByYear.removeFirst();
      }
    }
    return days;
  }

  private Set<LocalDate> calculateDays(int year) {
    LocalDate from = LocalDate.of(year, 1, 1);
    LocalDate to = from.plusYears(1);
    Set<LocalDate> days = new HashSet<>();
    for (Event event : events) {
      // Starts earlier, because an event that began in the year before may extend into this one.
      Period<LocalDate> range = new Period<>(from.minusDays(event.days), to);
      for (Period<LocalDate> occurrence : event.event.<LocalDate>calculateRecurrenceSet(range)) {
        for (int i = 0; i < event.days; i++) {
          LocalDate day = occurrence.getStart().plusDays(i);
          if (!day.isBefore(from) && day.isBefore(to)) {
            days.add(day);
          }
        }
      }
    }
    return days;
  }
}
