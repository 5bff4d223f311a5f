package org.mallowroad.cli;

import org.mallowroad.config.BadSettings;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.Node;
import org.mallowroad.controller.Site;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line; without a subcommand it serves. */
@Command(
    name = "mallowroad",
    description = "A cluster scheduler that rents its machines.",
    mixinStandardHelpOptions = true,
    version = "mallowroad 0.1.0")
public final class Main implements java.util.concurrent.Callable<Integer> {
  @Option(names = "--config", paramLabel = "FILE", description = "The platform's settings (TOML).")
  private String config;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "The operators' own settings (XML).")
  private String operator;

  private Main() {}

  /** Runs the command and ends with its exit code, except when it serves. */
  public static void main(String[] args) {
    String level = System.getenv("LOG_LEVEL");
    System.setProperty(
        "org.slf4j.simpleLogger.defaultLogLevel",
        level == null || level.isEmpty() ? "info" : level);
    System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    int code = new CommandLine(new Main()).execute(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  @Override
  public Integer call() throws Exception {
    if (config == null) {
      System.err.println("mallowroad: --config FILE is needed");
      return 2;
    }
    try {
      Settings s = Settings.load(config);
      OperatorSettings o =
          operator == null ? OperatorSettings.defaults() : OperatorSettings.load(operator);
      new Node(new Site(s, o)).start();
      return 0;
    } catch (BadSettings e) {
      System.err.println("mallowroad: " + e.getMessage());
      return 2;
    }
  }
}
