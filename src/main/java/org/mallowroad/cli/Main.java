package org.mallowroad.cli;

import java.util.List;
import org.mallowroad.config.InvalidSettingsException;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.ClusterConfig;
import org.mallowroad.controller.Node;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IExecutionStrategy;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Option;

/** The command line; without a subcommand it serves. */
public final class Main {
  private static final String CONFIG = "--config";
  private static final String OPERATOR = "--operator";

  private Main() {}

  /** Runs the command and ends with its exit code, except when it serves. */
  public static void main(String[] args) {
    String level = System.getenv("LOG_LEVEL");
    System.setProperty(
        "org.slf4j.simpleLogger.defaultLogLevel",
        level != null && !level.isEmpty()
            ? level
            : args.length > 0 && args[0].equals("try") ? "error" : "info");
    System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    // What a start on a fraction of a core would pay for and nobody uses, a fifth of it as measured
    // (docs/results.md): the beans that XNIO and its executor register, with the whole management
    // server for them, and the tables of all locales.
    System.setProperty("javax.management.builder.initial", "none");
    System.setProperty("jboss.threads.eqe.register-mbean", "false");
    System.setProperty("java.locale.providers", "COMPAT");
    boolean serves =
        args.length > 0 && List.of(CONFIG, OPERATOR).contains(args[0].split("=", 2)[0]);
    int code = line(serves).execute(args);
    if (code != 0 || !serves) {
      System.exit(code);
    }
  }

  /**
   * The command that serves is put together here, and the others left out of it: reading their
   * annotations is a good part of a start.
   */
  static CommandLine line(boolean serves) {
    CommandSpec spec = CommandSpec.create().name("mallowroad").version("mallowroad 0.1.0");
    spec.usageMessage()
        .description("A cluster scheduler that rents its machines. Without a command it serves.");
    spec.addOption(file(CONFIG, "The platform's settings (TOML)."));
    spec.addOption(file(OPERATOR, "The operators' own settings (XML)."));
    spec.addOption(
        OptionSpec.builder("-h", "--help")
            .usageHelp(true)
            .description("Show this help message and exit.")
            .build());
    spec.addOption(
        OptionSpec.builder("-V", "--version")
            .versionHelp(true)
            .description("Print version information and exit.")
            .build());
    CommandLine line = new CommandLine(spec);
    if (!serves) {
      line.addSubcommand(new CheckConfig())
          .addSubcommand(new ClientCommands.Submit())
          .addSubcommand(new ClientCommands.Show())
          .addSubcommand(new ClientCommands.Cancel())
          .addSubcommand(new InspectCommands.Status())
          .addSubcommand(new Top())
          .addSubcommand(new InspectCommands.Why())
          .addSubcommand(new InspectCommands.Write())
          .addSubcommand(new Try())
          .addSubcommand(new Cron())
          .addSubcommand(new Experiment())
          .addSubcommand(new Rehearse());
    }
    IExecutionStrategy others = new CommandLine.RunLast();
    return line.setExecutionStrategy(
        r -> {
          if (r.hasSubcommand() || r.isUsageHelpRequested() || r.isVersionHelpRequested()) {
            return others.execute(r);
          }
          return serve(r.matchedOptionValue(CONFIG, null), r.matchedOptionValue(OPERATOR, null));
        });
  }

  private static OptionSpec file(String name, String description) {
    return OptionSpec.builder(name)
        .paramLabel("FILE")
        .type(String.class)
        .description(description)
        .build();
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
      } catch (InvalidSettingsException e) {
        System.err.println("mallowroad: " + e.getMessage());
        return 2;
      }
    }
  }

  private static int serve(String config, String operator) {
    if (config == null) {
      System.err.println("mallowroad: --config FILE is needed");
      return 2;
    }
    try {
      Settings s = Settings.load(config);
      OperatorSettings o =
          operator == null ? OperatorSettings.defaults() : OperatorSettings.load(operator);
      new Node(new ClusterConfig(s, o)).start();
      return 0;
    } catch (InvalidSettingsException e) {
      System.err.println("mallowroad: " + e.getMessage());
      return 2;
    } catch (java.io.IOException e) {
      System.err.println("mallowroad: cannot listen: " + e.getMessage());
      return 1;
    }
  }
}
