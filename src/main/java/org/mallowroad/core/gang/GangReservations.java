package org.mallowroad.core.gang;

import it.unimi.dsi.fastutil.objects.Reference2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;

/**
 * Reserves machines for gangs until all tasks of a gang can start at once.
 *
 * <p>Without reservations a gang may starve: the average spare capacity may be large and yet split
 * into pieces too small for the gang, and each machine that running tasks release is taken by the
 * next task that fits there. So a waiting gang reserves machines as they become available. The
 * scope of a reservation is one zone if the gang's tasks must run together, otherwise the whole
 * fleet. A reserved machine takes no tasks of other jobs, and the machines that are missing are
 * requested from the cloud once, in the same scope. A reservation only makes {@code
 * SchedulerState.startRefusal} refuse other jobs on the machine; it affects no other placement
 * rule.
 *
 * <p><b>No deadlock, and a bounded number of requests.</b> There is at most one reservation for
 * each zone and one for the whole fleet at a time, and a machine is reserved for at most one gang.
 * A reservation ends when the gang starts, when it cannot be completed in its scope (the cloud
 * refuses the missing machines and the tasks running there end too late), or after {@link
 * #MAX_RESERVATION_MS}. Then all its machines are released. After a failure the gang avoids that
 * scope for {@link ZoneBackoff#INITIAL_MS}, doubled with each further failure. A reservation
 * requests at most twice the number of machines that the gang fills, plus {@link #EXTRA_REQUESTS}.
 * Hence two gangs that together exceed the capacity of a zone start one after the other, or in two
 * zones, and a gang that cannot be placed requests a bounded number of machines per reservation,
 * with a backoff between its reservations.
 *
 * <p>Reservations are not persisted: the next leader makes new ones, beginning with the scope in
 * which the gang can start first, or if several are equal the one with the most room. Machines that
 * were requested for a gang are known from their records ({@code PendingMachines#gangId}). Not
 * thread-safe: confined to the event loop.
 */
public final class GangReservations {
  /** A reservation that is not complete after this time fails. */
  public static final long MAX_RESERVATION_MS = 210_000;

  /** Machines that may be requested beyond twice the needed number, to replace failed boots. */
  static final int EXTRA_REQUESTS = 4;

  /**
   * How long to wait for running tasks to end when the cloud has no more machines. The longest
   * tasks that block a gang run for about this long. With half of this value gangs repeatedly gave
   * up reservations that were nearly complete (docs/incidents, gangs-gave-up).
   */
  private static final long RELEASE_HORIZON_MS = 200_000;

  /** Requests for at least this many machines include spares for failed boots. */
  private static final int MIN_OVERPROVISIONED_MACHINES = 8;

  /** Share of requested machines that are expected to boot late or never. */
  private static final double EXPECTED_BOOT_FAILURE_SHARE = 0.06;

  /** Shortest time between two selections of a reservation's machines among all candidates. */
  private static final long SELECTION_INTERVAL_MS = 1_000;

  /**
   * Most concurrent reservations; further gangs wait. Also the most changes that are kept until
   * they are drained.
   */
  private static final int MAX_RESERVATIONS = 32;

  /** An attempt with a higher number is not preempted, so that no task is preempted without end. */
  private static final int MAX_PREEMPTIBLE_ATTEMPT = 3;

  /**
   * The progress of a gang's reservation, for the explanation of pending tasks.
   *
   * @param zone the zone of the reservation, negative for the whole fleet
   * @param slots tasks of the gang that have room on the reserved machines
   * @param neededSlots tasks of the gang that are to be started
   * @param requestedMachines machines requested from the cloud for this reservation
   * @param endsAtMs when the reservation fails unless it is complete, or the end of the backoff
   * @param isBackingOff true while the gang avoids the zone after a failed reservation
   */
  public record ReservationStatus(
      int zone,
      int slots,
      int neededSlots,
      int requestedMachines,
      long endsAtMs,
      boolean isBackingOff) {}

  /**
   * A state transition of a reservation, for the log.
   *
   * @param zone the zone of the reservation, negative for the whole fleet
   * @param durationMs how long the reservation had existed, in milliseconds
   */
  public record Change(
      Job job, int zone, Transition transition, int slots, int neededSlots, long durationMs) {
    /** The kinds of transitions; their names are part of the names of log events. */
    public enum Transition {
      /** The reservation was made. */
      GATHERS,
      /** The reservation ended: all tasks were placed, or the gang may no longer start. */
      ENDS,
      /** The reservation failed: it cannot be completed in its scope, or it took too long. */
      GIVES_UP
    }
  }

