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
 * Acts on what {@link FleetHealth} suspects: which silent or faulty machines are deleted, and when.
 * The deletion is the proof that frees their tasks; suspicion alone frees nothing.
 *
 * <p><b>Why a leader of term N that was paused does no harm once term N+1 began</b>, for each thing
 * that leaves this process. A freeze can fall between any check and the write after it, so no check
 * of the clock alone is a proof; what holds is at the other side.
 *
 * <ul>
 *   <li><i>Commits:</i> each compares the version of the key {@code leader}, which N+1 changed:
 *       refused with 409.
 *   <li><i>Launches and stops, sent directly:</i> carry token N. A worker that has seen N+1 refuses
 *       them. One that has not may still start the attempt, but that was recorded before it was
 *       sent, so N+1 read it on takeover and counts it until a report of a worker that has seen N+1
 *       does not list it; from then on the worker refuses N.
 *   <li><i>Answers to reports:</i> a worker gives an answer up after 4 s and drops lower tokens.
 *       The lease that an answer with N renews is one that N+1 has no proof against: it counts from
 *       the last report that it answered itself.
 *   <li><i>Clearing an exited attempt:</i> sent only for what is committed (see {@code
 *       SchedulerState.orphan}), so N+1 knows the result without the worker.
 *   <li><i>Rental requests:</i> recorded under their name before the call; N+1 repeats every
 *       recorded name, and a repeated name rents nothing more.
 *   <li><i>Deletions:</i> decided only while the lease holds; a late one takes a machine, never a
 *       rule: N+1 finds it gone by the cloud's answer, its list or the worker's lease.
 *   <li><i>Answers to users:</i> come from a read or a transaction made for them; only final states
 *       are remembered, and those do not change.
 * </ul>
 *
 * Besides, so that it does not even try: {@code LeaderLease.isValid} measures from the sending of
 * the last renewal that succeeded, on a clock that runs on through the pause, so the first check
 * after one finds it false; workers are answered only once the lease has been asked for again; and
 * silence counts anew, for this side did not listen.
 */
public final class FailureResponder {
  private static final Logger LOG = LoggerFactory.getLogger(FailureResponder.class);

  /** A machine is silent when its heartbeat is overdue by half an interval and this. */
  private static final long SILENCE_MARGIN_MS = 2_000;

  /**
   * Additional time for a worker whose heartbeats are relayed, which may be trying the direct link:
   * a heartbeat without an answer, a pause of a second, and the way back, up to half a second each.
   */
  private static final long RELAY_MARGIN_MS = 6_000;

  /**
   * Without a direct heartbeat for this time, a zone's workers are taken to reach this leader only
   * through a peer.
   */
  private static final long REROUTED_AFTER_MS = 1_500;

  /** After a pause workers are turned away no longer than this while the lease is not renewed. */
  private static final long MAX_LEASE_UNCERTAINTY_MS = 1_500;

  /** In how many leases the share of a partitioned zone that may be deleted is refilled. */
  private static final double ZONE_REFILL_LEASES = 2;

  /** For how many leases an idle machine of a partitioned zone is kept. */
  private static final double IDLE_KEPT_LEASES = 3;

  /** Redirected workers that are remembered; more than any fleet that one leader can answer. */
  private static final int MAX_REDIRECTED = 4_000;

  /** Log lines about single machines in one evaluation. */
  private static final int MAX_MACHINE_LINES = 20;

  private final SchedulerState schedulerState;
  private final FleetHealth health;
  private final NameIndex zones;
  private final long term;
  private final long silentMs;
  private final long leaseMs;
  private final TokenBucket deletions;
  private final TokenBucket[] zoneDeletions;
  private final long[] lastDirectMs;
  private final boolean[] rerouted;
  private final int[] unreachableInZone;
  private final Object2LongOpenHashMap<String> redirectedMs = new Object2LongOpenHashMap<>();
  private int machineLines;
  private long suppressedLines;

