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

/** Who fetches, how many at once, and from whom; today's workers see nothing of it. */
final class ImageDistributionTest {
  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final MachineType type =
        new MachineType(0, "t", 1, 0, 64, 40, 0.4, 1, 0.5, 30, new int[] {0, 1});
    final SchedulerState schedulerState;
    final TaskScheduler placement;
    final List<Machine> machines = new ArrayList<>();
    final boolean handsOn;
    long now = 1_000_000;
    long sequence;
    int jobs;

    TestCluster(ImageFetchPolicy p, boolean handsOn) {
      zones.intern("a");
      zones.intern("b");
      this.handsOn = handsOn;
      FleetHealth h = new FleetHealth(HealthPolicy.defaults(), 2, 600, now);
      schedulerState =
          new SchedulerState(1, 9_000, 600, List.of(new Team("t", 1e9, 0, 1e9, 0)), zones, h, p);
      placement = new TaskScheduler(schedulerState);
    }

    Machine machine(int zone) {
      Machine m = schedulerState.registerMachine("n-" + machines.size(), type, zone, false, now);
      machines.add(m);
      report(m, null);
      return m;
    }

    /** A report in which all that was launched is in the state. */
    List<WorkerCommand> report(Machine m, Heartbeat.State state) {
      return report(m, state, 1);
    }

    List<WorkerCommand> report(Machine m, Heartbeat.State state, long incarnation) {
      List<Heartbeat.Entry> all = new ArrayList<>();
      for (Attempt a : m.attempts()) {
        if (state != null && a.phase != Attempt.Phase.RECORDING && a.incarnation == incarnation) {
          all.add(new Heartbeat.Entry(a.job.spec.id(), a.task, a.number, state, null));
        }
      }
      String zone = zones.name(m.zone);
      return schedulerState.processHeartbeat(
          m,
          new Heartbeat(
              m.name,
              m.name + ":1",
              "t",
              zone,
              false,
              incarnation,
              ++sequence,
              1,
              -1,
              all,
              handsOn),
          true,
          now);
    }

    /** A job with its own image of so many GB, or that of the first one. */
    Job job(int tasks, int image) {
      JobSpec s =
          new JobSpec(
              "job-" + jobs++,
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
      return schedulerState.accept(s, 5, 0, now);
    }

    void place() {
      placement.placeTasks(now);
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    }

    List<String> imageSources(Machine m) {
      for (WorkerCommand o : report(m, null)) {
        if (o.kind() == WorkerCommand.Kind.LAUNCH) {
          return o.imageSources();
        }
      }
      return List.of("no launch");
    }
  }

  private interface Case {
    void run(TestCluster w);
  }

