package org.mallowroad.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.wire.Json;

/** The platform's settings file (TOML), checked. */
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

  /** Host and port. */
  public record Endpoint(String host, int port) {
    /** Of the form {@code host:port}, or null. */
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

  /** Another controller. */
  public record Member(String node, String zone, Endpoint endpoint) {}

  /** One of the users' aims; which fields it has depends on its kind. */
  public record Objective(String kind, String taskClass, double withinS) {}

  /** A team's guarantee and limit. */
  public record TeamSetting(
      String name, double cpus, double gpus, double cpusMax, double gpusMax) {}

  /** Reads and checks a file. */
  public static Settings load(String file) throws InvalidSettingsException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(new File(file));
    } catch (IOException e) {
      String why =
          e.getMessage() == null ? e.toString() : e.getMessage().lines().findFirst().orElse("");
      throw new InvalidSettingsException(file, "file", "cannot be read: " + why);
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
      for (JsonNode m : list(root, "members", "members", false)) {
        members.add(
            new Member(
                text(m, "node_name", "members.node_name"),
                text(m, "site", "members.site"),
                endpoint(m, "endpoint", "members.endpoint")));
      }
      List<String> zones = new ArrayList<>();
      for (JsonNode z : list(params, "zones", "params.zones", true)) {
        if (!z.isTextual() || z.textValue().isEmpty()) {
          throw bad("params.zones", "zone names are needed");
        }
        zones.add(z.textValue());
      }
      List<TeamSetting> teams = new ArrayList<>();
      for (JsonNode t : list(params, "teams", "params.teams", true)) {
        teams.add(
            new TeamSetting(
                text(t, "name", "params.teams.name"),
                amount(t, "cpus", "params.teams.cpus", 0),
                amount(t, "gpus", "params.teams.gpus", 0),
                amount(t, "cpus_max", "params.teams.cpus_max", 0),
                amount(t, "gpus_max", "params.teams.gpus_max", 0)));
      }
      List<Objective> objectives = new ArrayList<>();
      for (JsonNode o : list(params, "objectives", "params.objectives", false)) {
        objectives.add(
            new Objective(
                text(o, "kind", "params.objectives.kind"),
                o.has("class") ? text(o, "class", "params.objectives.class") : "",
                amount(o, "within_s", "params.objectives.within_s", 0)));
      }
      double leaseS = positive(workers, "lease_s", "params.workers.lease_s");
      double cancelS = positive(workers, "cancel_s", "params.workers.cancel_s");
      if (CancellationView.maxAgeMs(leaseS, cancelS) <= 0) {
        throw bad("params.workers.cancel_s", "cannot be kept with lease_s " + leaseS);
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

    private InvalidSettingsException bad(String field, String reason) {
      return new InvalidSettingsException(file, field, reason);
    }

    private JsonNode table(JsonNode o, String key, String field) throws InvalidSettingsException {
      JsonNode n = o.get(key);
      if (n == null || !n.isObject()) {
        throw bad(field, "a table is needed");
      }
      return n;
    }

    private JsonNode list(JsonNode o, String key, String field, boolean needed)
        throws InvalidSettingsException {
      JsonNode n = o.get(key);
      if (n == null && !needed) {
        return Json.array();
      }
      if (n == null || !n.isArray() || (needed && n.isEmpty())) {
        throw bad(field, "a list is needed");
      }
      return n;
    }

    private String text(JsonNode o, String key, String field) throws InvalidSettingsException {
      JsonNode n = o.get(key);
      if (n == null || !n.isTextual() || n.textValue().isEmpty()) {
        throw bad(field, "a text is needed");
      }
      return n.textValue();
    }

    private double amount(JsonNode o, String key, String field, double otherwise)
        throws InvalidSettingsException {
      JsonNode n = o.get(key);
      if (n == null) {
        return otherwise;
      }
      if (!n.isNumber() || !Double.isFinite(n.doubleValue()) || n.doubleValue() < 0) {
        throw bad(field, "a number of at least 0 is needed");
      }
      return n.doubleValue();
    }

    private double positive(JsonNode o, String key, String field) throws InvalidSettingsException {
      double d = amount(o, key, field, -1);
      if (d <= 0) {
        throw bad(field, "a number above 0 is needed");
      }
      return d;
    }

    private Endpoint endpoint(JsonNode o, String key, String field)
        throws InvalidSettingsException {
      Endpoint e = Endpoint.parse(text(o, key, field));
      if (e == null) {
        throw bad(field, "host:port is needed");
      }
      return e;
    }
  }
}
