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
import org.mallowroad.calendar.BusinessCalendar;
import org.mallowroad.calendar.CatchupPolicy;
import org.mallowroad.calendar.ClosedDays;
import org.mallowroad.calendar.CronExpression;
import org.mallowroad.calendar.CronTable;
import org.mallowroad.calendar.FiringRules;
import org.mallowroad.calendar.InvalidCalendarException;
import org.mallowroad.calendar.InvalidCronExpressionException;
import org.mallowroad.calendar.Schedule;
import org.mallowroad.core.NameIndex;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * Reads a cron table from an XML file. The file is first validated against the schema, then checked
 * for what a schema cannot express: cron expressions, time zones, references between calendars,
 * entries that never fire, and job templates that would be rejected as a submission.
 */
public final class CronTableFile {
  /** The most entries that a table may have. */
  public static final int MAX_ENTRIES = 10_000;

  private static final long MAX_BYTES = 16 << 20;

  /** A firing later than this counts as missed; well above the duration of a takeover. */
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(60);

  /** How far {@code missed="all"} looks back if the entry has no {@code missed-window-s}. */
  private static final Duration DEFAULT_MISSED_WINDOW = Duration.ofDays(1);

  private static final int DEFAULT_MAX_MISSED = 100;

  /**
   * The contents of a file.
   *
   * @param zones the time zone of each entry, by entry name
   * @param jobTemplates the job template of each entry, without a job id, by entry name
   * @param neverFiring the names of entries that do not fire within the range that {@link Schedule}
   *     searches
   */
  public record Content(
      CronTable table,
      Map<String, ZoneId> zones,
      Map<String, ObjectNode> jobTemplates,
      Set<String> neverFiring) {}

  private final Path file;
  private final String fileName;
  private final Map<String, BusinessCalendar> calendars = new HashMap<>();
  private final Map<String, ZoneId> zones = new LinkedHashMap<>();
  private final Map<String, ObjectNode> jobTemplates = new LinkedHashMap<>();
  private final List<CronTable.Entry> entries = new ArrayList<>();
  private ZoneId defaultZone;
  private String tableName;

  private CronTableFile(Path file) {
    this.file = file;
    this.fileName = file.toString();
  }

  /** Reads and validates a file. */
  public static Content read(Path file) throws InvalidCronTableException {
    return new CronTableFile(file).read();
  }

  private Content read() throws InvalidCronTableException {
    String text = readText(file, 0);
    validateSchema(text);
    XMLInputFactory factory = XMLInputFactory.newFactory();
    factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
    factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
    try {
      XMLStreamReader reader = factory.createXMLStreamReader(new StringReader(text));
      while (reader.hasNext()) {
        int event = reader.next();
        if (event == XMLStreamReader.DTD) {
          // The validator accepts a DOCTYPE that it is not allowed to read.
          throw invalid(reader, "a DOCTYPE is not allowed");
        }
        if (event == XMLStreamReader.START_ELEMENT) {
          switch (reader.getLocalName()) {
            case "cron" -> {
              tableName = reader.getAttributeValue(null, "name");
              defaultZone = zoneAttribute(reader, "zone");
            }
            case "calendar" -> readCalendar(reader);
            default -> readEntry(reader);
          }
        }
      }
    } catch (XMLStreamException exception) {
      throw new InvalidCronTableException(
          fileName, exception.getLocation().getLineNumber(), "not well-formed XML");
    }
    Set<String> neverFiring = new HashSet<>();
    for (CronTable.Entry entry : entries) {
      if (entry.schedule().next(Instant.EPOCH).isEmpty()) {
        neverFiring.add(entry.name());
      }
    }
    return new Content(new CronTable(tableName, entries), zones, jobTemplates, neverFiring);
  }

  private String readText(Path path, int line) throws InvalidCronTableException {
    try {
      if (Files.size(path) > MAX_BYTES) {
        throw new InvalidCronTableException(
            fileName, line, path.getFileName() + " has more than 16 MiB");
      }
      return Files.readString(path);
    } catch (MalformedInputException e) {
      throw new InvalidCronTableException(fileName, line, path.getFileName() + " is not UTF-8");
    } catch (IOException e) {
      throw new InvalidCronTableException(fileName, line, path.getFileName() + " cannot be read");
    }
  }

