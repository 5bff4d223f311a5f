package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mallowroad.core.Heartbeat.State.RUNNING;

import java.util.BitSet;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.autoscaling.Autoscaler;
import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;
import org.mallowroad.core.explain.AutoscalerView;
import org.mallowroad.core.explain.PendingReasonExplainer;
import org.mallowroad.core.explain.SnapshotBuilder;
import org.mallowroad.core.health.FailureDetector;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.core.scheduling.TaskScheduler;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.RecordedAttempt;
import org.mallowroad.wire.ConsoleCodec;
import org.mallowroad.wire.Json;

/**
 * Bounds the work of the leader with thousands of pending tasks and 1.5 times as many machines as
 * the users have. The tests count operations instead of measuring time: work must grow with what
 * changed, not with the product of fleet size and queue length.
 */
final class ScaleTest {
  private static final int MACHINES = 1_700;
  private static final int JOBS = 102;
  private static final int TASKS = 150;

  /** Machines with 32 CPUs in two zones; jobs of 150 tasks with 4 CPUs each. */
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t32", 32, 0, 256, 100, 1, 2.0, 0.5, 30, new int[] {0, 1});
    final SchedulerState schedulerState;
    final TaskScheduler taskScheduler;
    final Autoscaler autoscaler;
    long now = 1_000_000;