  private static DynamicTest stage(String name, ImageFetchPolicy p, boolean handsOn, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new TestCluster(p, handsOn)));
  }

  private static final ImageFetchPolicy NONE = ImageFetchPolicy.defaults();
  private static final ImageFetchPolicy TWO = new ImageFetchPolicy(2, 0, 1, 2, 1);

  @TestFactory
  Stream<DynamicTest> imageDistribution() {
    return Stream.of(
        stage(
            "without a limit all fetch at once, whatever their workers can",
            NONE,
            true,
            w -> {
              for (int i = 0; i < 6; i++) {
                w.machine(i % 2);
              }
              Job j = w.job(6, 0);
              w.place();
              assertEquals(6, j.liveAttemptCount());
              assertEquals(6, w.schedulerState.imageDistribution().sharedSourceFetchCount());
            }),
        stage(
            "a limit of the source holds the others back until one holds the image",
            TWO,
            true,
            w -> {
              for (int i = 0; i < 6; i++) {
                w.machine(0);
              }
              Job j = w.job(6, 0);
              w.place();
              assertEquals(2, j.liveAttemptCount());
              Machine first = busy(w).get(0);
              assertEquals(List.of(), w.imageSources(first));
              w.report(first, Heartbeat.State.PULLING);
              w.place();
              assertEquals(2, j.liveAttemptCount());
              w.report(first, Heartbeat.State.RUNNING);
              w.place();
              // One more from the source, and one that the holder hands on to.
              assertEquals(4, j.liveAttemptCount());
              assertEquals(2, w.schedulerState.imageDistribution().sharedSourceFetchCount());
              int handed = 0;
              for (Machine m : busy(w)) {
                handed += w.imageSources(m).equals(List.of(first.address)) ? 1 : 0;
              }
              assertEquals(1, handed);
              assertTrue(w.schedulerState.imageDistribution().isServing(first));
            }),
        stage(
            "today's workers are told of nobody, and the limit is kept for them as well",
            TWO,
            false,
            w -> {
              for (int i = 0; i < 6; i++) {
                w.machine(0);
              }
              Job j = w.job(6, 0);
              w.place();
              busy(w).forEach(m -> w.report(m, Heartbeat.State.RUNNING));
              w.place();
              assertEquals(4, j.liveAttemptCount());
              for (Machine m : busy(w)) {
                assertTrue(w.imageSources(m).isEmpty() || w.imageSources(m).contains("no launch"));
              }
            }),
        stage(
            "who has a half, is slow, noticed or of a session before is no giver",
            NONE,
            true,
            w -> {
              Machine a = w.machine(0);
              Job j = w.job(4, 0);
              w.place();
              w.report(a, Heartbeat.State.PULLING);
              Machine b = w.machine(0);
              w.place();
              assertEquals(List.of(), w.imageSources(b));
              w.report(a, Heartbeat.State.RUNNING);
              a.interruptionMs = w.now + 9_000;
              Machine c = w.machine(0);
              w.place();
              assertEquals(List.of(), w.imageSources(c));
              a.interruptionMs = 0;
              w.report(a, null, 2);
              assertEquals(0, w.schedulerState.imageDistribution().holderCount(0));
              assertEquals(3, j.liveAttemptCount() + j.pendingTaskCount() - 1);
            }),
        stage(
            "a copy or two cross a zone's border, then its own holder hands on",
            new ImageFetchPolicy(1, 0, 9, 2, 1),
            true,
            w -> {
              Machine a = w.machine(0);
              w.job(9, 0);
              w.place();
              w.report(a, Heartbeat.State.RUNNING);
              for (int i = 0; i < 5; i++) {
                w.machine(1);
              }
              w.place();
              // Two from the other zone, and one from the source.
              assertEquals(1 + 2 + 1, busy(w).size());
              Machine own = null;
              for (Machine m : busy(w)) {
                if (m.zone == 1 && w.imageSources(m).contains(a.address)) {
                  own = m;
                }
              }
              w.report(own, Heartbeat.State.RUNNING);
              w.place();
              int from = 0;
              for (Machine m : busy(w)) {
                from += w.imageSources(m).equals(List.of(own.address)) ? 1 : 0;
              }
              assertEquals(2, from);
            }),
        stage(
            "a giver that is gone frees its takers' places, and what it held is forgotten",
            TWO,
            true,
            w -> {
              for (int i = 0; i < 5; i++) {
                w.machine(0);
              }
              w.job(5, 0);
              w.place();
              Machine first = busy(w).get(0);
              w.report(first, Heartbeat.State.RUNNING);
              w.place();
              w.schedulerState.machineDeleted(first, w.now);
              assertEquals(0, w.schedulerState.imageDistribution().holderCount(0));
              w.schedulerState
                  .machines()
                  .forEach(m -> assertFalse(w.schedulerState.imageDistribution().isServing(m)));
              for (Machine m : List.copyOf(w.schedulerState.machines())) {
                w.schedulerState.machineDeleted(m, w.now);
              }
              assertEquals(0, w.schedulerState.imageDistribution().sharedSourceFetchCount());
              assertEquals(0, w.schedulerState.imageDistribution().trackedImageCount());
            }),
        stage(
            "what later images may have pushed out of a cache is told to nobody",
            NONE,
            true,
            w -> {
              Machine a = w.machine(0);
              Job j = w.job(1, 0);
              w.place();
              w.report(a, Heartbeat.State.RUNNING);
              assertEquals(1, w.schedulerState.imageDistribution().holderCount(0));
              w.schedulerState.cancel(j, w.now);
              w.schedulerState.resolve(j.liveAttempt(0), AttemptOutcome.STOPPED, w.now);
              w.job(1, 1);
              w.place();
              w.report(a, Heartbeat.State.RUNNING);
              // 40 GB of cache, 20 and 20 in it: the older one is not counted on.
              assertEquals(0, w.schedulerState.imageDistribution().holderCount(0));
              assertEquals(1, w.schedulerState.imageDistribution().holderCount(1));
            }));
  }

  private static List<Machine> busy(TestCluster w) {
    List<Machine> out = new ArrayList<>();
    w.machines.forEach(
        m -> {
          if (!m.isEmpty()) {
            out.add(m);
          }
        });
    return out;
  }

  @Test
  void todaysWorkersGetTodaysMessagesByteForByte() {
    WorkerCommand plain = new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0);
    assertEquals(
        "{\"baton\":3,\"orders\":[{\"order\":\"launch\",\"move\":\"job-1/0\",\"try\":1}]}",
        Json.toText(WorkerCodec.encodeCommands(3, List.of(plain))));
    WorkerCommand told =
        new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0, List.of("h:1"));
    assertTrue(
        Json.toText(WorkerCodec.encodeCommands(3, List.of(told))).contains("\"givers\":[\"h:1\"]"));
  }

  /** Virtual time; a source that gives what 16 machines can take. */
  @Test
  void aWaveWithHandOnIsNearTheBoundWhateverHoldersDie() {
    for (boolean failures : new boolean[] {false, true}) {
      ImageFetchPolicy limit = new ImageFetchPolicy(16, 0, 1, 2, 1);
      ImageFetchWave.Setting on = new ImageFetchWave.Setting(200, 350, 20, limit, true, failures);
      ImageFetchWave.Figures f = new ImageFetchWave(on, 1).play();
      assertTrue(f.lastS() > 0 && f.lastS() <= 1.1 * ImageFetchWave.bound(on), "last " + f.lastS());
      ImageFetchWave.Setting off =
          new ImageFetchWave.Setting(
              200, 350, 20, new ImageFetchPolicy(0, 0, 0, 2, 1), false, failures);
      ImageFetchWave.Figures before = new ImageFetchWave(off, 1).play();
      assertTrue(before.firstS() > 5 * f.firstS(), "first " + before.firstS());
    }
  }
}
