package org.mallowroad.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.core.explain.NodeSnapshot;

/** Checks the detection of a stuck event loop and the bounds of the metric history. */
final class EventLoopProbeTest {
  @Test
  void loopIsStuckWhileItsProbeIsOverdue() {
    EventLoopProbe probe = new EventLoopProbe();
    assertTrue(probe.tryStart(10_000));
    assertFalse(
        probe.tryStart(10_500),
        "a second probe must not start, or probes would queue up in a stuck loop");
    assertFalse(probe.isStuck(11_000));
    assertTrue(probe.isStuck(11_001));
    assertEquals(1_001, probe.latencyMs(11_001));
    probe.complete(14_000);
    assertFalse(probe.isStuck(14_100));
    assertEquals(
        4_000,
        probe.latencyMs(14_100),
        "the latency of the last probe is reported until the next probe completes");
    assertTrue(probe.tryStart(14_500));
    probe.complete(14_502);
    assertEquals(2, probe.latencyMs(15_000));
  }

  @Test
  void historyIsBoundedAndKeepsOnlyLeaderSnapshots() {
    MetricHistory history = new MetricHistory(3);
    NodeSnapshot.Totals emptyTotals = new NodeSnapshot.Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    for (int i = 0; i < 100; i++) {
      NodeSnapshot.Phase phase = i < 10 ? NodeSnapshot.Phase.FOLLOWING : NodeSnapshot.Phase.LEADING;
      history.record(
          new NodeSnapshot(
              1,
              "n",
              phase,
              1,
              "n",
              i,
              0,
              0,
              0,
              true,
              emptyTotals,
              List.of(),
              List.of(),
              0,
              List.of(),
              List.of(),
              List.of()),
          1_000L * i);
      assertTrue(history.samples().size() <= 3);
      assertTrue(i >= 10 || history.samples().isEmpty());
    }
    // Samples are taken at 10, 25, 40, 55, 70 and 85 s; the last three are kept.
    assertEquals(
        List.of(55L, 70L, 85L), history.samples().stream().map(sample -> sample.atMs()).toList());
  }
}
