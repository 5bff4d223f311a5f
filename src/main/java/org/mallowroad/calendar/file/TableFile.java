package org.mallowroad.calendar.file;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.MonthDay;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import javax.xml.XMLConstants;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.SchemaFactory;
import javax.xml.validation.Validator;
import org.mallowroad.calendar.Catchup;
import org.mallowroad.calendar.Closures;
import org.mallowroad.calendar.CronExpression;
import org.mallowroad.calendar.InvalidCalendarException;
import org.mallowroad.calendar.InvalidCronExpressionException;
import org.mallowroad.calendar.OpenDays;
import org.mallowroad.calendar.Rules;
import org.mallowroad.calendar.Schedule;
import org.mallowroad.calendar.Table;
import org.mallowroad.core.NameIndex;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * Reads a table: first the schema judges the file, then what no schema can say: expressions, zones,
 * calendars that are built on one another, entries that can never fire, job templates that a
 * submission would refuse.
 */
public final class TableFile {
  /** Entries of a table. */
  public static final int MOST_ENTRIES = 10_000;

  private static final long MOST_BYTES = 16 << 20;

  /** A firing later than this was missed: well above the time that a takeover takes. */
  private static final Duration ON_TIME = Duration.ofSeconds(60);

  /** In which {@code missed="all"} looks back when nothing else is said. */
  private static final Duration WINDOW = Duration.ofDays(1);

  private static final int MOST_MISSED = 100;

  /**
   * What a file holds.
   *
   * @param zones the time zone of each entry
   * @param jobs the template of each entry's jobs, without an id
   * @param never entries that never fire, as far as is looked
   */
  public record Content(
      Table table, Map<String, ZoneId> zones, Map<String, ObjectNode> jobs, Set<String> never) {}

  private final Path file;
  private final String name;
  private final Map<String, OpenDays> calendars = new HashMap<>();
  private final Map<String, ZoneId> zones = new LinkedHashMap<>();
  private final Map<String, ObjectNode> jobs = new LinkedHashMap<>();
  private final List<Table.Entry> entries = new ArrayList<>();
  private ZoneId zone;
  private String table;

  private TableFile(Path file) {
    this.file = file;
    this.name = file.toString();
  }

  /** Reads a file. */
  public static Content read(Path file) throws InvalidTableException {
    return new TableFile(file).read();
  }

  private Content read() throws InvalidTableException {
    String text = text(file, 0);
    check(text);
    XMLInputFactory f = XMLInputFactory.newFactory();
    f.setProperty(XMLInputFactory.SUPPORT_DTD, false);
    f.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
    try {
      XMLStreamReader x = f.createXMLStreamReader(new StringReader(text));
      while (x.hasNext()) {
        int event = x.next();
        if (event == XMLStreamReader.DTD) {
          throw bad(
              x, "a DOCTYPE is not taken"); // The validator lets one pass that it may not read.
        }
        if (event == XMLStreamReader.START_ELEMENT) {
          switch (x.getLocalName()) {
            case "cron" -> {
              table = x.getAttributeValue(null, "name");
              zone = zone(x, "zone");
            }
            case "calendar" -> calendar(x);
            default -> entry(x);
          }
        }
      }
    } catch (XMLStreamException e) {
      throw new InvalidTableException(name, e.getLocation().getLineNumber(), "not well-formed XML");
    }
    Set<String> never = new HashSet<>();
    for (Table.Entry e : entries) {
      if (e.schedule().next(Instant.EPOCH).isEmpty()) {
        never.add(e.name());
      }
    }
    return new Content(new Table(table, entries), zones, jobs, never);
  }

  private String text(Path path, int line) throws InvalidTableException {
    try {
      if (Files.size(path) > MOST_BYTES) {
        throw new InvalidTableException(name, line, path.getFileName() + " has more than 16 MiB");
      }
      return Files.readString(path);
    } catch (MalformedInputException e) {
      throw new InvalidTableException(name, line, path.getFileName() + " is not UTF-8");
    } catch (IOException e) {
      throw new InvalidTableException(name, line, path.getFileName() + " cannot be read");
    }
  }

