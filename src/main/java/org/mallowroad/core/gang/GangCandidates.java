package org.mallowroad.core.gang;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;

/**
 * Finds the machines that have room for tasks of a gang, now or after running tasks have ended.
 *
 * <p>A slot is room for one task of the gang. A negative zone means the whole fleet.
 */
final class GangCandidates {
  /** A stopping task is assumed to end this long after its time to save progress is over. */
  private static final long STOP_MARGIN_MS = 2_000;

  /** A task is assumed to need at least this share of its estimate more, even if it overruns. */
  private static final double MIN_REMAINING_SHARE = 0.25;

  /**
   * A machine with room for tasks of the gang.
   *
   * @param slots tasks of the gang that have room
   * @param availableAtMs when all of these slots are free
   */
  record Candidate(Machine machine, int slots, long availableAtMs) {}

  /** The expected end of an attempt, which releases the resources of one task of its job. */
  private record Release(long atMs, JobSpec spec) {}

  private final MachinePool machinePool;

  GangCandidates(MachinePool machinePool) {
    this.machinePool = machinePool;
  }

  /** Machines of the zone that have slots by the time {@code byMs}, earliest available first. */
  List<Candidate> candidates(Job job, int zone, long now, long byMs) {
    List<Candidate> candidates = new ArrayList<>();
    for (Machine machine : machinePool.machines()) {
      if ((zone < 0 || machine.zone == zone) && isEligible(job, machine, now)) {
        Candidate candidate = candidate(job, machine, now, byMs);
        if (candidate.slots > 0) {
          candidates.add(candidate);
        }
      }
    }
    candidates.sort(
        Comparator.comparingLong((Candidate candidate) -> candidate.availableAtMs)
            .thenComparingInt(candidate -> candidate.machine.isEmpty() ? 0 : 1)
            .thenComparingInt(candidate -> candidate.machine.spot ? 1 : 0)
            .thenComparing(candidate -> candidate.machine.name));
    return candidates;
  }

  /** True when the machine may be reserved for the gang, whether or not it has room now. */
  boolean isEligible(Job job, Machine machine, long now) {
    return (machine.reservedFor == null || machine.reservedFor == job)
        && !machine.health.isSuspect()
        && machinePool.acceptsNewTasks(machine, now)
        && job.spec.allows(machine.type.index(), machine.zone, machine.spot)
        && machine.type.fits(job.spec);
  }

  private static Candidate candidate(Job job, Machine machine, long now, long byMs) {
    ResourceVector free = machine.copyFreeResources();
    int maxSlots = job.pendingTaskCount();
    int slots = free.capacityFor(job.spec, maxSlots);
    long availableAtMs = now;
    if (byMs > now) {
      for (Release release : releases(machine, now)) {
        if (release.atMs > byMs) {
          break;
        }
        free.add(release.spec, 1);
        int moreSlots = free.capacityFor(job.spec, maxSlots);
        if (moreSlots > slots) {
          slots = moreSlots;
          availableAtMs = release.atMs;
        }
      }
    }
    return new Candidate(machine, slots, availableAtMs);
  }

  private static List<Release> releases(Machine machine, long now) {
    List<Release> releases = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      releases.add(new Release(expectedEndMs(attempt, now), attempt.job.spec));
    }
    releases.sort(Comparator.comparingLong(Release::atMs));
    return releases;
  }

  private static long expectedEndMs(Attempt attempt, long now) {
    JobSpec spec = attempt.job.spec;
    if (attempt.isStopping()) {
      return now + (long) (spec.checkpointDurationS() * 1000) + STOP_MARGIN_MS;
    }
    if (spec.service()) {
      return Long.MAX_VALUE;
    }
    double elapsedS = (now - attempt.createdMs) / 1000.0;
    double remainingS =
        Math.max(spec.estimateS() - elapsedS, spec.estimateS() * MIN_REMAINING_SHARE);
    return now + (long) (remainingS * 1000);
  }

  /**
   * Slots on all candidates, at most the gang's limit in each zone and its waiting tasks in all.
   */
  int totalSlots(Job job, Collection<Candidate> candidates) {
    int[] slotsByZone = new int[machinePool.zones()];
    int total = 0;
    for (Candidate candidate : candidates) {
      int slots = Math.max(0, slotsWithinZoneLimit(job, candidate, slotsByZone));
      slotsByZone[candidate.machine.zone] += slots;
      total += slots;
    }
    return Math.min(total, job.pendingTaskCount());
  }

  /**
   * The time at which the existing machines have room for all waiting tasks of the gang.
   *
   * @param byMs room that becomes available later is not considered
   * @return {@code Long.MAX_VALUE} when there is not enough room by {@code byMs}
   */
  long completeAtMs(Job job, int zone, long now, long byMs) {
    int[] slotsByZone = new int[machinePool.zones()];
    int total = 0;
    for (Candidate candidate : candidates(job, zone, now, byMs)) {
      int slots = Math.max(0, slotsWithinZoneLimit(job, candidate, slotsByZone));
      slotsByZone[candidate.machine.zone] += slots;
      total += slots;
      if (total >= job.pendingTaskCount()) {
        return candidate.availableAtMs;
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * Slots of the candidate within the gang's limit for its zone; may be negative.
   *
   * @param slotsByZone slots already used in each zone
   */
  static int slotsWithinZoneLimit(Job job, Candidate candidate, int[] slotsByZone) {
    return Math.min(
        candidate.slots, job.spec.maxTasksPerZone() - slotsByZone[candidate.machine.zone]);
  }
}
