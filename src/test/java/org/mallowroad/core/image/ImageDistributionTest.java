package org.mallowroad.core.image;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptOutcome;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.scheduling.TaskScheduler;
import org.mallowroad.simulation.ImageFetchWave;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;

/**
 * Tests which machines fetch an image, how many at once and from which source, and that workers
 * that do not serve images are not affected.
 */
final class ImageDistributionTest {
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t", 1, 0, 64, 40, 0.4, 1, 0.5, 30, new int[] {0, 1});
    final SchedulerState schedulerState;
    final TaskScheduler scheduler;
    final List<Machine> machines = new ArrayList<>();
    final boolean servesImages;
    long nowMs = 1_000_000;
    long sequence;
    int submittedJobs;

    TestCluster(ImageFetchPolicy policy, boolean servesImages) {
      zones.intern("a");
      zones.intern("b");
      this.servesImages = servesImages;
      FleetHealth health = new FleetHealth(HealthPolicy.defaults(), 2, 600, nowMs);
      schedulerState =
          new SchedulerState(
              1, 9_000, 600, List.of(new Team("t", 1e9, 0, 1e9, 0)), zones, health, policy);
      scheduler = new TaskScheduler(schedulerState);
    }

    Machine addMachine(int zone) {
      Machine machine =
          schedulerState.registerMachine("n-" + machines.size(), type, zone, false, nowMs);
      machines.add(machine);
      sendHeartbeat(machine, null);
      return machine;
    }

    /** Sends a heartbeat that reports all launched attempts in the given state. */
    List<WorkerCommand> sendHeartbeat(Machine machine, Heartbeat.State state) {
      return sendHeartbeat(machine, state, 1);
    }

    List<WorkerCommand> sendHeartbeat(Machine machine, Heartbeat.State state, long incarnation) {
      List<Heartbeat.Entry> entries = new ArrayList<>();
      for (Attempt attempt : machine.attempts()) {
        if (state != null
            && attempt.phase != Attempt.Phase.RECORDING
            && attempt.incarnation == incarnation) {
          entries.add(
              new Heartbeat.Entry(
                  attempt.job.spec.id(), attempt.task, attempt.number, state, null));
        }
      }
      String zone = zones.name(machine.zone);
      return schedulerState.processHeartbeat(
          machine,
          new Heartbeat(
              machine.name,
              machine.name + ":1",
              "t",
              zone,
              false,
              incarnation,
              ++sequence,
              1,
              -1,
              entries,
              servesImages),
          true,
          nowMs);
    }

    /** Submits a job whose tasks need the given image of 20 GB. */
    Job submitJob(int tasks, int image) {
      JobSpec spec =
          new JobSpec(
              "job-" + submittedJobs++,
              0,
              0,
              true,
              false,
              2,
              tasks,
              1,
              0,
              1,
              image,
              20,
              null,
              -1,
              false,
              false,
              true,
              0,
              0,
              0,
              0,
              0,
              org.mallowroad.core.dependency.JobDependencies.NONE);
      return schedulerState.accept(spec, 5, 0, nowMs);
    }

    void place() {
      scheduler.placeTasks(nowMs);
      JobSpecBuilder.commitDirtyRecords(schedulerState, nowMs);
    }

