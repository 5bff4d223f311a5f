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

/** Each reason with what brings it about, and gone when that is taken away. */
final class PendingReasonExplainerTest {
  private static final long TERM = 7;

  /** Two teams, two zones of ten machines of 4 CPUs when all are there, virtual time. */
  private static final class TestCluster implements AutoscalerView {
    final NameIndex zones = new NameIndex();
    final NameIndex classes = new NameIndex();
    final MachineType type =
        new MachineType(0, "t4", 4, 0, 16, 100, 1, 1.0, 0.4, 30, new int[] {0, 1});
    final Team team = new Team("team", 4, 0, 24, 0);
    final SchedulerState schedulerState;
    final TaskScheduler placement;
    final PendingReasonExplainer explainer;
    final SnapshotBuilder sketch;
    final List<PendingMachines> coming = new ArrayList<>();
    boolean refusing;
    boolean firm = true;
    long now = 1_000_000;
    int sequence;
    int named;

    TestCluster() {
      zones.intern("north");
      zones.intern("south");
      classes.intern("c");
      schedulerState =
          new SchedulerState(TERM, 20, 3, List.of(team, new Team("other", 8, 0, 400, 0)), zones);
      placement = new TaskScheduler(schedulerState);
      explainer = new PendingReasonExplainer(schedulerState, placement, this, zones, classes);
      sketch = new SnapshotBuilder(schedulerState, this, zones, explainer);
    }

    Machine machine(int zone) {
      Machine m =
          schedulerState.registerMachine(String.format("n-%03d", ++named), type, zone, false, now);
      report(m);
      return m;
    }

    void machines(int n) {
      for (int i = 0; i < n; i++) {
        machine(i % 2);
      }
    }

    void report(Machine m) {
      List<Heartbeat.Entry> all = new ArrayList<>();
      for (Attempt a : m.attempts()) {
        if (a.phase != Attempt.Phase.RECORDING) {
          all.add(
              new Heartbeat.Entry(
                  a.job.spec.id(), a.task, a.number, Heartbeat.State.RUNNING, null));
        }
      }
      schedulerState.processHeartbeat(
          m,
          new Heartbeat(m.name, "h:1", "t4", "a", false, 1, ++sequence, TERM, -1, all),
          true,
          now);
      m.lastResponseMs = now;
    }

    Job job(JobSpecBuilder s) {
      return schedulerState.accept(s.build(), 5, 0, now);
    }

    void run() {
      placement.placeTasks(now);
      JobSpecBuilder.commitDirtyRecords(schedulerState, now);
      for (Machine m : new ArrayList<>(schedulerState.machines())) {
        if (schedulerState.machineRefusal(m, now) != StartRefusal.HEARTBEAT_OVERDUE) {
          report(m);
        }
      }
    }

    PendingReason why(Job j) {
      explainer.begin(now);
      assertTrue(explainer.step(Integer.MAX_VALUE, Integer.MAX_VALUE));
      return explainer.finding(j);
    }

    /** The machines but these are heard again after a while. */
    void silent(long ms, List<Machine> but) {
      for (long end = now + ms; now < end; ) {
        now += 500;
        for (Machine m : new ArrayList<>(schedulerState.machines())) {
          if (!but.contains(m)) {
            report(m);
          }
        }
        schedulerState.health().pauseDetector().recordActivity(now);
        schedulerState.health().pauseDetector().recordTick();
        schedulerState.health().failureDetector().evaluate(now);
      }
    }

    List<Machine> in(int zone) {
      return schedulerState.machines().stream().filter(m -> m.zone == zone).toList();
    }

    @Override
    public List<PendingMachines> pendingMachines(long at) {
      return coming;
    }

    @Override
    public long refusedSinceMs(MachineVariant v) {
      return refusing ? 990_000 : -1;
    }

    @Override
    public List<MachineType> machineTypes() {
      return List.of(type);
    }

    @Override
    public boolean isLeaseValid() {
      return firm;
    }

    @Override
    public long lastRenewalSentMs() {
      return now - 4_000;
    }
  }

  /** Brings the obstacle about and returns the job that waits. */
  private interface Setup {
    Job in(TestCluster w);
  }

  /** Takes the obstacle away. */
  private interface Remedy {
    void in(TestCluster w);
  }

