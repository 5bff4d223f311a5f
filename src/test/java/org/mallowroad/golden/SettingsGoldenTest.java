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

/** What is read from the platform's and the operators' settings files. */
final class SettingsGoldenTest {
  private static final String SETTINGS = "src/test/resources/golden/settings.toml";

  @Test
  void everyFieldOfThePlatformsSettingsIsReadAsBefore() throws InvalidSettingsException {
    Settings s = Settings.load(SETTINGS);
    Map<String, String> values = new LinkedHashMap<>();
    put(values, "node_name", s.node());
    put(values, "site", s.zone());
    put(values, "listen", s.listen());
    put(values, "peer_listen", s.peerListen());
    for (Settings.Member m : s.members()) {
      put(values, "member " + m.node(), m.zone() + " " + m.endpoint());
    }
    put(values, "outside.cloud", s.cloud());
    put(values, "outside.state", s.state());
    put(values, "zones", s.zones());
    for (Settings.TeamSetting t : s.teams()) {
      put(
          values,
          "team " + t.name(),
          t.cpus() + " " + t.gpus() + " " + t.cpusMax() + " " + t.gpusMax());
    }
    for (int i = 0; i < s.objectives().size(); i++) {
      Settings.Objective o = s.objectives().get(i);
      put(values, "objective " + i, o.kind() + " " + o.taskClass() + " " + o.withinS());
    }
    put(values, "workers.report_s", s.heartbeatIntervalS());
    put(values, "workers.lease_s", s.leaseS());
    put(values, "workers.cancel_s", s.cancelS());
    put(values, "state.rps", s.stateRps());
    put(values, "state.write_rps", s.stateWriteRps());
    put(values, "state.value_kb", s.valueKb());
    put(values, "state.txn_ops", s.txnOps());
    put(values, "cloud.rps", s.cloudRps());
    put(values, "cloud.list_lag_s", s.listLagS());
    put(values, "resources.max_sockets", s.maxSockets());
    put(values, "resources.ram_mb", s.ramMb());
    put(values, "controllers", s.nodeCount());
    new GoldenFile("settings.txt").check(values);
  }

  @ParameterizedTest
  @CsvSource({
    "deploy/console.xml, operator-console.txt",
    "deploy/fetch.xml, operator-fetch.txt",
    "deploy/links.xml, operator-links.txt",
    "src/test/resources/golden/operator.xml, operator.txt",
  })
  void everyFieldOfTheOperatorsSettingsIsReadAsBefore(String file, String golden)
      throws InvalidSettingsException {
    new GoldenFile(golden).check(values(OperatorSettings.load(file)));
  }

  @Test
  void whatHoldsWithoutOperatorsSettingsStays() {
    new GoldenFile("operator-defaults.txt").check(values(OperatorSettings.defaults()));
  }

  private static Map<String, String> values(OperatorSettings s) {
    Map<String, String> values = new LinkedHashMap<>();
    addFleet(s.autoscaler(), values);
    addHealth(s.health(), values);
    s.console().ifPresent(console -> addConsole(console, values));
    s.links().ifPresent(links -> addLinks(links, values));
    addFetch(s.imageFetch(), values);
    put(values, "records/share-starts", s.records().sharesStartRecords());
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
