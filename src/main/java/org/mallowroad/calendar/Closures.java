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
 * Closed days of an iCalendar file (RFC 5545): each event that takes whole days closes them, with
 * its recurrence, its further dates and its exceptions. What cannot be taken as it is meant (times
 * of day, other components, single changed occurrences) is refused by name, never ignored.
 *
 * <p>Days are worked out a year at a time when they are asked for, and kept for {@link #MOST_YEARS}
 * years.
 */
public final class Closures {
  /** Events of a file. */
  static final int MOST_EVENTS = 2_000;

  /** Days that one event may take. */
  private static final int MOST_DAYS = 400;

  private static final int MOST_YEARS = 64;
  private static final int MOST_CHARACTERS = 1 << 20;

  /** What says nothing of days, or is worked out by the library. */
  private static final Set<String> TAKEN =
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

  /** An event, its first day and how many days it takes. */
  private record Event(VEvent event, int days) {}

  private final List<Event> events;
  private final Int2ObjectLinkedOpenHashMap<Set<LocalDate>> years =
      new Int2ObjectLinkedOpenHashMap<>();

  private Closures(List<Event> events) {
    this.events = events;
  }

  /** Reads a file's text. */
  public static Closures read(String text) throws InvalidCalendarException {
    if (text.length() > MOST_CHARACTERS) {
      throw new InvalidCalendarException(
          "a file of at most " + MOST_CHARACTERS + " characters is taken");
    }
    Calendar calendar;
    try {
      calendar = new CalendarBuilder().build(new StringReader(text));
    } catch (ParserException e) {
      throw new InvalidCalendarException("line " + e.getLineNo() + ": not iCalendar");
    } catch (IOException | RuntimeException e) {
      throw new InvalidCalendarException("not iCalendar");
    }
    List<Event> out = new ArrayList<>();
    List<CalendarComponent> all = calendar.getComponents();
    if (all.size() > MOST_EVENTS) {
      throw new InvalidCalendarException("at most " + MOST_EVENTS + " events are taken");
    }
    for (CalendarComponent c : all) {
      if (c instanceof VEvent e) {
        if (!cancelled(e)) {
          out.add(event(e));
        }
      } else if (!c.getName().equals("VTIMEZONE")) {
        throw new InvalidCalendarException(c.getName() + " is not supported, only VEVENT");
      }
    }
    Closures made = new Closures(out);
    try {
      made.year(2000); // What the library cannot work out is found here, not at a firing.
    } catch (RuntimeException e) {
      throw new InvalidCalendarException("a recurrence that cannot be worked out");
    }
    return made;
  }

  private static boolean cancelled(VEvent e) {
    return e.getProperties().stream()
        .anyMatch(p -> p.getName().equals("STATUS") && p.getValue().equals("CANCELLED"));
  }

  private static String name(VEvent e) {
    return e.getProperties().stream()
        .filter(p -> p.getName().equals("SUMMARY"))
        .map(Property::getValue)
        .findFirst()
        .orElse("without a summary");
  }

  private static Event event(VEvent e) throws InvalidCalendarException {
    String what = "event " + name(e) + ": ";
    for (Property p : e.getProperties()) {
      String n = p.getName().toUpperCase(Locale.ROOT);
      if (!TAKEN.contains(n) && !n.startsWith("X-")) {
        throw new InvalidCalendarException(what + n + " is not supported");
      }
    }
    DtStart<Temporal> start = property(e, DtStart.class);
    if (start == null) {
      throw new InvalidCalendarException(what + "DTSTART is needed");
    }
    LocalDate first = day(start.getDate(), what + "DTSTART");
    DtEnd<Temporal> end = property(e, DtEnd.class);
    long days =
        end == null ? 1 : ChronoUnit.DAYS.between(first, day(end.getDate(), what + "DTEND"));
    if (days < 1 || days > MOST_DAYS) {
      throw new InvalidCalendarException(
          what + "DTEND is 1 to " + MOST_DAYS + " days after DTSTART");
    }
    return new Event(e, (int) days);
  }

  /** The event's only property of a type, or null. */
  @SuppressWarnings("unchecked") // The library's properties are generic in the kind of their date.
  private static <T> T property(VEvent e, Class<?> type) {
    return (T) e.getProperties().stream().filter(type::isInstance).findFirst().orElse(null);
  }

  private static LocalDate day(Temporal t, String what) throws InvalidCalendarException {
    if (t instanceof LocalDate d) {
      return d;
    }
    throw new InvalidCalendarException(
        what + " with a time is not supported: whole days are closed (VALUE=DATE)");
  }

  /** True on days that an event takes. */
  public boolean closed(LocalDate day) {
    return year(day.getYear()).contains(day);
  }

  private Set<LocalDate> year(int year) {
    Set<LocalDate> days = years.getAndMoveToLast(year);
    if (days == null) {
      days = work(year);
      years.putAndMoveToLast(year, days);
      if (years.size() > MOST_YEARS) {
        years.removeFirst();
      }
    }
    return days;
  }

  private Set<LocalDate> work(int year) {
    LocalDate from = LocalDate.of(year, 1, 1);
    LocalDate to = from.plusYears(1);
    Set<LocalDate> out = new HashSet<>();
    for (Event e : events) {
      // One that began before the year may still go on in it.
      Period<LocalDate> wanted = new Period<>(from.minusDays(e.days), to);
      for (Period<LocalDate> p : e.event.<LocalDate>calculateRecurrenceSet(wanted)) {
        for (int i = 0; i < e.days; i++) {
          LocalDate d = p.getStart().plusDays(i);
          if (!d.isBefore(from) && d.isBefore(to)) {
            out.add(d);
          }
        }
      }
    }
    return out;
  }
}
