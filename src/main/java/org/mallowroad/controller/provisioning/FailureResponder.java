package org.mallowroad.controller.provisioning;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Arrays;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.health.FailureDetector;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.health.MachineHealth;
import org.mallowroad.core.health.MachineHealth.Suspicion;
import org.mallowroad.core.health.PauseDetector;
import org.mallowroad.core.health.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Responds to the suspicions of {@link FleetHealth}: decides which silent or faulty machines are
 * deleted, and when. The deletion is the proof that frees their tasks; a suspicion alone frees
 * nothing.
 *
 * <p><b>Why a paused leader of term N does no harm once term N+1 has begun</b>, for each kind of
 * message that this process sends. A pause can occur between any check and the write after it, so
 * checking the clock cannot prove safety. The receiving side enforces it instead.
 *
 * <ul>
 *   <li><i>Commits:</i> each has the version of the key {@code leader} as a condition. N+1 changed
 *       that version, so the service refuses the commit with 409.
 *   <li><i>Launches and stops, sent directly:</i> carry token N. A worker that has seen N+1 refuses
 *       them. A worker that has not may still start the attempt. The attempt was recorded before
 *       the launch was sent, so N+1 read it on takeover and counts it until a heartbeat of a worker
 *       that has seen N+1 does not list it; from then on that worker refuses N.
 *   <li><i>Responses to heartbeats:</i> a worker stops waiting for a response after 4 s and ignores
 *       lower tokens. If a response with token N renews a worker's lease, N+1 does not rely on that
 *       lease having expired: it measures the lease from no earlier than the first message that
 *       shows that the worker has seen N+1 (see {@code core.WorkerLease}).
 *   <li><i>Clearing an exited attempt:</i> sent only for committed results (see {@code
 *       HeartbeatReconciler}), so N+1 knows the result without asking the worker.
 *   <li><i>Rental requests:</i> recorded under a name before the call. N+1 repeats every recorded
 *       request, and repeating a name rents no additional machines.
 *   <li><i>Deletions:</i> decided only while the lease is valid. A late deletion can remove a
 *       machine but cannot violate an invariant: N+1 learns that the machine is gone from the
 *       cloud's response, the cloud's list or the expiry of the worker's lease.
 *   <li><i>Responses to users:</i> come from a read or a transaction made for the request. Only
 *       final states are cached, and those do not change.
 * </ul>
 *
 * In addition, a paused leader avoids such messages in the first place. {@code LeaderLease.isValid}
 * measures from the time at which the last successful renewal was sent, on a clock that continues
 * during the pause, so the first check after a pause returns false. Workers receive responses only
 * after the lease has been renewed. The silence of machines is measured anew from the end of the
 * pause, because this process received nothing meanwhile.
 */
public final class FailureResponder {
  private static final Logger LOG = LoggerFactory.getLogger(FailureResponder.class);

  /** A machine is silent when its heartbeat is overdue by half an interval plus this margin. */
  private static final long SILENCE_MARGIN_MS = 2_000;

  /**
   * Additional time before a worker with relayed heartbeats counts as silent. The worker may be
   * probing the direct link, which takes a heartbeat without a response, a wait of one second and
   * the return to the relay, up to half a second each.
   */
  private static final long RELAY_MARGIN_MS = 6_000;

  /**
   * If a zone sends no direct heartbeat for this long, its workers are assumed to reach this leader
   * only through a peer.
   */
  private static final long REROUTE_DETECTION_MS = 1_500;

  /**
   * Maximum time after a pause for which workers get no response because the lease is not renewed.
   */
  private static final long MAX_LEASE_UNCERTAINTY_MS = 1_500;

  /**
   * Number of worker lease durations after which the deletion budget of a partitioned zone is fully
   * refilled.
   */
  private static final double ZONE_REFILL_LEASES = 2;

  /** Number of worker lease durations for which an idle machine of a partitioned zone is kept. */
  private static final double MAX_IDLE_PARTITIONED_LEASES = 3;

  /** Maximum number of redirected workers that are tracked; more than one leader can serve. */
  private static final int MAX_REDIRECTED = 4_000;

  /** Maximum number of log lines about individual machines per evaluation. */
  private static final int MAX_MACHINE_LINES = 20;

