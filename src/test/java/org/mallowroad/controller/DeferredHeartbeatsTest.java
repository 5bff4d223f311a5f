package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.worker.HeartbeatResponder;

/**
 * Checks that heartbeats that arrive before a leader has read the records are deferred, then either
 * handled exactly once or rejected.
 */
final class DeferredHeartbeatsTest {
  private final VirtualTimeHarness clock = new VirtualTimeHarness();
  private final VirtualTimeHarness.Process process = clock.new Process();
  private final DeferredHeartbeats deferred = new DeferredHeartbeats();
  private final List<String> rejected = new ArrayList<>();
  private final List<String> registered = new ArrayList<>();
  private final List<String> handled = new ArrayList<>();

  private void receive(String machine, long sequence, long now) {
    Heartbeat heartbeat =
        new Heartbeat(machine, "h:1", "t", "a", false, 1, sequence, 0, -1, List.of());
    HeartbeatResponder responder =
        new HeartbeatResponder() {
          @Override
          public void respond(long fencingToken, List<WorkerCommand> commands) {
            fail("a deferred heartbeat must not be answered before the records are read");
          }

          @Override
          public void retryLater() {
            rejected.add(machine + " " + sequence);
          }
        };
    deferred.add(heartbeat, -1, responder, now);
  }

  private void drain() {
    deferred.drain(
        process,
        heartbeat -> registered.add(heartbeat.machine()),
        (heartbeat, via, reply) -> handled.add(heartbeat.machine() + " " + heartbeat.sequence()));
  }

  @Test
  void rejectsAHeartbeatAfterTheDeferralAndRegistersItsMachine() {
    receive("a", 1, 0);
    receive("b", 1, 1_500);
    deferred.expire(2_000);
    assertEquals(List.of(), rejected);
    deferred.expire(2_001);
    assertEquals(List.of("a 1"), rejected);
    drain();
    assertEquals(List.of("a"), registered);
    assertEquals(List.of("b 1"), handled);
    drain();
    assertEquals(List.of("b 1"), handled, "each heartbeat is handled exactly once");
  }

  @Test
  void replacesADeferredHeartbeatByANewerOneOfTheSameMachine() {
    receive("a", 1, 0);
    receive("a", 2, 100);
    assertEquals(List.of("a 1"), rejected);
    drain();
    assertEquals(List.of("a 2"), handled);
  }

  @Test
  void drainsInBatchesAndRejectsHeartbeatsBeyondTheLimit() {
    IntStream.range(0, 4_010).forEach(i -> receive("m" + i, 1, 0));
    assertEquals(10, rejected.size());
    drain();
    assertEquals(24, handled.size());
    clock.advance(1_000);
    assertEquals(4_000, handled.size());
    assertEquals("m3999 1", handled.get(3_999));
  }
}
