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
 * Answers the heartbeats of workers in one term. A heartbeat that may be followed by new work waits
 * a moment for its answer, so that the answer includes the launches. Runs on the event loop only.
 */
final class HeartbeatHandler {
  /** An answer is delayed by this at most, for the commit of the starts that it is to include. */
  private static final long MAX_REPLY_DELAY_MS = 300;

  /** The parts of the leader that heartbeats concern. */
  record Parts(
      FailureResponder responder,
      MachineProvisioner provisioner,
      WriteBehindCommitter committer,
      LeaderIsolationDetector isolation,
      PlacementLoop placement) {}

  private final LeaderContext context;
  private final EventLoop loop;
  private final SchedulerState schedulerState;
  private final Parts parts;
  private final DeferredHeartbeats deferred = new DeferredHeartbeats();
  private final ObjectOpenHashSet<String> machinesWithPendingReply = new ObjectOpenHashSet<>();

  HeartbeatHandler(LeaderContext context, Parts parts) {
    this.context = context;
    this.loop = context.loop();
    this.schedulerState = context.schedulerState();
    this.parts = parts;
  }

  /** Call regularly: workers whose heartbeat was deferred for long enough are turned away. */
  void expireDeferred(long now) {
    deferred.expire(now);
  }

  /** The records of the term before are read: the deferred heartbeats are answered. */
  void recovered() {
    deferred.drain(loop, this::findOrAddMachine, this::handle);
  }

  /** The term is over: no deferred heartbeat is answered any more. */
  void stop() {
    deferred.expire(Long.MAX_VALUE);
  }

  /** True while a heartbeat of the machine waits for its answer. */
  boolean hasPendingReply(Machine machine) {
    return machinesWithPendingReply.contains(machine.name);
  }

  /**
   * Answers a heartbeat, now or in a moment.
   *
   * @param relayPeer the peer that relayed it, or -1
   */
  void handle(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder) {
    long now = loop.now();
    parts.responder.recordActivity(now);
    if (context.lifecycle().isStopped()) {
      responder.retryLater(); // Deferred since before the leadership ended.
      return;
    }
    if (context.lifecycle().isRecovering()) {
      // No controller may answer before the records are read: it would stop no cancelled task.
      parts.isolation.heartbeatReceived(now);
      deferred.add(heartbeat, relayPeer, responder, now);
      return;
    }
    if (mustNotAnswer(heartbeat, now)) {
      responder.retryLater();
      return;
    }
    Machine machine = findOrAddMachine(heartbeat);
    if (machine == null) {
      responder.respond(context.term().number(), List.of());
      return;
    }
    context.load().heartbeatReceived();
    List<WorkerCommand> commands =
        schedulerState.processHeartbeat(machine, heartbeat, context.lease().isValid(), now);
    machine.lastResponseMs = now;
    if (commands == null) {
      // A late copy, or overtaken by a newer one: it shows no worker alive.
      responder.respond(machine.fencingToken, List.of());
      return;
    }
    recordContact(machine, relayPeer, now);
    parts.placement.requestPass();
    if (!mayGetWorkSoon(machine)) {
      responder.respond(machine.fencingToken, commands);
      return;
    }
    machinesWithPendingReply.add(machine.name);
    new PendingHeartbeatReply(heartbeat, machine, commands, responder).await();
  }

  /** True while an answer could renew a worker's lease that has to expire. */
  private boolean mustNotAnswer(Heartbeat heartbeat, long now) {
    return context.cancellationView().isStale(now)
        || parts.responder.isLeaseUncertain(context.lease().renewedMs(), now)
        || (parts.isolation.isCutOffFromStateAndPeers(now)
            && parts.responder.tryRedirect(heartbeat, now));
  }

  private void recordContact(Machine machine, int relayPeer, long now) {
    parts.isolation.heartbeatReceived(now);
    parts.responder.recordHeartbeatRoute(machine.zone, relayPeer < 0, now);
    parts.provisioner.heartbeatReceived(machine);
    machine.relayPeer = relayPeer;
    parts.responder.evaluateTaskHealth(machine, loop.now());
  }

  /** The next placement pass may start tasks there: the answer can then include their launches. */
  private boolean mayGetWorkSoon(Machine machine) {
    return context.lease().isValid()
        && schedulerState.canReceiveTasks(machine, loop.now())
        && context.taskScheduler().hasWaitingTasks();
  }

  /** The machine that sent the heartbeat, or null where its type or zone is unknown. */
  private Machine findOrAddMachine(Heartbeat heartbeat) {
    MachineType type = context.clusterConfig().machineType(heartbeat.type());
    int zone = context.clusterConfig().zones.find(heartbeat.zone());
    if (type == null || zone < 0) {
      return null;
    }
    return schedulerState.registerMachine(
        heartbeat.machine(), type, zone, heartbeat.spot(), loop.now());
  }

  /** A heartbeat whose answer is delayed until the starts that it is to include are committed. */
  private final class PendingHeartbeatReply {
    private final Heartbeat heartbeat;
    private final Machine machine;
    private final List<WorkerCommand> commands;
    private final List<Attempt> uncommitted = new ArrayList<>();
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

    void await() {
      timeout = loop.after(MAX_REPLY_DELAY_MS, this::send);
      parts.placement.afterNextPass(this::placementPassed);
    }

    /** Placement has had its turn: without new work the answer goes out at once. */
    private void placementPassed() {
      for (Attempt a : machine.attempts()) {
        if (a.phase == Attempt.Phase.RECORDING) {
          uncommitted.add(a);
        }
      }
      if (uncommitted.isEmpty()) {
        send();
      } else {
        parts.committer.runAfterNextTransaction(this::transactionCommitted);
      }
    }

    /** A transaction before the one with these starts does not count. */
    private void transactionCommitted() {
      for (Attempt a : uncommitted) {
        if (a.phase == Attempt.Phase.RECORDING && !isSent) {
          parts.committer.runAfterNextTransaction(this::transactionCommitted);
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
      addLaunches();
      machine.lastResponseMs = loop.now();
      responder.respond(machine.fencingToken, commands);
    }

    private void addLaunches() {
      for (Attempt a : uncommitted) {
        if (a.phase == Attempt.Phase.READY
            && !a.isStopping()
            && a.incarnation == heartbeat.incarnation()
            && context.lease().isValid()) {
          a.launchSent = true;
          a.launchInHeartbeatResponse = true;
          commands.add(schedulerState.heartbeatReconciler().launchCommand(a));
        }
      }
    }
  }
}