  private final SchedulerState schedulerState;
  private final FleetHealth health;
  private final NameIndex zones;
  private final long term;
  private final long silenceTimeoutMs;
  private final long leaseMs;
  private final TokenBucket deletionBudget;
  private final TokenBucket[] zoneDeletionBudgets;
  private final long[] lastDirectHeartbeatMs;
  private final boolean[] isZoneRerouted;
  private final int[] unreachableCountByZone;
  private final Object2LongOpenHashMap<String> lastRedirectMs = new Object2LongOpenHashMap<>();
  private int loggedMachineLines;
  private long suppressedLines;

  /**
   * Creates a responder for one term.
   *
   * @param heartbeatIntervalS the interval of the workers' heartbeats, in seconds
   * @param leaseS the duration of the workers' leases, in seconds
   * @param term the first fencing token of the term
   * @param now the time on the monotonic clock in milliseconds, like all times in this class
   */
  public FailureResponder(
      SchedulerState schedulerState,
      NameIndex zones,
      double heartbeatIntervalS,
      double leaseS,
      long term,
      long now) {
    this.schedulerState = schedulerState;
    this.health = schedulerState.health();
    this.zones = zones;
    this.term = term;
    // Heartbeats arrive up to a quarter of the interval late. A machine that has missed one is
    // hung, partitioned or dead: the sooner it is deleted, the sooner its tasks run elsewhere.
    this.silenceTimeoutMs = (long) (heartbeatIntervalS * 1500) + SILENCE_MARGIN_MS;
    this.leaseMs = (long) (leaseS * 1000);
    HealthPolicy policy = health.policy();
    this.deletionBudget =
        new TokenBucket(policy.maxDeletionShare(), policy.minDeletions(), leaseMs, now);
    this.zoneDeletionBudgets = new TokenBucket[zones.size()];
    this.lastDirectHeartbeatMs = new long[zones.size()];
    this.isZoneRerouted = new boolean[zones.size()];
    this.unreachableCountByZone = new int[zones.size()];
    Arrays.fill(lastDirectHeartbeatMs, now);
    for (int zone = 0; zone < zoneDeletionBudgets.length; zone++) {
      zoneDeletionBudgets[zone] =
          new TokenBucket(policy.maxPartitionDeletionShare(), 1, ZONE_REFILL_LEASES * leaseMs, now);
    }
  }

  /**
   * Detects pauses of this process. Must be called by the leader's tick and before each message of
   * any kind is handled. After a pause, the silence of machines is measured anew, because this
   * process received nothing meanwhile.
   */
  public void recordActivity(long now) {
    long pausedMs = health.pauseDetector().recordActivity(now);
    if (pausedMs > 0) {
      LOG.warn("event=process_paused term={} ms={}", term, pausedMs);
      health.failureDetector().resetSilence(now);
    }
  }

  /**
   * Records a regular tick of the leader. Must be called by each tick, after {@link
   * #recordActivity}.
   */
  public void recordTick() {
    health.pauseDetector().recordTick();
  }

  /**
   * Returns true after a pause of this process until the lease is renewed, for at most 1.5 s.
   * Another node may be the leader by then, and a response would keep workers here whose heartbeats
   * the new leader waits for. The time is bounded because in an outage of the state service no
   * other node can become the leader, and responses keep the workers' leases alive.
   *
   * @param renewedMs when the last successful renewal of the lease was sent
   */
  public boolean isLeaseUncertain(long renewedMs, long now) {
    PauseDetector pauseDetector = health.pauseDetector();
    return pauseDetector.pauseCount() > 0
        && renewedMs < pauseDetector.listeningSinceMs()
        && now - pauseDetector.listeningSinceMs() < MAX_LEASE_UNCERTAINTY_MS;
  }

  /**
   * Returns true if the heartbeat shall get no response, so that its worker contacts the other
   * nodes. This happens once per worker and worker lease duration. If another node is the leader,
   * it responds with a higher token and the worker's tasks survive; otherwise the worker would stay
   * with a deposed leader, and the new leader would consider it silent and delete it. If no other
   * node is the leader, the worker returns after it has contacted each node once, well within its
   * lease, and gets a response. Redirecting only withholds responses and sends no additional ones,
   * so it does not affect the safety argument above.
   */
  public boolean tryRedirect(Heartbeat heartbeat, long now) {
    long previousRedirectMs = lastRedirectMs.getOrDefault(heartbeat.machine(), Long.MIN_VALUE / 2);
    if (now - previousRedirectMs < leaseMs) {
      return false;
    }
    if (lastRedirectMs.size() >= MAX_REDIRECTED) {
      // The only effect is that each worker may be redirected once more than necessary.
      lastRedirectMs.clear();
    }
    lastRedirectMs.put(heartbeat.machine(), now);
    return true;
  }

