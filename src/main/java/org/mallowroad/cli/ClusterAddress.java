package org.mallowroad.cli;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.config.ConsoleSettings;
import org.mallowroad.config.InvalidSettingsException;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.console.ask.ClusterQuery;
import picocli.CommandLine.Option;

/** Which site a console command looks at. */
final class ClusterAddress {
  private static final String USUAL = "127.0.0.1:7070";

  @Option(
      names = "--nodes",
      split = ",",
      paramLabel = "HOST:PORT",
      description = "Consoles of the controllers, with commas (default: 127.0.0.1:7070).")
  private List<String> nodes = List.of();

  @Option(
      names = "--state",
      paramLabel = "HOST:PORT",
      description = "The state service, read for what is on record; left alone without it.")
  private String state = "";

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description =
          "The platform's settings (TOML) of any node: names the nodes and the state service.")
  private String config;

  @Option(
      names = "--operator",
      paramLabel = "FILE",
      description = "The operators' settings (XML) with the console's port, for --config.")
  private String operator;

  /** Who is asked; wrong addresses and files are one line. */
  ClusterQuery asker() throws InvalidSettingsException {
    List<String> at = new ArrayList<>(nodes);
    String store = state;
    if (config != null) {
      Settings s = Settings.load(config);
      if (at.isEmpty()) {
        at.addAll(consoles(s));
      }
      if (store.isEmpty()) {
        store = s.state().toString();
      }
    }
    if (at.isEmpty()) {
      at.add(USUAL);
    }
    for (String a : at) {
      check("--nodes", a);
    }
    if (!store.isEmpty()) {
      check("--state", store);
    }
    return new ClusterQuery(at, store);
  }

  private static void check(String option, String address) throws InvalidSettingsException {
    if (Endpoint.parse(address) == null) {
      throw new InvalidSettingsException(option, address, "host:port is needed");
    }
  }

  /** The consoles of all nodes listen on the same port, each on its own host. */
  private List<String> consoles(Settings s) throws InvalidSettingsException {
    if (operator == null) {
      throw new InvalidSettingsException(
          "--config", config, "--operator or --nodes is needed with it");
    }
    ConsoleSettings c =
        OperatorSettings.load(operator)
            .console()
            .orElseThrow(
                () -> new InvalidSettingsException(operator, "console", "is not there: it is off"));
    List<String> out = new ArrayList<>();
    boolean any = c.listen().host().equals("0.0.0.0");
    out.add(
        new Endpoint(any ? s.listen().host() : c.listen().host(), c.listen().port()).toString());
    for (Settings.Member m : s.members()) {
      out.add(new Endpoint(m.endpoint().host(), c.listen().port()).toString());
    }
    return out;
  }
}
