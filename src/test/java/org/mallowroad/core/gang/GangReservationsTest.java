package org.mallowroad.core.gang;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptOutcome;
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
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * Gang reservations: each gang reserves and requests machines in one zone at a time, requests each
 * missing machine once, holds machines for a bounded time, and does not block other gangs. Without
 * reservations a gang starves, since other tasks take each machine as soon as it is released.
 */
final class GangReservationsTest {
  private static final MachineType MACHINE_TYPE =
      new MachineType(0, "box", 32, 0, 256, 100, 0.4, 2.0, 0.9, 30, new int[] {0, 1});
  private static final List<MachineType> TYPES = List.of(MACHINE_TYPE);

  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final SchedulerState schedulerState;
    final TaskScheduler taskScheduler;
    final Autoscaler autoscaler;
    final List<PendingMachines> pending = new ArrayList<>();
    long now = 1_000_000;
    long sequence;
    int machineCount;

    TestCluster() {
      zones.intern("a");
      zones.intern("b");
      schedulerState =
          new SchedulerState(1, 60, 600, List.of(new Team("team", 9e9, 0, 9e9, 0)), zones);
      taskScheduler = new TaskScheduler(schedulerState);
      autoscaler =
          new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), new ServiceLevelObjectives());
    }

    Machine addMachine(int zone) {
      Machine machine =
          schedulerState.registerMachine("n-" + machineCount++, MACHINE_TYPE, zone, false, now);
      schedulerState
          .heartbeatReconciler()
          .reconcile(
              machine,
              JobSpecBuilder.heartbeatListingAttempts(
                  machine, ++sequence, 1, Heartbeat.State.RUNNING),
              true,
              now);
      return machine;
    }

    Job submitGang(String id, int tasks) {
      return schedulerState.accept(
          JobSpecBuilder.job(id, tasks, 32).gang().together().spot().build(), 5, 0, now);
    }

    List<ScaleOutRequest> runCycle() {
      taskScheduler.placeTasks(now);
      List<ScaleOutRequest> requests =
          autoscaler.planScaleOut(taskScheduler.queue(now), pending, TYPES, now);
      now += 2_000;
      return requests;
    }

    /** Runs two cycles, since the offered machine types are known only after the first one. */
    List<ScaleOutRequest> runTwoCycles() {
      runCycle();
      return runCycle();
    }

    /**
     * Lets the cloud provide some of the requested machines, already booted, and refuse the rest.
     */
    void answerRequest(ScaleOutRequest request, int provided) {
      if (provided < request.count()) {
        schedulerState.gangReservations().recordRefusal(request.variant(), provided, now);
      }
      for (int i = 0; i < provided; i++) {
        addMachine(request.variant().zone());
      }
    }

    /** Lets the cloud refuse all variants; the existing machines are on-demand, in zone 0. */
    void refuseFurtherMachines(int existing) {
      for (int zone = 0; zone < 2; zone++) {
        for (boolean spot : new boolean[] {false, true}) {
          int count = zone == 0 && !spot ? existing : 0;
          schedulerState
              .gangReservations()
              .recordRefusal(new MachineVariant(MACHINE_TYPE, zone, spot), count, now);
        }
      }
    }

    /** Sends a heartbeat that lists all attempts on the machine as running. */
    void sendHeartbeat(Machine machine) {
      schedulerState
          .heartbeatReconciler()
          .reconcile(
              machine,
              JobSpecBuilder.heartbeatListingAttempts(
                  machine, ++sequence, 1, Heartbeat.State.RUNNING),
              true,
              now);
    }

    int reservedMachines(Job job) {
      int count = 0;
      for (Machine machine : schedulerState.machines()) {
        count += machine.reservedFor == job ? 1 : 0;
      }
      return count;
    }
  }

  private interface TestBody {
    void run(TestCluster cluster);
  }

  private static DynamicTest testCase(String name, TestBody test) {
    return DynamicTest.dynamicTest(name, () -> test.run(new TestCluster()));
  }

  private static int machineCount(List<ScaleOutRequest> requests) {
    return requests.stream().mapToInt(ScaleOutRequest::count).sum();
  }

  @TestFactory
  Stream<DynamicTest> reservations() {
    return Stream.of(
        testCase(
            "missing machines are requested once, in one zone, with spares for failed boots",
            cluster -> {
              cluster.addMachine(1);
              cluster.submitGang("job-1", 12);
              List<ScaleOutRequest> requests = cluster.runTwoCycles();
              assertEquals(12, machineCount(requests)); // 11 missing and 6% spares, rounded up.
              assertTrue(requests.stream().allMatch(request -> request.variant().zone() == 1));
              assertTrue(requests.stream().allMatch(request -> "job-1".equals(request.gangId())));
              requests.forEach(
                  request ->
                      cluster.pending.add(
                          new PendingMachines(
                              request.variant(), request.count(), cluster.now, request.gangId())));
              for (int i = 0; i < 5; i++) {
                assertEquals(List.of(), cluster.runCycle());
              }
            }),
        testCase(
            "a reserved machine refuses other jobs and is released once the gang has started",
            cluster -> {
              Job job = cluster.submitGang("job-1", 3);
              cluster.addMachine(0);
              cluster.runTwoCycles();
              Machine machine = cluster.schedulerState.machine("n-0");
              assertEquals(job, machine.reservedFor);
              Job other =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 9, 1).build(), 5, 0, cluster.now);
              cluster.runCycle();
              assertEquals(0, other.liveAttemptCount());
              assertEquals(
                  StartRefusal.RESERVED_FOR_GANG,
                  cluster.schedulerState.startRefusal(other, 0, machine, cluster.now));
              cluster.addMachine(0);
              cluster.addMachine(0);
              cluster.runCycle();
              assertEquals(3, job.liveAttemptCount());
              cluster.runCycle();
              assertNull(machine.reservedFor);
            }),
        testCase(
            "when the cloud has no more machines, machines whose tasks end within minutes stay reserved,"
                + " also after the refusal backoff",
            cluster -> {
              List<Machine> busyMachines =
                  List.of(cluster.addMachine(0), cluster.addMachine(0), cluster.addMachine(0));
              for (int i = 0; i < 3; i++) {
                startTask(
                    cluster,
                    cluster.schedulerState.accept(
                        JobSpecBuilder.job("job-" + i, 1, 8).build(), 5, 0, cluster.now),
                    busyMachines.get(i));
              }
              Job job = cluster.submitGang("job-9", 3);
              cluster.runCycle();
              cluster.refuseFurtherMachines(3);
              cluster.runCycle();
              assertEquals(3, cluster.reservedMachines(job));
              cluster.now += 24_000; // The refusal backoff is 20 s; the tasks end after 60 s.
              for (Machine machine : busyMachines) {
                cluster.sendHeartbeat(machine);
              }
              cluster.runCycle();
              assertEquals(3, cluster.reservedMachines(job));
              assertEquals(
                  3, cluster.schedulerState.gangReservations().status(job, cluster.now).slots());
            }),
        testCase(
            "a reservation in a zone that cannot complete it fails at once, and another zone is tried",
            cluster -> {
              Job job = cluster.submitGang("job-1", 10);
              List<ScaleOutRequest> firstRequests = cluster.runTwoCycles();
              int zone = firstRequests.get(0).variant().zone();
              cluster.answerRequest(firstRequests.get(0), 4);
              // The other variant, spot or on-demand, of the same zone is requested first.
              List<ScaleOutRequest> secondRequests = cluster.runCycle();
              assertEquals(zone, secondRequests.get(0).variant().zone());
              assertNotEquals(
                  firstRequests.get(0).variant().spot(), secondRequests.get(0).variant().spot());
              cluster.answerRequest(secondRequests.get(0), 0);
              cluster.runCycle();
              assertEquals(0, cluster.reservedMachines(job));
              List<ScaleOutRequest> thirdRequests = cluster.runTwoCycles();
              assertEquals(1 - zone, thirdRequests.get(0).variant().zone());
            }),
        testCase(
            "a gang that fits into no zone requests a bounded number of machines",
            cluster -> {
              cluster.submitGang("job-1", 40);
              int requestedMachines = 0;
              for (int i = 0; i < 300; i++) {
                for (ScaleOutRequest request : cluster.runCycle()) {
                  requestedMachines += request.count();
                  cluster
                      .schedulerState
                      .gangReservations()
                      .recordRefusal(request.variant(), 5, cluster.now);
                }
              }
              // In ten minutes: a reservation requests at most 84 machines, and the backoff doubles
              // after each one.
              assertTrue(requestedMachines <= 12 * 84, "requested machines: " + requestedMachines);
              assertTrue(requestedMachines >= 80, "requested machines: " + requestedMachines);
            }),
        testCase(
            "two gangs that together exceed the capacity of a zone start one after the other",
            cluster -> {
              for (int i = 0; i < 10; i++) {
                cluster.addMachine(0);
              }
              cluster
                  .schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(MACHINE_TYPE, 0, true), 10, cluster.now);
              cluster
                  .schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(MACHINE_TYPE, 0, false), 10, cluster.now);
              cluster
                  .schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(MACHINE_TYPE, 1, true), 0, cluster.now);
              cluster
                  .schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(MACHINE_TYPE, 1, false), 0, cluster.now);
              Job firstGang = cluster.submitGang("job-1", 7);
              Job secondGang = cluster.submitGang("job-2", 7);
              cluster.runTwoCycles();
              assertEquals(7, firstGang.liveAttemptCount());
              assertEquals(0, secondGang.liveAttemptCount());
              for (Attempt attempt : liveAttempts(firstGang)) {
                cluster.schedulerState.resolve(attempt, AttemptOutcome.COMPLETED, cluster.now);
              }
              cluster.runTwoCycles();
              assertEquals(7, secondGang.liveAttemptCount());
            }),
        testCase(
            "when the cloud has no more machines, a gang waits for tasks that end soon and preempts those of"
                + " lower priority",
            cluster -> {
              Machine machine = cluster.addMachine(0);
              Machine otherMachine = cluster.addMachine(0);
              for (int zone = 0; zone < 2; zone++) {
                cluster
                    .schedulerState
                    .gangReservations()
                    .recordRefusal(new MachineVariant(MACHINE_TYPE, zone, true), 2, cluster.now);
                cluster
                    .schedulerState
                    .gangReservations()
                    .recordRefusal(new MachineVariant(MACHINE_TYPE, zone, false), 2, cluster.now);
              }
              Job normalJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 1, 8).build(), 5, 0, cluster.now);
              Job idleJob =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 1, 8).priority(3).build(), 5, 0, cluster.now);
              Attempt attempt = startTask(cluster, normalJob, machine);
              Attempt idleAttempt = startTask(cluster, idleJob, otherMachine);
              Job job = cluster.submitGang("job-3", 2);
              cluster.runTwoCycles();
              assertEquals(2, cluster.reservedMachines(job));
              assertFalse(attempt.isStopping());
              assertTrue(idleAttempt.isStopping());
              cluster.schedulerState.resolve(attempt, AttemptOutcome.COMPLETED, cluster.now);
              cluster.schedulerState.resolve(idleAttempt, AttemptOutcome.STOPPED, cluster.now);
              cluster.runCycle();
              assertEquals(2, job.liveAttemptCount());
            }),
        testCase(
            "reservations of a cancelled gang and of one that takes too long are released",
            cluster -> {
              cluster.addMachine(0);
              Job job = cluster.submitGang("job-1", 3);
              cluster.runTwoCycles();
              assertEquals(1, cluster.reservedMachines(job));
              cluster.schedulerState.cancel(job, cluster.now);
              cluster.runCycle();
              assertEquals(0, cluster.reservedMachines(job));
              assertEquals(0, cluster.schedulerState.gangReservations().size());
              Job secondGang = cluster.submitGang("job-2", 3);
              cluster.runTwoCycles();
              assertEquals(1, cluster.reservedMachines(secondGang));
              cluster.pending.add(
                  new PendingMachines(
                      new MachineVariant(MACHINE_TYPE, 0, true), 2, cluster.now, "job-2"));
              cluster.now += GangReservations.MAX_RESERVATION_MS + 1_000;
              cluster.runCycle();
              assertEquals(0, cluster.reservedMachines(secondGang));
              GangReservations.ReservationStatus status =
                  cluster.schedulerState.gangReservations().status(secondGang, cluster.now);
              assertTrue(status.isBackingOff() && status.endsAtMs() > cluster.now);
            }),
        testCase(
            "a scattered gang counts no more slots in a zone than its limit for each zone",
            cluster -> {
              for (int i = 0; i < 4; i++) {
                cluster.addMachine(0);
              }
              Job job =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 4, 32).gang().scatter().spot().build(),
                      5,
                      0,
                      cluster.now);
              List<ScaleOutRequest> requests = cluster.runTwoCycles();
              assertEquals(0, job.liveAttemptCount());
              assertTrue(machineCount(requests) >= 2);
              cluster.addMachine(1);
              cluster.addMachine(1);
              cluster.runCycle();
              assertEquals(4, job.liveAttemptCount());
            }),
        testCase(
            "waiting gangs and machines for gangs do not trigger scale out by low spare capacity",
            cluster -> {
              cluster.addMachine(0);
              cluster.submitGang("job-1", 30);
              cluster.runTwoCycles();
              cluster.pending.add(
                  new PendingMachines(
                      new MachineVariant(MACHINE_TYPE, 0, true), 40, cluster.now, "job-1"));
              assertEquals(List.of(), cluster.runCycle());
            }));
  }

  private static List<Attempt> liveAttempts(Job job) {
    List<Attempt> attempts = new ArrayList<>();
    for (int task = 0; task < job.spec.tasks(); task++) {
      if (job.liveAttempt(task) != null) {
        attempts.add(job.liveAttempt(task));
      }
    }
    return attempts;
  }

  private static Attempt startTask(TestCluster cluster, Job job, Machine machine) {
    Attempt attempt =
        cluster.schedulerState.start(job, job.pendingTasks.dequeueInt(), machine, cluster.now);
    JobSpecBuilder.commitDirtyRecords(cluster.schedulerState, cluster.now);
    cluster
        .schedulerState
        .heartbeatReconciler()
        .reconcile(
            machine,
            JobSpecBuilder.heartbeatListingAttempts(
                machine, ++cluster.sequence, 1, Heartbeat.State.RUNNING),
            true,
            cluster.now);
    return attempt;
  }
}
