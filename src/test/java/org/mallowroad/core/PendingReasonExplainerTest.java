package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.explain.AutoscalerView;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.PendingCause;
import org.mallowroad.core.explain.PendingReason;
import org.mallowroad.core.explain.PendingReasonExplainer;
import org.mallowroad.core.explain.SnapshotBuilder;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * Creates the obstacle of each pending cause, checks that the cause is reported, and removes the
 * obstacle. Guards against wrong explanations: if the reported cause is not what prevents the
 * start, the job stays pending with the same cause after its removal.
 */
final class PendingReasonExplainerTest {
  private static final long TERM = 7;

  /** A cluster in virtual time with two teams, two zones and machines of 4 CPUs each. */
  private static final class TestCluster implements AutoscalerView {
    final NameIndex zones = new NameIndex();
    final NameIndex taskClasses = new NameIndex();
    final MachineType type =
        new MachineType(0, "t4", 4, 0, 16, 100, 1, 1.0, 0.4, 30, new int[] {0, 1});
    final Team team = new Team("team", 4, 0, 24, 0);
    final SchedulerState schedulerState;
    final TaskScheduler taskScheduler;
    final PendingReasonExplainer explainer;
    final SnapshotBuilder snapshotBuilder;
    final List<PendingMachines> pendingMachines = new ArrayList<>();
    boolean cloudRefuses;
    boolean leaseValid = true;
    long now = 1_000_000;
    int heartbeatSequence;
    int namedMachineCount;

    TestCluster() {
      zones.intern("north");
      zones.intern("south");
      taskClasses.intern("c");
      schedulerState =
          new SchedulerState(TERM, 20, 3, List.of(team, new Team("other", 8, 0, 400, 0)), zones);
      taskScheduler = new TaskScheduler(schedulerState);
      explainer =
          new PendingReasonExplainer(schedulerState, taskScheduler, this, zones, taskClasses);
      snapshotBuilder = new SnapshotBuilder(schedulerState, this, zones, explainer);
    }

    Machine addMachine(int zone) {
      Machine machine =
          schedulerState.registerMachine(
              String.format("n-%03d", ++namedMachineCount), type, zone, false, now);
      sendHeartbeat(machine);
      return machine;
    }

    void addMachines(int count) {
      for (int i = 0; i < count; i++) {
        addMachine(i % 2);
      }
    }

    void sendHeartbeat(Machine machine) {
      List<Heartbeat.Entry> entries = new ArrayList<>();
      for (Attempt attempt : machine.attempts()) {
        if (attempt.phase != Attempt.Phase.RECORDING) {
          entries.add(
              new Heartbeat.Entry(
                  attempt.job.spec.id(),
                  attempt.task,
                  attempt.number,
                  Heartbeat.State.RUNNING,
                  null));
        }
      }
      schedulerState.processHeartbeat(
          machine,
          new Heartbeat(
              machine.name, "h:1", "t4", "a", false, 1, ++heartbeatSequence, TERM, -1, entries),
          true,
          now);
      machine.recordResponse(machine.incarnation, now);
    }

    Job submit(JobSpecBuilder specBuilder) {
      return schedulerState.accept(specBuilder.build(), 5, 0, now);
    }

    void placeAndStartTasks() {
      taskScheduler.placeTasks(now);
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
      for (Machine machine : new ArrayList<>(schedulerState.machines())) {
        if (schedulerState.machineRefusal(machine, now) != StartRefusal.HEARTBEAT_OVERDUE) {
          sendHeartbeat(machine);
        }
      }
    }

    PendingReason explain(Job job) {
      explainer.begin(now);
      assertTrue(explainer.step(Integer.MAX_VALUE, Integer.MAX_VALUE));
      return explainer.reasonFor(job);
    }

    /**
     * Advances the time in steps of 500 ms, in which all machines except {@code silentMachines}
     * send heartbeats.
     */
    void advanceWithSilentMachines(long durationMs, List<Machine> silentMachines) {
      for (long endMs = now + durationMs; now < endMs; ) {
        now += 500;
        for (Machine machine : new ArrayList<>(schedulerState.machines())) {
          if (!silentMachines.contains(machine)) {
            sendHeartbeat(machine);
          }
        }
        schedulerState.health().pauseDetector().recordActivity(now);
        schedulerState.health().pauseDetector().recordTick();
        schedulerState.health().failureDetector().evaluate(now);
      }
    }

