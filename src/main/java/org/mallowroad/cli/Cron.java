package org.mallowroad.cli;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.mallowroad.calendar.BadExpression;
import org.mallowroad.calendar.CronExpression;
import org.mallowroad.calendar.OpenDays;
import org.mallowroad.calendar.Rules;
import org.mallowroad.calendar.Schedule;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What a cron expression means, without a service. */
@Command(
    name = "cron",
    mixinStandardHelpOptions = true,
    description = "Looks at cron expressions; nothing is handed over to a service yet.",
    subcommands = {Cron.Next.class})
final class Cron {
  private static final int MOST = 10_000;

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
      } catch (BadExpression e) {
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
      DateTimeFormatter local =
          DateTimeFormatter.ofPattern("EEE yyyy-MM-dd HH:mm xxx", Locale.ROOT).withZone(z);
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
