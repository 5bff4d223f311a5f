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
 * Starts waiting tasks on machines, in passes: first-fit in the order of the {@link JobQueue},
 * gangs all at once, and with preemption where a job finds no room. Each start asks the {@link
 * SchedulerState}; nothing starts that it refuses.
 *
 * <p>Confined to the thread of the event loop, as the state is.
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

  /** Teams whose free quota is kept for a gang ahead in the queue during a pass. */
  private final BitSet teamsKeptForGang = new BitSet();

  /** A scheduler for the jobs and machines of one leader's term. */
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

  /** Machines looked at so far: the cost of the passes. */
  public long machinesScanned() {
    return binPacker.machinesScanned() + preemptor.machinesScanned();
  }

  /** Attempts looked at so far to estimate what will end soon. */
  public long attemptsScanned() {
    return preemptor.attemptsScanned();
  }

  /** Attempts stopped so far so that more important work gets room. */
  public long preemptionCount() {
    return preemptor.preemptions();
  }

  /**
   * The jobs with waiting tasks, in the order in which they get room.
   *
   * @return a list that the next call or pass overwrites
   */
  public List<Job> queue(long now) {
    return jobQueue.refresh(now);
  }

  /** True while any task waits. */
  public boolean hasWaitingTasks() {
    return jobQueue.hasWaitingTasks();
  }

  /**
   * One placement pass: starts what can be started now, and preempts for what cannot.
   *
   * @return the attempts started, all still to be committed
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
    teamsKeptForGang.clear();
    int rankStart = 0;
    for (int i = 0; i < waiting.size(); i++) {
      Job job = waiting.get(i);
      keepTeamLimitForGang(job, now);
      if (i == 0 || !JobQueue.sameRank(job, waiting.get(rankStart))) {
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
    placeOrdinary(job, true, started, now);
    placeOrdinary(job, false, started, now);
    preemptor.preemptFor(job, now);
  }

  private void placeOrdinary(Job job, boolean cached, List<Attempt> started, long now) {
    if (!teamsKeptForGang.get(job.spec.team())) {
      binPacker.placeTasks(job, cached, started, now);
    }
  }

  /**
   * A team's limit comes free a task at a time; while one of its gangs that goes first waits for
   * it, the team's jobs behind that gang take none of it.
   */
  private void keepTeamLimitForGang(Job job, long now) {
    if (job.spec.gang() && exceedsTeamLimit(job) && job.hasPrecedence() && !job.isBackingOff(now)) {
      teamsKeptForGang.set(job.spec.team());
    }
  }

  /**
   * Jobs of the same rank first take the machines that hold their images: a fetch keeps a machine's
   * room from everybody. A job that has waited long lets no others pass any more.
   */
  private void placeOnCachedImages(
      List<Job> waiting, int rankStart, List<Attempt> started, long now) {
    Job first = waiting.get(rankStart);
    for (int i = rankStart; i < waiting.size(); i++) {
      Job job = waiting.get(i);
      if (!JobQueue.sameRank(job, first)) {
        return;
      }
      if (job.isBackingOff(now) || job.spec.gang()) {
        continue;
      }
      placeOrdinary(job, true, started, now);
      boolean stillWaits = !job.pendingTasks.isEmpty();
      if (stillWaits && now - job.eligibleSinceMs() > 1000 * jobQueue.maxYieldS(job.spec)) {
        return;
      }
    }
  }

  /**
   * Why the job's next waiting task does not go to the machine; null when it may. Placement itself
   * goes by it, so what is shown to users is what was decided. Where the zone rules, the machine's
   * health or a failure are named, nothing else stands in the way: the machine has room.
   */
  public StartRefusal placementRefusal(Job job, Machine m, long now) {
    return placementRules.refusal(job, m, now);
  }

  /** True for work that may not wait on a slow machine. */
  public static boolean isUrgent(JobSpec s) {
    return PlacementRules.isUrgent(s);
  }

  /**
   * True when the team's limit alone keeps the job's next task, or a gang's tasks, from a start.
   */
  public boolean exceedsTeamLimit(Job job) {
    return placementRules.exceedsTeamLimit(job);
  }

  /** Machines for a gang's waiting tasks: one for each task, or as many as any zone has. */
  public List<Machine> findGangPlacement(Job job, long now) {
    return gangPlacer.findPlacement(job, now);
  }

  /** Stops tasks on machines that the cloud is about to take back, so that they start elsewhere. */
  public void drainInterruptedMachines(long now) {
    machineDrainer.drain(now);
  }
}
