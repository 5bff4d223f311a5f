package org.mallowroad.controller;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.controller.persistence.WriteBehindCommitter;
import org.mallowroad.controller.provisioning.FailureResponder;
import org.mallowroad.controller.provisioning.MachineProvisioner;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.net.EventLoop;
import org.mallowroad.worker.HeartbeatResponder;

/**
 * Answers the heartbeats of workers during one term. If a machine may be assigned tasks soon, the
 * answer to its heartbeat is delayed briefly so that it can include the launch commands. Runs on
 * the event loop only.
 */
final class HeartbeatHandler {
  /** Maximum delay of an answer that waits for the commit of the attempts that it launches. */
  private static final long MAX_REPLY_DELAY_MS = 300;

  /** The components of the leader that are involved in handling heartbeats. */
  record Collaborators(
      FailureResponder responder,
      MachineProvisioner provisioner,
      WriteBehindCommitter committer,
      LeaderIsolationDetector isolation,
      PlacementLoop placement) {}

  private final LeaderContext context;
  private final EventLoop loop;
  private final SchedulerState schedulerState;
  private final Collaborators collaborators;
  private final DeferredHeartbeats deferred = new DeferredHeartbeats();
  private final ObjectOpenHashSet<String> machinesWithPendingReply = new ObjectOpenHashSet<>();

  HeartbeatHandler(LeaderContext context, Collaborators collaborators) {
    this.context = context;
    this.loop = context.loop();
    this.schedulerState = context.schedulerState();
    this.collaborators = collaborators;
  }

  /** Rejects heartbeats that have been deferred for too long; must be called regularly. */
  void expireDeferred(long now) {
    deferred.expire(now);
  }

  /** Handles the deferred heartbeats once the records of the previous term are read. */
  void onRecovered() {
    deferred.drain(loop, this::findOrRegisterMachine, this::handle);
  }

  /** Ends the term: rejects all deferred heartbeats. */
  void stop() {
    deferred.expire(Long.MAX_VALUE);
  }

  /** True while a heartbeat of the machine is waiting for its answer. */
  boolean hasPendingReply(Machine machine) {
    return machinesWithPendingReply.contains(machine.name);
  }

  /**
   * Answers a heartbeat, at once or after a short delay.
   *
   * @param relayPeer the peer that relayed it, or -1
   */
  void handle(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder) {
    long now = loop.now();
    if (context.lifecycle().isStopped()) {
      responder.retryLater(); // The heartbeat was deferred and the leadership has ended since.
      return;
    }
    if (context.lifecycle().isRecovering()) {
      // A leader must not answer before the records are read, because it does not know yet which
      // cancelled tasks to stop.
      collaborators.isolation.heartbeatReceived(now);
      deferred.add(heartbeat, relayPeer, responder, now);
      return;
    }
    if (mustNotRespond(heartbeat, now)) {
      responder.retryLater();
      return;
    }
    Machine machine = findOrRegisterMachine(heartbeat);
    if (machine == null) {
      respondToUnusable(heartbeat, responder, now);
      return;
    }
    context.loadStatistics().recordHeartbeat();
    List<WorkerCommand> commands =
        schedulerState.processHeartbeat(machine, heartbeat, context.lease().isValid(), now);
    machine.recordResponse(heartbeat.incarnation(), now);
    if (commands == null) {
      // The heartbeat is a duplicate or older than one already processed, so it is no evidence that
      // the worker is alive.
      responder.respond(machine.fencingToken, List.of());
      return;
    }
    recordContact(machine, relayPeer, now);
    collaborators.placement.requestPass();
    if (!mayReceiveTasksSoon(machine)) {
      responder.respond(machine.fencingToken, commands);
      return;
    }
    machinesWithPendingReply.add(machine.name);
    new PendingHeartbeatReply(heartbeat, machine, commands, responder).awaitPlacement();
  }

  /** Responds to a machine that is deleted, or whose type or zone is unknown. */
  private void respondToUnusable(Heartbeat heartbeat, HeartbeatResponder responder, long now) {
    Machine machine = schedulerState.machine(heartbeat.machine());
    if (machine != null) {
      machine.recordResponse(heartbeat.incarnation(), now);
    }
    responder.respond(context.term().number(), List.of());
  }