  private static DynamicTest reason(
      PendingCause expected, String detail, Setup setup, Remedy remedy) {
    return DynamicTest.dynamicTest(
        expected + ": " + detail,
        () -> {
          TestCluster w = new TestCluster();
          Job j = setup.in(w);
          PendingReason f = w.why(j);
          assertNotNull(f);
          assertEquals(expected, f.cause(), f.toString());
          assertTrue(f.detail().contains(detail), f.detail());
          assertTrue(f.sinceMs() <= w.now, f.toString());
          int before = j.pendingTaskCount();
          remedy.in(w);
          if (w.firm) {
            w.placement.placeTasks(w.now);
          }
          PendingReason then = w.why(j);
          assertTrue(
              j.pendingTaskCount() < before || then == null || then.cause() != expected,
              "still " + then);
        });
  }

  @TestFactory
  Stream<DynamicTest> reasons() {
    return Stream.of(
        reason(
            PendingCause.TEAM_LIMIT,
            "24 of 24 CPUs used by team",
            w -> {
              w.machines(10);
              Job j = w.job(JobSpecBuilder.job("job-1", 20, 2));
              w.run();
              return j;
            },
            w -> w.team.usedCpus = 0),
        reason(
            PendingCause.BEHIND,
            "work of other that goes first runs on or waits for 40 CPUs",
            w -> {
              w.machines(10);
              w.job(JobSpecBuilder.job("job-1", 10, 4).team(1).priority(1));
              w.run();
              return w.job(JobSpecBuilder.job("job-2", 3, 2));
            },
            w -> w.machines(4)),
        reason(
            PendingCause.NO_ROOM,
            "2 machines full",
            w -> {
              w.machines(2);
              w.job(JobSpecBuilder.job("job-1", 2, 4));
              w.run();
              return w.job(JobSpecBuilder.job("job-2", 3, 2));
            },
            w -> w.machines(2)),
        reason(
            PendingCause.BOOTING,
            "2 machines booting, the first a t4 in zone south",
            w -> {
              w.coming.add(
                  new PendingMachines(new MachineVariant(w.type, 1, false), 2, w.now - 5_000));
              return w.job(JobSpecBuilder.job("job-1", 3, 2));
            },
            w -> {
              w.coming.clear();
              w.machine(1);
            }),
        reason(
            PendingCause.CLOUD_REFUSES,
            "the cloud refuses all it may run on, t4 in zone south",
            w -> {
              w.refusing = true;
              w.machine(0);
              return w.job(JobSpecBuilder.job("job-1", 3, 2).zone(1));
            },
            w -> w.refusing = false),
        reason(
            PendingCause.NO_MACHINES,
            "none of the types, zones and kinds it allows",
            w -> {
              w.machine(0);
              return w.job(JobSpecBuilder.job("job-1", 3, 2).zone(1));
            },
            w -> w.machine(1)),
        reason(
            PendingCause.ZONE_CUT,
            "10 silent machines in zone north",
            w -> {
              w.machines(20);
              w.silent(10_000, w.in(0));
              return w.job(JobSpecBuilder.job("job-1", 3, 2).zone(0));
            },
            w -> w.in(0).forEach(w::report)),
        reason(
            PendingCause.ZONE_CUT,
            "in zone north, which is cut off",
            w -> {
              w.machines(20);
              Job j = w.job(JobSpecBuilder.job("job-1", 3, 2).zone(0));
              w.run();
              w.silent(10_000, w.in(0));
              return j;
            },
            w -> w.in(0).forEach(m -> w.schedulerState.machineDeleted(m, w.now))),
        reason(
            PendingCause.MACHINES_SILENT,
            "1 silent machine, most in zone north",
            w -> {
              w.machines(2);
              w.silent(10_000, w.in(0));
              return w.job(JobSpecBuilder.job("job-1", 3, 2).zone(0));
            },
            w -> w.in(0).forEach(w::report)),
        reason(
            PendingCause.NOT_PROVEN_GONE,
            "2 tasks on silent machines, one on n-001 in zone north",
            w -> {
              w.machines(2);
              Job j = w.job(JobSpecBuilder.job("job-1", 2, 2).zone(0));
              w.run();
              w.silent(8_000, w.in(0));
              return j;
            },
            w -> {
              w.now += 30_000;
              w.schedulerState.expireLeases(w.now);
            }),
        reason(
            PendingCause.GANG,
            "places for 4 of 5 tasks",
            w -> {
              w.machines(4);
              return w.job(JobSpecBuilder.job("job-1", 5, 3).gang());
            },
            w -> w.machines(1)),
        reason(
            PendingCause.ZONE_RULES,
            "its other tasks are in north (together)",
            w -> {
              w.machine(0);
              Job j = w.job(JobSpecBuilder.job("job-1", 3, 4).together());
              w.run();
              w.machines(8);
              w.job(JobSpecBuilder.job("job-2", 4, 4).team(1).zone(0).priority(1));
              w.run();
              return j;
            },
            w -> w.machine(0)),
        reason(
            PendingCause.ZONE_RULES,
            "never: all 4 tasks of the gang have to be in one zone, and scatter lets 2 be there",
            w -> {
              w.machines(8);
              return w.job(JobSpecBuilder.job("job-1", 4, 1).gang().scatter().zone(0));
            },
            w -> w.schedulerState.cancel(w.schedulerState.job("job-1"), w.now)),
        reason(
            PendingCause.SLOW_MACHINES,
            "1 machine",
            w -> {
              w.machines(10);
              Machine m = w.machine(0);
              w.job(JobSpecBuilder.job("job-0", 10, 4).team(1));
              for (int i = 0; i < 5; i++) {
                w.schedulerState.health().recordTaskFailed(m.health, 100 + i, false, w.now);
              }
              assertTrue(m.health.isSuspect());
              w.run();
              return w.job(JobSpecBuilder.job("job-1", 1, 1).priority(1));
            },
            w -> w.machine(0)),
        reason(
            PendingCause.FAILED_THERE,
            "1 machine",
            w -> {
              w.machine(0);
              Job j = w.job(JobSpecBuilder.job("job-1", 1, 1));
              w.run();
              w.schedulerState.resolve(j.liveAttempt(0), AttemptOutcome.FAILED, w.now);
              w.now += 2_000;
              w.schedulerState.machines().forEach(w::report);
              return j;
            },
            w -> w.machine(0)),
        reason(
            PendingCause.HELD_BACK,
            "1 failure in a row",
            w -> {
              w.machines(2);
              Job j = w.job(JobSpecBuilder.job("job-1", 1, 1));
              w.run();
              w.schedulerState.resolve(j.liveAttempt(0), AttemptOutcome.LAUNCH_REFUSED, w.now);
              return j;
            },
            w -> w.now += 1_000),
        reason(
            PendingCause.LEAVING,
            "2 machines",
            w -> {
              w.machines(2);
              w.schedulerState.machines().forEach(m -> m.draining = true);
              return w.job(JobSpecBuilder.job("job-1", 1, 1));
            },
            w -> w.machine(0)),
        reason(
            PendingCause.STATE_AWAY,
            "the lease is not renewed",
            w -> {
              w.machines(2);
              w.firm = false;
              return w.job(JobSpecBuilder.job("job-1", 1, 1));
            },
            w -> w.firm = true),
        reason(
            PendingCause.AWAITS_COMMIT,
            "1 start, 1 uncommitted record",
            w -> {
              w.machines(2);
              Job j = w.job(JobSpecBuilder.job("job-1", 1, 1));
              w.placement.placeTasks(w.now);
              return j;
            },
            w -> JobSpecBuilder.commitDirtyRecords(w.schedulerState, w.now)),
        reason(
            PendingCause.IMAGE,
            "1 task without an image",
            w -> {
              Machine m = w.machine(0);
              Job j = w.job(JobSpecBuilder.job("job-1", 1, 1));
              w.placement.placeTasks(w.now);
              JobSpecBuilder.commitDirtyRecords(w.schedulerState, w.now);
              w.schedulerState.processHeartbeat(
                  m,
                  JobSpecBuilder.heartbeatListingAttempts(
                      m, ++w.sequence, TERM, Heartbeat.State.PULLING),
                  true,
                  w.now);
              return j;
            },
            w -> w.schedulerState.machines().forEach(w::report)),
        reason(
            PendingCause.STARTING,
            "there is room",
            w -> {
              w.machines(2);
              return w.job(JobSpecBuilder.job("job-1", 1, 1));
            },
            w -> {}));
  }

