package org.mallowroad.core.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;

/**
 * Starts waiting tasks on machines in placement passes: first-fit in the order of the {@link
 * JobQueue}, gangs all at once, and with preemption for jobs that find no room. Each start is
 * checked by the {@link SchedulerState}, and none that it refuses is made.
 *
 * <p>Not thread-safe: confined to the event loop, as is the scheduler state.
 */
public final class TaskScheduler {
  private final SchedulerState schedulerState;
  private final FleetOrder fleetOrder;
  private final JobQueue jobQueue;
  private final PlacementRules placementRules;
  private final BinPacker binPacker;
  private final GangPlacer gangPlacer;
  private final Preemptor preemptor;
  private final MachineDrainer machineDrainer;

  /** Teams whose remaining quota is reserved, in this pass, for a gang ahead in the queue. */
  private final BitSet teamsReservedForGangs = new BitSet();

  /** Creates a scheduler for the jobs and machines of one leader term. */
  public TaskScheduler(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
    this.fleetOrder = new FleetOrder(schedulerState);
    this.jobQueue = new JobQueue(schedulerState, fleetOrder);
    this.placementRules = new PlacementRules(schedulerState);
    this.binPacker = new BinPacker(schedulerState, fleetOrder, placementRules);
    this.gangPlacer = new GangPlacer(schedulerState, fleetOrder, placementRules);
    this.preemptor = new Preemptor(schedulerState, fleetOrder);
    this.machineDrainer = new MachineDrainer(schedulerState);
  }

  /** Number of machines scanned so far, as a measure of the cost of placement passes. */
  public long machinesScanned() {
    return binPacker.machinesScanned() + preemptor.machinesScanned();
  }

  /** Number of attempts scanned so far to estimate which tasks will end soon. */
  public long attemptsScanned() {
    return preemptor.attemptsScanned();
  }

  /** Number of attempts preempted so far. */
  public long preemptionCount() {
    return preemptor.preemptionCount();
  }

  /**
   * Returns the jobs with waiting tasks in placement order.
   *
   * @return a list that the next call or placement pass overwrites
   */
  public List<Job> queue(long now) {
    return jobQueue.refresh(now);
  }

  /** True while any job has a task that waits to be started. */
  public boolean hasWaitingTasks() {
    return jobQueue.hasWaitingTasks();
  }

  /**
   * Runs one placement pass: starts the tasks that can start now, and preempts less important ones
   * for those that cannot.
   *
   * @return the attempts started, whose records are still to be committed
   */
  public List<Attempt> placeTasks(long now) {
    List<Attempt> started = new ArrayList<>();
    if (!hasWaitingTasks() && schedulerState.gangReservations().size() == 0) {
      return started;
    }
    List<Job> waiting = queue(now);
    fleetOrder.refresh();
    schedulerState
        .gangReservations()
        .updateReservations(waiting, j -> !j.isBackingOff(now) && !exceedsTeamLimit(j), now);
    binPacker.findCandidates(waiting, now);
    preemptor.beginPass(now);
    teamsReservedForGangs.clear();
    int rankStart = 0;
    for (int i = 0; i < waiting.size(); i++) {
      Job job = waiting.get(i);
      reserveTeamLimitForGang(job, now);
      if (i == 0 || !JobQueue.haveSameRank(job, waiting.get(rankStart))) {
        rankStart = i;
        placeOnCachedImages(waiting, rankStart, started, now);
      }
      if (!job.isBackingOff(now)) {
        placeJob(job, started, now);
      }
    }
    return started;
  }

  private void placeJob(Job job, List<Attempt> started, long now) {
    if (job.spec.gang()) {
      gangPlacer.placeGang(job, started, now);
      return;
    }
    placeNonGangTasks(job, true, started, now);
    placeNonGangTasks(job, false, started, now);
    preemptor.preemptFor(job, now);
  }

  private void placeNonGangTasks(Job job, boolean imageCached, List<Attempt> started, long now) {
    if (!teamsReservedForGangs.get(job.spec.team())) {
      binPacker.placeTasks(job, imageCached, started, now);
    }
  }

  /**
   * Reserves the team's remaining quota for a gang that waits for it and has precedence. A team's
   * quota is freed one task at a time, so if jobs behind the gang could use it, the gang would
   * never have enough quota to start.
   */
  private void reserveTeamLimitForGang(Job job, long now) {
    if (job.spec.gang() && exceedsTeamLimit(job) && job.hasPrecedence() && !job.isBackingOff(now)) {
      teamsReservedForGangs.set(job.spec.team());
    }
  }

  /**
   * Lets all jobs of one rank first use the machines that have their images cached, since a task
   * occupies its machine's resources while it fetches its image. Jobs behind one that has waited
   * longer than {@link JobQueue#maxYieldS} get no such advantage over it.
   */
  private void placeOnCachedImages(
      List<Job> waiting, int rankStart, List<Attempt> started, long now) {
    Job firstOfRank = waiting.get(rankStart);
    for (int i = rankStart; i < waiting.size(); i++) {
      Job job = waiting.get(i);
      if (!JobQueue.haveSameRank(job, firstOfRank)) {
        return;
      }
      if (job.isBackingOff(now) || job.spec.gang()) {
        continue;
      }
      placeNonGangTasks(job, true, started, now);
      boolean stillWaits = !job.pendingTasks.isEmpty();
      if (stillWaits && now - job.eligibleSinceMs() > 1000 * jobQueue.maxYieldS(job.spec)) {
        return;
      }
    }
  }

  /**
   * Why the job's next waiting task may not be placed on the machine; null when it may. Placement
   * uses the same method, so the explanation shown to users is the actual decision. {@code
   * ZONE_RULES}, {@code SUSPECTED_SLOW_OR_FAULTY} and {@code FAILED_ON_MACHINE} are returned only
   * for a machine that has room, within the team's limit.
   */
  public StartRefusal placementRefusal(Job job, Machine machine, long now) {
    return placementRules.placementRefusal(job, machine, now);
  }

  /** True for jobs whose tasks must not be placed on machines suspected to be slow or faulty. */
  public static boolean isUrgent(JobSpec spec) {
    return PlacementRules.isUrgent(spec);
  }

  /** True when starting the job's next task, or all tasks of a gang, exceeds the team's limit. */
  public boolean exceedsTeamLimit(Job job) {
    return placementRules.exceedsTeamLimit(job);
  }

  /**
   * Finds a machine for each of a gang's waiting tasks; returns fewer machines when there is no
   * room for all.
   */
  public List<Machine> findGangPlacement(Job job, long now) {
    return gangPlacer.findPlacement(job, now);
  }

  /** Stops tasks on spot machines that the cloud will interrupt, so that they restart elsewhere. */
  public void drainInterruptedMachines(long now) {
    machineDrainer.drain(now);
  }
}
