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
import org.mallowroad.calendar.CronExpression;
import org.mallowroad.calendar.InvalidCronExpressionException;
import org.mallowroad.calendar.OpenDays;
import org.mallowroad.calendar.Rules;
import org.mallowroad.calendar.Schedule;
import org.mallowroad.calendar.Table;
import org.mallowroad.calendar.file.InvalidTableException;
import org.mallowroad.calendar.file.TableFile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What a cron expression means, without a service. */
@Command(
    name = "cron",
    mixinStandardHelpOptions = true,
    description = "Looks at cron expressions and tables; nothing is handed over to a service yet.",
    subcommands = {Cron.Next.class, Cron.Check.class})
final class Cron {
  private static final int MOST = 10_000;

  /** Checks a table's file. */
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
      TableFile.Content c;
      try {
        c = TableFile.read(file);
      } catch (InvalidTableException e) {
        System.err.println("mallowroad: " + e.getMessage());
        return 2;
      }
      Instant now = Instant.now();
      for (Table.Entry e : c.table().entries()) {
        String at =
            e.schedule()
                .next(now)
                .map(i -> local(c.zones().get(e.name())).format(i))
                .orElse("never");
        System.out.printf("%-24s %s%n", e.name(), at);
      }
      c.never()
          .forEach(n -> System.err.println("mallowroad: " + file + ": " + n + ": never fires"));
      return c.never().isEmpty() ? 0 : 1;
    }
  }

  private static DateTimeFormatter local(ZoneId zone) {
    return DateTimeFormatter.ofPattern("EEE yyyy-MM-dd HH:mm xxx", Locale.ROOT).withZone(zone);
  }

  /** Prints the next firings. */
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
    private Rules.Skipped skipped;

    @Option(
        names = "--repeated",
        paramLabel = "CLASS",
        description = "A local time that comes twice: ${COMPLETION-CANDIDATES}.")
    private Rules.Repeated repeated;

    @Override
    public Integer call() {
      CronExpression cron;
      try {
        cron = CronExpression.parse(expression);
      } catch (InvalidCronExpressionException e) {
        return wrong(expression + ": " + e.getMessage());
      }
      ZoneId z;
      try {
        z = ZoneId.of(zone);
      } catch (DateTimeException e) {
        return wrong("--zone: " + zone + ": no such time zone");
      }
      Instant at;
      try {
        at = after == null ? Instant.now() : Instant.parse(after);
      } catch (DateTimeParseException e) {
        return wrong("--after: " + after + ": an instant like 2027-03-14T00:00:00Z is needed");
      }
      if (count < 1 || count > MOST) {
        return wrong("--count: " + count + ": a number from 1 to " + MOST + " is needed");
      }
      Rules usual = Rules.usual(cron);
      Rules rules =
          new Rules(
              skipped == null ? usual.skipped() : skipped,
              repeated == null ? usual.repeated() : repeated,
              Rules.Closed.RUN);
      return print(new Schedule(cron, z, OpenDays.always(), rules), z, at);
    }

    private int print(Schedule s, ZoneId z, Instant after) {
      DateTimeFormatter local = local(z);
      Optional<Instant> next = s.next(after);
      if (next.isEmpty()) {
        System.err.println(
            "mallowroad: " + expression + ": never, as far as 41 years are looked at");
        return 1;
      }
      for (int i = 0; i < count && next.isPresent(); i++) {
        System.out.println(local.format(next.get()) + "   " + next.get());
        next = s.next(next.get());
      }
      return 0;
    }

    private static int wrong(String what) {
      System.err.println("mallowroad: " + what);
      return 2;
    }
  }
}
