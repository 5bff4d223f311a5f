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
 * Acts on what {@link FleetHealth} suspects: which silent or faulty machines are returned, and
 * when. The deletion is the proof that frees their tasks; suspicion alone frees nothing.
 *
 * <p><b>Why a leader of term N that stood still does no harm once N+1 began</b>, for each thing
 * that leaves this process. A freeze can fall between any check and the write after it, so no check
 * of the clock alone is a proof; what holds is at the other side.
 *
 * <ul>
 *   <li><i>Commits:</i> each carries the mark of {@code leader}, which N+1 changed: refused with
 *       409.
 *   <li><i>Launches and stops, sent directly:</i> carry token N. A worker that has seen N+1 refuses
 *       them. One that has not may still start the attempt, but that was recorded before it was
 *       sent, so N+1 read it on takeover and counts it until a report of a worker that has seen N+1
 *       does not list it; from then on the worker refuses N.
 *   <li><i>Answers to reports:</i> a worker gives an answer up after 4 s and drops lower tokens.
 *       The lease that an answer with N renews is one that N+1 has no proof against: it counts from
 *       the last report that it answered itself.
 *   <li><i>Clearing an exited attempt:</i> sent only for what is committed (see {@code
 *       SchedulerState.orphan}), so N+1 knows the result without the worker.
 *   <li><i>Rents:</i> recorded under their name before the call; N+1 repeats every recorded name,
 *       and a repeated name rents nothing more.
 *   <li><i>Deletions:</i> decided by a firm leader only; a late one takes a machine, never a rule:
 *       N+1 finds it gone by the cloud's answer, its list or the worker's lease.
 *   <li><i>Answers to users:</i> come from a read or a transaction made for them; only final states
 *       are remembered, and those do not change.
 * </ul>
 *
 * Besides, so that it does not even try: {@code LeaderLease.isValid} measures from the sending of
 * the last renewal that succeeded, on a clock that runs on through the standstill, so the first
 * turn after one finds it false; workers are answered only once the lease has been asked for again;
 * and silence counts anew, for this side did not listen.
 */
public final class FailureResponder {
  private static final Logger LOG = LoggerFactory.getLogger(FailureResponder.class);

  private static final long SILENT_MS = 2_000;

  /**
   * A worker whose reports are carried may be trying the direct way: a report without an answer, a
   * second's wait, the way back, and up to half a second each.
   */
  private static final long ROUND_MS = 6_000;

  /** So long without a report that came by itself: a zone's workers come by way of a peer now. */
  private static final long REROUTED_MS = 1_500;

  /**
   * After a standstill workers are turned away this long at the most until the lease is renewed.
   */
  private static final long UNSURE_MS = 1_500;

  /** The share of a cut zone's machines that may be returned fills up again in so many leases. */
  private static final double CUT_LEASES = 2;

  /** An empty machine of a cut zone is kept for so many leases. */
  private static final double HOLD_LEASES = 3;

  /** Workers remembered that were sent round; more than any fleet that one leader can answer. */
  private static final int MOST_ROUNDS = 4_000;

  /** Lines about single machines in each judgement. */
  private static final int MOST_LINES = 20;

  private final SchedulerState schedulerState;
  private final FleetHealth health;
  private final NameIndex zones;
  private final long term;
  private final long silentMs;
  private final long leaseMs;
  private final TokenBucket returns;
  private final TokenBucket[] zoneReturns;
  private final long[] directMs;
  private final boolean[] rerouted;
  private final int[] deafIn;
  private final Object2LongOpenHashMap<String> rounds = new Object2LongOpenHashMap<>();
  private int lines;
  private long leftOut;

