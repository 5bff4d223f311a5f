package org.mallowroad.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import picocli.CommandLine;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Model.OptionSpec;

/** Runs commands inside the test process, for tests of other packages. */
public final class CommandRunner {
  private CommandRunner() {}

  /** A command's exit code, standard output and standard error. */
  public record Outcome(int code, String out, String err) {}

  /** Runs the command line with all its subcommands; no node is started. */
  public static Outcome run(String... args) {
    PrintStream outBefore = System.out;
    PrintStream errBefore = System.err;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    StringWriter help = new StringWriter();
    StringWriter usageErrors = new StringWriter();
    try {
      System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
      System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
      CommandLine commandLine = commandLine();
      commandLine.setOut(new PrintWriter(help, true)).setErr(new PrintWriter(usageErrors, true));
      int code = commandLine.execute(args);
      return new Outcome(
          code,
          help + out.toString(StandardCharsets.UTF_8),
          usageErrors + err.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(outBefore);
      System.setErr(errBefore);
    }
  }

  /** The help texts of all commands, keyed by the qualified name of the command. */
  public static Map<String, String> helpTexts() {
    Map<String, String> texts = new LinkedHashMap<>();
    addHelp(commandLine(), texts);
    return texts;
  }

  private static void addHelp(CommandLine command, Map<String, String> texts) {
    texts.put(command.getCommandSpec().qualifiedName(), command.getUsageMessage(Ansi.OFF));
    command.getSubcommands().values().forEach(sub -> addHelp(sub, texts));
  }

  /** The names and value labels of all options of all commands, hidden ones included. */
  public static Set<String> optionNames() {
    Set<String> names = new TreeSet<>();
    addOptionNames(commandLine(), names);
    return names;
  }

  private static void addOptionNames(CommandLine command, Set<String> names) {
    for (OptionSpec option : command.getCommandSpec().options()) {
      names.addAll(List.of(option.names()));
      names.add(option.paramLabel());
    }
    command.getSubcommands().values().forEach(sub -> addOptionNames(sub, names));
  }

  private static CommandLine commandLine() {
    CommandLine commandLine = Main.line(false);
    commandLine.setColorScheme(CommandLine.Help.defaultColorScheme(Ansi.OFF));
    commandLine.setUsageHelpAutoWidth(false);
    return commandLine;
  }
}