    TestCluster(int machineCount) {
      zones.intern("north-eastern-zone");
      zones.intern("south-western-zone");
      Team team = new Team("team", 1e6, 0, 1e6, 0);
      schedulerState =
          new SchedulerState(1, 26, 4, List.of(team, new Team("other", 1e6, 0, 1e6, 0)), zones);
      taskScheduler = new TaskScheduler(schedulerState);
      autoscaler =
          new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), new ServiceLevelObjectives());
      for (int i = 0; i < machineCount; i++) {
        String name = String.format("n-%06d", i);
        Machine machine = schedulerState.registerMachine(name, type, i % 2, false, now);
        schedulerState.processHeartbeat(
            machine,
            new Heartbeat(name, "h:" + i, "t32", "a", false, 1, 1, 1, -1, List.of()),
            true,
            now);
      }
    }

    void acceptJobs(int priority) {
      for (int j = 0; j < JOBS; j++) {
        String id = "job-" + (100 * priority + j);
        schedulerState.accept(
            JobSpecBuilder.job(id, TASKS, 4).priority(priority).spot().build(), 5, 0, now);
      }
    }

    PendingReasonExplainer explainer;

    SnapshotBuilder newSnapshotBuilder() {
      NameIndex classes = new NameIndex();
      classes.intern("class");
      AutoscalerView emptyView =
          new AutoscalerView() {
            @Override
            public List<PendingMachines> pendingMachines(long at) {
              return List.of();
            }

            @Override
            public long refusedSinceMs(MachineVariant v) {
              return -1;
            }

            @Override
            public List<MachineType> machineTypes() {
              return List.of(type);
            }

            @Override
            public boolean isLeaseValid() {
              return true;
            }

            @Override
            public long lastRenewalSentMs() {
              return now;
            }
          };
      explainer =
          new PendingReasonExplainer(schedulerState, taskScheduler, emptyView, zones, classes);
      return new SnapshotBuilder(schedulerState, emptyView, zones, explainer);
    }

    void commitDirtyRecords() {
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    }
  }

  private interface ScaleCase {
    void run(TestCluster cluster);
  }

  private static DynamicTest testCase(String name, ScaleCase test) {
    return DynamicTest.dynamicTest(name, () -> test.run(new TestCluster(MACHINES)));
  }

  private static void assertAtMost(long bound, long actual) {
    assertTrue(actual <= bound, actual + " instead of at most " + bound);
  }

  @TestFactory
  Stream<DynamicTest> workGrowsWithChangesNotWithFleetTimesQueue() {
    return Stream.of(
        testCase(
            "a placement pass fills the fleet without scanning it for each task",
            cluster -> {
              cluster.acceptJobs(2);
              assertEquals(MACHINES * 8, cluster.taskScheduler.placeTasks(cluster.now).size());
              // One scan for free capacity, then three scans per job. With a scan for each of
              // 15,000 tasks, 25 million machines would be scanned.
              assertAtMost(MACHINES * (3 * JOBS + 2), cluster.taskScheduler.machinesScanned());
            }),
        testCase(
            "with a full fleet, a placement pass scans each machine once, however long the queue is",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.acceptJobs(3);
              long scannedBefore = cluster.taskScheduler.machinesScanned();
              assertEquals(0, cluster.taskScheduler.placeTasks(cluster.now + 100).size());
              assertAtMost(MACHINES, cluster.taskScheduler.machinesScanned() - scannedBefore);
            }),
        testCase(
            "the search for tasks to preempt scans the fleet for a few jobs, not in every pass",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.commitDirtyRecords();
              cluster.acceptJobs(1);
              cluster.now += 2_000;
              long scannedBefore = cluster.taskScheduler.machinesScanned();
              for (int pass = 0; pass < 4; pass++) {
                cluster.taskScheduler.placeTasks(cluster.now + 50L * pass);
              }
              assertAtMost(
                  MACHINES * (16 + 4), cluster.taskScheduler.machinesScanned() - scannedBefore);
            }),
        testCase(
            "attempts that will end soon are scanned once for all pending jobs, not once per job",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.commitDirtyRecords();
              cluster.acceptJobs(1);
              cluster.now += 2_000;
              long scannedBefore = cluster.taskScheduler.attemptsScanned();
              for (int pass = 0; pass < 4; pass++) {
                cluster.taskScheduler.placeTasks(cluster.now + 50L * pass);
              }
              assertEquals(MACHINES * 8, cluster.taskScheduler.attemptsScanned() - scannedBefore);
            }),
        testCase(
            "the failure detector examines overdue machines, not the whole fleet",
            cluster -> {
              FailureDetector failureDetector = cluster.schedulerState.health().failureDetector();
              for (int i = 0; i < 100; i++) {
                failureDetector.evaluate(cluster.now + 10L * i);
              }
              assertAtMost(100, failureDetector.examinedMachineCount());
              for (Machine machine : cluster.schedulerState.machines()) {
                if (!machine.name.endsWith("7")) {
                  cluster
                      .schedulerState
                      .health()
                      .recordHeartbeat(machine.health, cluster.now + 6_000);
                }
              }
              long scannedBefore = failureDetector.examinedMachineCount();
              failureDetector.evaluate(cluster.now + 6_000);
              assertEquals(MACHINES / 10, failureDetector.overdueMachineCount());
              assertAtMost(
                  MACHINES / 10 + 1, failureDetector.examinedMachineCount() - scannedBefore);
            }),
        testCase(
            "jobs of 100,000 tasks are forecast up to a limit after the jobs before them are forecast in full",
            cluster -> {
              cluster.acceptJobs(1);
              for (int i = 0; i < 4; i++) {
                JobSpecBuilder specBuilder =
                    JobSpecBuilder.job("job-huge" + i, 100_000, 1).priority(JobSpec.IDLE);
                cluster.schedulerState.accept(specBuilder.spot().build(), 5, 0, cluster.now);
              }
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.commitDirtyRecords();
              int jobs = cluster.taskScheduler.queue(cluster.now).size();
              cluster.autoscaler.planScaleOut(
                  cluster.taskScheduler.queue(cluster.now),
                  List.of(),
                  List.of(cluster.type),
                  cluster.now);
              assertTrue(jobs >= 4, "pending jobs: " + jobs);
              assertEquals(Autoscaler.MAX_FORECAST_TASKS, cluster.autoscaler.tasksForecast());
            }),
        testCase(
            "a forecast scans the fleet once per job, not once per task",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.acceptJobs(3);
              int requestedMachines =
                  cluster
                      .autoscaler
                      .planScaleOut(
                          cluster.taskScheduler.queue(cluster.now),
                          List.of(),
                          List.of(cluster.type),
                          cluster.now)
                      .stream()
                      .mapToInt(ScaleOutRequest::count)
                      .sum();
              assertEquals(AutoscalerPolicy.defaults().maxScaleOutPerType(), requestedMachines);
              assertAtMost(
                  (MACHINES + requestedMachines) * 2L * JOBS, cluster.autoscaler.machinesScanned());
            }),
        testCase(
            "scale-out requests stay within the cloud's limit of machines per request",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.acceptJobs(3);
              for (ScaleOutRequest request :
                  cluster.autoscaler.planScaleOut(
                      cluster.taskScheduler.queue(cluster.now),
                      List.of(),
                      List.of(cluster.type),
                      cluster.now)) {
                assertAtMost(50, request.count());
              }
            }),
        testCase(
            "one start makes one record dirty and queues commands for one machine",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              cluster.commitDirtyRecords();
              cluster.schedulerState.machinesWithUnsentCommands().clear();
              Machine machine = cluster.schedulerState.machine("n-000007");
              Attempt attempt = machine.attempts().iterator().next();
              cluster.schedulerState.resolve(attempt, AttemptOutcome.LOST, cluster.now);
              assertEquals(1, cluster.schedulerState.dirtyRecords().size());
              assertEquals(0, cluster.schedulerState.urgentRecords().size());
              assertEquals(1, cluster.taskScheduler.placeTasks(cluster.now).size());
              assertEquals(1, cluster.schedulerState.urgentRecords().size());
              cluster.commitDirtyRecords();
              assertEquals(0, cluster.schedulerState.urgentRecords().size());
              assertEquals(
                  List.of(machine),
                  List.copyOf(cluster.schedulerState.machinesWithUnsentCommands()));
            }),
        testCase(
            "a full record stays well below the smallest value limit",
            cluster -> {
              Job job =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 128, 32).spot().build(), 5, 0, cluster.now);
              cluster.taskScheduler.placeTasks(cluster.now);
              String json =
                  Json.toText(AttemptRecordCodec.encode(job.attemptRecord(0), cluster.zones));
              assertAtMost(6 * 1024, json.length());
            }));
  }

  /** Bounds the cost of a console snapshot: admission checks per step, and encoded bytes. */
  @TestFactory
  Stream<DynamicTest> snapshotCostIsBounded() {
    return Stream.of(
        testCase(
            "a snapshot checks each machine once per job in bounded steps, and only when requested",
            cluster -> {
              SnapshotBuilder builder = fullFleetWithWaitingJobs(cluster, 0.001);
              assertEquals(0, cluster.explainer.evaluationCount());
              builder.begin(cluster.now);
              int steps = 1;
              long checksBefore = 0;
              while (!builder.step(10_000)) {
                assertAtMost(10_000 + MACHINES, cluster.explainer.evaluationCount() - checksBefore);
                checksBefore = cluster.explainer.evaluationCount();
                steps++;
              }
              assertAtMost((MACHINES + 1) * 301L, cluster.explainer.evaluationCount());
              assertAtMost(31L * MACHINES / 1_000, steps);
              assertEquals(301, builder.jobs().size());
              assertEquals(10_000, builder.jobs().stream().mapToInt(job -> job.waiting()).sum());
              // Two teams with the same task class and the same pending reason get one line each.
              assertEquals(2, builder.reasons().size());
              assertAtMost(1_000_000, ConsoleCodec.encode(builder.jobs()).length);
            }),
        testCase(
            "jobs with identical requirements are checked once",
            cluster -> {
              SnapshotBuilder builder = fullFleetWithWaitingJobs(cluster, 0);
              builder.begin(cluster.now);
              assertTrue(builder.step(10_000));
              assertAtMost(2L * MACHINES + 301, cluster.explainer.evaluationCount());
              assertEquals(301, builder.jobs().size());
            }),
        testCase(
            "jobs beyond the limit of a snapshot are counted but not explained",
            cluster -> {
              for (int i = 0; i < SnapshotBuilder.MAX_JOBS + 50; i++) {
                cluster.schedulerState.accept(
                    JobSpecBuilder.job("job-" + i, 1, 99).build(), 5, 0, cluster.now);
              }
              SnapshotBuilder builder = cluster.newSnapshotBuilder();
              builder.begin(cluster.now);
              while (!builder.step(1_000_000)) {
                assertAtMost(SnapshotBuilder.MAX_JOBS, builder.jobs().size());
              }
              assertEquals(SnapshotBuilder.MAX_JOBS, builder.jobs().size());
              assertEquals(50, builder.jobsLeftOut());
            }));
  }

  /** A snapshot builder for {@link SnapshotCost}. */
  static SnapshotBuilder fullFleetSnapshot(double cpuIncrement) {
    return fullFleetWithWaitingJobs(new TestCluster(MACHINES), cpuIncrement);
  }

  /**
   * Fills the fleet, and adds 300 pending jobs of two teams with 10,000 tasks in total. Each job
   * requests {@code cpuIncrement} more CPUs per task than the one before.
   */
  private static SnapshotBuilder fullFleetWithWaitingJobs(
      TestCluster cluster, double cpuIncrement) {
    cluster.schedulerState.accept(
        JobSpecBuilder.job("job-0", MACHINES * 8, 4).build(), 5, 0, cluster.now);
    cluster.taskScheduler.placeTasks(cluster.now);
    cluster.commitDirtyRecords();
    for (int i = 1; i <= 300; i++) {
      int tasks = i <= 100 ? 34 : 33;
      cluster.schedulerState.accept(
          JobSpecBuilder.job("job-" + i, tasks, 4 + cpuIncrement * i).team(i % 2).build(),
          5,
          0,
          cluster.now);
    }
    cluster
        .schedulerState
        .machines()
        .forEach(
            machine ->
                cluster.schedulerState.processHeartbeat(
                    machine,
                    JobSpecBuilder.heartbeatListingAttempts(machine, 2, 1, RUNNING),
                    true,
                    cluster.now));
    return cluster.newSnapshotBuilder();
  }

  /** Bounds the cost of restoring all jobs and their attempts on failover. */
  @TestFactory
  Stream<DynamicTest> failoverVisitsEachTaskOnce() {
    return Stream.of(
        testCase(
            "a failover visits each task once to rebuild the queues, not once for each attempt",
            cluster -> {
              cluster.acceptJobs(2);
              cluster.taskScheduler.placeTasks(cluster.now);
              TestCluster newLeader = new TestCluster(MACHINES);
              for (Job job : cluster.schedulerState.jobs()) {
                Job restored = newLeader.schedulerState.accept(job.spec, 5, 0, newLeader.now);
                for (int i = 0; i < job.attemptRecordCount(); i++) {
                  newLeader.schedulerState.restoreRecord(
                      restored.attemptRecord(i), 9, new BitSet(), 1);
                }
                for (int task = 0; task < TASKS; task++) {
                  Attempt attempt = job.liveAttempt(task);
                  if (attempt != null) {
                    Machine machine = newLeader.schedulerState.machine(attempt.machine.name);
                    newLeader.schedulerState.restoreAttempt(
                        restored,
                        task,
                        attempt.number,
                        machine,
                        attempt.incarnation,
                        newLeader.now);
                  }
                }
                newLeader.schedulerState.finishRestore(restored, newLeader.now);
                assertEquals(job.pendingTaskCount(), restored.pendingTaskCount());
                assertEquals(job.liveAttemptCount(), restored.liveAttemptCount());
              }
              assertAtMost(JOBS * TASKS, newLeader.schedulerState.rebuiltQueueTasks());
            }));
  }

  /** Checks that a failover reads from a record what was written to it. */
  @TestFactory
  Stream<DynamicTest> attemptsAreRestoredFromTheirRecord() {
    return Stream.of(
        testCase(
            "attempts decoded from a record have their machine, number and incarnation",
            cluster -> {
              Job job =
                  cluster.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 100, 8).spot().build(), 5, 0, cluster.now);
              cluster.taskScheduler.placeTasks(cluster.now);
              List<RecordedAttempt> recordedAttempts =
                  AttemptRecordCodec.unresolvedAttempts(
                      AttemptRecordCodec.encode(job.attemptRecord(0), cluster.zones));
              assertEquals(100, recordedAttempts.size());
              for (RecordedAttempt recorded : recordedAttempts) {
                Attempt attempt = job.liveAttempt(recorded.task());
                assertEquals(attempt.machine.name, recorded.machine());
                assertEquals(attempt.number, recorded.number());
                assertEquals(attempt.incarnation, recorded.incarnation());
                assertEquals(cluster.zones.name(attempt.machine.zone), recorded.zone());
                assertEquals("t32", recorded.type());
              }
            }));
  }
}
