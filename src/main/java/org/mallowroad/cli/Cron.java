package org.mallowroad.cli;

import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.mallowroad.calendar.BusinessCalendar;
import org.mallowroad.calendar.CronExpression;
import org.mallowroad.calendar.CronTable;
import org.mallowroad.calendar.FiringRules;
import org.mallowroad.calendar.InvalidCronExpressionException;
import org.mallowroad.calendar.Schedule;
import org.mallowroad.calendar.file.CronTableFile;
import org.mallowroad.calendar.file.InvalidCronTableException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Evaluates cron expressions and cron tables locally, without contacting a service. */
@Command(
    name = "cron",
    mixinStandardHelpOptions = true,
    description = "Looks at cron expressions and tables; nothing is handed over to a service yet.",
    subcommands = {Cron.Next.class, Cron.Check.class})
final class Cron {
  private static final int MAX_COUNT = 10_000;

  /** Checks a cron table file and prints when each of its entries fires next. */
  @Command(
      name = "check",
      mixinStandardHelpOptions = true,
      description = {
        "Checks a table's file and prints when each entry fires next.",
        "Exit codes: 0 good, 1 an entry never fires, 2 a wrong file."
      })
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The table (XML).")
    private Path file;

    @Override
    public Integer call() {
      CronTableFile.Content content;
      try {
        content = CronTableFile.read(file);
      } catch (InvalidCronTableException entry) {
        System.err.println("mallowroad: " + entry.getMessage());
        return 2;
      }
      Instant now = Instant.now();
      for (CronTable.Entry entry : content.table().entries()) {
        String nextFiring =
            entry
                .schedule()
                .next(now)
                .map(instant -> localFormat(content.zones().get(entry.name())).format(instant))
                .orElse("never");
        System.out.printf("%-24s %s%n", entry.name(), nextFiring);
      }
      content
          .neverFiring()
          .forEach(
              entryName ->
                  System.err.println("mallowroad: " + file + ": " + entryName + ": never fires"));
      return content.neverFiring().isEmpty() ? 0 : 1;
    }
  }

  private static DateTimeFormatter localFormat(ZoneId zone) {
    return DateTimeFormatter.ofPattern("EEE yyyy-MM-dd HH:mm xxx", Locale.ROOT).withZone(zone);
  }

  /** Prints the next firings of a cron expression. */
  @Command(
      name = "next",
      mixinStandardHelpOptions = true,
      description = {
        "Prints when an expression fires next, in its zone and in UTC.",
        "Exit codes: 0 printed, 1 never, 2 a wrong expression or option."
      })
  static final class Next implements Callable<Integer> {
    @Parameters(
        paramLabel = "EXPRESSION",
        description = "Five fields as in crontab(5), in quotes, or @daily and its kin.")
    private String expression;

    @Option(names = "--zone", paramLabel = "ZONE", description = "IANA time zone (default: UTC).")
    private String zone = "UTC";

    @Option(names = "--count", paramLabel = "N", description = "Firings (default: 5).")
    private int count = 5;

    @Option(
        names = "--after",
        paramLabel = "INSTANT",
        description = "As 2027-03-14T00:00:00Z (default: now).")
    private String after;

    @Option(
        names = "--skipped",
        paramLabel = "CLASS",
        description = "A local time that the clocks leave out: ${COMPLETION-CANDIDATES}.")
    private FiringRules.Skipped skipped;

    @Option(
        names = "--repeated",
        paramLabel = "CLASS",
        description = "A local time that comes twice: ${COMPLETION-CANDIDATES}.")
    private FiringRules.Repeated repeated;

    @Override
    public Integer call() {
      CronExpression cron;
      try {
        cron = CronExpression.parse(expression);
      } catch (InvalidCronExpressionException e) {
        return invalidUsage(expression + ": " + e.getMessage());
      }
      ZoneId zoneId;
      try {
        zoneId = ZoneId.of(zone);
      } catch (DateTimeException e) {
        return invalidUsage("--zone: " + zone + ": no such time zone");
      }
      Instant start;
      try {
        start = after == null ? Instant.now() : Instant.parse(after);
      } catch (DateTimeParseException e) {
        return invalidUsage(
            "--after: " + after + ": an instant like 2027-03-14T00:00:00Z is needed");
      }
      if (count < 1 || count > MAX_COUNT) {
        return invalidUsage(
            "--count: " + count + ": a number from 1 to " + MAX_COUNT + " is needed");
      }
      FiringRules defaults = FiringRules.defaultsFor(cron);
      FiringRules rules =
          new FiringRules(
              skipped == null ? defaults.skipped() : skipped,
              repeated == null ? defaults.repeated() : repeated,
              FiringRules.Closed.RUN);
      return print(new Schedule(cron, zoneId, BusinessCalendar.alwaysOpen(), rules), zoneId, start);
    }

    private int print(Schedule schedule, ZoneId zoneId, Instant after) {
      DateTimeFormatter local = localFormat(zoneId);
      Optional<Instant> next = schedule.next(after);
      if (next.isEmpty()) {
        System.err.println(
            "mallowroad: " + expression + ": never, as far as 41 years are looked at");
        return 1;
      }
      for (int i = 0; i < count && next.isPresent(); i++) {
        System.out.println(local.format(next.get()) + "   " + next.get());
        next = schedule.next(next.get());
      }
      return 0;
    }

    private static int invalidUsage(String message) {
      System.err.println("mallowroad: " + message);
      return 2;
    }
  }
}
