package org.mallowroad.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.linkstate.LinkPolicy;

/** Settings files: unknown fields are ignored, wrong ones named. */
final class SettingsTest {
  static final String GOOD =
      """
      node_name = "n0"
      site = "a"
      listen = "127.0.0.1:8080"
      peer_listen = "127.0.0.1:8081"
      later = "ignored"
      [[members]]
      node_name = "n1"
      site = "b"
      endpoint = "127.0.0.1:9081"
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:2"
      [params]
      zones = ["a", "b"]
      [[params.teams]]
      name = "t"
      cpus = 4.0
      cpus_max = 8.0
      [params.workers]
      report_s = 3.0
      lease_s = 26.0
      cancel_s = 51.0
      [params.state]
      rps = 100.0
      write_rps = 30.0
      value_kb = 8.0
      txn_ops = 16
      [params.cloud]
      rps = 8.0
      list_lag_s = 3.0
      """;

  @TempDir Path dir;

  private Settings load(String text) throws IOException, InvalidSettingsException {
    Path f = dir.resolve("s.toml");
    Files.writeString(f, text);
    return Settings.load(f.toString());
  }

  @Test
  void aGoodFileIsTaken() throws Exception {
    Settings s = load(GOOD);
    assertEquals("127.0.0.1:9081", s.members().get(0).endpoint().toString());
    assertEquals(2, s.nodeCount());
    assertEquals(8.0, s.teams().get(0).cpusMax());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "node_name = \"n0\"||node_name",
        "listen = \"127.0.0.1:8080\"|listen = \"8080\"|listen",
        "lease_s = 26.0|lease_s = 0|params.workers.lease_s",
        "rps = 100.0|rps = \"many\"|params.state.rps",
        "cpus_max = 8.0|cpus_max = -1.0|params.teams.cpus_max",
        "state = \"127.0.0.1:2\"|state = 2|outside.state",
        "zones = [\"a\", \"b\"]|zones = []|params.zones",
      })
  void aWrongFieldIsNamed(String from, String to, String field) {
    InvalidSettingsException e =
        assertThrows(
            InvalidSettingsException.class,
            () ->
                load(GOOD.replaceFirst(java.util.regex.Pattern.quote(from), to == null ? "" : to)));
    assertTrue(e.getMessage().contains("s.toml: " + field + ":"), e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "<mallowroad><fleet cycle-s='0'/></mallowroad>|fleet/cycle-s",
        "<mallowroad><fleet booked-limit='x'/></mallowroad>|fleet/booked-limit",
        "<mallowroad><health slow-factor='0.5'/></mallowroad>|health/slow-factor",
        "<mallowroad><health still-s='none'/></mallowroad>|health/still-s",
        "<mallowroad><fetch source-limit='-1'/></mallowroad>|fetch/source-limit",
        "<mallowroad><fetch across='0'/></mallowroad>|fetch/across",
        "<mallowroad><links row-s='0'/></mallowroad>|links/row-s",
        "<mallowroad><links row-s='5' fresh-s='6'/></mallowroad>|links/fresh-s",
        "<mallowroad><links hedge-ms='soon'/></mallowroad>|links/hedge-ms",
        "<mallowroad><console/></mallowroad>|console/listen",
        "<mallowroad><console listen='7070'/></mallowroad>|console/listen",
        "<mallowroad><console listen='h:7070' every-s='0'/></mallowroad>|console/every-s",
        "<mallowroad><console listen='h:7070' history='-1'/></mallowroad>|console/history",
        "<other/>|other",
        "<mallowroad>|file",
      })
  void aWrongOperatorFieldIsNamed(String xml, String field) throws IOException {
    Path f = dir.resolve("o.xml");
    Files.writeString(f, xml);
    InvalidSettingsException e =
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.load(f.toString()));
    assertTrue(e.getMessage().contains("o.xml: " + field), e.getMessage());
  }

  /** It once held a comment that no XML reader takes, so that no controller started with it. */
  @Test
  void whatStandsUnderDeployIsTaken() throws Exception {
    ConsoleSettings c = OperatorSettings.load("deploy/console.xml").console().orElseThrow();
    assertEquals(7070, c.listen().port());
    assertEquals(5_000, c.snapshotIntervalMs());
    assertTrue(OperatorSettings.defaults().console().isEmpty());
    assertEquals(
        LinkPolicy.defaults(), OperatorSettings.load("deploy/links.xml").links().orElseThrow());
    assertTrue(OperatorSettings.defaults().links().isEmpty());
    assertEquals(16, OperatorSettings.load("deploy/fetch.xml").imageFetch().sharedSourceLimit());
    assertEquals(0, OperatorSettings.defaults().imageFetch().sharedSourceLimit());
  }

  @Test
  void operatorSettingsReplaceDefaults() throws Exception {
    Path f = dir.resolve("o.xml");
    Files.writeString(f, "<mallowroad><fleet cycle-s='5' unknown='1'/></mallowroad>");
    assertEquals(5_000, OperatorSettings.load(f.toString()).autoscaler().cycleMs());
    Files.writeString(f, "<mallowroad><health favour-s='7' unknown='1'/></mallowroad>");
    OperatorSettings o = OperatorSettings.load(f.toString());
    assertEquals(7_000, o.health().suspicionExpiryMs());
    assertEquals(HealthPolicy.defaults().minPartitionMachines(), o.health().minPartitionMachines());
    assertEquals(AutoscalerPolicy.defaults(), o.autoscaler());
  }
}
