package org.mallowroad.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Invalid arguments, invalid files and unreachable services end a command with its documented exit
 * code and at most one line on standard error, never with a stack trace.
 */
final class InspectCommandsTest {
  @TempDir Path dir;

  private record Case(int code, String error, String... args) {}

  @Test
  void invalidUsePrintsOneLineAndExitsWithTheDocumentedCode() throws Exception {
    String off = dir.resolve("off.xml").toString();
    Files.writeString(Path.of(off), "<mallowroad/>");
    String bad = dir.resolve("bad.xml").toString();
    Files.writeString(Path.of(bad), "<mallowroad><console listen='here'/></mallowroad>");
    String unreachable = "127.0.0.1:1";
    Case[] cases = {
      new Case(2, "not a job id", "why", "ratings", "--nodes", unreachable),
      new Case(
          3,
          "neither a node nor the state service answers",
          "why",
          "job-1",
          "--nodes",
          unreachable),
      new Case(2, "--nodes: here: host:port is needed", "top", "--once", "--nodes", "here"),
      new Case(2, "--state: there: host:port is needed", "status", "--state", "there"),
      new Case(
          3, "the state service:", "why", "l/7", "--nodes", unreachable, "--state", unreachable),
      new Case(3, "", "top", "--once", "--nodes", unreachable),
      new Case(3, "", "top", "--json", "--nodes", unreachable),
      new Case(3, "", "status", "--nodes", unreachable, "--state", unreachable),
      new Case(2, "cannot be read", "status", "--config", dir.resolve("no.toml").toString()),
      new Case(2, "cannot be written", "report", "--nodes", unreachable, "--out", dir.toString()),
      new Case(3, "cannot be reached", "job", "--server", unreachable, "job-1"),
      new Case(2, "not an address", "job", "--server", "a b", "job-1"),
      new Case(0, "", "cron", "next", "@daily", "--zone", "Europe/London", "--count", "3"),
      new Case(1, "never", "cron", "next", "0 0 30 2 *"),
      new Case(2, "column 1: the minute", "cron", "next", "70 * * * *"),
      new Case(2, "no such time zone", "cron", "next", "@daily", "--zone", "Mars/Olympus"),
      new Case(2, "an instant like", "cron", "next", "@daily", "--after", "noon"),
      new Case(2, "--stall: west: north or south", "try", "--stall", "west"),
    };
    PrintStream originalErr = System.err;
    PrintStream originalOut = System.out;
    for (Case testCase : cases) {
      ByteArrayOutputStream err = new ByteArrayOutputStream();
      try {
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
        System.setOut(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        assertEquals(
            testCase.code,
            Main.line(false).execute(testCase.args),
            String.join(" ", testCase.args));
      } finally {
        System.setErr(originalErr);
        System.setOut(originalOut);
      }
      String text = err.toString(StandardCharsets.UTF_8);
      assertTrue(text.contains(testCase.error), text);
      assertTrue(text.lines().count() <= 1 && !text.contains("Exception"), text);
    }
  }
}
