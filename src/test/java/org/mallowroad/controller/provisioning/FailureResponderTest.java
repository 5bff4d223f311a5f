package org.mallowroad.controller.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.Team;
import org.mallowroad.core.autoscaling.Autoscaler;
import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.autoscaling.ScaleOutRequest;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.core.scheduling.TaskScheduler;

/** Many machines fall together: what is returned, what is rented, what is only waited for. */
final class FailureResponderTest {
  private static final long TERM = 7;
  private static final long LEASE_MS = 26_000;

  /** Two zones of 20 machines that report every 4 s on virtual time, each with four tasks. */
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t4", 4, 0, 64, 100, 1, 1.0, 0.5, 30, new int[] {0, 1});
    final FleetHealth health;
    final SchedulerState schedulerState;
    final FailureResponder responder;
    final TaskScheduler placement;
    final Autoscaler fleet;
    final List<Machine> machines = new ArrayList<>();
    final Job job;
    final long[] heardToken = new long[40];
    long sequence;
    Machine pulling;

    /** Machines from and to which report and hear nothing: the token of their reports stays. */
    int deafFrom;

    int deafTo;
    long now = 1_000_000;

    TestCluster(boolean takenOver) {
      zones.intern("a");
      zones.intern("b");
      health = new FleetHealth(HealthPolicy.defaults(), 2, 4, now);
      Team team = new Team("t", 1e6, 0, 1e6, 0);
      schedulerState = new SchedulerState(TERM, 26, 4, List.of(team), zones, health);
      responder = new FailureResponder(schedulerState, zones, 4, 26, TERM, now);
      placement = new TaskScheduler(schedulerState);
      fleet =
          new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), new ServiceLevelObjectives());
      job = schedulerState.accept(JobSpecBuilder.job("job-1", 160, 1).spot().build(), 5, 0, now);
      for (int i = 0; i < 40; i++) {
        machines.add(schedulerState.registerMachine("n-" + i, type, i / 20, true, now));
      }
      if (takenOver) {
        for (int t = 0; t < 160; t++) {
          schedulerState.restoreAttempt(job, t, 1, machines.get(t / 4), 1, now);
        }
        schedulerState.finishRestore(job, now);
      } else {
        pass(8_000, 0, 0);
        assertEquals(160, placement.placeTasks(now).size());
        JobSpecBuilder.commitDirtyRecords(schedulerState, now);
        pass(8_000, 0, 0);
      }
    }

    void report(Machine m) {
      int i = machines.indexOf(m);
      boolean deaf = i >= deafFrom && i < deafTo;
      heardToken[i] = deaf ? heardToken[i] : Math.max(TERM, m.fencingToken);
      schedulerState.processHeartbeat(
          m,
          JobSpecBuilder.heartbeatListingAttempts(
              m,
              ++sequence,
              heardToken[i],
              m == pulling ? Heartbeat.State.PULLING : Heartbeat.State.RUNNING),
          true,
          now);
      m.lastResponseMs = now;
      responder.evaluateTaskHealth(m, now);
    }

    /** Time passes; machines from {@code from} to {@code to} are not heard. */
    void pass(long ms, int from, int to) {
      for (long end = now + ms; now < end; now += 250) {
        responder.recordActivity(now);
        responder.recordTick();
        for (int i = 0; i < machines.size(); i++) {
          Machine m = machines.get(i);
          boolean heard = i < from || i >= to;
          if (heard && !m.deleting && (now / 250) % 16 == i % 16) {
            report(m);
          }
        }
        schedulerState.expireLeases(now);
        responder.evaluate(now);
      }
    }

    int returned() {
      int n = 0;
      for (Machine m : machines) {
        n += m.deleting ? 1 : 0;
      }
      return n;
    }

    int rented() {
      int n = 0;
      for (ScaleOutRequest r :
          fleet.planScaleOut(placement.queue(now), List.of(), List.of(type), now)) {
        assertFalse(
            health.failureDetector().isPartitioned(r.variant().zone()), "rented in a cut zone");
        n += r.count();
      }
      return n;
    }
  }

  private interface Case {
    void run(TestCluster w);
  }

  private static DynamicTest day(String name, boolean takenOver, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new TestCluster(takenOver)));
  }

  @TestFactory
  Stream<DynamicTest> days() {
    return Stream.of(
        day(
            "one silent machine is returned as soon as it has missed a report",
            false,
            w -> {
              w.pass(4_000, 3, 4);
              assertEquals(0, w.returned());
              w.pass(9_000, 3, 4);
              assertTrue(w.machines.get(3).deleting);
              assertEquals(1, w.returned());
            }),
        day(
            "a cut zone keeps half of its machines; their tasks are free once the leases ran out",
            false,
            w -> {
              w.pass(20_000, 0, 20);
              int gone = w.returned();
              assertTrue(gone >= 10 && gone <= 13, "returned " + gone);
              assertEquals(0, w.job.pendingTaskCount());
              w.pass(13_000, 0, 20);
              // No deletion is answered here: it is the leases that free them.
              assertEquals(80, w.job.pendingTaskCount());
              gone = w.returned();
              assertTrue(gone <= 14, "returned " + gone);
              // Back: the same machines are used again.
              w.pass(10_000, 0, 0);
              assertEquals(4 * (20 - gone), w.placement.placeTasks(w.now).size());
              assertEquals(gone, w.returned());
            }),
        day(
            "for what a cut zone keeps at most half as much is rented, and elsewhere",
            false,
            w -> {
              w.pass(33_000, 0, 20);
              assertEquals(80, w.job.pendingTaskCount());
              int kept = 20 - w.returned();
              int rented = w.rented();
              assertTrue(kept >= 6, "kept " + kept);
              assertTrue(rented >= 20 - kept && rented <= 20 - kept / 2, "rented " + rented);
            }),
        day(
            "what no lease can free, in a zone away since before the term, goes at an even pace",
            true,
            w -> {
              w.pass(20_000, 0, 20);
              int first = w.returned();
              assertTrue(first >= 14 && first <= 19, "returned " + first);
              assertEquals(0, w.job.pendingTaskCount());
              w.pass(40_000, 0, 20);
              assertEquals(20, w.returned());
            }),
        day(
            "a zone whose machines are gone for good opens again, and is rented in",
            false,
            w -> {
              for (int i = 0; i < 10; i++) {
                w.pass(60_000, 0, 20);
                // The cloud answers the deletions.
                for (Machine m : List.copyOf(w.schedulerState.machines())) {
                  if (m.deleting) {
                    w.schedulerState.machineDeleted(m, w.now);
                  }
                }
              }
              assertEquals(0, w.health.failureDetector().partitionedZoneCount());
              w.schedulerState.accept(
                  JobSpecBuilder.job("job-2", 8, 1).zone(0).spot().build(), 5, 0, w.now);
              assertTrue(w.rented() > 0);
            }),
        day(
            "a fetch that never ends is stopped, so that its machine can go and its task start again",
            false,
            w -> {
              Machine m = w.machines.get(3);
              w.pulling = m;
              w.pass(60_000, 0, 0);
              assertTrue(m.draining);
              for (Attempt a : m.attempts()) {
                assertTrue(a.isStopping());
              }
              assertEquals(1, w.health.stragglerDetector().suspectCount());
            }),
        day(
            "half a fleet that hung to just within its lease is not returned, nor rented twice",
            false,
            w -> {
              w.pass(LEASE_MS - 5_000, 10, 30);
              // Of the twenty a share goes and what fills up until they are back; the rest is kept.
              assertTrue(w.returned() <= 20, "returned " + w.returned());
              assertEquals(0, w.rented());
              w.pass(3_000, 0, 0);
              int gone = w.returned();
              w.pass(20_000, 0, 0);
              assertEquals(gone, w.returned());
            }),
        day(
            "when nobody is heard nobody is returned before the leases ran out",
            false,
            w -> {
              w.pass(LEASE_MS - 5_000, 0, 40);
              assertEquals(0, w.returned());
              w.pass(60_000, 0, 40);
              assertTrue(w.returned() > 0);
            }),
        day(
            "a leader that stood still returns nobody for it, and asks before it answers",
            false,
            w -> {
              long renewed = w.now;
              w.now += 20_000;
              w.responder.recordActivity(w.now);
              assertTrue(w.responder.isLeaseUncertain(renewed, w.now));
              assertFalse(w.responder.isLeaseUncertain(w.now + 10, w.now + 20), "renewed since");
              // In an outage nobody can be asked: the answers go on, so that leases live.
              assertFalse(w.responder.isLeaseUncertain(renewed, w.now + 1_500));
              w.pass(4_500, 0, 40);
              assertEquals(0, w.returned());
              w.pass(20_000, 0, 0);
              assertEquals(0, w.returned());
            }),
        day(
            "a freeze that ends as the leases end, in a cut: the cut is seen again, nobody hurries",
            false,
            w -> {
              w.pass(3_000, 0, 20);
              w.now += LEASE_MS - 3_000;
              w.pass(9_000, 0, 20);
              assertEquals(0, w.returned());
              w.pass(10_000, 0, 20);
              assertTrue(w.health.failureDetector().isPartitioned(0));
              assertTrue(w.returned() <= 11, "returned " + w.returned());
            }),
        day(
            "a machine that reports and hears nothing gets no work, is returned, and frees by proof",
            false,
            w -> {
              Machine m = w.machines.get(3);
              w.deafFrom = 3;
              w.deafTo = 4;
              m.fencingToken++; // Something that only an answer tells it.
              w.pass(20_000, 0, 0);
              assertEquals(
                  StartRefusal.DRAINING_OR_FAILED, w.schedulerState.machineRefusal(m, w.now));
              assertEquals(1, w.returned());
              assertEquals(0, w.job.pendingTaskCount()); // Nothing is freed by a suspicion.
              w.schedulerState.machineDeleted(m, w.now);
              assertEquals(4, w.job.pendingTaskCount());
            }),
        day(
            "of a deaf zone no more is returned than of a cut one; it works again when it hears",
            false,
            w -> {
              w.deafFrom = 0;
              w.deafTo = 20;
              w.machines.forEach(m -> m.fencingToken++);
              w.pass(22_000, 0, 0);
              int gone = w.returned();
              assertTrue(gone >= 8 && gone <= 16, "returned " + gone);
              for (Machine m : w.machines.subList(0, 20)) {
                assertTrue(
                    m.deleting
                        || w.schedulerState.machineRefusal(m, w.now)
                            == StartRefusal.OUTBOUND_UNREACHABLE);
              }
              w.deafTo = 0;
              w.pass(12_000, 0, 0);
              gone = w.returned();
              for (Machine m : w.machines.subList(0, 20)) {
                assertEquals(
                    m.deleting ? StartRefusal.DRAINING_OR_FAILED : null,
                    w.schedulerState.machineRefusal(m, w.now));
              }
              w.pass(20_000, 0, 0);
              assertEquals(gone, w.returned());
            }),
        day(
            "a leader alone with its workers sends each of them round once in a lease",
            false,
            w -> {
              Heartbeat r =
                  JobSpecBuilder.heartbeatListingAttempts(
                      w.machines.get(0), 900, TERM, Heartbeat.State.RUNNING);
              assertTrue(w.responder.tryRedirect(r, w.now));
              assertFalse(w.responder.tryRedirect(r, w.now + 6_000));
              assertFalse(w.responder.tryRedirect(r, w.now + LEASE_MS - 1));
              assertTrue(w.responder.tryRedirect(r, w.now + LEASE_MS));
              assertTrue(
                  w.responder.tryRedirect(
                      JobSpecBuilder.heartbeatListingAttempts(
                          w.machines.get(1), 900, TERM, Heartbeat.State.RUNNING),
                      w.now + 10));
            }),
        day(
            "a wave of taken machines in the zone that is left is dealt with in spite of the cut",
            false,
            w -> {
              w.pass(6_000, 0, 20);
              assertTrue(w.health.failureDetector().isPartitioned(0));
              w.pass(14_000, 0, 26);
              int taken = 0;
              for (int i = 20; i < 26; i++) {
                taken += w.machines.get(i).deleting ? 1 : 0;
              }
              assertEquals(6, taken);
              assertTrue(w.returned() <= 6 + 13, "returned " + w.returned());
            }));
  }
}
