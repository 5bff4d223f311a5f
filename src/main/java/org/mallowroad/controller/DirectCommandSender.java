package org.mallowroad.controller;

import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.worker.WorkerClient;

/**
 * Sends commands straight to workers instead of waiting for their next heartbeat, one message a
 * worker at a time. Runs on the event loop only.
 */
final class DirectCommandSender {
  private final LeaderContext context;
  private final SchedulerState schedulerState;
  private final WorkerClient workers;
  private final Predicate<Machine> hasPendingReply;
  private final Runnable changed;

  /**
   * For one term.
   *
   * @param hasPendingReply whether a heartbeat of the machine waits for its answer, which carries
   *     the commands then
   * @param changed called when a worker's response may allow more to be placed
   */
  DirectCommandSender(LeaderContext context, Predicate<Machine> hasPendingReply, Runnable changed) {
    this.context = context;
    this.schedulerState = context.schedulerState();
    this.workers = context.services().workers();
    this.hasPendingReply = hasPendingReply;
    this.changed = changed;
  }

  /**
   * Sends the commands that wait for a machine. Without a valid lease only stops are sent: a launch
   * is allowed to the current leader only, a stop ends nothing but the attempt that it names.
   */
  void sendOutbox() {
    boolean isLeaseValid = context.lease().isValid();
    long now = context.loop().now();
    for (Iterator<Machine> it = schedulerState.machinesWithUnsentCommands().iterator();
        it.hasNext(); ) {
      Machine machine = it.next();
      if (hasPendingReply.test(machine) || workers.isBusy(machine.address)) {
        continue;
      }
      List<WorkerCommand> commands =
          machine.isEmpty() || machine.address.isEmpty()
              ? List.of()
              : schedulerState.heartbeatReconciler().takeDirectCommands(machine, isLeaseValid, now);
      if (isLeaseValid || !commands.isEmpty()) {
        // What cannot be sent now travels in the answer to the next heartbeat.
        it.remove();
      }
      if (!commands.isEmpty()) {
        send(machine, commands);
      }
    }
  }

  private void send(Machine machine, List<WorkerCommand> commands) {
    context.load().directCommandsSent();
    workers.send(
        machine.address,
        machine.relayPeer,
        machine.fencingToken,
        machine.incarnation,
        commands,
        (delivery, heartbeat) -> responded(machine, commands, delivery, heartbeat));
  }

  private void responded(
      Machine machine,
      List<WorkerCommand> commands,
      WorkerClient.Delivery delivery,
      Heartbeat heartbeat) {
    if (context.lifecycle().isStopped() || schedulerState.machine(machine.name) != machine) {
      return;
    }
    if (delivery != WorkerClient.Delivery.UNKNOWN) {
      schedulerState.heartbeatReconciler().directCommandsAnswered(machine, commands);
    }
    if (heartbeat != null && heartbeat.machine().equals(machine.name)) {
      schedulerState.processHeartbeat(machine, heartbeat, false, context.loop().now());
      changed.run();
    }
  }
}
