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
 * <p>Average spare capacity hides that it is in pieces too small for a gang, and capacity that is
 * released one machine after the other goes to whatever fits there. So a waiting gang reserves
 * machines: in one zone where its tasks must be together, else in the whole fleet. A reserved
 * machine takes nothing else, and what is lacking is requested from the cloud once, in that place.
 * A reservation only makes {@code SchedulerState.startRefusal} refuse other jobs on the machine;
 * all other placement rules are elsewhere.
 *
 * <p><b>No deadlock, and a bounded number of requests.</b> At a time there is one reservation in a
 * zone and one more in the whole fleet; a machine is reserved for one gang. A reservation ends when
 * the gang starts, when the place cannot complete it (the cloud refuses what it lacks and what runs
 * there ends too late), or after {@link #MAX_RESERVATION_MS}; then all its machines are released,
 * and the gang avoids the place for {@link PlaceBackoff#INITIAL_MS}, doubled each time. A
 * reservation requests no more than twice the machines that the gang fills and {@link
 * #EXTRA_REQUESTS} more. So two gangs that together exceed a zone start one after the other, or in
 * two zones, and a gang that cannot be placed requests a bounded number of machines in each of
 * these periods.
 *
 * <p>Reservations last for one term: the next leader begins anew, with the place that has the most
 * capacity; machines that were requested for a gang are known by their records ({@code
 * PendingMachines#gangId}). Confined to the thread of the event loop.
 */
public final class GangReservations {
  /** A reservation that is not complete after this time is given up. */
  public static final long MAX_RESERVATION_MS = 210_000;

  /** Machines that may be requested beyond twice what is needed, for those that never boot. */
  static final int EXTRA_REQUESTS = 4;

  /**
   * How long to wait for running tasks to end where the cloud has no more machines. The longest
   * tasks that are in the way of a gang run for about as long; with half of it gangs repeatedly
   * gave up reservations that were nearly complete (docs/incidents, gangs-gave-up).
   */
  private static final long RELEASE_HORIZON_MS = 200_000;

  /** From this many machines on, some more are requested for those that never boot. */
  private static final int MIN_OVERPROVISIONED_MACHINES = 8;

  /** The share of requested machines that is expected never to boot, or late. */
  private static final double EXPECTED_BOOT_FAILURE_SHARE = 0.06;

  /** The shortest time between two selections of a reservation's machines. */
  private static final long SELECTION_INTERVAL_MS = 1_000;

  /** The most concurrent reservations; further gangs wait. Also bounds the undrained changes. */
  private static final int MAX_RESERVATIONS = 32;

  /** An attempt with a higher number is not preempted again. */
  private static final int MAX_PREEMPTIBLE_ATTEMPT = 3;

  /** How a gang's reservation stands, for the explanation of pending tasks. */
  public record ReservationStatus(
      int zone,
      int slots,
      int neededSlots,
      int requestedMachines,
      long endsAtMs,
      boolean isBackingOff) {}

  /** A state transition of a reservation, for the log. */
  public record Change(
      Job job, int zone, Transition transition, int slots, int neededSlots, long durationMs) {
    /** The transition; its name is part of the log event. */
    public enum Transition {
      /** The reservation begins. */
      GATHERS,
      /** All tasks were placed, or the gang may no longer start. */
      ENDS,
      /** The place cannot complete the reservation, or it took too long. */
      GIVES_UP
    }
  }

  private final MachinePool machinePool;
  private final GangCandidates candidates;
  private final GangMachineOffers offers;
  private final Reference2ObjectLinkedOpenHashMap<Job, GangReservation> reservations =
      new Reference2ObjectLinkedOpenHashMap<>();
  private final Reference2ObjectLinkedOpenHashMap<Job, PlaceBackoff> backoffs =
      new Reference2ObjectLinkedOpenHashMap<>();
  private final List<Change> changes = new ArrayList<>();

  /** Without reservations, over the machines of one term. */
  public GangReservations(MachinePool machinePool) {
    this.machinePool = machinePool;
    this.candidates = new GangCandidates(machinePool);
    this.offers = new GangMachineOffers(machinePool);
  }

  /** The number of current reservations. */
  public int size() {
    return reservations.size();
  }

  /** How the job's reservation stands; null when it never had one. */
  public ReservationStatus status(Job job, long now) {
    GangReservation reservation = reservations.get(job);
    if (reservation != null) {
      return new ReservationStatus(
          reservation.zone,
          reservation.places,
          reservation.neededPlaces(),
          reservation.requestedMachines,
          reservation.sinceMs + MAX_RESERVATION_MS,
          false);
    }
    PlaceBackoff backoff = backoffs.get(job);
    if (backoff == null || !backoff.hasFailures()) {
      return null;
    }
    long until = backoff.untilMs(backoff.latestZone);
    return new ReservationStatus(
        backoff.latestZone, 0, job.pendingTaskCount(), 0, until, until > now);
  }

  /**
   * Updates the reservations; to be called before tasks are placed.
   *
   * @param queue jobs that wait, in the order in which they get capacity
   * @param mayStart whether a gang may start: neither held back nor beyond its team's limit
   */
  public void updateReservations(List<Job> queue, Predicate<Job> mayStart, long now) {
    offers.observeInterruptions(now);
    if (reservations.isEmpty() && queue.stream().noneMatch(j -> j.spec.gang())) {
      backoffs.clear();
      return;
    }
    endFinished(mayStart, now);
    backoffs.keySet().removeIf(j -> !j.hasStartableTasks());
    for (Job job : queue) {
      if (!job.spec.gang()
          || !mayStart.test(job)
          || job.spec.isUnsatisfiable(machinePool.zones())) {
        continue;
      }
      GangReservation reservation = reservations.get(job);
      if (reservation == null && reservations.size() < MAX_RESERVATIONS) {
        reservation = begin(job, now);
      }
      if (reservation != null) {
        update(reservation, now);
      }
    }
  }

  private void endFinished(Predicate<Job> mayStart, long now) {
    for (GangReservation reservation : new ArrayList<>(reservations.values())) {
      if (!reservation.job.hasStartableTasks() || !mayStart.test(reservation.job)) {
        recordChange(reservation, Change.Transition.ENDS, now);
        end(reservation);
      }
    }
  }

  /** Reserves in the place where the gang can start first; null where there is none. */
  private GangReservation begin(Job job, long now) {
    if (!offers.isKnown()) {
      return null; // The first scaling cycle tells which machine types are offered.
    }
    PlaceBackoff backoff = backoffs.computeIfAbsent(job, j -> new PlaceBackoff());
    boolean found = false;
    int bestZone = GangReservation.ANY_ZONE;
    long bestStartMs = Long.MAX_VALUE;
    int bestPlaces = -1;
    int firstZone = job.spec.together() ? 0 : GangReservation.ANY_ZONE;
    int endZone = job.spec.together() ? machinePool.zones() : 0;
    for (int zone = firstZone; zone < endZone; zone++) {
      if (backoff.untilMs(zone) > now || !mayReserveIn(job, zone)) {
        continue;
      }
      long bootMs = offers.bootMs(job.spec, zone, now);
      int places = placesBy(job, zone, now, now + Math.max(0, bootMs));
      long startMs = candidates.completeAtMs(job, zone, now, now + RELEASE_HORIZON_MS);
      if (bootMs >= 0
          && places + offers.attainablePlaces(job.spec, zone, now) >= job.pendingTaskCount()) {
        startMs = Math.min(startMs, now + bootMs);
      }
      if (startMs < bestStartMs
          || (startMs == bestStartMs && startMs < Long.MAX_VALUE && places > bestPlaces)) {
        found = true;
        bestZone = zone;
        bestStartMs = startMs;
        bestPlaces = places;
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

  /** True when no other gang reserves there and the job's zone rules and partitions allow it. */
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

  private int placesBy(Job job, int zone, long now, long byMs) {
    return candidates.totalPlaces(job, candidates.candidates(job, zone, now, byMs));
  }

  /** Reserves machines as far as the gang needs them, and releases the others. */
  private void update(GangReservation reservation, long now) {
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

  /** Adds new and emptied machines: cheap enough for every placement pass. */
  private void addEmptyMachines(GangReservation reservation, long now) {
    for (Machine machine : machinePool.machines()) {
      if (reservation.places >= reservation.neededPlaces() - reservation.pendingPlaces) {
        return;
      }
      if (machine.reservedFor == null
          && reservation.covers(machine.zone)
          && machine.isEmpty()
          && candidates.isEligible(reservation.job, machine, now)) {
        reservation.add(machine);
        reservation.places += machine.type.capacityFor(reservation.job.spec);
      }
    }
  }

  /** Chooses the reserved machines among all candidates, the soonest available first. */
  private void selectMachines(GangReservation reservation, long now) {
    Job job = reservation.job;
    int wantedPlaces = reservation.neededPlaces() - reservation.pendingPlaces;
    int[] placesInZone = new int[machinePool.zones()];
    int total = 0;
    for (GangCandidates.Candidate candidate :
        candidates.candidates(job, reservation.zone, now, selectionHorizonMs(reservation, now))) {
      Machine machine = candidate.machine();
      int places = GangCandidates.placesWithinZoneLimit(job, candidate, placesInZone);
      if (total >= wantedPlaces || places <= 0) {
        reservation.release(machine);
        continue;
      }
      placesInZone[machine.zone] += places;
      total += places;
      reservation.add(machine);
      if (candidate.availableAtMs() > now) {
        preemptLowerPriority(job, machine, now);
      }
    }
    reservation.places = Math.min(total, reservation.neededPlaces());
  }

  /**
   * Until when machines must have room to be reserved. While the cloud can add what is lacking,
   * capacity that is released later than a new machine would boot is left to others. A variant that
   * was refused a moment ago does not count as available: it is requested again later, and
   * otherwise nothing that ends later than a boot would ever be reserved.
   */
  private long selectionHorizonMs(GangReservation reservation, long now) {
    Job job = reservation.job;
    long bootMs = offers.bootMs(job.spec, reservation.zone, now);
    boolean cloudCanComplete =
        bootMs >= 0
            && placesBy(job, reservation.zone, now, now + bootMs)
                    + offers.attainablePlaces(job.spec, reservation.zone, now)
                >= job.pendingTaskCount();
    return now + (cloudCanComplete ? bootMs : RELEASE_HORIZON_MS);
  }

  /** Stops attempts of lower priority on a reserved machine; a larger number is lower. */
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
   * The machines to request now for what reservations lack. Reservations that cannot be completed
   * are given up here, where it is known what the cloud has.
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
      reservation.pendingPlaces = pendingPlaces(reservation, pending);
      int expectedPlaces = reservation.places + reservation.pendingPlaces;
      int missingPlaces = reservation.neededPlaces() - expectedPlaces;
      if (missingPlaces <= 0) {
        continue;
      }
      MachineVariant variant = offers.cheapestVariant(reservation.job.spec, reservation.zone, now);
      if (variant != null) {
        addRequests(reservation, variant, missingPlaces, requests);
      } else if (!canCompleteWithoutRequests(reservation, now)) {
        giveUp(reservation, now);
      }
    }
    return requests;
  }

  private static int pendingPlaces(GangReservation reservation, List<PendingMachines> pending) {
    JobSpec spec = reservation.job.spec;
    int places = 0;
    for (PendingMachines machines : pending) {
      MachineVariant variant = machines.variant();
      if (spec.id().equals(machines.gangId()) && reservation.covers(variant.zone())) {
        places += machines.count() * Math.max(1, variant.type().capacityFor(spec));
      }
    }
    return places;
  }

  /** True when released capacity and the pending machines complete the reservation in time. */
  private boolean canCompleteWithoutRequests(GangReservation reservation, long now) {
    int places = placesBy(reservation.job, reservation.zone, now, now + RELEASE_HORIZON_MS);
    return places + reservation.pendingPlaces >= reservation.neededPlaces();
  }

  private static void addRequests(
      GangReservation reservation,
      MachineVariant variant,
      int missingPlaces,
      List<ScaleOutRequest> requests) {
    JobSpec spec = reservation.job.spec;
    int capacity = Math.max(1, variant.type().capacityFor(spec));
    int maxRequested = 2 * ((spec.tasks() + capacity - 1) / capacity) + EXTRA_REQUESTS;
    int machines = (missingPlaces + capacity - 1) / capacity;
    // A machine that never boots delays all others by two boot times: a few more cost less.
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
   * @param total how many machines of the variant there are then, pending ones included
   */
  public void recordRefusal(MachineVariant variant, int total, long now) {
    offers.recordRefusal(variant, total, now);
  }

  private void giveUp(GangReservation reservation, long now) {
    backoffs
        .computeIfAbsent(reservation.job, j -> new PlaceBackoff())
        .recordFailure(reservation.zone, now);
    recordChange(reservation, Change.Transition.GIVES_UP, now);
    end(reservation);
  }

  private void end(GangReservation reservation) {
    reservation.releaseAll();
    reservations.remove(reservation.job);
  }

  private void recordChange(GangReservation reservation, Change.Transition what, long now) {
    if (changes.size() < MAX_RESERVATIONS) {
      changes.add(
          new Change(
              reservation.job,
              reservation.zone,
              what,
              reservation.places,
              reservation.neededPlaces(),
              now - reservation.sinceMs));
    }
  }

  /** The changes since the last call, which are removed. */
  public List<Change> drainChanges() {
    List<Change> drained = new ArrayList<>(changes);
    changes.clear();
    return drained;
  }

  /** Removes a machine that no longer exists from its reservation. */
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
