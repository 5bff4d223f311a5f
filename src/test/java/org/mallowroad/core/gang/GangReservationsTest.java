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

/** Gangs gather: in one place, once, for a bounded time, and never against each other. */
final class GangReservationsTest {
  private static final MachineType BOX =
      new MachineType(0, "box", 32, 0, 256, 100, 0.4, 2.0, 0.9, 30, new int[] {0, 1});
  private static final List<MachineType> TYPES = List.of(BOX);

  private static final class TestCluster {
    final NameIndex zones = new NameIndex();
    final SchedulerState schedulerState;
    final TaskScheduler placement;
    final Autoscaler fleet;
    final List<PendingMachines> coming = new ArrayList<>();
    long now = 1_000_000;
    long sequence;
    int names;

    TestCluster() {
      zones.intern("a");
      zones.intern("b");
      schedulerState =
          new SchedulerState(1, 60, 600, List.of(new Team("team", 9e9, 0, 9e9, 0)), zones);
      placement = new TaskScheduler(schedulerState);
      fleet =
          new Autoscaler(schedulerState, AutoscalerPolicy.defaults(), new ServiceLevelObjectives());
    }

    Machine machine(int zone) {
      Machine m = schedulerState.registerMachine("n-" + names++, BOX, zone, false, now);
      schedulerState
          .heartbeatReconciler()
          .reconcile(
              m,
              JobSpecBuilder.heartbeatListingAttempts(m, ++sequence, 1, Heartbeat.State.RUNNING),
              true,
              now);
      return m;
    }

    Job gang(String id, int tasks) {
      return schedulerState.accept(
          JobSpecBuilder.job(id, tasks, 32).gang().together().spot().build(), 5, 0, now);
    }

    List<ScaleOutRequest> cycle() {
      placement.placeTasks(now);
      List<ScaleOutRequest> r = fleet.planScaleOut(placement.queue(now), coming, TYPES, now);
      now += 2_000;
      return r;
    }

    /** Two cycles: the first tells what is offered. */
    List<ScaleOutRequest> begin() {
      cycle();
      return cycle();
    }

    /** The cloud answers a rent with some machines, which are up at once; the rest it refuses. */
    void give(ScaleOutRequest r, int some) {
      if (some < r.count()) {
        schedulerState.gangReservations().recordRefusal(r.variant(), some, now);
      }
      for (int i = 0; i < some; i++) {
        machine(r.variant().zone());
      }
    }

    /** The cloud has no more machines than these, all of them ordinary ones in the first zone. */
    void refuseAll(int there) {
      for (int zone = 0; zone < 2; zone++) {
        for (boolean spot : new boolean[] {false, true}) {
          int count = zone == 0 && !spot ? there : 0;
          schedulerState
              .gangReservations()
              .recordRefusal(new MachineVariant(BOX, zone, spot), count, now);
        }
      }
    }

    /** A report in which the machine's tasks run. */
    void hear(Machine m) {
      schedulerState
          .heartbeatReconciler()
          .reconcile(
              m,
              JobSpecBuilder.heartbeatListingAttempts(m, ++sequence, 1, Heartbeat.State.RUNNING),
              true,
              now);
    }

    int held(Job job) {
      int n = 0;
      for (Machine m : schedulerState.machines()) {
        n += m.reservedFor == job ? 1 : 0;
      }
      return n;
    }
  }

  private interface Case {
    void run(TestCluster w);
  }

