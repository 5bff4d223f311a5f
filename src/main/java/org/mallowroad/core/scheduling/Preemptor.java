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
 * Stops less important work for a job that found no room: work of lower priority, or work of the
 * same or lower priority that another team runs beyond its guarantee while this job's team is
 * within its own. The work that loses least for each task is stopped, and no more than the waiting
 * tasks need.
 *
 * <p>Looking for that work walks the whole fleet, so it is done for a few jobs in a pass, and not
 * in every pass. {@link #beginPass} comes first.
 */
final class Preemptor {
  /** A task that has waited this long may preempt work of lower priority. */
  private static final long PREEMPT_AFTER_MS = 1_000;

  /** A task within its team's guarantee that has waited this long may preempt other teams. */
  private static final long PREEMPT_FOR_GUARANTEE_AFTER_MS = 4_000;

  /** The least time between two passes with preemption. */
  private static final long PREEMPTION_INTERVAL_MS = 400;

  /** Most jobs in a pass for which the fleet is walked. */
  private static final int MAX_JOBS_PER_PASS = 16;

  /** The highest priority: critical work. */
  private static final int CRITICAL_PRIORITY = 0;

  /** A task that was started more often is not stopped again, except for critical work. */
  private static final int MAX_STARTS_FOR_PREEMPTION = 3;

  /** Capacity that is released by itself within this time is waited for. */
  private static final double RELEASE_HORIZON_S = 4;

  /** The least number of CPUs that a stopped task's loss is counted with. */
  private static final double MIN_LOSS_CPUS = 0.1;

  /** The job that work is stopped for, and whether it claims its team's guarantee. */
  private record Request(Job job, boolean claimsGuarantee, long now) {
    JobSpec spec() {
      return job.spec;
    }
  }

  /** Attempts whose stop makes room on one machine for a number of tasks. */
  private record MachinePreemption(List<Attempt> victims, int tasks, double lossCpuS) {}

  private static final Comparator<MachinePreemption> LEAST_LOSS_PER_TASK_FIRST =
      Comparator.comparingDouble(p -> p.lossCpuS / p.tasks);

  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final ExpectedReleases releases = new ExpectedReleases(RELEASE_HORIZON_S);
  private long lastPassMs = Long.MIN_VALUE / 2;
  private boolean active;
  private boolean releasesFresh;
  private int jobsInPass;
  private long machinesScanned;
  private long preemptions;

  Preemptor(SchedulerState schedulerState, FleetOrder fleetOrder) {
    this.schedulerState = schedulerState;
    this.fleetOrder = fleetOrder;
  }

  /** Machines looked at so far. */
  long machinesScanned() {
    return machinesScanned;
  }

  /** Attempts looked at so far to estimate what will end soon. */
  long attemptsScanned() {
    return releases.attemptsScanned();
  }

  /** Attempts stopped so far. */
  long preemptions() {
    return preemptions;
  }

  /** Begins a placement pass; when the last one is too recent, this one preempts nothing. */
  void beginPass(long now) {
    active = now - lastPassMs >= PREEMPTION_INTERVAL_MS;
    releasesFresh = false;
    jobsInPass = 0;
    if (active) {
      lastPassMs = now;
    }
  }

  /** Preempts for a job's waiting tasks, if this pass may still do so. */
  void preemptFor(Job job, long now) {
    if (!active || job.pendingTasks.isEmpty() || jobsInPass >= MAX_JOBS_PER_PASS) {
      return;
    }
    if (!releasesFresh) {
      releasesFresh = true;
      releases.refresh(schedulerState.jobs(), now);
    }
    int needed = tasksNeedingRoom(job);
    if (now - job.waitingSinceMs() >= PREEMPT_AFTER_MS && needed > 0) {
      jobsInPass++;
      preempt(new Request(job, mayClaimGuarantee(job, now), now), needed);
    }
  }

  /** Waiting tasks within the team's limit that will not find room by themselves. */
  private int tasksNeedingRoom(Job job) {
    int startable =
        schedulerState.team(job.spec).maxAdditionalTasks(job.spec, job.pendingTasks.size());
    int expected = releases.expectedRoom(job.spec, startable);
    releases.claim(job.spec, startable);
    return startable - expected;
  }

  private void preempt(Request request, int needed) {
    List<MachinePreemption> options = new ArrayList<>();
    Machine[] machines = fleetOrder.machines();
    machinesScanned += machines.length;
    int missing = needed;
    for (Machine m : machines) {
      if (!isCandidate(m, request.job)) {
        continue;
      }
      ResourceVector room = roomAfterStops(m);
      int alreadyComing = room.capacityFor(request.spec(), missing);
      missing -= alreadyComing;
      if (missing == 0) {
        return;
      }
      if (alreadyComing == 0) {
        addOption(m, room, request, missing, options);
      }
    }
    options.sort(LEAST_LOSS_PER_TASK_FIRST);
    stopVictims(request, options, missing);
  }

  private boolean mayClaimGuarantee(Job job, long now) {
    Team team = schedulerState.team(job.spec);
    return now - job.waitingSinceMs() >= PREEMPT_FOR_GUARANTEE_AFTER_MS
        && job.guaranteed
        && team.staysWithinGuarantee(job.spec);
  }

  private static boolean isCandidate(Machine m, Job job) {
    JobSpec s = job.spec;
    return !m.isEmpty()
        && m.isUsable()
        && m.reservedFor == null
        && s.allows(m.type.index(), m.zone, m.spot)
        && m.type.fits(s)
        && !PlacementRules.avoidsMachine(s, m)
        && job.allowsZone(m.zone);
  }

  /** The room on the machine once what is stopping already has stopped. */
  private static ResourceVector roomAfterStops(Machine m) {
    ResourceVector room =
        new ResourceVector(m.freeResources.cpus, m.freeResources.cards, m.freeResources.memGb);
    for (Attempt a : m.attempts) {
      if (a.isStopping()) {
        room.add(a.job.spec, 1);
      }
    }
    return room;
  }

  /** Adds the cheapest way to make room for a task on the machine, if there is one. */
  private void addOption(
      Machine m,
      ResourceVector room,
      Request request,
      int missing,
      List<MachinePreemption> options) {
    List<Attempt> candidates = preemptable(m, request);
    if (candidates == null) {
      return;
    }
    candidates.sort(Comparator.comparingDouble(a -> lossCpuS(a, request.now)));
    List<Attempt> victims = new ArrayList<>();
    double loss = 0;
    for (Attempt a : candidates) {
      if (room.fits(request.spec())) {
        break;
      }
      victims.add(a);
      room.add(a.job.spec, 1);
      loss += lossCpuS(a, request.now);
    }
    if (!victims.isEmpty() && room.fits(request.spec())) {
      options.add(new MachinePreemption(victims, room.capacityFor(request.spec(), missing), loss));
    }
  }

  /** The attempts on the machine that may be stopped for the request; null when there are none. */
  private List<Attempt> preemptable(Machine m, Request request) {
    List<Attempt> candidates = null;
    for (Attempt a : m.attempts) {
      if (!a.isStopping() && isPreemptable(a, request)) {
        if (candidates == null) {
          candidates = new ArrayList<>();
        }
        candidates.add(a);
      }
    }
    return candidates;
  }

  private void stopVictims(Request request, List<MachinePreemption> options, int needed) {
    int missing = needed;
    for (MachinePreemption option : options) {
      if (missing <= 0) {
        return;
      }
      if (areAllPreemptable(option.victims, request)) {
        preemptions += option.victims.size();
        for (Attempt a : option.victims) {
          stop(a, request.now);
        }
        missing -= option.tasks;
      }
    }
  }

  /** Checked again before the stop: by then their team may have given up enough. */
  private boolean areAllPreemptable(List<Attempt> victims, Request request) {
    for (Attempt a : victims) {
      if (!isPreemptable(a, request)) {
        return false;
      }
    }
    return true;
  }

  private void stop(Attempt a, long now) {
    JobSpec s = a.job.spec;
    schedulerState.requestStop(a, s.checkpointIntervalS() > 0 ? s.checkpointDurationS() : 0, now);
  }

  private boolean isPreemptable(Attempt a, Request request) {
    if (a.phase == Attempt.Phase.RECORDING || a.phase == Attempt.Phase.READY) {
      return false;
    }
    int victimPriority = a.job.spec.priority();
    int priority = request.spec().priority();
    if (a.number > MAX_STARTS_FOR_PREEMPTION && priority > CRITICAL_PRIORITY) {
      return false; // Else a lasting flood of urgent work could stop the same task for ever.
    }
    if (victimPriority > priority) {
      return true;
    }
    // Only work that stands behind this job in the queue may be stopped at the same priority:
    // otherwise it would take the room again at once, and the two would stop each other for ever.
    return request.claimsGuarantee
        && victimPriority == priority
        && !a.job.hasPrecedence()
        && a.job.spec.team() != request.spec().team()
        && schedulerState.team(a.job.spec).keepsGuaranteeWithout(a.job.spec);
  }

  /** CPU seconds of work lost when the attempt is stopped now: all since its last checkpoint. */
  private static double lossCpuS(Attempt a, long now) {
    double ranS = (now - a.createdMs) / 1000.0;
    double checkpointS = a.job.spec.checkpointIntervalS();
    double lostS = checkpointS > 0 ? Math.min(ranS, checkpointS) : ranS;
    return lostS * Math.max(MIN_LOSS_CPUS, a.job.spec.cpus());
  }
}