  /**
   * Records whether a heartbeat from a zone arrived directly or through a peer. The first relayed
   * heartbeat after the direct ones have ceased means that the zone was rerouted. The silence of
   * its machines is then measured anew, which gives the others time to find the route through a
   * peer.
   *
   * @param direct false when a peer relayed it
   */
  public void recordHeartbeatRoute(int zone, boolean direct, long now) {
    if (direct) {
      lastDirectHeartbeatMs[zone] = now;
      isZoneRerouted[zone] = false;
    } else if (!isZoneRerouted[zone] && now - lastDirectHeartbeatMs[zone] > REROUTE_DETECTION_MS) {
      isZoneRerouted[zone] = true;
      health.failureDetector().resetZoneSilence(zone, now);
      LOG.warn(
          "event=zone_rerouted zone={} direct_ms={}",
          zones.name(zone),
          now - lastDirectHeartbeatMs[zone]);
    }
  }

  /**
   * Updates the machine's health from the state of its tasks, after its heartbeat. The cost is
   * proportional to the number of tasks on this machine.
   */
  public void evaluateTaskHealth(Machine machine, long now) {
    int overdue = 0;
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isStopping()) {
        continue;
      }
      if (attempt.phase == Attempt.Phase.RUNNING
          && attempt.isOverdue(health.stragglerDetector(), now)) {
        overdue++;
      } else if (attempt.phase == Attempt.Phase.PULLING) {
        double expectedFetchS =
            attempt.job.spec.imageGb() / Math.max(1e-3, machine.type.fetchGbPerS());
        health.recordImageWait(machine.health, now - attempt.createdMs, expectedFetchS * 1000, now);
      }
    }
    health.setOverdueTasks(machine.health, overdue, now);
  }

  /**
   * Evaluates zones and machines, and marks the machines to be deleted. Must be called only while
   * the leader's lease is valid.
   */
  void evaluate(long now) {
    loggedMachineLines = 0;
    FailureDetector failureDetector = health.failureDetector();
    for (FailureDetector.ZoneStateChange verdict : failureDetector.evaluate(now)) {
      LOG.warn(
          "event={} zone={} silent={} of={} lasted_ms={}",
          verdict.partitioned() ? "zone_silent" : "zone_recovered",
          zones.name(verdict.zone()),
          verdict.overdueMachines(),
          verdict.knownMachines(),
          verdict.previousStateMs());
    }
    for (FleetHealth.SuspicionChange change : health.takeChanges()) {
      logMachine(
          change.machine().name,
          eventName(change.suspicion()),
          Math.round(change.slowdown() * 100) / 100.0);
    }
    suppressedLines += health.takeDroppedChangeCount();
    Arrays.fill(unreachableCountByZone, 0);
    for (Machine machine : schedulerState.machines()) {
      unreachableCountByZone[machine.zone] +=
          machine.health.outboundReachability().isBroken() ? 1 : 0;
    }
    for (Machine machine : schedulerState.machines()) {
      if (!machine.deleting) {
        evaluate(machine, failureDetector, now);
      }
    }
    if (suppressedLines > 0) {
      LOG.info("event=machine_lines_suppressed count={}", suppressedLines);
      suppressedLines = 0;
    }
  }

  private static String eventName(Suspicion suspicion) {
    return switch (suspicion) {
      case SLOW -> "machine_slow";
      case FAULTY -> "machine_faulty";
      case NO_IMAGE -> "machine_without_image";
      case NONE -> "machine_recovered";
    };
  }

  private void evaluate(Machine machine, FailureDetector failureDetector, long now) {
    if (schedulerState.directCommandPlanner().needsDeletionToFence(machine, now)) {
      machine.deleting = true;
      logMachine(machine.name, "machine_deleted_to_fence", 0);
    } else if (machine.health.outboundReachability().isBroken()) {
      handleUnreachable(machine, now);
    } else if (failureDetector.silentMs(machine.health, now)
        > silenceTimeoutMs + (machine.relayPeer >= 0 ? RELAY_MARGIN_MS : 0)) {
      if (mayDelete(machine, failureDetector, now)) {
        machine.deleting = true;
        logMachine(
            machine.name,
            machine.lastHeartbeatMs < 0 ? "machine_never_reported" : "machine_silent",
            now - machine.lastHeartbeatMs);
      }
    } else if (machine.draining && !machine.isInterrupted() && machine.isEmpty()) {
      machine.deleting = true;
    } else if (!machine.draining && shouldDrain(machine)) {
      machine.draining = true;
      stopImageFetches(machine, now);
      logMachine(
          machine.name, "machine_draining", Math.round(machine.health.slowdown() * 100) / 100.0);
    }
  }

  /**
   * Handles a machine that sends heartbeats but receives no responses. Its tasks end when its lease
   * expires, so it is deleted. If many machines of a zone are affected, deletions are limited as in
   * a partitioned zone, because a fault that keeps responses from a whole zone is temporary.
   * Attempts that were launched on the machine but never confirmed are stopped: a later heartbeat
   * that does not list such an attempt proves that it is gone.
   */
  private void handleUnreachable(Machine machine, long now) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase == Attempt.Phase.READY && !attempt.isStopping()) {
        schedulerState.requestStop(attempt, 0, now);
      }
    }
    int knownMachines = health.failureDetector().knownMachineCount(machine.zone);
    boolean isAllowed =
        unreachableCountByZone[machine.zone] >= health.policy().minPartitionMachines()
            ? zoneDeletionBudgets[machine.zone].tryTake(knownMachines, now)
            : deletionBudget.tryTake(schedulerState.machines().size(), now);
    if (isAllowed) {
      machine.deleting = true;
      logMachine(machine.name, "machine_unreachable", machine.incarnation);
    }
  }

  private boolean mayDelete(Machine machine, FailureDetector failureDetector, long now) {
    long silentForMs = failureDetector.silentMs(machine.health, now);
    int zone = machine.zone;
    if (failureDetector.isPartitioned(zone)) {
      // The machines of a partitioned zone are needed once the partition ends, so they are not all
      // deleted at once. A share of the machines with tasks is deleted, so that their tasks run
      // elsewhere sooner; the tasks of the others are freed once the workers' leases expire. Lease
      // expiry proves nothing for machines that have not seen this term: only a deletion frees
      // their tasks, so they are deleted as fast as silent machines of any zone.
      if (!machine.isEmpty() && schedulerState.leaseExpiryMs(machine) < 0) {
        return deletionBudget.tryTake(schedulerState.machines().size(), now);
      }
      // An idle machine delays no task, but it may be gone permanently. If it were kept forever,
      // the zone would stay partitioned and no machines would be rented there any more.
      return (!machine.isEmpty() || silentForMs > MAX_IDLE_PARTITIONED_LEASES * leaseMs)
          && zoneDeletionBudgets[zone].tryTake(failureDetector.knownMachineCount(zone), now);
    }
    if (failureDetector.isLikelyIsolated(now) && silentForMs <= leaseMs) {
      return false; // When most machines are silent, the fault is more likely on the leader's side.
    }
    return deletionBudget.tryTake(schedulerState.machines().size(), now);
  }

  /**
   * Returns true for a faulty machine and for a slow one that wastes more than its replacement
   * costs. With slowdown f, a machine wastes (f-1)/f of its price for as long as the suspicion
   * lasts; a replacement costs one and a half boot times.
   */
  private boolean shouldDrain(Machine machine) {
    MachineHealth machineHealth = machine.health;
    if (machineHealth.suspicion() == Suspicion.FAULTY
        || machineHealth.suspicion() == Suspicion.NO_IMAGE) {
      return true;
    }
    double slowdown = machineHealth.slowdown();
    return machineHealth.suspicion() == Suspicion.SLOW
        && slowdown > 1
        && (slowdown - 1) / slowdown * health.policy().suspicionExpiryMs()
            > 1000 * machine.type.bootS() * 1.5;
  }

  /**
   * Stops the image fetches on a draining machine, because a fetch that never ends would keep the
   * machine from becoming idle.
   */
  private void stopImageFetches(Machine machine, long now) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase == Attempt.Phase.PULLING) {
        schedulerState.requestStop(attempt, 0, now);
      }
    }
  }

  private void logMachine(String machine, String event, Object figure) {
    if (loggedMachineLines++ < MAX_MACHINE_LINES) {
      LOG.info("event={} machine={} figure={}", event, machine, figure);
    } else {
      suppressedLines++;
    }
  }
}