  /** For workers that report every {@code heartbeatIntervalS} and hold leases of {@code leaseS}. */
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
    // Reports come up to a quarter late. A machine that has missed one is hung, cut off or dead:
    // the sooner it is returned, the sooner its tasks run elsewhere.
    this.silentMs = (long) (heartbeatIntervalS * 1500) + SILENT_MS;
    this.leaseMs = (long) (leaseS * 1000);
    HealthPolicy p = health.policy();
    this.returns = new TokenBucket(p.returnShare(), p.minReturns(), leaseMs, now);
    this.zoneReturns = new TokenBucket[zones.size()];
    this.directMs = new long[zones.size()];
    this.rerouted = new boolean[zones.size()];
    this.deafIn = new int[zones.size()];
    Arrays.fill(directMs, now);
    for (int z = 0; z < zoneReturns.length; z++) {
      zoneReturns[z] = new TokenBucket(p.partitionReturnShare(), 1, CUT_LEASES * leaseMs, now);
    }
  }

  /** Call with each turn of the loop and before each message is taken. */
  public void turn(long now) {
    long ms = health.pauseDetector().recordActivity(now);
    if (ms > 0) {
      LOG.warn("event=stood_still term={} ms={}", term, ms);
      health.failureDetector().restart(now);
    }
  }

  /** Call with each regular beat of the loop, after {@link #turn}. */
  public void beat() {
    health.pauseDetector().recordTick();
  }

  /**
   * True while a standstill is so short ago that the lease has not been asked for since: another
   * may lead, and an answer would hold workers here that it waits for. Bounded, since in an outage
   * of the state service nobody else can lead and the answers keep the workers' leases alive.
   */
  public boolean unsure(long renewedMs, long now) {
    PauseDetector pauseDetector = health.pauseDetector();
    return pauseDetector.pauseCount() > 0
        && renewedMs < pauseDetector.listeningSinceMs()
        && now - pauseDetector.listeningSinceMs() < UNSURE_MS;
  }

  /**
   * True once for each worker, again after a lease: it is turned away, and asks the other nodes. If
   * another leads it is answered there, by a higher token, and its tasks live on; before this it
   * stayed with a leader that was none, which placed nothing, until that fell silent, and the new
   * leader took it for silent and returned it. If nobody leads it is back within one round of the
   * nodes, well within its lease, and is answered. No answer is given that was not given before, so
   * no proof changes.
   */
  public boolean sendRound(Heartbeat r, long now) {
    long last = rounds.getOrDefault(r.machine(), Long.MIN_VALUE / 2);
    if (now - last < leaseMs) {
      return false;
    }
    if (rounds.size() >= MOST_ROUNDS) {
      rounds.clear(); // Each is sent round once more than it need be, no worse.
    }
    rounds.put(r.machine(), now);
    return true;
  }

  /** By which way a zone's report came: the first that is carried, and none came by itself. */
  public void came(int zone, boolean direct, long now) {
    if (direct) {
      directMs[zone] = now;
      rerouted[zone] = false;
    } else if (!rerouted[zone] && now - directMs[zone] > REROUTED_MS) {
      rerouted[zone] = true;
      health.failureDetector().restartZone(zone, now);
      LOG.warn("event=zone_rerouted zone={} direct_ms={}", zones.name(zone), now - directMs[zone]);
    }
  }

  /** What a report says of its machine's health besides that it was sent: costs its own tasks. */
  public void reported(Machine m, long now) {
    int overdue = 0;
    for (Attempt a : m.attempts()) {
      if (a.isStopping()) {
        continue;
      }
      if (a.phase == Attempt.Phase.RUNNING && a.isOverdue(health.stragglerDetector(), now)) {
        overdue++;
      } else if (a.phase == Attempt.Phase.PULLING) {
        double needS = a.job.spec.imageGb() / Math.max(1e-3, m.type.fetchGbPerS());
        health.imageFetchWaiting(m.health, now - a.createdMs, needS * 1000, now);
      }
    }
    health.tasksOverdue(m.health, overdue, now);
  }

  /** Judges zones and machines; what is to be returned is marked. Only a firm leader may ask. */
  void judge(long now) {
    lines = 0;
    FailureDetector failureDetector = health.failureDetector();
    for (FailureDetector.ZoneVerdict v : failureDetector.evaluate(now)) {
      LOG.warn(
          "event={} zone={} silent={} of={} lasted_ms={}",
          v.partitioned() ? "zone_silent" : "zone_back",
          zones.name(v.zone()),
          v.overdue(),
          v.known(),
          v.lastedMs());
    }
    for (FleetHealth.SuspicionChange c : health.takeChanges()) {
      line(c.machine().name, event(c.suspicion()), Math.round(c.slowdown() * 100) / 100.0);
    }
    leftOut += health.takeUnkeptChanges();
    Arrays.fill(deafIn, 0);
    for (Machine m : schedulerState.machines()) {
      deafIn[m.zone] += m.health.outboundReachability().isBroken() ? 1 : 0;
    }
    for (Machine m : schedulerState.machines()) {
      if (!m.deleting) {
        judge(m, failureDetector, now);
      }
    }
    if (leftOut > 0) {
      LOG.info("event=machine_lines_left_out count={}", leftOut);
      leftOut = 0;
    }
  }

  private static String event(Suspicion d) {
    return switch (d) {
      case SLOW -> "machine_slow";
      case FAULTY -> "machine_faulty";
      case NO_IMAGE -> "machine_without_image";
      case NONE -> "machine_in_favour";
    };
  }

  private void judge(Machine m, FailureDetector failureDetector, long now) {
    if (schedulerState.heartbeatReconciler().needsDeletionToFence(m, now)) {
      m.deleting = true;
      line(m.name, "machine_unfenced", 0);
    } else if (m.health.outboundReachability().isBroken()) {
      deaf(m, now);
    } else if (failureDetector.silentMs(m.health, now)
        > silentMs + (m.relayPeer >= 0 ? ROUND_MS : 0)) {
      if (mayReturn(m, failureDetector, now)) {
        m.deleting = true;
        line(
            m.name,
            m.lastHeartbeatMs < 0 ? "machine_unseen" : "machine_silent",
            now - m.lastHeartbeatMs);
      }
    } else if (m.draining && m.interruptionMs == 0 && m.isEmpty()) {
      m.deleting = true;
    } else if (!m.draining && worthDraining(m)) {
      m.draining = true;
      stopFetches(m, now);
      line(m.name, "machine_drained", Math.round(m.health.slowdown() * 100) / 100.0);
    }
  }

  /**
   * A machine that is told and does not hear: its tasks end with its lease, so it is returned, but
   * no more of a zone than of one that is cut off, since what keeps answers from a whole zone
   * passes. What was launched there and never taken is not wanted there any more: its next report
   * that does not list it proves it gone.
   */
  private void deaf(Machine m, long now) {
    for (Attempt a : m.attempts()) {
      if (a.phase == Attempt.Phase.COMMITTED && !a.isStopping()) {
        schedulerState.requestStop(a, 0, now);
      }
    }
    int known = health.failureDetector().knownMachines(m.zone);
    boolean may =
        deafIn[m.zone] >= health.policy().minPartitionMachines()
            ? zoneReturns[m.zone].tryTake(known, now)
            : returns.tryTake(schedulerState.machines().size(), now);
    if (may) {
      m.deleting = true;
      line(m.name, "machine_deaf", m.incarnation);
    }
  }

  private boolean mayReturn(Machine m, FailureDetector failureDetector, long now) {
    long ms = failureDetector.silentMs(m.health, now);
    int zone = m.zone;
    if (failureDetector.isPartitioned(zone)) {
      // Nobody deletes a whole zone's machines in a hurry: they are needed when it is back. Of
      // those
      // with tasks a share goes at once, since the tasks run elsewhere sooner; the rest are free
      // once their leases ran out. No lease proves that of machines that have not seen this term:
      // their tasks only a deletion frees, so those go as fast as silent machines go anywhere.
      if (!m.isEmpty() && m.highestTokenSeen < term) {
        return returns.tryTake(schedulerState.machines().size(), now);
      }
      // An empty one holds nothing up, but it may be gone for good: kept for ever it would hold the
      // zone cut, and nothing would be rented there any more.
      return (!m.isEmpty() || ms > HOLD_LEASES * leaseMs)
          && zoneReturns[zone].tryTake(failureDetector.knownMachines(zone), now);
    }
    if (failureDetector.isLikelyIsolated(now) && ms <= leaseMs) {
      return false; // When most are silent the fault is rather on this side.
    }
    return returns.tryTake(schedulerState.machines().size(), now);
  }

  /**
   * A faulty machine is emptied and returned. A slow one that takes f times as long wastes (f-1)/f
   * of its price for as long as the doubt lasts; a new one costs its boot.
   */
  private boolean worthDraining(Machine m) {
    MachineHealth h = m.health;
    if (h.suspicion() == Suspicion.FAULTY || h.suspicion() == Suspicion.NO_IMAGE) {
      return true;
    }
    double f = h.slowdown();
    return h.suspicion() == Suspicion.SLOW
        && f > 1
        && (f - 1) / f * health.policy().suspicionExpiryMs() > 1000 * m.type.bootS() * 1.5;
  }

  /** A fetch that never ends would keep its task, and the machine from being empty, for ever. */
  private void stopFetches(Machine m, long now) {
    for (Attempt a : m.attempts()) {
      if (a.phase == Attempt.Phase.PULLING) {
        schedulerState.requestStop(a, 0, now);
      }
    }
  }

  private void line(String machine, String event, Object figure) {
    if (lines++ < MOST_LINES) {
      LOG.info("event={} machine={} figure={}", event, machine, figure);
    } else {
      leftOut++;
    }
  }
}