  private final MachinePool machinePool;
  private final GangCandidates candidates;
  private final GangMachineOffers offers;
  private final Reference2ObjectLinkedOpenHashMap<Job, GangReservation> reservations =
      new Reference2ObjectLinkedOpenHashMap<>();
  private final Reference2ObjectLinkedOpenHashMap<Job, ZoneBackoff> backoffs =
      new Reference2ObjectLinkedOpenHashMap<>();
  private final List<Change> changes = new ArrayList<>();

  /** Creates an empty set of reservations on the machines of one leader term. */
  public GangReservations(MachinePool machinePool) {
    this.machinePool = machinePool;
    this.candidates = new GangCandidates(machinePool);
    this.offers = new GangMachineOffers(machinePool);
  }

  /** Number of current reservations. */
  public int size() {
    return reservations.size();
  }

  /** The job's current reservation, or else its latest failed one; null when it has neither. */
  public ReservationStatus status(Job job, long now) {
    GangReservation reservation = reservations.get(job);
    if (reservation != null) {
      return new ReservationStatus(
          reservation.zone,
          reservation.slots,
          reservation.neededSlots(),
          reservation.requestedMachines,
          reservation.sinceMs + MAX_RESERVATION_MS,
          false);
    }
    ZoneBackoff backoff = backoffs.get(job);
    if (backoff == null || !backoff.hasFailures()) {
      return null;
    }
    long untilMs = backoff.untilMs(backoff.latestZone);
    return new ReservationStatus(
        backoff.latestZone, 0, job.pendingTaskCount(), 0, untilMs, untilMs > now);
  }

  /**
   * Ends, makes and updates reservations; called before tasks are placed in each placement pass.
   *
   * @param queue jobs with waiting tasks, in placement order
   * @param mayStart whether a gang may start: it is not backing off and within its team's limit
   */
  public void updateReservations(List<Job> queue, Predicate<Job> mayStart, long now) {
    offers.observeInterruptions(now);
    if (reservations.isEmpty() && queue.stream().noneMatch(j -> j.spec.gang())) {
      backoffs.clear();
      return;
    }
    endFinishedReservations(mayStart, now);
    backoffs.keySet().removeIf(j -> !j.hasStartableTasks());
    for (Job job : queue) {
      if (!job.spec.gang()
          || !mayStart.test(job)
          || job.spec.isUnsatisfiable(machinePool.zones())) {
        continue;
      }
      GangReservation reservation = reservations.get(job);
      if (reservation == null && reservations.size() < MAX_RESERVATIONS) {
        reservation = beginReservation(job, now);
      }
      if (reservation != null) {
        updateReservation(reservation, now);
      }
    }
  }

  private void endFinishedReservations(Predicate<Job> mayStart, long now) {
    for (GangReservation reservation : new ArrayList<>(reservations.values())) {
      if (!reservation.job.hasStartableTasks() || !mayStart.test(reservation.job)) {
        recordChange(reservation, Change.Transition.ENDS, now);
        endReservation(reservation);
      }
    }
  }

  /** Makes a reservation in the scope in which the gang can start first; null if there is none. */
  private GangReservation beginReservation(Job job, long now) {
    if (!offers.hasTypes()) {
      return null; // The offered machine types are known after the first scaling cycle.
    }
    ZoneBackoff backoff = backoffs.computeIfAbsent(job, j -> new ZoneBackoff());
    boolean found = false;
    int bestZone = GangReservation.ANY_ZONE;
    long bestStartMs = Long.MAX_VALUE;
    int bestSlots = -1;
    int firstZone = job.spec.together() ? 0 : GangReservation.ANY_ZONE;
    int endZone = job.spec.together() ? machinePool.zones() : 0;
    for (int zone = firstZone; zone < endZone; zone++) {
      if (backoff.untilMs(zone) > now || !mayReserveIn(job, zone)) {
        continue;
      }
      long bootMs = offers.bootMs(job.spec, zone, now);
      int slots = slotsBy(job, zone, now, now + Math.max(0, bootMs));
      long startMs = candidates.completeAtMs(job, zone, now, now + RELEASE_HORIZON_MS);
      if (bootMs >= 0
          && slots + offers.attainableSlots(job.spec, zone, now) >= job.pendingTaskCount()) {
        startMs = Math.min(startMs, now + bootMs);
      }
      if (startMs < bestStartMs
          || (startMs == bestStartMs && startMs < Long.MAX_VALUE && slots > bestSlots)) {
        found = true;
        bestZone = zone;
        bestStartMs = startMs;
        bestSlots = slots;
      }
    }
    if (!found) {
      return null;
    }
    GangReservation reservation = new GangReservation(job, bestZone, now);
    reservations.put(job, reservation);
    backoff.latestZone = bestZone;
    recordChange(reservation, Change.Transition.GATHERS, now);
    return reservation;
  }