  /**
   * For one term.
   *
   * @param heartbeatIntervalS the interval of the workers' heartbeats, in seconds
   * @param leaseS the duration of the workers' leases, in seconds
   * @param term the first fencing token of the term
   * @param now on the steady clock, in milliseconds, as everywhere in this class
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
    // Heartbeats come up to a quarter late. A machine that has missed one is hung, partitioned or
    // dead: the sooner it is deleted, the sooner its tasks run elsewhere.
    this.silentMs = (long) (heartbeatIntervalS * 1500) + SILENCE_MARGIN_MS;
    this.leaseMs = (long) (leaseS * 1000);
    HealthPolicy policy = health.policy();
    this.deletions =
        new TokenBucket(policy.maxDeletionShare(), policy.minDeletions(), leaseMs, now);
    this.zoneDeletions = new TokenBucket[zones.size()];
    this.lastDirectMs = new long[zones.size()];
    this.rerouted = new boolean[zones.size()];
    this.unreachableInZone = new int[zones.size()];
    Arrays.fill(lastDirectMs, now);
    for (int z = 0; z < zoneDeletions.length; z++) {
      zoneDeletions[z] =
          new TokenBucket(policy.maxPartitionDeletionShare(), 1, ZONE_REFILL_LEASES * leaseMs, now);
    }
  }

  /**
   * Detects pauses of this process: to be called by the leader's tick and before each heartbeat is
   * handled. After a pause silence counts anew, since this side did not listen.
   */
  public void recordActivity(long now) {
    long pausedMs = health.pauseDetector().recordActivity(now);
    if (pausedMs > 0) {
      LOG.warn("event=process_paused term={} ms={}", term, pausedMs);
      health.failureDetector().resetSilence(now);
    }
  }

  /** To be called by each of the leader's regular ticks, after {@link #recordActivity}. */
  public void recordTick() {
    health.pauseDetector().recordTick();
  }

  /**
   * True shortly after a pause of this process, until the lease is renewed: another node may lead,
   * and an answer would keep workers here that it waits for. Bounded, since in an outage of the
   * state service nobody else can lead and the answers keep the workers' leases alive.
   *
   * @param renewedMs when the last renewal that succeeded was sent
   */
  public boolean isLeaseUncertain(long renewedMs, long now) {
    PauseDetector pauseDetector = health.pauseDetector();
    return pauseDetector.pauseCount() > 0
        && renewedMs < pauseDetector.listeningSinceMs()
        && now - pauseDetector.listeningSinceMs() < MAX_LEASE_UNCERTAINTY_MS;
  }

  /**
   * True once for each worker, and again after a lease: it is not answered, so that it asks the
   * other nodes. If another node leads it is answered there with a higher token, and its tasks live
   * on; otherwise it would stay with a deposed leader, and the new one would take it for silent and
   * delete it. If no other node leads it is back after it asked each node once, well within its
   * lease, and is answered. No answer is given that was not given before, so no proof changes.
   */
  public boolean tryRedirect(Heartbeat heartbeat, long now) {
    long last = redirectedMs.getOrDefault(heartbeat.machine(), Long.MIN_VALUE / 2);
    if (now - last < leaseMs) {
      return false;
    }
    if (redirectedMs.size() >= MAX_REDIRECTED) {
      redirectedMs.clear(); // Each is redirected once more than necessary, no worse.
    }
    redirectedMs.put(heartbeat.machine(), now);
    return true;
  }

  /**
   * A heartbeat arrived from a zone. The first relayed one after the direct ones ended means that
   * the zone was rerouted: its other machines get time to find the way through a peer.
   *
   * @param direct false when a peer relayed it
   */
  public void recordHeartbeatRoute(int zone, boolean direct, long now) {
    if (direct) {
      lastDirectMs[zone] = now;
      rerouted[zone] = false;
    } else if (!rerouted[zone] && now - lastDirectMs[zone] > REROUTED_AFTER_MS) {
      rerouted[zone] = true;
      health.failureDetector().resetZoneSilence(zone, now);
      LOG.warn(
          "event=zone_rerouted zone={} direct_ms={}", zones.name(zone), now - lastDirectMs[zone]);
    }
  }

