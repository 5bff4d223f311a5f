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

/** Options that select the site whose consoles and state service a command reads. */
final class ClusterAddress {
  private static final String DEFAULT_NODE = "127.0.0.1:7070";

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

  /**
   * Opens a query against the selected site. Explicit addresses take precedence over those of the
   * settings file.
   *
   * @throws InvalidSettingsException if an address or a settings file is invalid; its message is a
   *     single line
   */
  ClusterQuery openQuery() throws InvalidSettingsException {
    List<String> nodeAddresses = new ArrayList<>(nodes);
    String stateAddress = state;
    if (config != null) {
      Settings settings = Settings.load(config);
      if (nodeAddresses.isEmpty()) {
        nodeAddresses.addAll(consoleAddresses(settings));
      }
      if (stateAddress.isEmpty()) {
        stateAddress = settings.state().toString();
      }
    }
    if (nodeAddresses.isEmpty()) {
      nodeAddresses.add(DEFAULT_NODE);
    }
    for (String nodeAddress : nodeAddresses) {
      requireEndpoint("--nodes", nodeAddress);
    }
    if (!stateAddress.isEmpty()) {
      requireEndpoint("--state", stateAddress);
    }
    return new ClusterQuery(nodeAddresses, stateAddress);
  }

  private static void requireEndpoint(String option, String address)
      throws InvalidSettingsException {
    if (Endpoint.parse(address) == null) {
      throw new InvalidSettingsException(option, address, "host:port is needed");
    }
  }

  /**
   * Derives the console address of every node: the consoles of all nodes listen on the same port,
   * each on its node's host.
   */
  private List<String> consoleAddresses(Settings settings) throws InvalidSettingsException {
    if (operator == null) {
      throw new InvalidSettingsException(
          "--config", config, "--operator or --nodes is needed as well");
    }
    ConsoleSettings console =
        OperatorSettings.load(operator)
            .console()
            .orElseThrow(
                () ->
                    new InvalidSettingsException(
                        operator, "console", "is missing: the console is off"));
    List<String> addresses = new ArrayList<>();
    boolean listensOnAllInterfaces = console.listen().host().equals("0.0.0.0");
    addresses.add(
        new Endpoint(
                listensOnAllInterfaces ? settings.listen().host() : console.listen().host(),
                console.listen().port())
            .toString());
    for (Settings.Member member : settings.members()) {
      addresses.add(new Endpoint(member.endpoint().host(), console.listen().port()).toString());
    }
    return addresses;
  }
}