  private void check(String text) throws InvalidTableException {
    try {
      SchemaFactory f = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
      f.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      Validator v = f.newSchema(TableFile.class.getResource("cron-1.xsd")).newValidator();
      v.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
      v.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
      v.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      v.validate(new StreamSource(new StringReader(text)));
    } catch (SAXParseException e) {
      // The library begins with the name of the rule that was broken, which says nothing to a user.
      throw new InvalidTableException(
          name, e.getLineNumber(), e.getMessage().replaceFirst("^cvc-[A-Za-z0-9.-]+: ", ""));
    } catch (SAXException | IOException e) {
      throw new InvalidTableException(name, 0, "cannot be read: " + e.getMessage());
    }
  }

  private InvalidTableException bad(XMLStreamReader x, String reason) {
    return new InvalidTableException(name, x.getLocation().getLineNumber(), reason);
  }

  private ZoneId zone(XMLStreamReader x, String attribute) throws InvalidTableException {
    String id = x.getAttributeValue(null, attribute);
    if (id == null) {
      return zone;
    }
    try {
      return ZoneId.of(id);
    } catch (DateTimeException e) {
      throw bad(x, "zone: " + id + ": no such time zone");
    }
  }

  private void calendar(XMLStreamReader x) throws XMLStreamException, InvalidTableException {
    String id = x.getAttributeValue(null, "name");
    String base = x.getAttributeValue(null, "base");
    if (base != null && !calendars.containsKey(base)) {
      throw bad(x, "base: " + base + ": no calendar of this name stands before this one");
    }
    Set<DayOfWeek> weekly = EnumSet.noneOf(DayOfWeek.class);
    Set<LocalDate> dates = new HashSet<>();
    Set<MonthDay> yearly = new HashSet<>();
    List<OpenDays.Season> seasons = new ArrayList<>();
    List<Closures> closures = new ArrayList<>();
    while (!(x.next() == XMLStreamReader.END_ELEMENT && x.getLocalName().equals("calendar"))) {
      if (x.getEventType() != XMLStreamReader.START_ELEMENT) {
        continue;
      }
      String day = x.getAttributeValue(null, "day");
      try {
        switch (x.getLocalName()) {
          case "date" -> dates.add(LocalDate.parse(day));
          case "yearly" -> yearly.add(MonthDay.parse(day));
          case "weekly" -> weekly.add(DayOfWeek.valueOf(day.toUpperCase(Locale.ROOT)));
          case "season" ->
              seasons.add(
                  new OpenDays.Season(
                      MonthDay.parse(x.getAttributeValue(null, "from")),
                      MonthDay.parse(x.getAttributeValue(null, "to"))));
          default -> closures.add(events(x));
        }
      } catch (DateTimeException e) {
        throw bad(x, x.getLocalName() + ": a day without a time zone is needed");
      }
    }
    try {
      calendars.put(
          id,
          new OpenDays(
              id,
              base == null ? null : calendars.get(base),
              weekly,
              dates,
              yearly,
              seasons,
              closures));
    } catch (IllegalArgumentException e) {
      throw bad(x, e.getMessage());
    }
  }

  private Closures events(XMLStreamReader x) throws InvalidTableException {
    String at = x.getAttributeValue(null, "file");
    try {
      return Closures.read(text(file.resolveSibling(at), x.getLocation().getLineNumber()));
    } catch (InvalidCalendarException e) {
      throw bad(x, at + ": " + e.getMessage());
    }
  }

