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

/** Finds the machines on which tasks of a gang have room, now or once running tasks have ended. */
final class GangCandidates {
  /** A stopping task is assumed to be gone this long after its time to save progress. */
  private static final long STOP_MARGIN_MS = 2_000;

  /** A task that overruns its estimate is assumed to need this share of the estimate more. */
  private static final double MIN_REMAINING_SHARE = 0.25;

  /**
   * Room on a machine.
   *
   * @param places tasks of the gang that have room
   * @param availableAtMs when all of these places are free
   */
  record Candidate(Machine machine, int places, long availableAtMs) {}

  /** The expected end of an attempt, which releases the resources of its job's task. */
  private record Release(long atMs, JobSpec spec) {}

  private final MachinePool machinePool;

  GangCandidates(MachinePool machinePool) {
    this.machinePool = machinePool;
  }

  /** Machines of the zone with room for tasks of the gang until {@code byMs}, soonest first. */
  List<Candidate> candidates(Job job, int zone, long now, long byMs) {
    List<Candidate> candidates = new ArrayList<>();
    for (Machine machine : machinePool.machines()) {
      if ((zone < 0 || machine.zone == zone) && isEligible(job, machine, now)) {
        Candidate candidate = candidate(job, machine, now, byMs);
        if (candidate.places > 0) {
          candidates.add(candidate);
        }
      }
    }
    candidates.sort(
        Comparator.comparingLong((Candidate c) -> c.availableAtMs)
            .thenComparingInt(c -> c.machine.isEmpty() ? 0 : 1)
            .thenComparingInt(c -> c.machine.spot ? 1 : 0)
            .thenComparing(c -> c.machine.name));
    return candidates;
  }

  /** True when the machine may be reserved for the gang at all. */
  boolean isEligible(Job job, Machine machine, long now) {
    return (machine.reservedFor == null || machine.reservedFor == job)
        && !machine.health.isSuspect()
        && machinePool.acceptsNewTasks(machine, now)
        && job.spec.allows(machine.type.index(), machine.zone, machine.spot)
        && machine.type.fits(job.spec);
  }

  private static Candidate candidate(Job job, Machine machine, long now, long byMs) {
    ResourceVector free = machine.copyFreeResources();
    int maxPlaces = job.pendingTaskCount();
    int places = free.capacityFor(job.spec, maxPlaces);
    long availableAtMs = now;
    if (byMs > now) {
      for (Release release : releases(machine, now)) {
        if (release.atMs > byMs) {
          break;
        }
        free.add(release.spec, 1);
        int morePlaces = free.capacityFor(job.spec, maxPlaces);
        if (morePlaces > places) {
          places = morePlaces;
          availableAtMs = release.atMs;
        }
      }
    }
    return new Candidate(machine, places, availableAtMs);
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

  /** Tasks of the gang that have room on the candidates, within its limit for each zone. */
  int totalPlaces(Job job, Collection<Candidate> candidates) {
    int[] placesInZone = new int[machinePool.zones()];
    int total = 0;
    for (Candidate candidate : candidates) {
      int places = Math.max(0, placesWithinZoneLimit(job, candidate, placesInZone));
      placesInZone[candidate.machine.zone] += places;
      total += places;
    }
    return Math.min(total, job.pendingTaskCount());
  }

  /**
   * When the existing machines have room for the whole gang.
   *
   * @param byMs candidates that have room later are not considered
   * @return {@code Long.MAX_VALUE} when they have not by then
   */
  long completeAtMs(Job job, int zone, long now, long byMs) {
    int[] placesInZone = new int[machinePool.zones()];
    int total = 0;
    for (Candidate candidate : candidates(job, zone, now, byMs)) {
      int places = Math.max(0, placesWithinZoneLimit(job, candidate, placesInZone));
      placesInZone[candidate.machine.zone] += places;
      total += places;
      if (total >= job.pendingTaskCount()) {
        return candidate.availableAtMs;
      }
    }
    return Long.MAX_VALUE;
  }

  /** Places of the candidate that the gang's limit for the zone leaves; may be negative. */
  static int placesWithinZoneLimit(Job job, Candidate candidate, int[] placesInZone) {
    return Math.min(
        candidate.places, job.spec.maxTasksPerZone() - placesInZone[candidate.machine.zone]);
  }
}
