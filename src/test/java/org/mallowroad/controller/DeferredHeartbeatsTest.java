package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.mallowroad.SteppedClock;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.worker.HeartbeatResponder;

/** What becomes of reports that come before a leader has read the records. */
final class DeferredHeartbeatsTest {
  private final SteppedClock c = new SteppedClock();
  private final SteppedClock.Process p = c.new Process();
  private final DeferredHeartbeats early = new DeferredHeartbeats();
  private final List<String> turnedAway = new ArrayList<>();
  private final List<String> known = new ArrayList<>();
  private final List<String> taken = new ArrayList<>();

  private void comes(String machine, long sequence, long now) {
    Heartbeat r = new Heartbeat(machine, "h:1", "t", "a", false, 1, sequence, 0, -1, List.of());
    early.add(
        r,
        -1,
        new HeartbeatResponder() {
          @Override
          public void respond(long fencingToken, List<WorkerCommand> commands) {
            throw new AssertionError("no commands before the records are read");
          }

          @Override
          public void retryLater() {
            turnedAway.add(machine + " " + sequence);
          }
        },
        now);
  }

  private void take() {
    early.take(
        p,
        r -> known.add(r.machine()),
        (r, via, reply) -> taken.add(r.machine() + " " + r.sequence()));
  }

  @Test
  void isHeldForAWhileThenTurnedAwayAndItsMachineIsKnown() {
    comes("a", 1, 0);
    comes("b", 1, 1_500);
    early.turnAway(2_000);
    assertEquals(List.of(), turnedAway);
    early.turnAway(2_001);
    assertEquals(List.of("a 1"), turnedAway);
    take();
    assertEquals(List.of("a"), known);
    assertEquals(List.of("b 1"), taken);
    take();
    assertEquals(List.of("b 1"), taken, "each once");
  }

  @Test
  void aNewerOneOfTheSameMachineTakesItsPlace() {
    comes("a", 1, 0);
    comes("a", 2, 100);
    assertEquals(List.of("a 1"), turnedAway);
    take();
    assertEquals(List.of("a 2"), taken);
  }

  @Test
  void manyAreTakenAFewInATurnAndBeyondTheBoundTurnedAwayAtOnce() {
    IntStream.range(0, 4_010).forEach(i -> comes("m" + i, 1, 0));
    assertEquals(10, turnedAway.size());
    take();
    assertEquals(24, taken.size());
    c.run(1_000);
    assertEquals(4_000, taken.size());
    assertEquals("m3999 1", taken.get(3_999));
  }
}