  /**
   * True when no other gang has a reservation with this scope, the job's zone rules allow the zone,
   * and the zone is not partitioned.
   */
  private boolean mayReserveIn(Job job, int zone) {
    if (hasReservationIn(zone)) {
      return false;
    }
    if (zone >= 0 && job.spec.zone() >= 0 && zone != job.spec.zone()) {
      return false;
    }
    if (job.spec.together() && job.liveAttemptCount() > 0 && !job.hasLiveAttemptIn(zone)) {
      return false;
    }
    return zone < 0 || !machinePool.health().failureDetector().isPartitioned(zone);
  }

  private boolean hasReservationIn(int zone) {
    for (GangReservation reservation : reservations.values()) {
      if (reservation.zone == zone) {
        return true;
      }
    }
    return false;
  }

  private int slotsBy(Job job, int zone, long now, long byMs) {
    return candidates.totalSlots(job, candidates.candidates(job, zone, now, byMs));
  }

  /** Reserves the machines that the gang needs, and releases those that it no longer needs. */
  private void updateReservation(GangReservation reservation, long now) {
    for (Machine machine : reservation.machines()) {
      if (machinePool.machine(machine.name) != machine
          || !candidates.isEligible(reservation.job, machine, now)) {
        reservation.release(machine);
      }
    }
    if (now - reservation.lastSelectionMs < SELECTION_INTERVAL_MS) {
      addEmptyMachines(reservation, now);
    } else {
      reservation.lastSelectionMs = now;
      selectMachines(reservation, now);
    }
  }

  /** Reserves machines that are empty now. This is cheap enough for every placement pass. */
  private void addEmptyMachines(GangReservation reservation, long now) {
    for (Machine machine : machinePool.machines()) {
      if (reservation.slots >= reservation.neededSlots() - reservation.pendingSlots) {
        return;
      }
      if (machine.reservedFor == null
          && reservation.covers(machine.zone)
          && machine.isEmpty()
          && candidates.isEligible(reservation.job, machine, now)) {
        reservation.add(machine);
        reservation.slots += machine.type.capacityFor(reservation.job.spec);
      }
    }
  }

  /** Selects the reserved machines among all candidates, the earliest available first. */
  private void selectMachines(GangReservation reservation, long now) {
    Job job = reservation.job;
    int wantedSlots = reservation.neededSlots() - reservation.pendingSlots;
    int[] slotsByZone = new int[machinePool.zones()];
    int total = 0;
    for (GangCandidates.Candidate candidate :
        candidates.candidates(job, reservation.zone, now, selectionHorizonMs(reservation, now))) {
      Machine machine = candidate.machine();
      int slots = GangCandidates.slotsWithinZoneLimit(job, candidate, slotsByZone);
      if (total >= wantedSlots || slots <= 0) {
        reservation.release(machine);
        continue;
      }
      slotsByZone[machine.zone] += slots;
      total += slots;
      reservation.add(machine);
      if (candidate.availableAtMs() > now) {
        preemptLowerPriority(job, machine, now);
      }
    }
    reservation.slots = Math.min(total, reservation.neededSlots());
  }

  /**
   * The time by which a machine must have room to be reserved. While the cloud can provide the
   * missing machines, capacity that is released later than a new machine would boot is left to
   * other jobs. A variant that the cloud refused recently does not count as available, although it
   * will be requested again: otherwise machines whose tasks end later than a boot would never be
   * reserved.
   */
  private long selectionHorizonMs(GangReservation reservation, long now) {
    Job job = reservation.job;
    long bootMs = offers.bootMs(job.spec, reservation.zone, now);
    boolean cloudCanComplete =
        bootMs >= 0
            && slotsBy(job, reservation.zone, now, now + bootMs)
                    + offers.attainableSlots(job.spec, reservation.zone, now)
                >= job.pendingTaskCount();
    return now + (cloudCanComplete ? bootMs : RELEASE_HORIZON_MS);
  }

  /** Preempts attempts of lower priority, which is a larger number, on a reserved machine. */
  private void preemptLowerPriority(Job job, Machine machine, long now) {
    for (Attempt attempt : machine.attempts()) {
      JobSpec spec = attempt.job.spec;
      if (!attempt.isStopping()
          && spec.priority() > job.spec.priority()
          && attempt.number <= MAX_PREEMPTIBLE_ATTEMPT
          && (attempt.phase == Attempt.Phase.RUNNING || attempt.phase == Attempt.Phase.PULLING)) {
        machinePool.requestStop(
            attempt, spec.checkpointIntervalS() > 0 ? spec.checkpointDurationS() : 0, now);
      }
    }
  }

