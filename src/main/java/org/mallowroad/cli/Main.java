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
    description = "A cluster scheduler that rents its machines. Without a command it serves.",
    subcommands = {
      Main.CheckConfig.class,
      Remote.Submit.class,
      Remote.Show.class,
      Remote.Withdraw.class,
      Remote.Status.class,
      Rehearse.class
    },
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
    if (code != 0 || !served(args)) {
      System.exit(code);
    }
  }

  /** Only the command that serves leaves its threads running. */
  private static boolean served(String[] args) {
    return args.length > 0 && (args[0].startsWith("--config") || args[0].startsWith("--operator"));
  }

  /** Checks settings files without starting. */
  @Command(
      name = "check-config",
      mixinStandardHelpOptions = true,
      description = "Checks the settings files; exit 2 names the wrong file and field.")
  static final class CheckConfig implements java.util.concurrent.Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE")
    private String config;

    @Option(names = "--operator", paramLabel = "FILE")
    private String operator;

    @Override
    public Integer call() {
      try {
        Settings.load(config);
        if (operator != null) {
          OperatorSettings.load(operator);
        }
        System.out.println("ok");
        return 0;
      } catch (BadSettings e) {
        System.err.println("mallowroad: " + e.getMessage());
        return 2;
      }
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
    } catch (java.io.IOException e) {
      System.err.println("mallowroad: cannot listen: " + e.getMessage());
      return 1;
    }
  }
}