  private void entry(XMLStreamReader x) throws XMLStreamException, InvalidTableException {
    if (entries.size() == MOST_ENTRIES) {
      throw bad(x, "a table has at most " + MOST_ENTRIES + " entries");
    }
    String id = x.getAttributeValue(null, "name");
    CronExpression cron;
    try {
      cron = CronExpression.parse(x.getAttributeValue(null, "at"));
    } catch (InvalidCronExpressionException e) {
      throw bad(x, "at: " + e.getMessage());
    }
    String on = x.getAttributeValue(null, "calendar");
    if (on != null && !calendars.containsKey(on)) {
      throw bad(x, "calendar: " + on + ": no calendar of this name");
    }
    Rules usual = Rules.usual(cron);
    Rules rules =
        new Rules(
            one(x, "skipped", Rules.Skipped.class, usual.skipped()),
            one(x, "repeated", Rules.Repeated.class, usual.repeated()),
            one(x, "closed", Rules.Closed.class, usual.closed()));
    String window = x.getAttributeValue(null, "missed-window-s");
    String most = x.getAttributeValue(null, "missed-most");
    Catchup catchup =
        new Catchup(
            one(x, "missed", Catchup.Missed.class, Catchup.Missed.LATEST),
            ON_TIME,
            window == null ? WINDOW : Duration.ofMillis((long) (Double.parseDouble(window) * 1000)),
            most == null ? MOST_MISSED : Integer.parseInt(most));
    ZoneId z = zone(x, "zone");
    zones.put(id, z);
    entries.add(
        new Table.Entry(
            id,
            new Schedule(cron, z, on == null ? OpenDays.always() : calendars.get(on), rules),
            catchup));
    int event = x.next();
    while (event != XMLStreamReader.START_ELEMENT) {
      event = x.next(); // The schema has exactly one job in an entry.
    }
    jobs.put(id, job(x));
  }

  private static <T extends Enum<T>> T one(
      XMLStreamReader x, String attribute, Class<T> type, T otherwise) {
    String v = x.getAttributeValue(null, attribute);
    return v == null ? otherwise : Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
  }

  private static final Set<String> WORDS =
      Set.of(
          Fields.TASK_CLASS, Fields.TEAM, Fields.KIND, Fields.PRIORITY, Fields.IMAGE, Fields.ZONE);
  private static final Set<String> SWITCHES = Set.of(Fields.TOGETHER, Fields.SCATTER, Fields.SPOT);
  private static final Map<String, String> OTHERWISE =
      Map.of(
          Fields.CARDS, "0",
          Fields.CHECKPOINT_INTERVAL_S, "0",
          Fields.CHECKPOINT_SAVE_S, "0",
          Fields.TOGETHER, "false",
          Fields.SCATTER, "false",
          Fields.SPOT, "false");

  /** The template as a submission has it; whatever that refuses is refused here, by its field. */
  private ObjectNode job(XMLStreamReader x) throws InvalidTableException {
    Map<String, String> given = new LinkedHashMap<>(OTHERWISE);
    for (int i = 0; i < x.getAttributeCount(); i++) {
      given.put(x.getAttributeLocalName(i), x.getAttributeValue(i).strip());
    }
    ObjectNode o = Json.object();
    given.forEach(
        (k, v) -> {
          if (WORDS.contains(k)) {
            o.put(k, v);
          } else if (SWITCHES.contains(k)) {
            o.put(k, v.equals("true") || v.equals("1"));
          } else if (k.equals(Fields.MACHINE_TYPES)) {
            var types = o.putArray(k);
            for (String t : v.split("\\s+")) {
              types.add(t);
            }
          } else if (k.equals(Fields.TASKS)) {
            o.put(k, Integer.parseInt(v));
          } else {
            o.put(k, Double.parseDouble(v));
          }
        });
    try {
      ObjectNode whole = o.deepCopy().put(Fields.ID, "job-9");
      new JobCodec(
              new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex())
          .validate(whole);
    } catch (InvalidMessageException e) {
      throw bad(x, "job: " + e.getMessage());
    }
    return o;
  }
}
