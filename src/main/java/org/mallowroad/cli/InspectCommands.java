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
 * Read-only commands that inspect a site. Exit codes: 0 success, 1 no such job, 2 an invalid option
 * or file, 3 neither a node nor the state service answers.
 */
abstract class InspectCommands implements Callable<Integer> {
  @Mixin private ClusterAddress address;

  @Override
  public final Integer call() throws IOException {
    try (ClusterQuery query = address.openQuery()) {
      return execute(query);
    } catch (InvalidSettingsException e) {
      System.err.println("mallowroad: " + e.getMessage());
      return 2;
    }
  }

  abstract int execute(ClusterQuery query) throws IOException;

  /** Returns 3 when neither a node nor the state service answered, else 0. */
  static int exitCode(Overview overview) {
    return overview.nodes().stream().allMatch(node -> node.sight() == null)
            && !overview.recorded().wasRead()
        ? 3
        : 0;
  }

  static void print(List<String> lines) {
    lines.forEach(line -> System.out.println(line.stripTrailing()));
  }

  /** Shows why a job's tasks are pending, or which jobs claim a league's game. */
  @Command(
      name = "why",
      mixinStandardHelpOptions = true,
      description = "Shows why a job's tasks wait, what would let them go on, and where they are.")
  static final class Why extends InspectCommands {
    private static final Pattern GAME_PATTERN =
        Pattern.compile("([A-Za-z0-9._-]{1,64})/([0-9]{1,9})");

    @Parameters(
        paramLabel = "JOB",
        description = "The job's id, or a league's game, as in pnw-2026/1182: who has it.")
    private String id;

    @Option(names = "--json", description = "As JSON.")
    private boolean json;

    @Override
    int execute(ClusterQuery query) {
      Matcher game = GAME_PATTERN.matcher(id);
      if (game.matches()) {
        try {
          print(query.describeGame(game.group(1), Long.parseLong(game.group(2))));
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
      Overview overview = query.fetchOverview();
      JobLine line =
          overview.jobs().stream().filter(j -> j.id().equals(id)).findFirst().orElse(null);
      JobSnapshot snapshot = overview.obstacle().isEmpty() ? query.fetchJob(id) : null;
      if (snapshot == null && line != null) {
        String remedy = line.reason().isEmpty() ? "" : Overview.describeRemedy(line.reason());
        snapshot = new JobSnapshot(id, line, remedy, List.of(), 0);
      }
      if (snapshot == null) {
        int code = exitCode(overview);
        System.err.println(
            code != 0
                ? "mallowroad: neither a node nor the state service answers"
                : "mallowroad: "
                    + id
                    + ": not among the open jobs ("
                    + overview.source()
                    + (overview.jobsLeftOut() > 0
                        ? ", " + overview.jobsLeftOut() + " jobs were left out"
                        : "")
                    + "); it has ended or was never submitted: see mallowroad job");
        return code != 0 ? code : 1;
      }
      if (json) {
        System.out.println(new String(ConsoleCodec.encode(snapshot), StandardCharsets.UTF_8));
      } else {
        print(new Screen(Screen.MIN_WIDTH, 0).renderJob(snapshot, overview.source()));
      }
      return 0;
    }
  }

  /** Prints a summary of the site and its nodes. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Shows who leads, what waits and why, in a few lines.")
  static final class Status extends InspectCommands {
    @Override
    int execute(ClusterQuery query) {
      Overview overview = query.fetchOverview();
      List<String> lines = new Screen(100, 0).render(overview, Top.look(Screen.Page.NODES));
      print(lines);
      return exitCode(overview);
    }
  }

  /** Writes an HTML report on the site to a file. */
  @Command(
      name = "report",
      mixinStandardHelpOptions = true,
      description =
          "Writes one HTML page that opens without a network: what waits, why, and where.")
  static final class Write extends InspectCommands {
    @Option(names = "--out", required = true, paramLabel = "FILE", description = "The page.")
    private Path outputFile;

    @Override
    int execute(ClusterQuery query) throws IOException {
      Overview overview = query.fetchOverview();
      String page = Report.renderPage(overview, query.fetchHistory());
      try {
        Files.writeString(outputFile, page);
      } catch (IOException e) {
        System.err.println("mallowroad: " + outputFile + ": cannot be written");
        return 2;
      }
      overview.first().forEach(line -> System.out.println(Screen.sanitize(line)));
      return exitCode(overview);
    }
  }
}
