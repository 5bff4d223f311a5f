package org.mallowroad.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.core.explain.NodeSnapshot;

/** What the console's thread concludes and keeps by itself. */
final class EventLoopProbeTest {
  @Test
  void aLoopIsStuckWhileItsBeatIsOut() {
    EventLoopProbe p = new EventLoopProbe();
    assertTrue(p.send(10_000));
    assertFalse(p.send(10_500), "one beat at a time, or a stuck loop would find a queue of them");
    assertFalse(p.stuck(11_000));
    assertTrue(p.stuck(11_001));
    assertEquals(1_001, p.lateMs(11_001));
    p.back(14_000);
    assertFalse(p.stuck(14_100));
    assertEquals(4_000, p.lateMs(14_100), "how late it was stays to be seen until the next beat");
    assertTrue(p.send(14_500));
    p.back(14_502);
    assertEquals(2, p.lateMs(15_000));
  }

  @Test
  void thePastIsBoundedAndALeadersOnly() {
    MetricHistory past = new MetricHistory(3);
    NodeSnapshot.Totals none = new NodeSnapshot.Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    for (int i = 0; i < 100; i++) {
      NodeSnapshot.Phase phase = i < 10 ? NodeSnapshot.Phase.FOLLOWING : NodeSnapshot.Phase.LEADING;
      past.take(
          new NodeSnapshot(
              1, "n", phase, 1, "n", i, 0, 0, 0, true, none, List.of(), List.of(), 0, List.of(),
              List.of(), List.of()),
          1_000L * i);
      assertTrue(past.points().size() <= 3);
      assertTrue(i >= 10 || past.points().isEmpty());
    }
    // Points at 10, 25, 40, 55, 70 and 85 s; the last three are kept.
    assertEquals(List.of(55L, 70L, 85L), past.points().stream().map(s -> s.atMs()).toList());
  }
}