  /**
   * Returns the requests for machines that reservations still need. Also fails the reservations
   * that cannot be completed, since the pending and offered machines are known here.
   *
   * @param pending machines that were requested and have not booted yet
   * @param offered the machine types that the cloud offers
   */
  public List<ScaleOutRequest> planScaleOut(
      List<PendingMachines> pending, List<MachineType> offered, long now) {
    offers.setTypes(offered);
    List<ScaleOutRequest> requests = new ArrayList<>();
    for (GangReservation reservation : new ArrayList<>(reservations.values())) {
      if (now - reservation.sinceMs > MAX_RESERVATION_MS) {
        giveUp(reservation, now);
        continue;
      }
      reservation.pendingSlots = pendingSlots(reservation, pending);
      int expectedSlots = reservation.slots + reservation.pendingSlots;
      int missingSlots = reservation.neededSlots() - expectedSlots;
      if (missingSlots <= 0) {
        continue;
      }
      MachineVariant variant = offers.cheapestVariant(reservation.job.spec, reservation.zone, now);
      if (variant != null) {
        addRequests(reservation, variant, missingSlots, requests);
      } else if (!canCompleteWithoutRequests(reservation, now)) {
        giveUp(reservation, now);
      }
    }
    return requests;
  }

  private static int pendingSlots(GangReservation reservation, List<PendingMachines> pending) {
    JobSpec spec = reservation.job.spec;
    int slots = 0;
    for (PendingMachines machines : pending) {
      MachineVariant variant = machines.variant();
      if (spec.id().equals(machines.gangId()) && reservation.covers(variant.zone())) {
        slots += machines.count() * Math.max(1, variant.type().capacityFor(spec));
      }
    }
    return slots;
  }

  /**
   * True when the pending machines and the capacity that running tasks release in time complete the
   * reservation.
   */
  private boolean canCompleteWithoutRequests(GangReservation reservation, long now) {
    int slots = slotsBy(reservation.job, reservation.zone, now, now + RELEASE_HORIZON_MS);
    return slots + reservation.pendingSlots >= reservation.neededSlots();
  }

  private static void addRequests(
      GangReservation reservation,
      MachineVariant variant,
      int missingSlots,
      List<ScaleOutRequest> requests) {
    JobSpec spec = reservation.job.spec;
    int capacity = Math.max(1, variant.type().capacityFor(spec));
    int maxRequested = 2 * ((spec.tasks() + capacity - 1) / capacity) + EXTRA_REQUESTS;
    int machines = (missingSlots + capacity - 1) / capacity;
    // A failed boot delays the whole gang by two boot times, which costs more than a few spares.
    if (machines >= MIN_OVERPROVISIONED_MACHINES) {
      machines += (int) Math.ceil(machines * EXPECTED_BOOT_FAILURE_SHARE);
    }
    int remaining = Math.min(machines, maxRequested - reservation.requestedMachines);
    if (spec.scatter()) {
      remaining = Math.min(remaining, Math.max(1, spec.maxTasksPerZone() / capacity));
    }
    reservation.requestedMachines += Math.max(0, remaining);
    for (; remaining > 0; remaining -= ScaleOutRequest.MAX_MACHINES) {
      int count = Math.min(ScaleOutRequest.MAX_MACHINES, remaining);
      requests.add(new ScaleOutRequest(variant, count, spec.id()));
    }
  }

  /**
   * Records that the cloud provided fewer machines of a variant than were requested.
   *
   * @param total number of machines of the variant at that time, including pending ones
   */
  public void recordRefusal(MachineVariant variant, int total, long now) {
    offers.recordRefusal(variant, total, now);
  }

  private void giveUp(GangReservation reservation, long now) {
    backoffs
        .computeIfAbsent(reservation.job, j -> new ZoneBackoff())
        .recordFailure(reservation.zone, now);
    recordChange(reservation, Change.Transition.GIVES_UP, now);
    endReservation(reservation);
  }

  private void endReservation(GangReservation reservation) {
    reservation.releaseAll();
    reservations.remove(reservation.job);
  }

  private void recordChange(GangReservation reservation, Change.Transition transition, long now) {
    if (changes.size() < MAX_RESERVATIONS) {
      changes.add(
          new Change(
              reservation.job,
              reservation.zone,
              transition,
              reservation.slots,
              reservation.neededSlots(),
              now - reservation.sinceMs));
    }
  }

  /** Returns and removes the changes since the last call. */
  public List<Change> drainChanges() {
    List<Change> drained = new ArrayList<>(changes);
    changes.clear();
    return drained;
  }

  /** Removes a machine that no longer exists from the reservation that contains it. */
  public void removeMachine(Machine machine) {
    if (machine.reservedFor != null) {
      GangReservation reservation = reservations.get(machine.reservedFor);
      if (reservation != null) {
        reservation.release(machine);
      }
      machine.reservedFor = null;
    }
  }
}