  @TestFactory
  Stream<DynamicTest> pictures() {
    return Stream.of(
        DynamicTest.dynamicTest(
            "what runs has no reason, and a job says where its tasks are",
            () -> {
              TestCluster w = new TestCluster();
              w.machines(2);
              Job j = w.job(JobSpecBuilder.job("job-1", 3, 2));
              w.run();
              assertNull(w.why(j));
              JobSnapshot p = w.sketch.jobSnapshot("job-1", w.now + 4_000);
              assertEquals(3, p.tasks().size());
              assertEquals("running", p.tasks().get(0).phase());
              assertEquals("n-001", p.tasks().get(0).machine());
              assertEquals("north", p.tasks().get(0).zone());
              assertEquals("", p.job().reason());
              assertNull(w.sketch.jobSnapshot("job-2", w.now).job());
            }),
        DynamicTest.dynamicTest(
            "a job that ends between two steps is left out, and the others are explained",
            () -> {
              TestCluster w = new TestCluster();
              w.machines(2);
              for (int i = 1; i <= 5; i++) {
                w.job(JobSpecBuilder.job("job-" + i, 1, 4).zone(1));
              }
              w.run();
              w.sketch.begin(w.now);
              assertEquals(false, w.sketch.step(1));
              Job gone = w.schedulerState.job("job-4");
              w.schedulerState.cancel(gone, w.now);
              w.schedulerState.markEnded(gone, w.now);
              w.schedulerState.removeJob(gone);
              while (!w.sketch.step(1)) {
                assertTrue(w.sketch.jobs().size() < 5);
              }
              assertNull(w.explainer.finding(gone));
              assertNotNull(w.explainer.finding(w.schedulerState.job("job-5")));
            }));
  }

