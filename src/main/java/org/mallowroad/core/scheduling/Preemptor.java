package org.mallowroad.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;

/**
 * Preempts running tasks for a job that found no room: tasks of lower priority, or tasks of the
 * same priority that another team runs beyond its guarantee while this job's team is within its
 * own. The tasks that lose the least progress per waiting task are stopped, and no more of them
 * than the waiting tasks need.
 *
 * <p>Finding victims scans the whole fleet, so it is done for a bounded number of jobs in a
 * placement pass, and not in every pass. Each pass begins with {@link #beginPass}.
 */
final class Preemptor {
  /** Tasks of a job that has waited this long may preempt tasks of lower priority. */
  private static final long PREEMPT_AFTER_MS = 1_000;

  /**
   * Tasks of a job that has waited this long within its team's guarantee may preempt tasks that
   * other teams run beyond their guarantees.
   */
  private static final long PREEMPT_FOR_GUARANTEE_AFTER_MS = 4_000;

  /** Shortest time between two passes with preemption. */
  private static final long PREEMPTION_INTERVAL_MS = 400;

  /** Most jobs in a pass for which the fleet is scanned. */
  private static final int MAX_JOBS_PER_PASS = 16;

  /** The highest priority. */
  private static final int CRITICAL_PRIORITY = 0;

  /** A task that was started more often than this is preempted only by critical jobs. */
  private static final int MAX_STARTS_FOR_PREEMPTION = 3;

  /** Nothing is preempted for capacity that tasks release by ending within this time. */
  private static final double RELEASE_HORIZON_S = 4;

  /** A task that uses fewer CPUs than this is counted with this many when its loss is estimated. */
  private static final double MIN_LOSS_CPUS = 0.1;

  /** The job that preempts, and whether it may claim its team's guarantee. */
  private record PreemptionRequest(Job job, boolean claimsGuarantee, long now) {
    JobSpec spec() {
      return job.spec;
    }
  }

  /**
   * Attempts whose preemption makes room on one machine.
   *
   * @param tasks waiting tasks that then have room
   * @param lossCpuS the work that is lost, in CPU seconds
   */
  private record MachinePreemption(List<Attempt> victims, int tasks, double lossCpuS) {}

  private static final Comparator<MachinePreemption> LEAST_LOSS_PER_TASK_FIRST =
      Comparator.comparingDouble(preemption -> preemption.lossCpuS / preemption.tasks);

  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final ExpectedReleases releases = new ExpectedReleases(RELEASE_HORIZON_S);
  private long lastPreemptingPassMs = Long.MIN_VALUE / 2;
  private boolean passMayPreempt;
  private boolean areReleasesFresh;
  private int preemptingJobsInPass;
  private long machinesScanned;
  private long preemptionCount;

  Preemptor(SchedulerState schedulerState, FleetOrder fleetOrder) {
    this.schedulerState = schedulerState;
    this.fleetOrder = fleetOrder;
  }

  /** Number of machines scanned so far. */
  long machinesScanned() {
    return machinesScanned;
  }

  /** Number of attempts scanned so far to estimate which tasks will end soon. */
  long attemptsScanned() {
    return releases.attemptsScanned();
  }

  /** Number of attempts preempted so far. */
  long preemptionCount() {
    return preemptionCount;
  }

  /**
   * Begins a placement pass. Nothing is preempted in it when the last pass with preemption was less
   * than {@link #PREEMPTION_INTERVAL_MS} ago.
   */
  void beginPass(long now) {
    passMayPreempt = now - lastPreemptingPassMs >= PREEMPTION_INTERVAL_MS;
    areReleasesFresh = false;
    preemptingJobsInPass = 0;
    if (passMayPreempt) {
      lastPreemptingPassMs = now;
    }
  }

  /** Makes room for a job's waiting tasks, if this pass may still preempt. */
  void preemptFor(Job job, long now) {
    if (!passMayPreempt
        || job.pendingTasks.isEmpty()
        || preemptingJobsInPass >= MAX_JOBS_PER_PASS) {
      return;
    }
    if (!areReleasesFresh) {
      areReleasesFresh = true;
      releases.refresh(schedulerState.jobs(), now);
    }
    int neededTasks = tasksNeedingRoom(job);
    if (now - job.waitingSinceMs() >= PREEMPT_AFTER_MS && neededTasks > 0) {
      preemptingJobsInPass++;
      preempt(new PreemptionRequest(job, mayClaimGuarantee(job, now), now), neededTasks);
    }
  }

  /** Waiting tasks within the team's limit that will not get room without preemption. */
  private int tasksNeedingRoom(Job job) {
    int startableTasks =
        schedulerState.team(job.spec).maxAdditionalTasks(job.spec, job.pendingTasks.size());
    int expectedSlots = releases.expectedTaskSlots(job.spec, startableTasks);
    releases.claim(job.spec, startableTasks);
    return startableTasks - expectedSlots;
  }

  private void preempt(PreemptionRequest request, int neededTasks) {
    List<MachinePreemption> options = new ArrayList<>();
    Machine[] machines = fleetOrder.machines();
    machinesScanned += machines.length;
    int missingTasks = neededTasks;
    for (Machine machine : machines) {
      if (!isCandidate(machine, request.job)) {
        continue;
      }
      ResourceVector room = roomAfterStops(machine);
      int tasksAfterStops = room.capacityFor(request.spec(), missingTasks);
      missingTasks -= tasksAfterStops;
      if (missingTasks == 0) {
        return;
      }
      if (tasksAfterStops == 0) {
        addOption(machine, room, request, missingTasks, options);
      }
    }
    options.sort(LEAST_LOSS_PER_TASK_FIRST);
    stopVictims(request, options, missingTasks);
  }

