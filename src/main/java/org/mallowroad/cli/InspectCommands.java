package org.mallowroad.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mallowroad.config.InvalidSettingsException;
import org.mallowroad.console.ask.ClusterQuery;
import org.mallowroad.console.report.Report;
import org.mallowroad.console.view.Overview;
import org.mallowroad.console.view.Screen;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.wire.ConsoleCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Commands that look at a site and change nothing. Exit codes: 0 seen, 1 no such job, 2 a wrong
 * option or file, 3 neither a node nor the state service answers.
 */
abstract class InspectCommands implements Callable<Integer> {
  @Mixin private ClusterAddress where;

  @Override
  public final Integer call() throws IOException {
    try (ClusterQuery asker = where.asker()) {
      return look(asker);
    } catch (InvalidSettingsException e) {
      System.err.println("mallowroad: " + e.getMessage());
      return 2;
    }
  }

  abstract int look(ClusterQuery asker) throws IOException;

  /** The code for a look that nobody answered, else 0. */
  static int code(Overview o) {
    return o.nodes().stream().allMatch(n -> n.sight() == null) && !o.recorded().wasRead() ? 3 : 0;
  }

  static void print(List<String> lines) {
    lines.forEach(l -> System.out.println(l.stripTrailing()));
  }

  /** Shows why a job waits. */
  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description = "Shows why a job's tasks wait, what would let them go on, and where they are.")
  static final class Why extends InspectCommands {
    private static final Pattern GAME = Pattern.compile("([A-Za-z0-9._-]{1,64})/([0-9]{1,9})");

    @Parameters(
        paramLabel = "JOB",
        description = "The job's id, or a league's game, as in pnw-2026/1182: who has it.")
    private String id;

    @Option(names = "--json", description = "As JSON.")
    private boolean json;

    @Override
    int look(ClusterQuery asker) {
      Matcher game = GAME.matcher(id);
      if (game.matches()) {
        try {
          print(asker.describeGame(game.group(1), Long.parseLong(game.group(2))));
          return 0;
        } catch (InvalidMessageException e) {
          System.err.println("mallowroad: the state service: " + e.getMessage());
          return 3;
        }
      }
      if (!JobCodec.ID_PATTERN.matcher(id).matches()) {
        System.err.println("mallowroad: not a job id (they look like job-000412)");
        return 2;
      }
      Overview o = asker.fetchOverview();
      JobLine line = o.jobs().stream().filter(j -> j.id().equals(id)).findFirst().orElse(null);
      JobSnapshot p = o.obstacle().isEmpty() ? asker.fetchJob(id) : null;
      if (p == null && line != null) {
        String remedy = line.reason().isEmpty() ? "" : Overview.describeRemedy(line.reason());
        p = new JobSnapshot(id, line, remedy, List.of(), 0);
      }
      if (p == null) {
        int code = code(o);
        System.err.println(
            code != 0
                ? "mallowroad: neither a node nor the state service answers"
                : "mallowroad: "
                    + id
                    + ": not among the open jobs ("
                    + o.source()
                    + (o.jobsLeftOut() > 0 ? ", " + o.jobsLeftOut() + " jobs were left out" : "")
                    + "); it is over, or was never submitted: see mallowroad job");
        return code != 0 ? code : 1;
      }
      if (json) {
        System.out.println(new String(ConsoleCodec.encode(p), StandardCharsets.UTF_8));
      } else {
        print(new Screen(Screen.MIN_WIDTH, 0).renderJob(p, o.source()));
      }
      return 0;
    }
  }

  /** Shows a site in a few lines. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Shows who leads, what waits and why, in a few lines.")
  static final class Status extends InspectCommands {
    @Override
    int look(ClusterQuery asker) {
      Overview o = asker.fetchOverview();
      List<String> all = new Screen(100, 0).render(o, Top.look(Screen.Page.NODES));
      print(all);
      return code(o);
    }
  }

  /** Writes a report. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description =
          "Writes one HTML page that opens without a network: what waits, why, and where.")
  static final class Write extends InspectCommands {
    @Option(names = "--out", required = true, paramLabel = "FILE", description = "The page.")
    private Path out;

    @Override
    int look(ClusterQuery asker) throws IOException {
      Overview o = asker.fetchOverview();
      String page = Report.renderPage(o, asker.fetchHistory());
      try {
        Files.writeString(out, page);
      } catch (IOException e) {
        System.err.println("mallowroad: " + out + ": cannot be written");
        return 2;
      }
      o.first().forEach(l -> System.out.println(Screen.sanitize(l)));
      return code(o);
    }
  }
}
