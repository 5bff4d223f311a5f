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
 * Half as many machines again as the users have, thousands of waiting tasks, in counts of work
 * rather than time: what the leader does must grow with what changed, not with fleet times queue.
 */
final class ScaleTest {
  private static final int MACHINES = 1_700;
  private static final int JOBS = 102;
  private static final int TASKS = 150;

  /** Machines of 32 CPUs in two zones, jobs of 150 tasks of 4 CPUs. */
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t32", 32, 0, 256, 100, 1, 2.0, 0.5, 30, new int[] {0, 1});
    final SchedulerState schedulerState;
    final TaskScheduler placement;
    final Autoscaler fleet;
    long now = 1_000_000;

    TestCluster(int machines) {
      zones.intern("north-eastern-zone");
      zones.intern("south-western-zone");
      Team team = new Team("team", 1e6, 0, 1e6, 0);
      schedulerState =
          new SchedulerState(1, 26, 4, List.of(team, new Team("other", 1e6, 0, 1e6, 0)), zones);
      placement = new TaskScheduler(schedulerState);
      fleet =
          new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), new ServiceLevelObjectives());
      for (int i = 0; i < machines; i++) {
        String name = String.format("n-%06d", i);
        Machine m = schedulerState.registerMachine(name, type, i % 2, false, now);
        schedulerState.processHeartbeat(
            m, new Heartbeat(name, "h:" + i, "t32", "a", false, 1, 1, 1, -1, List.of()), true, now);
      }
    }

    void jobs(int priority) {
      for (int j = 0; j < JOBS; j++) {
        String id = "job-" + (100 * priority + j);
        schedulerState.accept(
            JobSpecBuilder.job(id, TASKS, 4).priority(priority).spot().build(), 5, 0, now);
      }
    }

    PendingReasonExplainer explainer;

    SnapshotBuilder sketch() {
      NameIndex classes = new NameIndex();
      classes.intern("class");
      AutoscalerView nothing =
          new AutoscalerView() {
            @Override
            public List<PendingMachines> coming(long at) {
              return List.of();
            }

            @Override
            public long refusedSinceMs(MachineVariant v) {
              return -1;
            }

            @Override
            public List<MachineType> types() {
              return List.of(type);
            }

            @Override
            public boolean firm() {
              return true;
            }

            @Override
            public long renewedMs() {
              return now;
            }
          };
      explainer = new PendingReasonExplainer(schedulerState, placement, nothing, zones, classes);
      return new SnapshotBuilder(schedulerState, nothing, zones, explainer);
    }

    void commit() {
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    }
  }

  private interface Case {
    void run(TestCluster w);
  }

  private static DynamicTest scale(String name, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new TestCluster(MACHINES)));
  }

  private static void atMost(long bound, long n) {
    assertTrue(n <= bound, n + " instead of at most " + bound);
  }

  @TestFactory
  Stream<DynamicTest> work() {
    return Stream.of(
        scale(
            "a pass fills the fleet; a task does not cost a walk over it",
            w -> {
              w.jobs(2);
              assertEquals(MACHINES * 8, w.placement.placeTasks(w.now).size());
              // Once round for the room, then three times a job; 15,000 tasks would be 25 million.
              atMost(MACHINES * (3 * JOBS + 2), w.placement.machinesScanned());
            }),
        scale(
            "with the fleet full, a pass looks at each machine once, however long the queue",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              w.jobs(3);
              long before = w.placement.machinesScanned();
              assertEquals(0, w.placement.placeTasks(w.now + 100).size());
              atMost(MACHINES, w.placement.machinesScanned() - before);
            }),
        scale(
            "looking for work to stop walks the fleet for a few jobs and not at every pass",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              w.commit();
              w.jobs(1);
              w.now += 2_000;
              long before = w.placement.machinesScanned();
              for (int pass = 0; pass < 4; pass++) {
                w.placement.placeTasks(w.now + 50L * pass);
              }
              atMost(MACHINES * (16 + 4), w.placement.machinesScanned() - before);
            }),
        scale(
            "what will end soon is looked at once for all jobs that wait, not once a job",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              w.commit();
              w.jobs(1);
              w.now += 2_000;
              long before = w.placement.attemptsScanned();
              for (int pass = 0; pass < 4; pass++) {
                w.placement.placeTasks(w.now + 50L * pass);
              }
              assertEquals(MACHINES * 8, w.placement.attemptsScanned() - before);
            }),
        scale(
            "silence is judged from the machines that are late, not from the fleet",
            w -> {
              FailureDetector s = w.schedulerState.health().failureDetector();
              for (int i = 0; i < 100; i++) {
                s.evaluate(w.now + 10L * i);
              }
              atMost(100, s.examinedMachineCount());
              for (Machine m : w.schedulerState.machines()) {
                if (!m.name.endsWith("7")) {
                  w.schedulerState.health().recordHeartbeat(m.health, w.now + 6_000);
                }
              }
              long before = s.examinedMachineCount();
              s.evaluate(w.now + 6_000);
              assertEquals(MACHINES / 10, s.overdueMachineCount());
              atMost(MACHINES / 10 + 1, s.examinedMachineCount() - before);
            }),
        scale(
            "arrays of 100,000 tasks are forecast up to a bound, others before them in full",
            w -> {
              w.jobs(1);
              for (int i = 0; i < 4; i++) {
                JobSpecBuilder s =
                    JobSpecBuilder.job("job-huge" + i, 100_000, 1).priority(JobSpec.IDLE);
                w.schedulerState.accept(s.spot().build(), 5, 0, w.now);
              }
              w.placement.placeTasks(w.now);
              w.commit();
              int jobs = w.placement.queue(w.now).size();
              w.fleet.planScaleOut(w.placement.queue(w.now), List.of(), List.of(w.type), w.now);
              assertTrue(jobs >= 4, "jobs that wait: " + jobs);
              assertEquals(Autoscaler.MAX_FORECAST_TASKS, w.fleet.tasksForecast());
            }),
        scale(
            "a forecast looks at the fleet once a job, not once a task",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              w.jobs(3);
              int rented =
                  w
                      .fleet
                      .planScaleOut(w.placement.queue(w.now), List.of(), List.of(w.type), w.now)
                      .stream()
                      .mapToInt(ScaleOutRequest::count)
                      .sum();
              assertEquals(AutoscalerPolicy.defaults().maxScaleOutPerType(), rented);
              atMost((MACHINES + rented) * 2L * JOBS, w.fleet.machinesScanned());
            }),
        scale(
            "rents come in calls that the cloud takes",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              w.jobs(3);
              for (ScaleOutRequest r :
                  w.fleet.planScaleOut(
                      w.placement.queue(w.now), List.of(), List.of(w.type), w.now)) {
                atMost(50, r.count());
              }
            }),
        scale(
            "one start writes one record, and one machine has something to send",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              w.commit();
              w.schedulerState.machinesWithUnsentCommands().clear();
              Machine m = w.schedulerState.machine("n-000007");
              Attempt a = m.attempts().iterator().next();
              w.schedulerState.resolve(a, AttemptOutcome.LOST, w.now);
              assertEquals(1, w.schedulerState.dirtyRecords().size());
              assertEquals(0, w.schedulerState.urgentRecords().size());
              assertEquals(1, w.placement.placeTasks(w.now).size());
              assertEquals(1, w.schedulerState.urgentRecords().size());
              w.commit();
              assertEquals(0, w.schedulerState.urgentRecords().size());
              assertEquals(List.of(m), List.copyOf(w.schedulerState.machinesWithUnsentCommands()));
            }),
        scale(
            "a full record stays well below the least value limit",
            w -> {
              Job j =
                  w.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 128, 32).spot().build(), 5, 0, w.now);
              w.placement.placeTasks(w.now);
              String text = Json.toText(AttemptRecordCodec.encode(j.attemptRecord(0), w.zones));
              atMost(6 * 1024, text.length());
            }));
  }

  /** What a console's question costs the loop: counts of questions to the decision, and bytes. */
  @TestFactory
  Stream<DynamicTest> pictures() {
    return Stream.of(
        scale(
            "nobody asks: nothing is explained; one asks: each machine once a job, in bounded turns",
            w -> {
              SnapshotBuilder s = explained(w, 0.001);
              assertEquals(0, w.explainer.asked());
              s.begin(w.now);
              int turns = 1;
              long before = 0;
              while (!s.step(10_000)) {
                atMost(10_000 + MACHINES, w.explainer.asked() - before);
                before = w.explainer.asked();
                turns++;
              }
              atMost((MACHINES + 1) * 301L, w.explainer.asked());
              atMost(31L * MACHINES / 1_000, turns);
              assertEquals(301, s.jobs().size());
              assertEquals(10_000, s.jobs().stream().mapToInt(j -> j.waiting()).sum());
              // Two teams of one class that wait for the same thing are two lines.
              assertEquals(2, s.reasons().size());
              atMost(1_000_000, ConsoleCodec.encode(s.jobs()).length);
            }),
        scale(
            "jobs that the decision cannot tell apart are asked for once",
            w -> {
              SnapshotBuilder s = explained(w, 0);
              s.begin(w.now);
              assertTrue(s.step(10_000));
              atMost(2L * MACHINES + 301, w.explainer.asked());
              assertEquals(301, s.jobs().size());
            }),
        scale(
            "more jobs than a picture lists are counted and not explained",
            w -> {
              for (int j = 0; j < SnapshotBuilder.MOST_JOBS + 50; j++) {
                w.schedulerState.accept(JobSpecBuilder.job("job-" + j, 1, 99).build(), 5, 0, w.now);
              }
              SnapshotBuilder s = w.sketch();
              s.begin(w.now);
              while (!s.step(1_000_000)) {
                atMost(SnapshotBuilder.MOST_JOBS, s.jobs().size());
              }
              assertEquals(SnapshotBuilder.MOST_JOBS, s.jobs().size());
              assertEquals(50, s.jobsLeftOut());
            }));
  }

  /** For the measurement. */
  static SnapshotBuilder full(double differ) {
    return explained(new TestCluster(MACHINES), differ);
  }

  /**
   * The fleet is full, and 300 jobs of two teams wait with 10,000 tasks; each wants so many more
   * CPUs than the one before.
   */
  private static SnapshotBuilder explained(TestCluster w, double differ) {
    w.schedulerState.accept(JobSpecBuilder.job("job-0", MACHINES * 8, 4).build(), 5, 0, w.now);
    w.placement.placeTasks(w.now);
    w.commit();
    for (int j = 1; j <= 300; j++) {
      int tasks = j <= 100 ? 34 : 33;
      w.schedulerState.accept(
          JobSpecBuilder.job("job-" + j, tasks, 4 + differ * j).team(j % 2).build(), 5, 0, w.now);
    }
    w.schedulerState
        .machines()
        .forEach(
            m ->
                w.schedulerState.processHeartbeat(
                    m, JobSpecBuilder.heartbeatListingAttempts(m, 2, 1, RUNNING), true, w.now));
    return w.sketch();
  }

  /** A takeover of all jobs with all their attempts, as their records say. */
  @TestFactory
  Stream<DynamicTest> takeover() {
    return Stream.of(
        scale(
            "a takeover looks at each task once to make the queues, not once for each attempt",
            w -> {
              w.jobs(2);
              w.placement.placeTasks(w.now);
              TestCluster next = new TestCluster(MACHINES);
              for (Job j : w.schedulerState.jobs()) {
                Job taken = next.schedulerState.accept(j.spec, 5, 0, next.now);
                for (int i = 0; i < j.attemptRecordCount(); i++) {
                  next.schedulerState.restoreRecord(taken.attemptRecord(i), 9, new BitSet(), 1);
                }
                for (int t = 0; t < TASKS; t++) {
                  Attempt a = j.liveAttempt(t);
                  if (a != null) {
                    Machine m = next.schedulerState.machine(a.machine.name);
                    next.schedulerState.restoreAttempt(
                        taken, t, a.number, m, a.incarnation, next.now);
                  }
                }
                next.schedulerState.finishRestore(taken, next.now);
                assertEquals(j.pendingTaskCount(), taken.pendingTaskCount());
                assertEquals(j.liveAttemptCount(), taken.liveAttemptCount());
              }
              atMost(JOBS * TASKS, next.schedulerState.rebuiltQueueTasks());
            }));
  }

  /** What a record says is what a takeover reads. */
  @TestFactory
  Stream<DynamicTest> records() {
    return Stream.of(
        scale(
            "attempts come back from their record, each with its machine",
            w -> {
              Job j =
                  w.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 100, 8).spot().build(), 5, 0, w.now);
              w.placement.placeTasks(w.now);
              List<RecordedAttempt> live =
                  AttemptRecordCodec.unresolvedAttempts(
                      AttemptRecordCodec.encode(j.attemptRecord(0), w.zones));
              assertEquals(100, live.size());
              for (RecordedAttempt l : live) {
                Attempt a = j.liveAttempt(l.task());
                assertEquals(a.machine.name, l.machine());
                assertEquals(a.number, l.number());
                assertEquals(a.incarnation, l.incarnation());
                assertEquals(w.zones.name(a.machine.zone), l.zone());
                assertEquals("t32", l.type());
              }
            }));
  }
}