  /** True while an answer could renew a worker's lease that must be allowed to expire. */
  private boolean mustNotRespond(Heartbeat heartbeat, long now) {
    return context.cancellationView().isStale(now)
        || collaborators.responder.isLeaseUncertain(context.lease().renewedMs(), now)
        || (collaborators.isolation.isCutOffFromStateAndPeers(now)
            && collaborators.responder.tryRedirect(heartbeat, now));
  }

  private void recordContact(Machine machine, int relayPeer, long now) {
    collaborators.isolation.heartbeatReceived(now);
    collaborators.responder.recordHeartbeatRoute(machine.zone, relayPeer < 0, now);
    collaborators.provisioner.heartbeatReceived(machine);
    machine.relayPeer = relayPeer;
    collaborators.responder.evaluateTaskHealth(machine, loop.now());
  }

  /**
   * True if the next placement pass may start tasks on the machine, so that the answer can include
   * their launch commands.
   */
  private boolean mayReceiveTasksSoon(Machine machine) {
    return context.lease().isValid()
        && schedulerState.canReceiveTasks(machine, loop.now())
        && context.taskScheduler().hasWaitingTasks();
  }

  /** The machine that sent the heartbeat, or null if its type or zone is unknown. */
  private Machine findOrRegisterMachine(Heartbeat heartbeat) {
    MachineType type = context.clusterConfig().machineType(heartbeat.type());
    int zone = context.clusterConfig().zones.find(heartbeat.zone());
    if (type == null || zone < 0) {
      return null;
    }
    return schedulerState.registerMachine(
        heartbeat.machine(), type, zone, heartbeat.spot(), loop.now());
  }

  /** A heartbeat whose answer is delayed until the attempts that it launches are committed. */
  private final class PendingHeartbeatReply {
    private final Heartbeat heartbeat;
    private final Machine machine;
    private final List<WorkerCommand> commands;
    private final List<Attempt> uncommittedAttempts = new ArrayList<>();
    private final HeartbeatResponder responder;
    private EventLoop.Timer timeout;
    private boolean isSent;

    PendingHeartbeatReply(
        Heartbeat heartbeat,
        Machine machine,
        List<WorkerCommand> commands,
        HeartbeatResponder responder) {
      this.heartbeat = heartbeat;
      this.machine = machine;
      this.commands = commands;
      this.responder = responder;
    }

    void awaitPlacement() {
      timeout = loop.after(MAX_REPLY_DELAY_MS, this::send);
      collaborators.placement.runAfterNextPass(this::onPlacementPass);
    }

    /**
     * Called after the placement pass; sends the answer at once if no attempt of the machine is
     * awaiting its commit.
     */
    private void onPlacementPass() {
      for (Attempt attempt : machine.attempts()) {
        if (attempt.phase == Attempt.Phase.RECORDING) {
          uncommittedAttempts.add(attempt);
        }
      }
      if (uncommittedAttempts.isEmpty()) {
        send();
      } else {
        collaborators.committer.runAfterNextTransaction(this::onTransactionCommitted);
      }
    }

    /** Keeps waiting if the committed transaction did not include all of these attempts. */
    private void onTransactionCommitted() {
      for (Attempt attempt : uncommittedAttempts) {
        if (attempt.phase == Attempt.Phase.RECORDING && !isSent) {
          collaborators.committer.runAfterNextTransaction(this::onTransactionCommitted);
          return;
        }
      }
      send();
    }

    private void send() {
      if (isSent) {
        return;
      }
      isSent = true;
      if (timeout != null) {
        timeout.cancel();
      }
      machinesWithPendingReply.remove(machine.name);
      if (context.lifecycle().isStopped()) {
        responder.retryLater();
        return;
      }
      addLaunchCommands();
      machine.recordResponse(heartbeat.incarnation(), loop.now());
      responder.respond(machine.fencingToken, commands);
    }

    private void addLaunchCommands() {
      for (Attempt attempt : uncommittedAttempts) {
        if (attempt.phase == Attempt.Phase.READY
            && !attempt.isStopping()
            && !machine.isInterrupted()
            && attempt.incarnation == heartbeat.incarnation()
            && context.lease().isValid()) {
          attempt.launchMessages.recordResponse(heartbeat.sequence());
          commands.add(schedulerState.commandFactory().launch(attempt));
        }
      }
    }
  }
}