    List<Machine> machinesInZone(int zone) {
      return schedulerState.machines().stream().filter(machine -> machine.zone == zone).toList();
    }

    @Override
    public List<PendingMachines> pendingMachines(long atMs) {
      return pendingMachines;
    }

    @Override
    public long refusedSinceMs(MachineVariant variant) {
      return cloudRefuses ? 990_000 : -1;
    }

    @Override
    public List<MachineType> machineTypes() {
      return List.of(type);
    }

    @Override
    public boolean isLeaseValid() {
      return leaseValid;
    }

    @Override
    public long lastRenewalSentMs() {
      return now - 4_000;
    }
  }

  /** Creates the obstacle and returns the job that it holds back. */
  private interface Setup {
    Job createPendingJob(TestCluster cluster);
  }

  /** Removes the obstacle. */
  private interface Remedy {
    void apply(TestCluster cluster);
  }

  private static DynamicTest causeTest(
      PendingCause expected, String detailPart, Setup setup, Remedy remedy) {
    return DynamicTest.dynamicTest(
        expected + " is reported with the detail: " + detailPart,
        () -> {
          TestCluster cluster = new TestCluster();
          Job job = setup.createPendingJob(cluster);
          PendingReason reason = cluster.explain(job);
          assertNotNull(reason);
          assertEquals(expected, reason.cause(), reason.toString());
          assertTrue(reason.detail().contains(detailPart), reason.detail());
          assertTrue(reason.sinceMs() <= cluster.now, reason.toString());
          int pendingBefore = job.pendingTaskCount();
          remedy.apply(cluster);
          if (cluster.leaseValid) {
            cluster.taskScheduler.placeTasks(cluster.now);
          }
          PendingReason reasonAfterRemedy = cluster.explain(job);
          assertTrue(
              job.pendingTaskCount() < pendingBefore
                  || reasonAfterRemedy == null
                  || reasonAfterRemedy.cause() != expected,
              "the job is still pending: " + reasonAfterRemedy);
        });
  }

