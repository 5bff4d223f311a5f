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

/**
 * Tests which machines are deleted, which are rented as replacements and which are only waited for
 * when many machines become silent or unreachable at once.
 */
final class FailureResponderTest {
  private static final long TERM = 7;
  private static final long LEASE_MS = 26_000;

  /**
   * Two zones of 20 machines with four tasks each. The machines send heartbeats every 4 s of
   * virtual time.
   */
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t4", 4, 0, 64, 100, 1, 1.0, 0.5, 30, new int[] {0, 1});
    final FleetHealth health;
    final SchedulerState schedulerState;
    final FailureResponder responder;
    final TaskScheduler taskScheduler;
    final Autoscaler autoscaler;
    final List<Machine> machines = new ArrayList<>();
    final Job job;
    final long[] highestSeenToken = new long[40];
    long sequence;
    Machine pullingMachine;

    /**
     * Range of machines (end exclusive) that send heartbeats but receive no responses, so the
     * fencing token in their heartbeats does not change.
     */
    int unansweredFrom;

    int unansweredTo;
    long now = 1_000_000;

    TestCluster(boolean isTakeover) {
      zones.intern("a");
      zones.intern("b");
      health = new FleetHealth(HealthPolicy.defaults(), 2, 4, now);
      Team team = new Team("t", 1e6, 0, 1e6, 0);
      schedulerState = new SchedulerState(TERM, 26, 4, List.of(team), zones, health);
      responder = new FailureResponder(schedulerState, zones, 4, 26, TERM, now);
      taskScheduler = new TaskScheduler(schedulerState);
      autoscaler =
          new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), new ServiceLevelObjectives());
      job = schedulerState.accept(JobSpecBuilder.job("job-1", 160, 1).spot().build(), 5, 0, now);
      for (int i = 0; i < 40; i++) {
        machines.add(schedulerState.registerMachine("n-" + i, type, i / 20, true, now));
      }
      if (isTakeover) {
        for (int task = 0; task < 160; task++) {
          schedulerState.restoreAttempt(job, task, 1, machines.get(task / 4), 1, now);
        }
        schedulerState.finishRestore(job, now);
      } else {
        advance(8_000, 0, 0);
        assertEquals(160, taskScheduler.placeTasks(now).size());
        JobSpecBuilder.commitDirtyRecords(schedulerState, now);
        advance(8_000, 0, 0);
      }
    }

    void sendHeartbeat(Machine machine) {
      int index = machines.indexOf(machine);
      boolean receivesNoResponses = index >= unansweredFrom && index < unansweredTo;
      highestSeenToken[index] =
          receivesNoResponses ? highestSeenToken[index] : Math.max(TERM, machine.fencingToken);
      schedulerState.processHeartbeat(
          machine,
          JobSpecBuilder.heartbeatListingAttempts(
              machine,
              ++sequence,
              highestSeenToken[index],
              machine == pullingMachine ? Heartbeat.State.PULLING : Heartbeat.State.RUNNING),
          true,
          now);
      machine.recordResponse(machine.incarnation, now);
      responder.evaluateTaskHealth(machine, now);
    }

    /**
     * Advances the time. Heartbeats of the machines from {@code silentFrom} (inclusive) to {@code
     * silentTo} (exclusive) do not arrive.
     */
    void advance(long ms, int silentFrom, int silentTo) {
      for (long end = now + ms; now < end; now += 250) {
        responder.recordActivity(now);
        responder.recordTick();
        for (int i = 0; i < machines.size(); i++) {
          Machine machine = machines.get(i);
          boolean isReachable = i < silentFrom || i >= silentTo;
          if (isReachable && !machine.deleting && (now / 250) % 16 == i % 16) {
            sendHeartbeat(machine);
          }
        }
        schedulerState.expireLeases(now);
        responder.evaluate(now);
      }
    }

    int deletedMachines() {
      int count = 0;
      for (Machine machine : machines) {
        count += machine.deleting ? 1 : 0;
      }
      return count;
    }

    int requestedMachines() {
      int count = 0;
      for (ScaleOutRequest request :
          autoscaler.planScaleOut(taskScheduler.queue(now), List.of(), List.of(type), now)) {
        assertFalse(
            health.failureDetector().isPartitioned(request.variant().zone()),
            "requested a machine in a partitioned zone");
        count += request.count();
      }
      return count;
    }
  }

  private interface Scenario {
    void run(TestCluster cluster);
  }

  private static DynamicTest scenario(String name, boolean isTakeover, Scenario scenario) {
    return DynamicTest.dynamicTest(name, () -> scenario.run(new TestCluster(isTakeover)));
  }

  @TestFactory
  Stream<DynamicTest> scenarios() {
    return Stream.of(
        scenario(
            "a single silent machine is deleted after it has missed a heartbeat",
            false,
            cluster -> {
              cluster.advance(4_000, 3, 4);
              assertEquals(0, cluster.deletedMachines());
              cluster.advance(9_000, 3, 4);
              assertTrue(cluster.machines.get(3).deleting);
              assertEquals(1, cluster.deletedMachines());
            }),
        scenario(
            "a partitioned zone keeps at least 6 of 20 machines; lease expiry frees their tasks",
            false,
            cluster -> {
              cluster.advance(20_000, 0, 20);
              int deleted = cluster.deletedMachines();
              assertTrue(deleted >= 10 && deleted <= 13, "deleted " + deleted);
              assertEquals(0, cluster.job.pendingTaskCount());
              cluster.advance(13_000, 0, 20);
              // The cloud answers no deletion here, so the tasks are freed by the expiry of the
              // leases.
              assertEquals(80, cluster.job.pendingTaskCount());
              deleted = cluster.deletedMachines();
              assertTrue(deleted <= 14, "deleted " + deleted);
              // The partition ends: the remaining machines are used again.
              cluster.advance(10_000, 0, 0);
              assertEquals(
                  4 * (20 - deleted), cluster.taskScheduler.placeTasks(cluster.now).size());
              assertEquals(deleted, cluster.deletedMachines());
            }),
        scenario(
            "at most half of the machines kept in a partitioned zone are replaced, in other zones",
            false,
            cluster -> {
              cluster.advance(33_000, 0, 20);
              assertEquals(80, cluster.job.pendingTaskCount());
              int kept = 20 - cluster.deletedMachines();
              int requested = cluster.requestedMachines();
              assertTrue(kept >= 6, "kept " + kept);
              assertTrue(
                  requested >= 20 - kept && requested <= 20 - kept / 2, "requested " + requested);
            }),
        scenario(
            "no lease frees tasks of a zone partitioned before the term: deletions are gradual",
            true,
            cluster -> {
              cluster.advance(20_000, 0, 20);
              int deletedAtFirst = cluster.deletedMachines();
              assertTrue(deletedAtFirst >= 14 && deletedAtFirst <= 19, "deleted " + deletedAtFirst);
              assertEquals(0, cluster.job.pendingTaskCount());
              cluster.advance(40_000, 0, 20);
              assertEquals(20, cluster.deletedMachines());
            }),
        scenario(
            "a zone whose machines are permanently gone recovers and is scaled out again",
            false,
            cluster -> {
              for (int i = 0; i < 10; i++) {
                cluster.advance(60_000, 0, 20);
                // The cloud confirms the deletions.
                for (Machine machine : List.copyOf(cluster.schedulerState.machines())) {
                  if (machine.deleting) {
                    cluster.schedulerState.machineDeleted(machine, cluster.now);
                  }
                }
              }
              assertEquals(0, cluster.health.failureDetector().partitionedZoneCount());
              cluster.schedulerState.accept(
                  JobSpecBuilder.job("job-2", 8, 1).zone(0).spot().build(), 5, 0, cluster.now);
              assertTrue(cluster.requestedMachines() > 0);
            }),
        scenario(
            "an endless image fetch is stopped, so its machine drains and its task can restart",
            false,
            cluster -> {
              Machine machine = cluster.machines.get(3);
              cluster.pullingMachine = machine;
              cluster.advance(60_000, 0, 0);
              assertTrue(machine.draining);
              for (Attempt attempt : machine.attempts()) {
                assertTrue(attempt.isStopping());
              }
              assertEquals(1, cluster.health.stragglerDetector().suspectCount());
            }),
        scenario(
            "half a fleet silent within its lease is not replaced; deletions end on recovery",
            false,
            cluster -> {
              cluster.advance(LEASE_MS - 5_000, 10, 30);
              // Deletions are limited to the budget and its refill until the machines respond
              // again; the others are kept.
              assertTrue(cluster.deletedMachines() <= 20, "deleted " + cluster.deletedMachines());
              assertEquals(0, cluster.requestedMachines());
              cluster.advance(3_000, 0, 0);
              int deleted = cluster.deletedMachines();
              cluster.advance(20_000, 0, 0);
              assertEquals(deleted, cluster.deletedMachines());
            }),
        scenario(
            "when all machines are silent, none is deleted before the leases expire",
            false,
            cluster -> {
              cluster.advance(LEASE_MS - 5_000, 0, 40);
              assertEquals(0, cluster.deletedMachines());
              cluster.advance(60_000, 0, 40);
              assertTrue(cluster.deletedMachines() > 0);
            }),
        scenario(
            "after a pause a leader deletes no machine and renews its lease before it responds",
            false,
            cluster -> {
              long renewedMs = cluster.now;
              cluster.now += 20_000;
              cluster.responder.recordActivity(cluster.now);
              assertTrue(cluster.responder.isLeaseUncertain(renewedMs, cluster.now));
              assertFalse(
                  cluster.responder.isLeaseUncertain(cluster.now + 10, cluster.now + 20),
                  "the lease was renewed after the pause");
              // In an outage of the state service the lease cannot be renewed: the leader responds
              // again after 1.5 s, so that the workers' leases stay valid.
              assertFalse(cluster.responder.isLeaseUncertain(renewedMs, cluster.now + 1_500));
              cluster.advance(4_500, 0, 40);
              assertEquals(0, cluster.deletedMachines());
              cluster.advance(20_000, 0, 0);
              assertEquals(0, cluster.deletedMachines());
            }),
        scenario(
            "after a pause of about a lease a partition is detected anew; deletions stay limited",
            false,
            cluster -> {
              cluster.advance(3_000, 0, 20);
              cluster.now += LEASE_MS - 3_000;
              cluster.advance(9_000, 0, 20);
              assertEquals(0, cluster.deletedMachines());
              cluster.advance(10_000, 0, 20);
              assertTrue(cluster.health.failureDetector().isPartitioned(0));
              assertTrue(cluster.deletedMachines() <= 11, "deleted " + cluster.deletedMachines());
            }),
        scenario(
            "a machine without responses gets no tasks; its confirmed deletion frees its tasks",
            false,
            cluster -> {
              Machine machine = cluster.machines.get(3);
              cluster.unansweredFrom = 3;
              cluster.unansweredTo = 4;
              machine.fencingToken++; // The machine learns the new token only from a response.
              cluster.advance(20_000, 0, 0);
              assertEquals(
                  StartRefusal.DRAINING_OR_FAILED,
                  cluster.schedulerState.machineRefusal(machine, cluster.now));
              assertEquals(1, cluster.deletedMachines());
              assertEquals(0, cluster.job.pendingTaskCount()); // A suspicion alone frees nothing.
              cluster.schedulerState.machineDeleted(machine, cluster.now);
              assertEquals(4, cluster.job.pendingTaskCount());
            }),
        scenario(
            "a zone without responses is not deleted as a whole, and is used again on recovery",
            false,
            cluster -> {
              cluster.unansweredFrom = 0;
              cluster.unansweredTo = 20;
              cluster.machines.forEach(machine -> machine.fencingToken++);
              cluster.advance(22_000, 0, 0);
              int deleted = cluster.deletedMachines();
              assertTrue(deleted >= 8 && deleted <= 16, "deleted " + deleted);
              for (Machine machine : cluster.machines.subList(0, 20)) {
                assertTrue(
                    machine.deleting
                        || cluster.schedulerState.machineRefusal(machine, cluster.now)
                            == StartRefusal.OUTBOUND_UNREACHABLE);
              }
              cluster.unansweredTo = 0;
              cluster.advance(12_000, 0, 0);
              deleted = cluster.deletedMachines();
              for (Machine machine : cluster.machines.subList(0, 20)) {
                assertEquals(
                    machine.deleting ? StartRefusal.DRAINING_OR_FAILED : null,
                    cluster.schedulerState.machineRefusal(machine, cluster.now));
              }
              cluster.advance(20_000, 0, 0);
              assertEquals(deleted, cluster.deletedMachines());
            }),
        scenario(
            "an isolated leader redirects each worker once per lease duration",
            false,
            cluster -> {
              Heartbeat heartbeat =
                  JobSpecBuilder.heartbeatListingAttempts(
                      cluster.machines.get(0), 900, TERM, Heartbeat.State.RUNNING);
              assertTrue(cluster.responder.tryRedirect(heartbeat, cluster.now));
              assertFalse(cluster.responder.tryRedirect(heartbeat, cluster.now + 6_000));
              assertFalse(cluster.responder.tryRedirect(heartbeat, cluster.now + LEASE_MS - 1));
              assertTrue(cluster.responder.tryRedirect(heartbeat, cluster.now + LEASE_MS));
              assertTrue(
                  cluster.responder.tryRedirect(
                      JobSpecBuilder.heartbeatListingAttempts(
                          cluster.machines.get(1), 900, TERM, Heartbeat.State.RUNNING),
                      cluster.now + 10));
            }),
        scenario(
            "preempted machines are deleted although another zone is partitioned",
            false,
            cluster -> {
              cluster.advance(6_000, 0, 20);
              assertTrue(cluster.health.failureDetector().isPartitioned(0));
              cluster.advance(14_000, 0, 26);
              int preempted = 0;
              for (int i = 20; i < 26; i++) {
                preempted += cluster.machines.get(i).deleting ? 1 : 0;
              }
              assertEquals(6, preempted);
              assertTrue(
                  cluster.deletedMachines() <= 6 + 13, "deleted " + cluster.deletedMachines());
            }));
  }
}