  /** A job whose tasks wait has a reason, and without the obstacle it starts or has another one. */
  @Property(tries = 600, seed = "14")
  void aWaitingTaskHasAReasonThatHoldsIt(
      @ForAll @Size(max = 12) List<@IntRange(max = 199) Integer> machines,
      @ForAll @Size(min = 1, max = 10) List<@IntRange(max = 99_999) Integer> jobs,
      @ForAll @IntRange(max = 15) int site) {
    TestCluster w = new TestCluster();
    for (int m : machines) {
      Machine made = w.machine(m % 2);
      made.draining = m / 2 % 10 == 9;
      if (m / 20 % 5 == 4) {
        made.backoffUntilMs = w.now + 60_000;
      }
    }
    w.refusing = site % 2 == 1;
    if (site / 2 % 4 == 3) {
      w.coming.add(new PendingMachines(new MachineVariant(w.type, site / 8, false), 1, w.now));
    }
    List<Job> all = new ArrayList<>();
    for (int i = 0; i < jobs.size(); i++) {
      int x = jobs.get(i);
      JobSpecBuilder s = JobSpecBuilder.job("job-" + i, 1 + x % 5, 1 + x / 5 % 4).team(x / 20 % 2);
      s = s.priority(x / 40 % 4).zone(x / 160 % 3 - 1);
      s = x / 480 % 4 == 1 ? s.gang() : s;
      s = x / 1920 % 4 == 1 ? s.together() : x / 1920 % 4 == 2 ? s.scatter() : s;
      all.add(w.job(s));
      if (x / 7680 % 2 == 1) {
        w.run();
      }
    }
    if (site % 4 == 2) {
      w.silent(9_000, w.in(0));
    }
    for (Job j : all) {
      if (!j.hasStartableTasks()) {
        continue;
      }
      PendingReason f = w.why(j);
      assertNotNull(f, "no reason for " + j.spec);
      if (f.detail().startsWith("never: ")) {
        continue; // Its own rules exclude each other, which nothing but its cancellation ends.
      }
      without(w, j, f);
      int live = j.liveAttemptCount();
      w.placement.placeTasks(w.now);
      PendingReason then = w.why(j);
      assertTrue(
          j.liveAttemptCount() > live || then == null || then.cause() != f.cause(),
          f + " was taken away and is still " + then);
    }
  }

  private static void without(TestCluster w, Job j, PendingReason f) {
    switch (f.cause()) {
      case TEAM_LIMIT ->
          w.schedulerState
              .teams()
              .forEach(
                  t -> {
                    t.usedCpus = -1e6;
                    t.usedCards = 0;
                  });
      case CLOUD_REFUSES -> w.refusing = false;
      case MACHINES_SILENT, ZONE_CUT -> w.schedulerState.machines().forEach(w::report);
      case ZONE_RULES -> {
        for (int t = 0; t < j.spec.tasks(); t++) {
          if (j.liveAttempt(t) != null) {
            w.schedulerState.resolve(j.liveAttempt(t), AttemptOutcome.LOST, w.now);
          }
        }
      }
      case STARTING -> {} // Nothing stands in the way.
      default -> {
        // Room that all jobs ahead of it together do not fill.
        w.coming.clear();
        w.refusing = false;
        w.machines(120);
      }
    }
  }
}