  /**
   * Takes from the state of the machine's tasks, after its heartbeat, what it says of the machine's
   * health. The cost is proportional to the tasks of this machine.
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
        double needS = attempt.job.spec.imageGb() / Math.max(1e-3, machine.type.fetchGbPerS());
        health.recordImageWait(machine.health, now - attempt.createdMs, needS * 1000, now);
      }
    }
    health.setOverdueTasks(machine.health, overdue, now);
  }

  /**
   * Evaluates zones and machines, and marks the machines that are to be deleted. To be called only
   * while the lease holds.
   */
  void evaluate(long now) {
    machineLines = 0;
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
          event(change.suspicion()),
          Math.round(change.slowdown() * 100) / 100.0);
    }
    suppressedLines += health.takeDroppedChangeCount();
    Arrays.fill(unreachableInZone, 0);
    for (Machine machine : schedulerState.machines()) {
      unreachableInZone[machine.zone] += machine.health.outboundReachability().isBroken() ? 1 : 0;
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

  private static String event(Suspicion d) {
    return switch (d) {
      case SLOW -> "machine_slow";
      case FAULTY -> "machine_faulty";
      case NO_IMAGE -> "machine_without_image";
      case NONE -> "machine_recovered";
    };
  }

  private void evaluate(Machine machine, FailureDetector failureDetector, long now) {
    if (schedulerState.heartbeatReconciler().needsDeletionToFence(machine, now)) {
      machine.deleting = true;
      logMachine(machine.name, "machine_deleted_to_fence", 0);
    } else if (machine.health.outboundReachability().isBroken()) {
      deleteUnreachable(machine, now);
    } else if (failureDetector.silentMs(machine.health, now)
        > silentMs + (machine.relayPeer >= 0 ? RELAY_MARGIN_MS : 0)) {
      if (mayDelete(machine, failureDetector, now)) {
        machine.deleting = true;
        logMachine(
            machine.name,
            machine.lastHeartbeatMs < 0 ? "machine_never_reported" : "machine_silent",
            now - machine.lastHeartbeatMs);
      }
    } else if (machine.draining && machine.interruptionMs == 0 && machine.isEmpty()) {
      machine.deleting = true;
    } else if (!machine.draining && isWorthDraining(machine)) {
      machine.draining = true;
      stopImageFetches(machine, now);
      logMachine(
          machine.name, "machine_draining", Math.round(machine.health.slowdown() * 100) / 100.0);
    }
  }

  /**
   * The machine sends heartbeats but receives no answer. Its tasks end with its lease, so it is
   * deleted; but of one zone no more than of a partitioned one, since what keeps answers from a
   * whole zone passes. Attempts that were launched there and never confirmed are stopped: the next
   * heartbeat that does not list one proves that it is gone.
   */
  private void deleteUnreachable(Machine machine, long now) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase == Attempt.Phase.READY && !attempt.isStopping()) {
        schedulerState.requestStop(attempt, 0, now);
      }
    }
    int known = health.failureDetector().knownMachineCount(machine.zone);
    boolean may =
        unreachableInZone[machine.zone] >= health.policy().minPartitionMachines()
            ? zoneDeletions[machine.zone].tryTake(known, now)
            : deletions.tryTake(schedulerState.machines().size(), now);
    if (may) {
      machine.deleting = true;
      logMachine(machine.name, "machine_unreachable", machine.incarnation);
    }
  }

  private boolean mayDelete(Machine machine, FailureDetector failureDetector, long now) {
    long silentForMs = failureDetector.silentMs(machine.health, now);
    int zone = machine.zone;
    if (failureDetector.isPartitioned(zone)) {
      // A partitioned zone's machines are needed when it is back, so they are not all deleted at
      // once. Of those with tasks a share is, since the tasks run elsewhere sooner; the tasks of
      // the rest are free once their leases expired. No lease proves that of machines that have not
      // seen this term: only a deletion frees their tasks, so those are deleted as fast as silent
      // machines of any zone.
      if (!machine.isEmpty() && machine.highestTokenSeen < term) {
        return deletions.tryTake(schedulerState.machines().size(), now);
      }
      // An idle one delays nothing, but it may be gone for good: kept for ever it would keep the
      // zone partitioned, and nothing would be rented there any more.
      return (!machine.isEmpty() || silentForMs > IDLE_KEPT_LEASES * leaseMs)
          && zoneDeletions[zone].tryTake(failureDetector.knownMachineCount(zone), now);
    }
    if (failureDetector.isLikelyIsolated(now) && silentForMs <= leaseMs) {
      return false; // When most are silent the fault is more likely on this side.
    }
    return deletions.tryTake(schedulerState.machines().size(), now);
  }

  /**
   * True for a faulty machine, and for a slow one that wastes more than a new one costs: with a
   * slowdown f it wastes (f-1)/f of its price for as long as the suspicion lasts, and a new one
   * costs one and a half boot times.
   */
  private boolean isWorthDraining(Machine machine) {
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

  /** An image fetch that never ends would keep the machine from being idle for ever. */
  private void stopImageFetches(Machine machine, long now) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase == Attempt.Phase.PULLING) {
        schedulerState.requestStop(attempt, 0, now);
      }
    }
  }

  private void logMachine(String machine, String event, Object figure) {
    if (machineLines++ < MAX_MACHINE_LINES) {
      LOG.info("event={} machine={} figure={}", event, machine, figure);
    } else {
      suppressedLines++;
    }
  }
}
