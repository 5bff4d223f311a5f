package org.mallowroad.controller;

import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands directly to workers instead of waiting for their next heartbeat, with at most one
 * message in flight per worker. Runs on the event loop only.
 */
final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);

  private final LeaderContext context;
  private final SchedulerState schedulerState;
  private final WorkerClient workers;
  private final Predicate<Machine> hasPendingReply;
  private final Runnable onStateChanged;

  /**
   * Creates the sender of one term.
   *
   * @param hasPendingReply whether a heartbeat of the machine is waiting for its answer, which will
   *     include the commands
   * @param onStateChanged called when a worker's response may allow more tasks to be placed
   */
  DirectCommandSender(
      LeaderContext context, Predicate<Machine> hasPendingReply, Runnable onStateChanged) {
    this.context = context;
    this.schedulerState = context.schedulerState();
    this.workers = context.services().workers();
    this.hasPendingReply = hasPendingReply;
    this.onStateChanged = onStateChanged;
  }

  /**
   * Sends the pending commands of all machines. Without a valid leader lease only stop commands are
   * sent: only the current leader may launch tasks, whereas a stop command affects nothing but the
   * attempt that it names.
   */
  void sendPendingCommands() {
    boolean isLeaseValid = context.lease().isValid();
    long now = context.loop().now();
    for (Iterator<Machine> iterator = schedulerState.machinesWithUnsentCommands().iterator();
        iterator.hasNext(); ) {
      Machine machine = iterator.next();
      if (hasPendingReply.test(machine) || workers.hasMessageInFlight(machine.address)) {
        continue;
      }
      List<WorkerCommand> commands =
          machine.isEmpty() || machine.address.isEmpty()
              ? List.of()
              : schedulerState.directCommandPlanner().takeCommands(machine, isLeaseValid, now);
      if (isLeaseValid || !commands.isEmpty()) {
        // Commands that cannot be sent now are included in the answer to the next heartbeat.
        iterator.remove();
      }
      if (!commands.isEmpty()) {
        send(machine, commands);
      }
    }
  }

  private void send(Machine machine, List<WorkerCommand> commands) {
    LOG.debug(
        "event=commands_sent machine={} session={} token={} commands={} heartbeat_source={}"
            + " heartbeat_age_ms={} lease_age_ms={}",
        machine.name,
        machine.incarnation,
        machine.fencingToken,
        commands.size(),
        machine.lastHeartbeatSource().label(),
        context.loop().now() - machine.lastHeartbeatMs,
        context.loop().now() - context.lease().renewedMs());
    context.loadStatistics().recordDirectCommands();
    workers.send(
        machine.address,
        machine.relayPeer,
        machine.fencingToken,
        machine.incarnation,
        commands,
        (delivery, heartbeat) -> handleResponse(machine, commands, delivery, heartbeat));
  }

  private void handleResponse(
      Machine machine,
      List<WorkerCommand> commands,
      WorkerClient.DeliveryResult delivery,
      Heartbeat heartbeat) {
    if (context.lifecycle().isStopped() || schedulerState.machine(machine.name) != machine) {
      return;
    }
    if (delivery == WorkerClient.DeliveryResult.NOT_SENT) {
      schedulerState.directCommandPlanner().recordNotSent(machine, commands);
    }
    if (heartbeat != null && heartbeat.machine().equals(machine.name)) {
      schedulerState.processCommandResponse(machine, heartbeat, context.loop().now());
      onStateChanged.run();
    }
  }
}
