package org.mallowroad.core;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.DynamicTest;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * The state of one term on virtual time, for tests: two zones, machines of 4 CPUs, two teams with a
 * limit of 8 CPUs each, the first with a guarantee of 4 and the second of 8.
 */
final class SchedulerFixture {
  static final long TERM = 7;

  final NameIndex zones = new NameIndex();
  final MachineType type;
  final SchedulerState schedulerState;
  final TaskScheduler taskScheduler;
  long now = 1_000_000;
  int sequence;

  SchedulerFixture() {
    zones.intern("a");
    zones.intern("b");
    type = new MachineType(0, "t4", 4, 0, 16, 100, 1, 1.0, 0.4, 30, new int[] {0, 1});
    schedulerState =
        new SchedulerState(
            TERM,
            20,
            3,
            List.of(new Team("team", 4, 0, 8, 0), new Team("other", 8, 0, 8, 0)),
            zones);
    taskScheduler = new TaskScheduler(schedulerState);
  }

  /** An accepted job of the first team. */
  Job job(String id, int tasks, double cpus) {
    return schedulerState.accept(JobSpecBuilder.job(id, tasks, cpus).build(), 5, 0, now);
  }

  /** A machine that has sent its first heartbeat. */
  Machine machine(String name, int zone) {
    Machine m = schedulerState.registerMachine(name, type, zone, false, now);
    heartbeat(m, 1, TERM);
    return m;
  }

  /** A heartbeat with the next sequence number, and the response to it. */
  List<WorkerCommand> heartbeat(
      Machine m, long incarnation, long fencingToken, Heartbeat.Entry... entries) {
    return heartbeatWithSequence(m, incarnation, ++sequence, fencingToken, entries);
  }

  /** A heartbeat with any sequence number; null when the leader ignores it. */
  List<WorkerCommand> heartbeatWithSequence(
      Machine m,
      long incarnation,
      long heartbeatSequence,
      long fencingToken,
      Heartbeat.Entry... entries) {
    List<WorkerCommand> o =
        schedulerState.processHeartbeat(
            m,
            new Heartbeat(
                m.name,
                "h:1",
                "t4",
                "a",
                false,
                incarnation,
                heartbeatSequence,
                fencingToken,
                -1,
                List.of(entries)),
            true,
            now);
    m.lastResponseMs = now;
    return o;
  }

  /** Starts a task and commits that. */
  Attempt startCommitted(Job j, int task, Machine m) {
    Attempt a = schedulerState.start(j, task, m, now);
    commit();
    return a;
  }

  /** Commits all that is dirty. */
  void commit() {
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
  }

  /** What a worker says of an attempt. */
  static Heartbeat.Entry entry(Attempt a, Heartbeat.State state, String exitReason) {
    return new Heartbeat.Entry(a.job.spec.id(), a.task, a.number, state, exitReason);
  }

  /** A test of its own state, named by the behaviour that it checks. */
  static DynamicTest testCase(String behaviour, Consumer<SchedulerFixture> test) {
    return DynamicTest.dynamicTest(behaviour, () -> test.accept(new SchedulerFixture()));
  }
}
