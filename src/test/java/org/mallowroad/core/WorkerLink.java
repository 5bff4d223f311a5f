package org.mallowroad.core;

import java.util.List;

/** A machine, its worker, and the leader's messages to it, for tests that choose their order. */
final class WorkerLink {
  final SchedulerFixture cluster;
  final Machine machine;
  final WorkerStandIn worker;

  /** A machine that has just come up and knows the leader's token. */
  WorkerLink(SchedulerFixture cluster, String name) {
    this(cluster, new WorkerStandIn(name));
    exchangeHeartbeat();
    exchangeHeartbeat();
  }

  /** A machine that the leader knows from records only. */
  WorkerLink(SchedulerFixture cluster, WorkerStandIn worker) {
    this.cluster = cluster;
    this.worker = worker;
    worker.startClock(cluster.now);
    this.machine =
        cluster.schedulerState.registerMachine(worker.name(), cluster.type, 0, false, cluster.now);
  }

  static WorkerCommand launch(Attempt attempt) {
    return new WorkerCommand(
        WorkerCommand.Kind.LAUNCH, attempt.job.spec.id(), attempt.task, attempt.number, 0);
  }

  /** Lets time pass for the leader and the worker; the worker's lease may expire. */
  void advance(long ms) {
    cluster.now += ms;
    worker.advanceTo(cluster.now);
  }

  /** The leader receives a heartbeat; the response is returned and not delivered yet. */
  WorkerStandIn.Response respond(Heartbeat heartbeat) {
    List<WorkerCommand> commands =
        cluster.schedulerState.processHeartbeat(machine, heartbeat, true, cluster.now);
    machine.recordResponse(heartbeat.incarnation(), cluster.now);
    return new WorkerStandIn.Response(
        heartbeat.sequence(),
        heartbeat.incarnation(),
        machine.fencingToken,
        commands == null ? List.of() : commands);
  }

  /** The worker sends a heartbeat and receives the response. */
  void exchangeHeartbeat() {
    worker.receive(respond(worker.sendHeartbeat()));
  }

  /** Takes the leader's pending direct commands; they are not delivered yet. */
  WorkerStandIn.DirectCommand takeDirectCommand() {
    return new WorkerStandIn.DirectCommand(
        machine.fencingToken,
        machine.incarnation,
        cluster.schedulerState.directCommandPlanner().takeCommands(machine, true, cluster.now));
  }

  /** The leader receives the worker's answer to a direct command. */
  void receiveAnswer(Heartbeat answer) {
    cluster.schedulerState.processCommandResponse(machine, answer, cluster.now);
  }

  /** The worker executes a direct command and the leader receives its answer. */
  void exchange(WorkerStandIn.DirectCommand command) {
    receiveAnswer(worker.receive(command));
  }

  /** The leader frees the attempts whose worker's lease must have expired. */
  void expireLeases() {
    cluster.schedulerState.expireLeases(cluster.now);
  }
}