  @TestFactory
  Stream<DynamicTest> pendingCauseIsReportedUntilItsObstacleIsRemoved() {
    return Stream.of(
        causeTest(
            PendingCause.TEAM_LIMIT,
            "24 of 24 CPUs used by team",
            cluster -> {
              cluster.addMachines(10);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 20, 2));
              cluster.placeAndStartTasks();
              return job;
            },
            cluster -> cluster.team.usedCpus = 0),
        causeTest(
            PendingCause.BEHIND,
            "work of other that goes first runs on or waits for 40 CPUs",
            cluster -> {
              cluster.addMachines(10);
              cluster.submit(JobSpecBuilder.job("job-1", 10, 4).team(1).priority(1));
              cluster.placeAndStartTasks();
              return cluster.submit(JobSpecBuilder.job("job-2", 3, 2));
            },
            cluster -> cluster.addMachines(4)),
        causeTest(
            PendingCause.NO_ROOM,
            "2 machines full",
            cluster -> {
              cluster.addMachines(2);
              cluster.submit(JobSpecBuilder.job("job-1", 2, 4));
              cluster.placeAndStartTasks();
              return cluster.submit(JobSpecBuilder.job("job-2", 3, 2));
            },
            cluster -> cluster.addMachines(2)),
        causeTest(
            PendingCause.BOOTING,
            "2 machines booting, the first a t4 in zone south",
            cluster -> {
              cluster.pendingMachines.add(
                  new PendingMachines(
                      new MachineVariant(cluster.type, 1, false), 2, cluster.now - 5_000));
              return cluster.submit(JobSpecBuilder.job("job-1", 3, 2));
            },
            cluster -> {
              cluster.pendingMachines.clear();
              cluster.addMachine(1);
            }),
        causeTest(
            PendingCause.CLOUD_REFUSES,
            "the cloud refuses all it may run on, t4 in zone south",
            cluster -> {
              cluster.cloudRefuses = true;
              cluster.addMachine(0);
              return cluster.submit(JobSpecBuilder.job("job-1", 3, 2).zone(1));
            },
            cluster -> cluster.cloudRefuses = false),
        causeTest(
            PendingCause.NO_MACHINES,
            "none of the types, zones and kinds it allows",
            cluster -> {
              cluster.addMachine(0);
              return cluster.submit(JobSpecBuilder.job("job-1", 3, 2).zone(1));
            },
            cluster -> cluster.addMachine(1)),
        causeTest(
            PendingCause.ZONE_CUT,
            "10 silent machines in zone north",
            cluster -> {
              cluster.addMachines(20);
              cluster.advanceWithSilentMachines(10_000, cluster.machinesInZone(0));
              return cluster.submit(JobSpecBuilder.job("job-1", 3, 2).zone(0));
            },
            cluster -> cluster.machinesInZone(0).forEach(cluster::sendHeartbeat)),
        causeTest(
            PendingCause.ZONE_CUT,
            "in zone north, which is cut off",
            cluster -> {
              cluster.addMachines(20);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 3, 2).zone(0));
              cluster.placeAndStartTasks();
              cluster.advanceWithSilentMachines(10_000, cluster.machinesInZone(0));
              return job;
            },
            cluster ->
                cluster
                    .machinesInZone(0)
                    .forEach(
                        machine -> cluster.schedulerState.machineDeleted(machine, cluster.now))),
        causeTest(
            PendingCause.MACHINES_SILENT,
            "1 silent machine, most in zone north",
            cluster -> {
              cluster.addMachines(2);
              cluster.advanceWithSilentMachines(10_000, cluster.machinesInZone(0));
              return cluster.submit(JobSpecBuilder.job("job-1", 3, 2).zone(0));
            },
            cluster -> cluster.machinesInZone(0).forEach(cluster::sendHeartbeat)),
        causeTest(
            PendingCause.NOT_PROVEN_GONE,
            "2 tasks on silent machines, one on n-001 in zone north",
            cluster -> {
              cluster.addMachines(2);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 2, 2).zone(0));
              cluster.placeAndStartTasks();
              cluster.advanceWithSilentMachines(8_000, cluster.machinesInZone(0));
              return job;
            },
            cluster -> {
              cluster.now += 30_000;
              cluster.schedulerState.expireLeases(cluster.now);
            }),
        causeTest(
            PendingCause.GANG,
            "places for 4 of 5 tasks",
            cluster -> {
              cluster.addMachines(4);
              return cluster.submit(JobSpecBuilder.job("job-1", 5, 3).gang());
            },
            cluster -> cluster.addMachines(1)),
        causeTest(
            PendingCause.ZONE_RULES,
            "its other tasks are in north (together)",
            cluster -> {
              cluster.addMachine(0);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 3, 4).together());
              cluster.placeAndStartTasks();
              cluster.addMachines(8);
              cluster.submit(JobSpecBuilder.job("job-2", 4, 4).team(1).zone(0).priority(1));
              cluster.placeAndStartTasks();
              return job;
            },
            cluster -> cluster.addMachine(0)),
        causeTest(
            PendingCause.ZONE_RULES,
            "never: all 4 tasks of the gang have to be in one zone, and scatter lets 2 be there",
            cluster -> {
              cluster.addMachines(8);
              return cluster.submit(JobSpecBuilder.job("job-1", 4, 1).gang().scatter().zone(0));
            },
            cluster ->
                cluster.schedulerState.cancel(cluster.schedulerState.job("job-1"), cluster.now)),
        causeTest(
            PendingCause.SLOW_MACHINES,
            "1 machine",
            cluster -> {
              cluster.addMachines(10);
              Machine machine = cluster.addMachine(0);
              cluster.submit(JobSpecBuilder.job("job-0", 10, 4).team(1));
              for (int i = 0; i < 5; i++) {
                cluster
                    .schedulerState
                    .health()
                    .recordTaskFailed(machine.health, 100 + i, false, cluster.now);
              }
              assertTrue(machine.health.isSuspect());
              cluster.placeAndStartTasks();
              return cluster.submit(JobSpecBuilder.job("job-1", 1, 1).priority(1));
            },
            cluster -> cluster.addMachine(0)),
        causeTest(
            PendingCause.FAILED_THERE,
            "1 machine",
            cluster -> {
              cluster.addMachine(0);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
              cluster.placeAndStartTasks();
              cluster.schedulerState.resolve(
                  job.liveAttempt(0), AttemptOutcome.FAILED, cluster.now);
              cluster.now += 2_000;
              cluster.schedulerState.machines().forEach(cluster::sendHeartbeat);
              return job;
            },
            cluster -> cluster.addMachine(0)),
        causeTest(
            PendingCause.HELD_BACK,
            "1 failure in a row",
            cluster -> {
              cluster.addMachines(2);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
              cluster.placeAndStartTasks();
              cluster.schedulerState.resolve(
                  job.liveAttempt(0), AttemptOutcome.LAUNCH_REFUSED, cluster.now);
              return job;
            },
            cluster -> cluster.now += 1_000),
        causeTest(
            PendingCause.LEAVING,
            "2 machines",
            cluster -> {
              cluster.addMachines(2);
              cluster.schedulerState.machines().forEach(machine -> machine.draining = true);
              return cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
            },
            cluster -> cluster.addMachine(0)),
        causeTest(
            PendingCause.STATE_AWAY,
            "the lease is not renewed",
            cluster -> {
              cluster.addMachines(2);
              cluster.leaseValid = false;
              return cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
            },
            cluster -> cluster.leaseValid = true),
        causeTest(
            PendingCause.AWAITS_COMMIT,
            "1 start, 1 uncommitted record",
            cluster -> {
              cluster.addMachines(2);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
              cluster.taskScheduler.placeTasks(cluster.now);
              return job;
            },
            cluster -> JobSpecBuilder.commitDirtyRecords(cluster.schedulerState, cluster.now)),
        causeTest(
            PendingCause.IMAGE,
            "1 task without an image",
            cluster -> {
              Machine machine = cluster.addMachine(0);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
              cluster.taskScheduler.placeTasks(cluster.now);
              JobSpecBuilder.commitDirtyRecords(cluster.schedulerState, cluster.now);
              cluster.schedulerState.processHeartbeat(
                  machine,
                  JobSpecBuilder.heartbeatListingAttempts(
                      machine, ++cluster.heartbeatSequence, TERM, Heartbeat.State.PULLING),
                  true,
                  cluster.now);
              return job;
            },
            cluster -> cluster.schedulerState.machines().forEach(cluster::sendHeartbeat)),
        causeTest(
            PendingCause.STARTING,
            "there is room",
            cluster -> {
              cluster.addMachines(2);
              return cluster.submit(JobSpecBuilder.job("job-1", 1, 1));
            },
            cluster -> {}));
  }

  @TestFactory
  Stream<DynamicTest> snapshotsShowOpenJobsAndTheirTasks() {
    return Stream.of(
        DynamicTest.dynamicTest(
            "a running job has no pending reason, and its snapshot lists the machines of its tasks",
            () -> {
              TestCluster cluster = new TestCluster();
              cluster.addMachines(2);
              Job job = cluster.submit(JobSpecBuilder.job("job-1", 3, 2));
              cluster.placeAndStartTasks();
              assertNull(cluster.explain(job));
              JobSnapshot snapshot =
                  cluster.snapshotBuilder.jobSnapshot("job-1", cluster.now + 4_000);
              assertEquals(3, snapshot.tasks().size());
              assertEquals("running", snapshot.tasks().get(0).phase());
              assertEquals("n-001", snapshot.tasks().get(0).machine());
              assertEquals("north", snapshot.tasks().get(0).zone());
              assertEquals("", snapshot.job().reason());
              assertNull(cluster.snapshotBuilder.jobSnapshot("job-2", cluster.now).job());
            }),
        DynamicTest.dynamicTest(
            "a job that ends between two steps is omitted, and the other jobs are explained",
            () -> {
              TestCluster cluster = new TestCluster();
              cluster.addMachines(2);
              for (int i = 1; i <= 5; i++) {
                cluster.submit(JobSpecBuilder.job("job-" + i, 1, 4).zone(1));
              }
              cluster.placeAndStartTasks();
              cluster.snapshotBuilder.begin(cluster.now);
              assertEquals(false, cluster.snapshotBuilder.step(1));
              Job endedJob = cluster.schedulerState.job("job-4");
              cluster.schedulerState.cancel(endedJob, cluster.now);
              cluster.schedulerState.markEnded(endedJob, cluster.now);
              cluster.schedulerState.removeJob(endedJob);
              while (!cluster.snapshotBuilder.step(1)) {
                assertTrue(cluster.snapshotBuilder.jobs().size() < 5);
              }
              assertNull(cluster.explainer.reasonFor(endedJob));
              assertNotNull(cluster.explainer.reasonFor(cluster.schedulerState.job("job-5")));
            }));
  }

  /**
   * Each job with startable tasks has a pending reason; after the removal of its obstacle the job
   * starts a task or has another cause. Guards against causes that do not hold the job back, in
   * clusters that are decoded from random numbers.
   */
  @Property(tries = 600, seed = "14")
  void pendingJobStartsOrChangesCauseWhenItsObstacleIsRemoved(
      @ForAll @Size(max = 12) List<@IntRange(max = 199) Integer> machineSeeds,
      @ForAll @Size(min = 1, max = 10) List<@IntRange(max = 99_999) Integer> jobSeeds,
      @ForAll @IntRange(max = 15) int clusterSeed) {
    TestCluster cluster = new TestCluster();
    for (int machineSeed : machineSeeds) {
      Machine machine = cluster.addMachine(machineSeed % 2);
      machine.draining = machineSeed / 2 % 10 == 9;
      if (machineSeed / 20 % 5 == 4) {
        machine.backoffUntilMs = cluster.now + 60_000;
      }
    }
    cluster.cloudRefuses = clusterSeed % 2 == 1;
    if (clusterSeed / 2 % 4 == 3) {
      cluster.pendingMachines.add(
          new PendingMachines(
              new MachineVariant(cluster.type, clusterSeed / 8, false), 1, cluster.now));
    }
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < jobSeeds.size(); i++) {
      int jobSeed = jobSeeds.get(i);
      JobSpecBuilder specBuilder =
          JobSpecBuilder.job("job-" + i, 1 + jobSeed % 5, 1 + jobSeed / 5 % 4)
              .team(jobSeed / 20 % 2);
      specBuilder = specBuilder.priority(jobSeed / 40 % 4).zone(jobSeed / 160 % 3 - 1);
      specBuilder = jobSeed / 480 % 4 == 1 ? specBuilder.gang() : specBuilder;
      specBuilder =
          jobSeed / 1920 % 4 == 1
              ? specBuilder.together()
              : jobSeed / 1920 % 4 == 2 ? specBuilder.scatter() : specBuilder;
      jobs.add(cluster.submit(specBuilder));
      if (jobSeed / 7680 % 2 == 1) {
        cluster.placeAndStartTasks();
      }
    }
    if (clusterSeed % 4 == 2) {
      cluster.advanceWithSilentMachines(9_000, cluster.machinesInZone(0));
    }
    for (Job job : jobs) {
      if (!job.hasStartableTasks()) {
        continue;
      }
      PendingReason reason = cluster.explain(job);
      assertNotNull(reason, "no pending reason for " + job.spec);
      if (reason.detail().startsWith("never: ")) {
        continue; // Contradictory zone rules hold the job back until it is cancelled.
      }
      removeObstacle(cluster, job, reason);
      int liveBefore = job.liveAttemptCount();
      cluster.taskScheduler.placeTasks(cluster.now);
      PendingReason reasonAfterRemoval = cluster.explain(job);
      assertTrue(
          job.liveAttemptCount() > liveBefore
              || reasonAfterRemoval == null
              || reasonAfterRemoval.cause() != reason.cause(),
          reason + " was removed, but the job is still pending: " + reasonAfterRemoval);
    }
  }

  /** Removes the obstacle that the reason names. */
  private static void removeObstacle(TestCluster cluster, Job job, PendingReason reason) {
    switch (reason.cause()) {
      case TEAM_LIMIT ->
          cluster
              .schedulerState
              .teams()
              .forEach(
                  team -> {
                    team.usedCpus = -1e6;
                    team.usedCards = 0;
                  });
      case CLOUD_REFUSES -> cluster.cloudRefuses = false;
      case MACHINES_SILENT, ZONE_CUT ->
          cluster.schedulerState.machines().forEach(cluster::sendHeartbeat);
      case ZONE_RULES -> {
        for (int task = 0; task < job.spec.tasks(); task++) {
          if (job.liveAttempt(task) != null) {
            cluster.schedulerState.resolve(job.liveAttempt(task), AttemptOutcome.LOST, cluster.now);
          }
        }
      }
      case STARTING -> {} // There is no obstacle.
      default -> {
        // More room than all jobs ahead of this one can fill together.
        cluster.pendingMachines.clear();
        cluster.cloudRefuses = false;
        cluster.addMachines(120);
      }
    }
  }
}
