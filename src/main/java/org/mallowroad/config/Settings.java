package org.mallowroad.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.wire.Json;

/** The validated contents of the platform's settings file (TOML). */
public record Settings(
    String node,
    String zone,
    Endpoint listen,
    Endpoint peerListen,
    List<Member> members,
    Endpoint cloud,
    Endpoint state,
    List<String> zones,
    List<TeamSetting> teams,
    List<Objective> objectives,
    double heartbeatIntervalS,
    double leaseS,
    double cancelS,
    double stateRps,
    double stateWriteRps,
    double valueKb,
    int txnOps,
    double cloudRps,
    double listLagS,
    int maxSockets,
    double ramMb,
    int nodeCount) {

  /** A network address of a host and a port. */
  public record Endpoint(String host, int port) {
    /** Parses an address of the form {@code host:port}; returns null if the text is not one. */
    public static Endpoint parse(String text) {
      int colon = text.lastIndexOf(':');
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        return colon > 0 && port >= 0 && port < 65536
            ? new Endpoint(text.substring(0, colon), port)
            : null;
      } catch (NumberFormatException e) {
        return null;
      }
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** Another controller of the cluster, with its zone and the address for peer messages. */
  public record Member(String node, String zone, Endpoint endpoint) {}

  /**
   * A service level objective of the users. Which fields are set depends on its kind.
   *
   * @param taskClass the task class that it applies to, or an empty string
   * @param withinS the target in s, or 0
   */
  public record Objective(String kind, String taskClass, double withinS) {}

  /**
   * A team's guaranteed share and limit of CPUs and GPUs.
   *
   * @param cpus the CPUs guaranteed to the team
   * @param gpus the GPUs guaranteed to the team
   * @param cpusMax the most CPUs that the team may use
   * @param gpusMax the most GPUs that the team may use
   */
  public record TeamSetting(
      String name, double cpus, double gpus, double cpusMax, double gpusMax) {}

  /** Reads and validates a settings file. Unknown fields are ignored. */
  public static Settings load(String file) throws InvalidSettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(new File(file));
    } catch (IOException e) {
      String reason =
          e.getMessage() == null ? e.toString() : e.getMessage().lines().findFirst().orElse("");
      throw new InvalidSettingsException(file, "file", "cannot be read: " + reason);
    }
    return new Reader(file).read(root);
  }

  private record Reader(String file) {
    Settings read(JsonNode root) throws InvalidSettingsException {
      JsonNode params = table(root, "params", "params");
      JsonNode workers = table(params, "workers", "params.workers");
      JsonNode state = table(params, "state", "params.state");
      JsonNode cloud = table(params, "cloud", "params.cloud");
      JsonNode outside = table(root, "outside", "outside");
      List<Member> members = new ArrayList<>();
      for (JsonNode member : list(root, "members", "members", false)) {
        members.add(
            new Member(
                text(member, "node_name", "members.node_name"),
                text(member, "site", "members.site"),
                endpoint(member, "endpoint", "members.endpoint")));
      }
      List<String> zones = new ArrayList<>();
      for (JsonNode zone : list(params, "zones", "params.zones", true)) {
        if (!zone.isTextual() || zone.textValue().isEmpty()) {
          throw invalid("params.zones", "zone names are needed");
        }
        zones.add(zone.textValue());
      }
      List<TeamSetting> teams = new ArrayList<>();
      for (JsonNode team : list(params, "teams", "params.teams", true)) {
        teams.add(
            new TeamSetting(
                text(team, "name", "params.teams.name"),
                amount(team, "cpus", "params.teams.cpus", 0),
                amount(team, "gpus", "params.teams.gpus", 0),
                amount(team, "cpus_max", "params.teams.cpus_max", 0),
                amount(team, "gpus_max", "params.teams.gpus_max", 0)));
      }
      List<Objective> objectives = new ArrayList<>();
      for (JsonNode objective : list(params, "objectives", "params.objectives", false)) {
        objectives.add(
            new Objective(
                text(objective, "kind", "params.objectives.kind"),
                objective.has("class") ? text(objective, "class", "params.objectives.class") : "",
                amount(objective, "within_s", "params.objectives.within_s", 0)));
      }
      double leaseS = positive(workers, "lease_s", "params.workers.lease_s");
      double cancelS = positive(workers, "cancel_s", "params.workers.cancel_s");
      if (CancellationView.maxAgeMs(leaseS, cancelS) <= 0) {
        throw invalid("params.workers.cancel_s", "is too short to be kept with lease_s " + leaseS);
      }
      JsonNode resources = params.path("resources");
      return new Settings(
          text(root, "node_name", "node_name"),
          text(root, "site", "site"),
          endpoint(root, "listen", "listen"),
          endpoint(root, "peer_listen", "peer_listen"),
          members,
          endpoint(outside, "cloud", "outside.cloud"),
          endpoint(outside, "state", "outside.state"),
          zones,
          teams,
          objectives,
          positive(workers, "report_s", "params.workers.report_s"),
          leaseS,
          cancelS,
          positive(state, "rps", "params.state.rps"),
          positive(state, "write_rps", "params.state.write_rps"),
          positive(state, "value_kb", "params.state.value_kb"),
          (int) Math.max(4, positive(state, "txn_ops", "params.state.txn_ops")),
          positive(cloud, "rps", "params.cloud.rps"),
          amount(cloud, "list_lag_s", "params.cloud.list_lag_s", 0),
          resources.has("max_sockets")
              ? (int) positive(resources, "max_sockets", "params.resources.max_sockets")
              : 1000,
          resources.has("ram_mb") ? positive(resources, "ram_mb", "params.resources.ram_mb") : 256,
          members.size() + 1);
    }

    private InvalidSettingsException invalid(String field, String reason) {
      return new InvalidSettingsException(file, field, reason);
    }

    private JsonNode table(JsonNode object, String key, String field)
        throws InvalidSettingsException {
      JsonNode value = object.get(key);
      if (value == null || !value.isObject()) {
        throw invalid(field, "a table is needed");
      }
      return value;
    }

    private JsonNode list(JsonNode object, String key, String field, boolean required)
        throws InvalidSettingsException {
      JsonNode value = object.get(key);
      if (value == null && !required) {
        return Json.array();
      }
      if (value == null || !value.isArray() || (required && value.isEmpty())) {
        throw invalid(field, "a list is needed");
      }
      return value;
    }

    private String text(JsonNode object, String key, String field) throws InvalidSettingsException {
      JsonNode value = object.get(key);
      if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
        throw invalid(field, "a text is needed");
      }
      return value.textValue();
    }

    private double amount(JsonNode object, String key, String field, double defaultValue)
        throws InvalidSettingsException {
      JsonNode value = object.get(key);
      if (value == null) {
        return defaultValue;
      }
      if (!value.isNumber() || !Double.isFinite(value.doubleValue()) || value.doubleValue() < 0) {
        throw invalid(field, "a number of at least 0 is needed");
      }
      return value.doubleValue();
    }

    private double positive(JsonNode object, String key, String field)
        throws InvalidSettingsException {
      double value = amount(object, key, field, -1);
      if (value <= 0) {
        throw invalid(field, "a number above 0 is needed");
      }
      return value;
    }

    private Endpoint endpoint(JsonNode object, String key, String field)
        throws InvalidSettingsException {
      Endpoint endpoint = Endpoint.parse(text(object, key, field));
      if (endpoint == null) {
        throw invalid(field, "host:port is needed");
      }
      return endpoint;
    }
  }
}