    List<String> launchedImageSources(Machine machine) {
      for (WorkerCommand command : sendHeartbeat(machine, null)) {
        if (command.kind() == WorkerCommand.Kind.LAUNCH) {
          return command.imageSources();
        }
      }
      return List.of("no launch");
    }
  }

  private interface TestBody {
    void run(TestCluster cluster);
  }

  private static DynamicTest testCase(
      String name, ImageFetchPolicy policy, boolean servesImages, TestBody body) {
    return DynamicTest.dynamicTest(name, () -> body.run(new TestCluster(policy, servesImages)));
  }

  private static final ImageFetchPolicy UNLIMITED = ImageFetchPolicy.defaults();
  private static final ImageFetchPolicy TWO_FROM_SHARED_SOURCE =
      new ImageFetchPolicy(2, 0, 1, 2, 1);

  @TestFactory
  Stream<DynamicTest> imageDistribution() {
    return Stream.of(
        testCase(
            "all machines fetch at once without a limit, even if their workers serve images",
            UNLIMITED,
            true,
            cluster -> {
              for (int i = 0; i < 6; i++) {
                cluster.addMachine(i % 2);
              }
              Job job = cluster.submitJob(6, 0);
              cluster.place();
              assertEquals(6, job.liveAttemptCount());
              assertEquals(6, cluster.schedulerState.imageDistribution().sharedSourceFetchCount());
            }),
        testCase(
            "the limit of the shared source holds starts back until a machine holds the image",
            TWO_FROM_SHARED_SOURCE,
            true,
            cluster -> {
              for (int i = 0; i < 6; i++) {
                cluster.addMachine(0);
              }
              Job job = cluster.submitJob(6, 0);
              cluster.place();
              assertEquals(2, job.liveAttemptCount());
              Machine holder = busyMachines(cluster).get(0);
              assertEquals(List.of(), cluster.launchedImageSources(holder));
              cluster.sendHeartbeat(holder, Heartbeat.State.PULLING);
              cluster.place();
              assertEquals(2, job.liveAttemptCount());
              cluster.sendHeartbeat(holder, Heartbeat.State.RUNNING);
              cluster.place();
              // One more machine fetches from the shared source, and one from the holder.
              assertEquals(4, job.liveAttemptCount());
              assertEquals(2, cluster.schedulerState.imageDistribution().sharedSourceFetchCount());
              int fetchersFromHolder = 0;
              for (Machine machine : busyMachines(cluster)) {
                fetchersFromHolder +=
                    cluster.launchedImageSources(machine).equals(List.of(holder.address)) ? 1 : 0;
              }
              assertEquals(1, fetchersFromHolder);
              assertTrue(cluster.schedulerState.imageDistribution().isServing(holder));
            }),
        testCase(
            "workers that do not serve images get no sources, and the limit applies to them",
            TWO_FROM_SHARED_SOURCE,
            false,
            cluster -> {
              for (int i = 0; i < 6; i++) {
                cluster.addMachine(0);
              }
              Job job = cluster.submitJob(6, 0);
              cluster.place();
              busyMachines(cluster)
                  .forEach(machine -> cluster.sendHeartbeat(machine, Heartbeat.State.RUNNING));
              cluster.place();
              assertEquals(4, job.liveAttemptCount());
              for (Machine machine : busyMachines(cluster)) {
                assertTrue(
                    cluster.launchedImageSources(machine).isEmpty()
                        || cluster.launchedImageSources(machine).contains("no launch"));
              }
            }),
        testCase(
            "a machine that still fetches, will be interrupted or restarted is no image source",
            UNLIMITED,
            true,
            cluster -> {
              Machine first = cluster.addMachine(0);
              Job job = cluster.submitJob(4, 0);
              cluster.place();
              cluster.sendHeartbeat(first, Heartbeat.State.PULLING);
              Machine second = cluster.addMachine(0);
              cluster.place();
              assertEquals(List.of(), cluster.launchedImageSources(second));
              cluster.sendHeartbeat(first, Heartbeat.State.RUNNING);
              first.interruptionMs = cluster.nowMs + 9_000;
              Machine third = cluster.addMachine(0);
              cluster.place();
              assertEquals(List.of(), cluster.launchedImageSources(third));
              first.interruptionMs = 0;
              cluster.sendHeartbeat(first, null, 2);
              assertEquals(0, cluster.schedulerState.imageDistribution().holderCount(0));
              assertEquals(3, job.liveAttemptCount() + job.pendingTaskCount() - 1);
            }),
        testCase(
            "two copies are fetched from another zone, then the zone's own holder serves it",
            new ImageFetchPolicy(1, 0, 9, 2, 1),
            true,
            cluster -> {
              Machine first = cluster.addMachine(0);
              cluster.submitJob(9, 0);
              cluster.place();
              cluster.sendHeartbeat(first, Heartbeat.State.RUNNING);
              for (int i = 0; i < 5; i++) {
                cluster.addMachine(1);
              }
              cluster.place();
              // Two machines fetch from the other zone, and one from the shared source.
              assertEquals(1 + 2 + 1, busyMachines(cluster).size());
              Machine ownZoneHolder = null;
              for (Machine machine : busyMachines(cluster)) {
                if (machine.zone == 1
                    && cluster.launchedImageSources(machine).contains(first.address)) {
                  ownZoneHolder = machine;
                }
              }
              cluster.sendHeartbeat(ownZoneHolder, Heartbeat.State.RUNNING);
              cluster.place();
              int fetchersInZone = 0;
              for (Machine machine : busyMachines(cluster)) {
                fetchersInZone +=
                    cluster.launchedImageSources(machine).equals(List.of(ownZoneHolder.address))
                        ? 1
                        : 0;
              }
              assertEquals(2, fetchersInZone);
            }),
        testCase(
            "the deletion of an image source and of its fetchers leaves no counts behind",
            TWO_FROM_SHARED_SOURCE,
            true,
            cluster -> {
              for (int i = 0; i < 5; i++) {
                cluster.addMachine(0);
              }
              cluster.submitJob(5, 0);
              cluster.place();
              Machine holder = busyMachines(cluster).get(0);
              cluster.sendHeartbeat(holder, Heartbeat.State.RUNNING);
              cluster.place();
              cluster.schedulerState.machineDeleted(holder, cluster.nowMs);
              assertEquals(0, cluster.schedulerState.imageDistribution().holderCount(0));
              cluster
                  .schedulerState
                  .machines()
                  .forEach(
                      machine ->
                          assertFalse(
                              cluster.schedulerState.imageDistribution().isServing(machine)));
              for (Machine machine : List.copyOf(cluster.schedulerState.machines())) {
                cluster.schedulerState.machineDeleted(machine, cluster.nowMs);
              }
              assertEquals(0, cluster.schedulerState.imageDistribution().sharedSourceFetchCount());
              assertEquals(0, cluster.schedulerState.imageDistribution().trackedImageCount());
            }),
        testCase(
            "a machine is no holder of an image that later images may have evicted",
            UNLIMITED,
            true,
            cluster -> {
              Machine first = cluster.addMachine(0);
              Job job = cluster.submitJob(1, 0);
              cluster.place();
              cluster.sendHeartbeat(first, Heartbeat.State.RUNNING);
              assertEquals(1, cluster.schedulerState.imageDistribution().holderCount(0));
              cluster.schedulerState.cancel(job, cluster.nowMs);
              cluster.schedulerState.resolve(
                  job.liveAttempt(0), AttemptOutcome.STOPPED, cluster.nowMs);
              cluster.submitJob(1, 1);
              cluster.place();
              cluster.sendHeartbeat(first, Heartbeat.State.RUNNING);
              // Two images of 20 GB exceed the share of the 40 GB cache that is relied on.
              assertEquals(0, cluster.schedulerState.imageDistribution().holderCount(0));
              assertEquals(1, cluster.schedulerState.imageDistribution().holderCount(1));
            }));
  }

  private static List<Machine> busyMachines(TestCluster cluster) {
    List<Machine> busy = new ArrayList<>();
    cluster.machines.forEach(
        machine -> {
          if (!machine.isEmpty()) {
            busy.add(machine);
          }
        });
    return busy;
  }

  @Test
  void launchCommandNamesImageSourcesOnlyWhenThereAreSome() {
    WorkerCommand withoutSources = new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0);
    assertEquals(
        "{\"baton\":3,\"orders\":[{\"order\":\"launch\",\"move\":\"job-1/0\",\"try\":1}]}",
        Json.toText(WorkerCodec.encodeCommands(3, List.of(withoutSources))));
    WorkerCommand withSources =
        new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0, List.of("h:1"));
    assertTrue(
        Json.toText(WorkerCodec.encodeCommands(3, List.of(withSources)))
            .contains("\"givers\":[\"h:1\"]"));
  }

  /**
   * Simulates in virtual time a wave of starts that need the same image, with a shared source whose
   * rate suffices for 16 machines. When machines serve images, the last start must come within a
   * tenth of the theoretical bound, even if holders fail. Without limits and serving, all machines
   * share the source's rate, so the first start must take more than five times as long.
   */
  @Test
  void servingMachinesBringWaveNearTheoreticalBoundDespiteFailures() {
    for (boolean failures : new boolean[] {false, true}) {
      ImageFetchPolicy servingPolicy = new ImageFetchPolicy(16, 0, 1, 2, 1);
      ImageFetchWave.Settings serving =
          new ImageFetchWave.Settings(200, 350, 20, servingPolicy, true, failures);
      ImageFetchWave.Result servingFigures = new ImageFetchWave(serving, 1).run();
      assertTrue(
          servingFigures.allRunningS() > 0
              && servingFigures.allRunningS() <= 1.1 * ImageFetchWave.lowerBoundS(serving),
          "last " + servingFigures.allRunningS());
      ImageFetchWave.Settings notServing =
          new ImageFetchWave.Settings(
              200, 350, 20, new ImageFetchPolicy(0, 0, 0, 2, 1), false, failures);
      ImageFetchWave.Result notServingFigures = new ImageFetchWave(notServing, 1).run();
      assertTrue(
          notServingFigures.firstRunningS() > 5 * servingFigures.firstRunningS(),
          "first " + notServingFigures.firstRunningS());
    }
  }
}