  private void validateSchema(String text) throws InvalidCronTableException {
    try {
      SchemaFactory factory = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
      factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
      Validator validator =
          factory.newSchema(CronTableFile.class.getResource("cron-1.xsd")).newValidator();
      validator.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
      validator.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
      validator.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      validator.validate(new StreamSource(new StringReader(text)));
    } catch (SAXParseException e) {
      // Removes the name of the violated schema rule, which means nothing to a user.
      throw new InvalidCronTableException(
          fileName, e.getLineNumber(), e.getMessage().replaceFirst("^cvc-[A-Za-z0-9.-]+: ", ""));
    } catch (SAXException | IOException e) {
      throw new InvalidCronTableException(fileName, 0, "cannot be read: " + e.getMessage());
    }
  }

  private InvalidCronTableException invalid(XMLStreamReader reader, String reason) {
    return new InvalidCronTableException(fileName, reader.getLocation().getLineNumber(), reason);
  }

  private ZoneId zoneAttribute(XMLStreamReader reader, String attribute)
      throws InvalidCronTableException {
    String id = reader.getAttributeValue(null, attribute);
    if (id == null) {
      return defaultZone;
    }
    try {
      return ZoneId.of(id);
    } catch (DateTimeException e) {
      throw invalid(reader, "zone: " + id + ": no such time zone");
    }
  }

  private void readCalendar(XMLStreamReader reader)
      throws XMLStreamException, InvalidCronTableException {
    String name = reader.getAttributeValue(null, "name");
    String baseName = reader.getAttributeValue(null, "base");
    if (baseName != null && !calendars.containsKey(baseName)) {
      throw invalid(
          reader, "base: " + baseName + ": no calendar of this name is defined before this one");
    }
    Set<DayOfWeek> weekly = EnumSet.noneOf(DayOfWeek.class);
    Set<LocalDate> dates = new HashSet<>();
    Set<MonthDay> yearly = new HashSet<>();
    List<BusinessCalendar.Season> seasons = new ArrayList<>();
    List<ClosedDays> closures = new ArrayList<>();
    while (!(reader.next() == XMLStreamReader.END_ELEMENT
        && reader.getLocalName().equals("calendar"))) {
      if (reader.getEventType() != XMLStreamReader.START_ELEMENT) {
        continue;
      }
      String day = reader.getAttributeValue(null, "day");
      try {
        switch (reader.getLocalName()) {
          case "date" -> dates.add(LocalDate.parse(day));
          case "yearly" -> yearly.add(MonthDay.parse(day));
          case "weekly" -> weekly.add(DayOfWeek.valueOf(day.toUpperCase(Locale.ROOT)));
          case "season" ->
              seasons.add(
                  new BusinessCalendar.Season(
                      MonthDay.parse(reader.getAttributeValue(null, "from")),
                      MonthDay.parse(reader.getAttributeValue(null, "to"))));
          default -> closures.add(readEvents(reader));
        }
      } catch (DateTimeException e) {
        throw invalid(reader, reader.getLocalName() + ": a day without a time zone is needed");
      }
    }
    try {
      calendars.put(
          name,
          new BusinessCalendar(
              name,
              baseName == null ? null : calendars.get(baseName),
              weekly,
              dates,
              yearly,
              seasons,
              closures));
    } catch (IllegalArgumentException e) {
      throw invalid(reader, e.getMessage());
    }
  }

  private ClosedDays readEvents(XMLStreamReader reader) throws InvalidCronTableException {
    String eventsFile = reader.getAttributeValue(null, "file");
    try {
      return ClosedDays.parse(
          readText(file.resolveSibling(eventsFile), reader.getLocation().getLineNumber()));
    } catch (InvalidCalendarException e) {
      throw invalid(reader, eventsFile + ": " + e.getMessage());
    }
  }

