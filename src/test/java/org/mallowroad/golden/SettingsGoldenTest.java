package org.mallowroad.golden;

import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.config.ConsoleSettings;
import org.mallowroad.config.InvalidSettingsException;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.image.ImageFetchPolicy;
import org.mallowroad.core.linkstate.LinkPolicy;

/** Compares the values read from the platform's and the operator's settings with golden files. */
final class SettingsGoldenTest {
  private static final String SETTINGS = "src/test/resources/golden/settings.toml";

  @Test
  void platformSettingsMatchTheGoldenFile() throws InvalidSettingsException {
    Settings settings = Settings.load(SETTINGS);
    Map<String, String> values = new LinkedHashMap<>();
    put(values, "node_name", settings.node());
    put(values, "site", settings.zone());
    put(values, "listen", settings.listen());
    put(values, "peer_listen", settings.peerListen());
    for (Settings.Member member : settings.members()) {
      put(values, "member " + member.node(), member.zone() + " " + member.endpoint());
    }
    put(values, "outside.cloud", settings.cloud());
    put(values, "outside.state", settings.state());
    put(values, "zones", settings.zones());
    for (Settings.TeamSetting team : settings.teams()) {
      put(
          values,
          "team " + team.name(),
          team.cpus() + " " + team.gpus() + " " + team.cpusMax() + " " + team.gpusMax());
    }
    for (int i = 0; i < settings.objectives().size(); i++) {
      Settings.Objective objective = settings.objectives().get(i);
      put(
          values,
          "objective " + i,
          objective.kind() + " " + objective.taskClass() + " " + objective.withinS());
    }
    put(values, "workers.report_s", settings.heartbeatIntervalS());
    put(values, "workers.lease_s", settings.leaseS());
    put(values, "workers.cancel_s", settings.cancelS());
    put(values, "state.rps", settings.stateRps());
    put(values, "state.write_rps", settings.stateWriteRps());
    put(values, "state.value_kb", settings.valueKb());
    put(values, "state.txn_ops", settings.txnOps());
    put(values, "cloud.rps", settings.cloudRps());
    put(values, "cloud.list_lag_s", settings.listLagS());
    put(values, "resources.max_sockets", settings.maxSockets());
    put(values, "resources.ram_mb", settings.ramMb());
    put(values, "controllers", settings.nodeCount());
    new GoldenFile("settings.txt").check(values);
  }

  @ParameterizedTest
  @CsvSource({
    "deploy/console.xml, operator-console.txt",
    "deploy/fetch.xml, operator-fetch.txt",
    "deploy/links.xml, operator-links.txt",
    "src/test/resources/golden/operator.xml, operator.txt",
  })
  void operatorSettingsMatchTheGoldenFile(String file, String golden)
      throws InvalidSettingsException {
    new GoldenFile(golden).check(values(OperatorSettings.load(file)));
  }

  @Test
  void operatorDefaultsMatchTheGoldenFile() {
    new GoldenFile("operator-defaults.txt").check(values(OperatorSettings.defaults()));
  }

  private static Map<String, String> values(OperatorSettings settings) {
    Map<String, String> values = new LinkedHashMap<>();
    addFleet(settings.autoscaler(), values);
    addHealth(settings.health(), values);
    settings.console().ifPresent(console -> addConsole(console, values));
    settings.links().ifPresent(links -> addLinks(links, values));
    addFetch(settings.imageFetch(), values);
    put(values, "records/share-starts", settings.records().sharesStartRecords());
    return values;
  }

  private static void addFleet(AutoscalerPolicy fleet, Map<String, String> values) {
    put(values, "fleet/booked-limit", fleet.bookedLimit());
    put(values, "fleet/waiting-limit", fleet.waitingLimit());
    put(values, "fleet/booked-spare", fleet.bookedSpare());
    put(values, "fleet/waiting-spare", fleet.waitingSpare());
    put(values, "fleet/cycle-s in ms", fleet.cycleMs());
    put(values, "fleet/step", fleet.maxScaleOutPerType());
    put(values, "fleet/idle-s in ms", fleet.idleMs());
  }

  private static void addHealth(HealthPolicy health, Map<String, String> values) {
    put(values, "health/slow-factor", health.slowFactor());
    put(values, "health/slow-samples", health.minSlowSamples());
    put(values, "health/slow-share", health.maxSlowShare());
    put(values, "health/favour-s in ms", health.suspicionExpiryMs());
    put(values, "health/errors", health.minFailedJobs());
    put(values, "health/cut-share", health.partitionShare());
    put(values, "health/cut-least", health.minPartitionMachines());
    put(values, "health/cut-returns", health.maxPartitionDeletionShare());
    put(values, "health/haste-share", health.maxDeletionShare());
    put(values, "health/haste-least", health.minDeletions());
    put(values, "health/replace-share", health.maxReplacementShare());
    put(values, "health/still-s in ms", health.pauseMs());
  }

  private static void addConsole(ConsoleSettings console, Map<String, String> values) {
    put(values, "console/listen", console.listen());
    put(values, "console/every-s in ms", console.snapshotIntervalMs());
    put(values, "console/fresh-s in ms", console.maxSnapshotAgeMs());
    put(values, "console/history", console.historyPoints());
  }

  private static void addLinks(LinkPolicy links, Map<String, String> values) {
    put(values, "links/row-s in ms", links.advertiseIntervalMs());
    put(values, "links/fresh-s in ms", links.maxAgeMs());
    put(values, "links/hedge-ms", links.hedgeDelayMs());
    put(values, "links/steady-s in ms", links.recoveryMs());
    put(values, "links/hold-s in ms", links.relayHoldMs());
    put(values, "links/canary-s in ms", links.canaryIntervalMs());
  }

  private static void addFetch(ImageFetchPolicy fetch, Map<String, String> values) {
    put(values, "fetch/source-limit", fetch.sharedSourceLimit());
    put(values, "fetch/machine-limit", fetch.perMachineLimit());
    put(values, "fetch/takers", fetch.perSourceLimit());
    put(values, "fetch/across", fetch.crossZoneLimit());
    put(values, "fetch/least-gb", fetch.minimumGb());
  }

  private static void put(Map<String, String> values, String name, Object value) {
    values.put(name, String.valueOf(value));
  }
}