  private static DynamicTest gang(String name, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new TestCluster()));
  }

  private static int sum(List<ScaleOutRequest> rents) {
    return rents.stream().mapToInt(ScaleOutRequest::count).sum();
  }

  @TestFactory
  Stream<DynamicTest> gathers() {
    return Stream.of(
        gang(
            "what it lacks is rented once, in one zone, with a few for those that never come",
            w -> {
              w.machine(1);
              w.gang("job-1", 12);
              List<ScaleOutRequest> rents = w.begin();
              assertEquals(12, sum(rents)); // 11 lacking and 6% of it
              assertTrue(rents.stream().allMatch(r -> r.variant().zone() == 1));
              assertTrue(rents.stream().allMatch(r -> "job-1".equals(r.gangId())));
              rents.forEach(
                  r ->
                      w.coming.add(new PendingMachines(r.variant(), r.count(), w.now, r.gangId())));
              for (int i = 0; i < 5; i++) {
                assertEquals(List.of(), w.cycle());
              }
            }),
        gang(
            "its room goes to nobody else, and is free once it has started",
            w -> {
              Job job = w.gang("job-1", 3);
              w.machine(0);
              w.begin();
              Machine m = w.schedulerState.machine("n-0");
              assertEquals(job, m.reservedFor);
              Job other =
                  w.schedulerState.accept(JobSpecBuilder.job("job-2", 9, 1).build(), 5, 0, w.now);
              w.cycle();
              assertEquals(0, other.liveAttemptCount());
              assertEquals(
                  StartRefusal.RESERVED_FOR_GANG,
                  w.schedulerState.startRefusal(other, 0, m, w.now));
              w.machine(0);
              w.machine(0);
              w.cycle();
              assertEquals(3, job.liveAttemptCount());
              w.cycle();
              assertNull(m.reservedFor);
            }),
        gang(
            "without more machines it counts on what ends within minutes, also while the cloud is asked"
                + " again",
            w -> {
              List<Machine> busy = List.of(w.machine(0), w.machine(0), w.machine(0));
              for (int i = 0; i < 3; i++) {
                run(
                    w,
                    w.schedulerState.accept(
                        JobSpecBuilder.job("job-" + i, 1, 8).build(), 5, 0, w.now),
                    busy.get(i));
              }
              Job job = w.gang("job-9", 3);
              w.cycle();
              w.refuseAll(3);
              w.cycle();
              assertEquals(3, w.held(job));
              w.now += 24_000; // A refusal is believed for 20 s; the tasks end after 60 s.
              for (Machine m : busy) {
                w.hear(m);
              }
              w.cycle();
              assertEquals(3, w.held(job));
              assertEquals(3, w.schedulerState.gangReservations().status(job, w.now).slots());
            }),
        gang(
            "a zone that cannot complete it is given up at once, and another is tried",
            w -> {
              Job job = w.gang("job-1", 10);
              List<ScaleOutRequest> first = w.begin();
              int zone = first.get(0).variant().zone();
              w.give(first.get(0), 4);
              // The ordinary kind of the same zone is asked before it is given up.
              List<ScaleOutRequest> second = w.cycle();
              assertEquals(zone, second.get(0).variant().zone());
              assertNotEquals(first.get(0).variant().spot(), second.get(0).variant().spot());
              w.give(second.get(0), 0);
              w.cycle();
              assertEquals(0, w.held(job));
              List<ScaleOutRequest> third = w.begin();
              assertEquals(1 - zone, third.get(0).variant().zone());
            }),
        gang(
            "one that no zone holds rents a bounded number of machines, however long it waits",
            w -> {
              w.gang("job-1", 40);
              int rented = 0;
              for (int i = 0; i < 300; i++) {
                for (ScaleOutRequest r : w.cycle()) {
                  rented += r.count();
                  w.schedulerState.gangReservations().recordRefusal(r.variant(), 5, w.now);
                }
              }
              // Ten minutes: a gathering asks for 84 at most, and the pause doubles each time.
              assertTrue(rented <= 12 * 84, "rented " + rented);
              assertTrue(rented >= 80, "rented " + rented);
            }),
        gang(
            "two that together exceed a zone start one after the other",
            w -> {
              for (int i = 0; i < 10; i++) {
                w.machine(0);
              }
              w.schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(BOX, 0, true), 10, w.now);
              w.schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(BOX, 0, false), 10, w.now);
              w.schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(BOX, 1, true), 0, w.now);
              w.schedulerState
                  .gangReservations()
                  .recordRefusal(new MachineVariant(BOX, 1, false), 0, w.now);
              Job one = w.gang("job-1", 7);
              Job two = w.gang("job-2", 7);
              w.begin();
              assertEquals(7, one.liveAttemptCount());
              assertEquals(0, two.liveAttemptCount());
              for (Attempt a : live(one)) {
                w.schedulerState.resolve(a, AttemptOutcome.COMPLETED, w.now);
              }
              w.begin();
              assertEquals(7, two.liveAttemptCount());
            }),
        gang(
            "tasks that end soon are waited for where the cloud has no more, lower ranks give way",
            w -> {
              Machine m = w.machine(0);
              Machine n = w.machine(0);
              for (int z = 0; z < 2; z++) {
                w.schedulerState
                    .gangReservations()
                    .recordRefusal(new MachineVariant(BOX, z, true), 2, w.now);
                w.schedulerState
                    .gangReservations()
                    .recordRefusal(new MachineVariant(BOX, z, false), 2, w.now);
              }
              Job equal =
                  w.schedulerState.accept(JobSpecBuilder.job("job-1", 1, 8).build(), 5, 0, w.now);
              Job idle =
                  w.schedulerState.accept(
                      JobSpecBuilder.job("job-2", 1, 8).priority(3).build(), 5, 0, w.now);
              Attempt a = run(w, equal, m);
              Attempt b = run(w, idle, n);
              Job job = w.gang("job-3", 2);
              w.begin();
              assertEquals(2, w.held(job));
              assertFalse(a.isStopping());
              assertTrue(b.isStopping());
              w.schedulerState.resolve(a, AttemptOutcome.COMPLETED, w.now);
              w.schedulerState.resolve(b, AttemptOutcome.STOPPED, w.now);
              w.cycle();
              assertEquals(2, job.liveAttemptCount());
            }),
        gang(
            "a withdrawn gang, or one that takes too long, holds nothing",
            w -> {
              w.machine(0);
              Job job = w.gang("job-1", 3);
              w.begin();
              assertEquals(1, w.held(job));
              w.schedulerState.cancel(job, w.now);
              w.cycle();
              assertEquals(0, w.held(job));
              assertEquals(0, w.schedulerState.gangReservations().size());
              Job again = w.gang("job-2", 3);
              w.begin();
              assertEquals(1, w.held(again));
              w.coming.add(
                  new PendingMachines(new MachineVariant(BOX, 0, true), 2, w.now, "job-2"));
              w.now += GangReservations.MAX_RESERVATION_MS + 1_000;
              w.cycle();
              assertEquals(0, w.held(again));
              GangReservations.ReservationStatus s =
                  w.schedulerState.gangReservations().status(again, w.now);
              assertTrue(s.isBackingOff() && s.endsAtMs() > w.now);
            }),
        gang(
            "scatter counts no more of a zone than its rules allow",
            w -> {
              for (int i = 0; i < 4; i++) {
                w.machine(0);
              }
              Job job =
                  w.schedulerState.accept(
                      JobSpecBuilder.job("job-1", 4, 32).gang().scatter().spot().build(),
                      5,
                      0,
                      w.now);
              List<ScaleOutRequest> rents = w.begin();
              assertEquals(0, job.liveAttemptCount());
              assertTrue(sum(rents) >= 2);
              w.machine(1);
              w.machine(1);
              w.cycle();
              assertEquals(4, job.liveAttemptCount());
            }),
        gang(
            "a gang is no reason for the averages to rent",
            w -> {
              w.machine(0);
              w.gang("job-1", 30);
              w.begin();
              w.coming.add(
                  new PendingMachines(new MachineVariant(BOX, 0, true), 40, w.now, "job-1"));
              assertEquals(List.of(), w.cycle());
            }));
  }

  private static List<Attempt> live(Job job) {
    List<Attempt> out = new ArrayList<>();
    for (int t = 0; t < job.spec.tasks(); t++) {
      if (job.liveAttempt(t) != null) {
        out.add(job.liveAttempt(t));
      }
    }
    return out;
  }

  private static Attempt run(TestCluster w, Job job, Machine m) {
    Attempt a = w.schedulerState.start(job, job.pendingTasks.dequeueInt(), m, w.now);
    JobSpecBuilder.commitDirtyRecords(w.schedulerState, w.now);
    w.schedulerState
        .heartbeatReconciler()
        .reconcile(
            m,
            JobSpecBuilder.heartbeatListingAttempts(m, ++w.sequence, 1, Heartbeat.State.RUNNING),
            true,
            w.now);
    return a;
  }
}