  private boolean mayClaimGuarantee(Job job, long now) {
    Team team = schedulerState.team(job.spec);
    return now - job.waitingSinceMs() >= PREEMPT_FOR_GUARANTEE_AFTER_MS
        && job.guaranteed
        && team.staysWithinGuarantee(job.spec);
  }

  private static boolean isCandidate(Machine machine, Job job) {
    JobSpec spec = job.spec;
    return !machine.isEmpty()
        && machine.isUsable()
        && machine.reservedFor == null
        && spec.allows(machine.type.index(), machine.zone, machine.spot)
        && machine.type.fits(spec)
        && !PlacementRules.avoidsMachine(spec, machine)
        && job.allowsZone(machine.zone);
  }

  /** The room on the machine once all attempts that are already stopping have stopped. */
  private static ResourceVector roomAfterStops(Machine machine) {
    ResourceVector room =
        new ResourceVector(
            machine.freeResources.cpus, machine.freeResources.cards, machine.freeResources.memGb);
    for (Attempt attempt : machine.attempts) {
      if (attempt.isStopping()) {
        room.add(attempt.job.spec, 1);
      }
    }
    return room;
  }

  /**
   * Adds the victims on the machine that make room for a task at the least loss, if there are any.
   */
  private void addOption(
      Machine machine,
      ResourceVector room,
      PreemptionRequest request,
      int missingTasks,
      List<MachinePreemption> options) {
    List<Attempt> candidates = preemptable(machine, request);
    if (candidates == null) {
      return;
    }
    candidates.sort(Comparator.comparingDouble(attempt -> lossCpuS(attempt, request.now)));
    List<Attempt> victims = new ArrayList<>();
    double lossCpuS = 0;
    for (Attempt attempt : candidates) {
      if (room.fits(request.spec())) {
        break;
      }
      victims.add(attempt);
      room.add(attempt.job.spec, 1);
      lossCpuS += lossCpuS(attempt, request.now);
    }
    if (!victims.isEmpty() && room.fits(request.spec())) {
      options.add(
          new MachinePreemption(victims, room.capacityFor(request.spec(), missingTasks), lossCpuS));
    }
  }

  /** The attempts on the machine that the request may preempt; null when there are none. */
  private List<Attempt> preemptable(Machine machine, PreemptionRequest request) {
    List<Attempt> candidates = null;
    for (Attempt attempt : machine.attempts) {
      if (!attempt.isStopping() && isPreemptable(attempt, request)) {
        if (candidates == null) {
          candidates = new ArrayList<>();
        }
        candidates.add(attempt);
      }
    }
    return candidates;
  }

  private void stopVictims(
      PreemptionRequest request, List<MachinePreemption> options, int neededTasks) {
    int missingTasks = neededTasks;
    for (MachinePreemption option : options) {
      if (missingTasks <= 0) {
        return;
      }
      if (areAllPreemptable(option.victims, request)) {
        preemptionCount += option.victims.size();
        for (Attempt attempt : option.victims) {
          stop(attempt, request.now);
        }
        missingTasks -= option.tasks;
      }
    }
  }

  /**
   * Checks the victims again just before they are stopped: earlier stops in this pass may have
   * brought their team down to its guarantee.
   */
  private boolean areAllPreemptable(List<Attempt> victims, PreemptionRequest request) {
    for (Attempt attempt : victims) {
      if (!isPreemptable(attempt, request)) {
        return false;
      }
    }
    return true;
  }

  private void stop(Attempt attempt, long now) {
    JobSpec spec = attempt.job.spec;
    schedulerState.requestStop(
        attempt, spec.checkpointIntervalS() > 0 ? spec.checkpointDurationS() : 0, now);
  }

  private boolean isPreemptable(Attempt attempt, PreemptionRequest request) {
    if (attempt.phase == Attempt.Phase.RECORDING || attempt.phase == Attempt.Phase.READY) {
      return false;
    }
    int victimPriority = attempt.job.spec.priority();
    int priority = request.spec().priority();
    if (attempt.number > MAX_STARTS_FOR_PREEMPTION && priority > CRITICAL_PRIORITY) {
      return false; // Otherwise steady urgent work could preempt the same task without end.
    }
    if (victimPriority > priority) {
      return true;
    }
    // At the same priority only tasks of jobs behind this job in the queue may be preempted. A job
    // ahead of it would get the room back in the next pass, and the two would preempt each other
    // without end.
    return request.claimsGuarantee
        && victimPriority == priority
        && !attempt.job.hasPrecedence()
        && attempt.job.spec.team() != request.spec().team()
        && schedulerState.team(attempt.job.spec).keepsGuaranteeWithout(attempt.job.spec);
  }

  /**
   * The work lost when the attempt is stopped now, in CPU seconds: at most one checkpoint interval,
   * or without checkpoints all of the work.
   */
  private static double lossCpuS(Attempt attempt, long now) {
    double ranS = (now - attempt.createdMs) / 1000.0;
    double checkpointS = attempt.job.spec.checkpointIntervalS();
    double lostS = checkpointS > 0 ? Math.min(ranS, checkpointS) : ranS;
    return lostS * Math.max(MIN_LOSS_CPUS, attempt.job.spec.cpus());
  }
}
