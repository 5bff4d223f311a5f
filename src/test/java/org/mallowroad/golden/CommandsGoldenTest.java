package org.mallowroad.golden;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mallowroad.cli.CommandRuns;

/** Compares the command line's help texts, exit codes and error messages with golden files. */
final class CommandsGoldenTest {
  private static final String SETTINGS = "src/test/resources/golden/settings.toml";
  private static final String OPERATOR = "src/test/resources/golden/operator.xml";
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

  private static final String[][] COMMAND_LINES = {
    {},
    {"--version"},
    {"no-such-command"},
    {"check-config"},
    {"check-config", "--config", SETTINGS},
    {"check-config", "--config", SETTINGS, "--operator", OPERATOR},
    {"check-config", "--config", SETTINGS, "--operator", "deploy/console.xml"},
    {"check-config", "--config", "no-such-file.toml"},
    {"why", "ratings", "--nodes", UNREACHABLE_ADDRESS},
    {"why", "job-1", "--nodes", UNREACHABLE_ADDRESS},
    {"top", "--once", "--nodes", "here"},
    {"status", "--state", "there"},
    {"status", "--nodes", UNREACHABLE_ADDRESS, "--state", UNREACHABLE_ADDRESS},
    {"top", "--json", "--nodes", UNREACHABLE_ADDRESS, "--state", UNREACHABLE_ADDRESS},
    {"job", "--server", UNREACHABLE_ADDRESS, "job-1"},
    {"cancel", "--server", UNREACHABLE_ADDRESS, "job-1"},
    {"job", "--server", "a b", "job-1"},
    {"submit", "--server", UNREACHABLE_ADDRESS, "no-such-file.json"},
    {"cron", "check", "*/5 8-18 * * mon-fri"},
    {"cron", "next", "@daily", "--after", "2026-03-28T12:00:00Z", "--zone", "Europe/London"},
    {"cron", "next", "0 0 30 2 *", "--after", "2026-03-28T12:00:00Z"},
    {"cron", "next", "70 * * * *"},
    {"try", "--stall", "west"},
  };

  @Test
  void helpTextsMatchTheGoldenFile() {
    StringBuilder helpTexts = new StringBuilder();
    CommandRuns.help()
        .forEach((name, text) -> helpTexts.append("### ").append(name).append('\n').append(text));
    new GoldenFile("help.txt").check(helpTexts.toString());
  }

  @Test
  void exitCodesAndMessagesMatchTheGoldenFile() {
    Map<String, String> outcomes = new LinkedHashMap<>();
    for (String[] args : COMMAND_LINES) {
      CommandRuns.Outcome outcome = CommandRuns.run(args);
      outcomes.put(
          "mallowroad " + String.join(" ", args),
          outcome.code() + " out=" + normalize(outcome.out()) + " err=" + normalize(outcome.err()));
    }
    new GoldenFile("commands.txt").check(outcomes);
  }

  /** Puts a text on one line and masks durations and times, which differ between runs. */
  private static String normalize(String text) {
    return text.replaceAll(" +[0-9]+ ms", " N ms")
        .replaceAll("(\"atMs\"|\"tookMs\"):[0-9]+", "$1:N")
        .replace("\n", "\\n");
  }
}