  private void readEntry(XMLStreamReader reader)
      throws XMLStreamException, InvalidCronTableException {
    if (entries.size() == MAX_ENTRIES) {
      throw invalid(reader, "a table has at most " + MAX_ENTRIES + " entries");
    }
    String name = reader.getAttributeValue(null, "name");
    CronExpression cron;
    try {
      cron = CronExpression.parse(reader.getAttributeValue(null, "at"));
    } catch (InvalidCronExpressionException e) {
      throw invalid(reader, "at: " + e.getMessage());
    }
    String calendarName = reader.getAttributeValue(null, "calendar");
    if (calendarName != null && !calendars.containsKey(calendarName)) {
      throw invalid(reader, "calendar: " + calendarName + ": no calendar of this name");
    }
    FiringRules defaults = FiringRules.defaultsFor(cron);
    FiringRules rules =
        new FiringRules(
            enumAttribute(reader, "skipped", FiringRules.Skipped.class, defaults.skipped()),
            enumAttribute(reader, "repeated", FiringRules.Repeated.class, defaults.repeated()),
            enumAttribute(reader, "closed", FiringRules.Closed.class, defaults.closed()));
    String windowS = reader.getAttributeValue(null, "missed-window-s");
    String maxMissed = reader.getAttributeValue(null, "missed-most");
    CatchupPolicy catchup =
        new CatchupPolicy(
            enumAttribute(
                reader, "missed", CatchupPolicy.Missed.class, CatchupPolicy.Missed.LATEST),
            GRACE_PERIOD,
            windowS == null
                ? DEFAULT_MISSED_WINDOW
                : Duration.ofMillis((long) (Double.parseDouble(windowS) * 1000)),
            maxMissed == null ? DEFAULT_MAX_MISSED : Integer.parseInt(maxMissed));
    ZoneId zone = zoneAttribute(reader, "zone");
    zones.put(name, zone);
    entries.add(
        new CronTable.Entry(
            name,
            new Schedule(
                cron,
                zone,
                calendarName == null ? BusinessCalendar.alwaysOpen() : calendars.get(calendarName),
                rules),
            catchup));
    int event = reader.next();
    while (event != XMLStreamReader.START_ELEMENT) {
      event = reader.next(); // The schema requires exactly one job per entry.
    }
    jobTemplates.put(name, readJobTemplate(reader));
  }

  private static <T extends Enum<T>> T enumAttribute(
      XMLStreamReader reader, String attribute, Class<T> type, T defaultValue) {
    String value = reader.getAttributeValue(null, attribute);
    return value == null ? defaultValue : Enum.valueOf(type, value.toUpperCase(Locale.ROOT));
  }

  private static final Set<String> TEXT_FIELDS =
      Set.of(
          Fields.TASK_CLASS, Fields.TEAM, Fields.KIND, Fields.PRIORITY, Fields.IMAGE, Fields.ZONE);
  private static final Set<String> BOOLEAN_FIELDS =
      Set.of(Fields.TOGETHER, Fields.SCATTER, Fields.SPOT);
  private static final Map<String, String> DEFAULTS =
      Map.of(
          Fields.CARDS, "0",
          Fields.CHECKPOINT_INTERVAL_S, "0",
          Fields.CHECKPOINT_SAVE_S, "0",
          Fields.TOGETHER, "false",
          Fields.SCATTER, "false",
          Fields.SPOT, "false");

  /**
   * Reads a job template in the form of a submission. A template that would be rejected as a
   * submission is rejected here, with an error that names the field.
   */
  private ObjectNode readJobTemplate(XMLStreamReader reader) throws InvalidCronTableException {
    Map<String, String> values = new LinkedHashMap<>(DEFAULTS);
    for (int i = 0; i < reader.getAttributeCount(); i++) {
      values.put(reader.getAttributeLocalName(i), reader.getAttributeValue(i).strip());
    }
    ObjectNode template = Json.object();
    values.forEach(
        (field, value) -> {
          if (TEXT_FIELDS.contains(field)) {
            template.put(field, value);
          } else if (BOOLEAN_FIELDS.contains(field)) {
            template.put(field, value.equals("true") || value.equals("1"));
          } else if (field.equals(Fields.MACHINE_TYPES)) {
            var types = template.putArray(field);
            for (String type : value.split("\\s+")) {
              types.add(type);
            }
          } else if (field.equals(Fields.TASKS)) {
            template.put(field, Integer.parseInt(value));
          } else {
            template.put(field, Double.parseDouble(value));
          }
        });
    try {
      ObjectNode job = template.deepCopy().put(Fields.ID, "job-9");
      new JobCodec(
              new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex())
          .validate(job);
    } catch (InvalidMessageException e) {
      throw invalid(reader, "job: " + e.getMessage());
    }
    return template;
  }
}
