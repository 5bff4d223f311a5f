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

/** Settings files: unknown fields are ignored, and errors name the invalid field. */
final class SettingsTest {
  static final String VALID =
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
    Path file = dir.resolve("s.toml");
    Files.writeString(file, text);
    return Settings.load(file.toString());
  }

  @Test
  void validFileIsLoaded() throws Exception {
    Settings settings = load(VALID);
    assertEquals("127.0.0.1:9081", settings.members().get(0).endpoint().toString());
    assertEquals(2, settings.nodeCount());
    assertEquals(8.0, settings.teams().get(0).cpusMax());
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
  void errorNamesTheInvalidField(String from, String to, String field) {
    InvalidSettingsException exception =
        assertThrows(
            InvalidSettingsException.class,
            () ->
                load(
                    VALID.replaceFirst(java.util.regex.Pattern.quote(from), to == null ? "" : to)));
    assertTrue(exception.getMessage().contains("s.toml: " + field + ":"), exception.getMessage());
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
  void errorNamesTheInvalidOperatorField(String xml, String field) throws IOException {
    Path file = dir.resolve("o.xml");
    Files.writeString(file, xml);
    InvalidSettingsException exception =
        assertThrows(InvalidSettingsException.class, () -> OperatorSettings.load(file.toString()));
    assertTrue(exception.getMessage().contains("o.xml: " + field), exception.getMessage());
  }

  /**
   * Loads the operators' settings that ship under deploy/. One of them once contained a comment
   * that is not well-formed XML, so that no controller could start with it.
   */
  @Test
  void shippedOperatorSettingsAreLoaded() throws Exception {
    ConsoleSettings console = OperatorSettings.load("deploy/console.xml").console().orElseThrow();
    assertEquals(7070, console.listen().port());
    assertEquals(5_000, console.snapshotIntervalMs());
    assertTrue(OperatorSettings.defaults().console().isEmpty());
    assertEquals(
        LinkPolicy.defaults(), OperatorSettings.load("deploy/links.xml").links().orElseThrow());
    assertTrue(OperatorSettings.defaults().links().isEmpty());
    assertEquals(16, OperatorSettings.load("deploy/fetch.xml").imageFetch().sharedSourceLimit());
    assertEquals(0, OperatorSettings.defaults().imageFetch().sharedSourceLimit());
  }

  @Test
  void operatorSettingsOverrideDefaults() throws Exception {
    Path file = dir.resolve("o.xml");
    Files.writeString(file, "<mallowroad><fleet cycle-s='5' unknown='1'/></mallowroad>");
    assertEquals(5_000, OperatorSettings.load(file.toString()).autoscaler().cycleMs());
    Files.writeString(file, "<mallowroad><health favour-s='7' unknown='1'/></mallowroad>");
    OperatorSettings settings = OperatorSettings.load(file.toString());
    assertEquals(7_000, settings.health().suspicionExpiryMs());
    assertEquals(
        HealthPolicy.defaults().minPartitionMachines(), settings.health().minPartitionMachines());
    assertEquals(AutoscalerPolicy.defaults(), settings.autoscaler());
  }
}
