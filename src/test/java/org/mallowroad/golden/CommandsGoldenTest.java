package org.mallowroad.golden;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mallowroad.cli.CommandRunner;

/** The command line: help texts, exit codes and what is said of wrong use. */
final class CommandsGoldenTest {
  private static final String SETTINGS = "src/test/resources/golden/settings.toml";
  private static final String OPERATOR = "src/test/resources/golden/operator.xml";
  private static final String NOBODY = "127.0.0.1:1";

  private static final String[][] RUNS = {
    {},
    {"--version"},
    {"no-such-command"},
    {"check-config"},
    {"check-config", "--config", SETTINGS},
    {"check-config", "--config", SETTINGS, "--operator", OPERATOR},
    {"check-config", "--config", SETTINGS, "--operator", "deploy/console.xml"},
    {"check-config", "--config", "no-such-file.toml"},
    {"why", "ratings", "--nodes", NOBODY},
    {"why", "job-1", "--nodes", NOBODY},
    {"top", "--once", "--nodes", "here"},
    {"status", "--state", "there"},
    {"status", "--nodes", NOBODY, "--state", NOBODY},
    {"top", "--json", "--nodes", NOBODY, "--state", NOBODY},
    {"job", "--server", NOBODY, "job-1"},
    {"cancel", "--server", NOBODY, "job-1"},
    {"job", "--server", "a b", "job-1"},
    {"submit", "--server", NOBODY, "no-such-file.json"},
    {"cron", "check", "*/5 8-18 * * mon-fri"},
    {"cron", "next", "@daily", "--after", "2026-03-28T12:00:00Z", "--zone", "Europe/London"},
    {"cron", "next", "0 0 30 2 *", "--after", "2026-03-28T12:00:00Z"},
    {"cron", "next", "70 * * * *"},
    {"try", "--stall", "west"},
  };

  @Test
  void helpTextsStay() {
    StringBuilder all = new StringBuilder();
    CommandRunner.helpTexts()
        .forEach((name, text) -> all.append("### ").append(name).append('\n').append(text));
    new GoldenFile("help.txt").check(all.toString());
  }

  @Test
  void exitCodesAndMessagesStay() {
    Map<String, String> outcomes = new LinkedHashMap<>();
    for (String[] args : RUNS) {
      CommandRunner.Outcome run = CommandRunner.run(args);
      outcomes.put(
          "mallowroad " + String.join(" ", args),
          run.code() + " out=" + escaped(run.out()) + " err=" + escaped(run.err()));
    }
    new GoldenFile("commands.txt").check(outcomes);
  }

  /** On one line, without what the time of the run decides. */
  private static String escaped(String text) {
    return text.replaceAll(" +[0-9]+ ms", " N ms")
        .replaceAll("(\"atMs\"|\"tookMs\"):[0-9]+", "$1:N")
        .replace("\n", "\\n");
  }
}
