package org.mallowroad.core;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.DynamicTest;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * A scheduler state in virtual time for tests: two zones, machines with 4 CPUs, and two teams with
 * a limit of 8 CPUs each. The first team has a guarantee of 4 CPUs, the second of 8 CPUs.
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
    this(TERM);
  }

  SchedulerFixture(long term) {
    zones.intern("a");
    zones.intern("b");
    type = new MachineType(0, "t4", 4, 0, 16, 100, 1, 1.0, 0.4, 30, new int[] {0, 1});
    schedulerState =
        new SchedulerState(
            term,
            20,
            3,
            List.of(new Team("team", 4, 0, 8, 0), new Team("other", 8, 0, 8, 0)),
            zones);
    taskScheduler = new TaskScheduler(schedulerState);
  }

  /** Accepts a job of the first team. */
  Job job(String id, int tasks, double cpus) {
    return schedulerState.accept(JobSpecBuilder.job(id, tasks, cpus).build(), 5, 0, now);
  }

  /** Registers a machine and processes its first heartbeat. */
  Machine machine(String name, int zone) {
    Machine machine = schedulerState.registerMachine(name, type, zone, false, now);
    heartbeat(machine, 1, TERM);
    return machine;
  }

  /** Processes a heartbeat with the next sequence number; returns the commands for the worker. */
  List<WorkerCommand> heartbeat(
      Machine machine, long incarnation, long fencingToken, Heartbeat.Entry... entries) {
    return heartbeatWithSequence(machine, incarnation, ++sequence, fencingToken, entries);
  }

  /** Processes a heartbeat with the given sequence number; returns null when it is ignored. */
  List<WorkerCommand> heartbeatWithSequence(
      Machine machine,
      long incarnation,
      long heartbeatSequence,
      long fencingToken,
      Heartbeat.Entry... entries) {
    List<WorkerCommand> commands =
        schedulerState.processHeartbeat(
            machine,
            newHeartbeat(machine, incarnation, heartbeatSequence, fencingToken, entries),
            true,
            now);
    machine.recordResponse(incarnation, now);
    return commands;
  }

  /** Processes a heartbeat with the next sequence number that answers direct commands. */
  void commandResponse(
      Machine machine, long incarnation, long fencingToken, Heartbeat.Entry... entries) {
    schedulerState.processCommandResponse(
        machine, newHeartbeat(machine, incarnation, ++sequence, fencingToken, entries), now);
  }

  private static Heartbeat newHeartbeat(
      Machine machine,
      long incarnation,
      long heartbeatSequence,
      long fencingToken,
      Heartbeat.Entry... entries) {
    return new Heartbeat(
        machine.name,
        "h:1",
        "t4",
        "a",
        false,
        incarnation,
        heartbeatSequence,
        fencingToken,
        -1,
        List.of(entries));
  }

  /** Starts a task and commits the start. */
  Attempt startCommitted(Job job, int task, Machine machine) {
    Attempt attempt = schedulerState.start(job, task, machine, now);
    commit();
    return attempt;
  }

  /** Commits all dirty records. */
  void commit() {
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
  }

  /** The heartbeat entry of an attempt in the given state. */
  static Heartbeat.Entry entry(Attempt attempt, Heartbeat.State state, String exitReason) {
    return new Heartbeat.Entry(
        attempt.job.spec.id(), attempt.task, attempt.number, state, exitReason);
  }

  /** A test that runs on a new fixture and is named after the expected behavior. */
  static DynamicTest testCase(String name, Consumer<SchedulerFixture> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new SchedulerFixture()));
  }
}
