package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import org.mallowroad.core.health.MachineHealth.Suspicion;

/**
 * Detects slow and faulty machines, and distinguishes them from slow tasks, wrong estimates and
 * general slowdowns.
 *
 * <p>A finished task is compared with the median of its own job's tasks, or with its task class
 * while the job has too few finished tasks. All samples are ratios of run time to estimate, so the
 * owner's estimation error and a general slowdown cancel out. Deviations within the spread of the
 * comparable tasks are tolerated. A running task that has already taken much longer than the
 * finished tasks of its job counts as slow as well; otherwise a machine that hardly makes progress
 * would be detected last.
 *
 * <p>A machine becomes suspect when enough of its newest tasks are slow. Only a limited share of
 * the fleet may be suspect at once; when more machines seem slow, the cause is a general slowdown.
 * A suspicion expires without new evidence, so that a recovered machine gets tasks again and can
 * prove itself.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class StragglerDetector {
  /** Number of tasks assumed of a class; its baseline is usable once a third of them finished. */
  private static final int ASSUMED_TASKS_PER_CLASS = 60;

  /** Deviations from the median of up to this many standard deviations are normal. */
  private static final double MAX_NORMAL_SPREADS = 2;

  /**
   * Maximum number of task classes with a baseline. The settings name a handful, but users may
   * submit tasks of any number of others.
   */
  static final int MAX_TASK_CLASSES = 256;

  /**
   * Factor by which the limit for running tasks exceeds the one for finished tasks, since a running
   * task may simply be the longest of its job.
   */
  private static final double RUNNING_TASK_MARGIN_FACTOR = 1.2;

  /** Grace period in ms that is added to the limit for running tasks. */
  private static final long RUNNING_TASK_GRACE_MS = 2_000;

  /** In a smaller fleet, no machine is suspected unless the configured share allows it. */
  private static final int MIN_FLEET_SIZE = 4;

  /** Share of a machine's newest tasks that must be slow to raise a suspicion. */
  private static final double MIN_AGREEMENT = 0.7;

  /** Lower bound for estimates of run time, in seconds. */
  private static final double MIN_ESTIMATE_S = 0.1;

  /**
   * An image fetch is overdue after this many times its expected duration, plus {@link
   * #FETCH_GRACE_MS}.
   */
  private static final double FETCH_FACTOR = 6;

  private static final long FETCH_GRACE_MS = 30_000;

  private final HealthPolicy policy;
  private final Int2ObjectOpenHashMap<RunTimeBaseline> baselinesByClass =
      new Int2ObjectOpenHashMap<>();

  /** Logarithm of {@link HealthPolicy#slowFactor}. */
  private final double logSlowFactor;

  private int suspectCount;
  private long refusedSuspicionCount;

  /** Creates a detector that applies the given thresholds. */
  public StragglerDetector(HealthPolicy policy) {
    this.policy = policy;
    this.logSlowFactor = Math.log(policy.slowFactor());
  }

  /** Number of machines that are suspect now. */
  public int suspectCount() {
    return suspectCount;
  }

  /**
   * How often so far a machine was not made suspect because too many others already were. A growing
   * number indicates a general slowdown.
   */
  public long refusedSuspicionCount() {
    return refusedSuspicionCount;
  }

  /** Number of task classes with a baseline. */
  public int taskClassCount() {
    return baselinesByClass.size();
  }

  /** Drops the classes that are not in use, since their indices may be reassigned to others. */
  public void retainTaskClasses(BitSet usedClasses) {
    baselinesByClass.keySet().removeIf((int taskClass) -> !usedClasses.get(taskClass));
  }

  /**
   * Records that a task succeeded.
   *
   * @param jobBaseline the baseline of the task's job
   * @param taskClass index of the task's class
   * @param ranMs the task's run time, in ms
   * @param estimateS the owner's estimate of the run time, in seconds
   * @param fleetSize number of machines in the fleet
   * @return true when the machine's suspicion changed
   */
  public boolean recordTaskFinished(
      MachineHealth machine,
      RunTimeBaseline jobBaseline,
      int taskClass,
      long ranMs,
      double estimateS,
      int fleetSize,
      long now) {
    double logRatio = Math.log(Math.max(1, ranMs) / 1000.0 / Math.max(MIN_ESTIMATE_S, estimateS));
    double expected = expectedLogRatio(jobBaseline, taskClass);
    jobBaseline.add(logRatio);
    addToClass(taskClass, logRatio);
    machine.failedJobs.clear();
    if (Double.isNaN(expected)) {
      return false;
    }
    addSample(machine, logRatio - expected);
    return updateSuspicion(machine, fleetSize, now);
  }

  /**
   * Logarithm of the ratio of run time to estimate that is expected of a task; NaN while there is
   * no baseline. It is the median of the baseline, raised by the amount by which {@link
   * #MAX_NORMAL_SPREADS} standard deviations exceed the logarithm of the slow factor. That matters
   * for classes, which have a wide spread because each owner's estimates are wrong in a different
   * way.
   */
  private double expectedLogRatio(RunTimeBaseline jobBaseline, int taskClass) {
    RunTimeBaseline baseline =
        jobBaseline.isSufficient() ? jobBaseline : baselinesByClass.get(taskClass);
    return baseline == null || !baseline.isSufficient()
        ? Double.NaN
        : baseline.median() + Math.max(0, MAX_NORMAL_SPREADS * baseline.spread() - logSlowFactor);
  }

  private void addToClass(int taskClass, double logRatio) {
    RunTimeBaseline baseline = baselinesByClass.get(taskClass);
    if (baseline == null && baselinesByClass.size() < MAX_TASK_CLASSES) {
      baseline = new RunTimeBaseline(ASSUMED_TASKS_PER_CLASS);
      baselinesByClass.put(taskClass, baseline);
    }
    if (baseline != null) {
      baseline.add(logRatio);
    }
  }

  private static void addSample(MachineHealth machine, double logSlowdown) {
    machine.logSlowdowns[machine.sampleCount++ % MachineHealth.MAX_SAMPLES] = logSlowdown;
    if (machine.sampleCount >= 2 * MachineHealth.MAX_SAMPLES) {
      // Wrapping the count keeps it from overflowing; a full ring buffer still counts as full.
      machine.sampleCount -= MachineHealth.MAX_SAMPLES;
    }
  }

  /**
   * Sets how many running tasks of the machine are overdue; see {@link #isTaskOverdue}.
   *
   * @return true when the machine's suspicion changed
   */
  public boolean setOverdueTasks(MachineHealth machine, int overdueTasks, int fleetSize, long now) {
    if (machine.overdueTasks == overdueTasks) {
      return false;
    }
    machine.overdueTasks = overdueTasks;
    return updateSuspicion(machine, fleetSize, now);
  }

  /**
   * True when a running task has taken much longer than the finished tasks of its job. The task's
   * class is not precise enough for this decision.
   */
  public boolean isTaskOverdue(RunTimeBaseline jobBaseline, long ranMs, double estimateS) {
    return jobBaseline.isSufficient()
        && ranMs
            > RUNNING_TASK_GRACE_MS
                + 1000
                    * estimateS
                    * RUNNING_TASK_MARGIN_FACTOR
                    * Math.exp(logSlowFactor + expectedLogRatio(jobBaseline, 0));
  }

  private boolean updateSuspicion(MachineHealth machine, int fleetSize, long now) {
    int finishedTasks = Math.min(machine.sampleCount, MachineHealth.MAX_SAMPLES);
    int slowTasks = machine.overdueTasks;
    for (int i = 0; i < finishedTasks; i++) {
      if (machine.logSlowdowns[i] > logSlowFactor) {
        slowTasks++;
      }
    }
    int totalTasks = finishedTasks + machine.overdueTasks;
    if (machine.suspicion == Suspicion.NONE) {
      if (slowTasks >= policy.minSlowSamples() && slowTasks >= MIN_AGREEMENT * totalTasks) {
        return trySuspect(machine, Suspicion.SLOW, fleetSize, now);
      }
    } else if (machine.suspicion == Suspicion.SLOW) {
      if (slowTasks < (1 - MIN_AGREEMENT) * totalTasks) {
        clearSuspicion(machine);
        return true;
      }
      machine.newestEvidenceMs = now;
    }
    return false;
  }

  /** Makes the machine suspect unless too many others are already; returns true on success. */
  private boolean trySuspect(MachineHealth machine, Suspicion suspicion, int fleetSize, long now) {
    // In a tiny fleet, urgent tasks might have no other machine to run on.
    int minAllowedSuspects = fleetSize < MIN_FLEET_SIZE ? 0 : 1;
    if (suspectCount + 1 > Math.max(minAllowedSuspects, policy.maxSlowShare() * fleetSize)) {
      refusedSuspicionCount++;
      return false;
    }
    machine.suspicion = suspicion;
    machine.newestEvidenceMs = now;
    suspectCount++;
    return true;
  }

  private void clearSuspicion(MachineHealth machine) {
    machine.suspicion = Suspicion.NONE;
    machine.sampleCount = 0;
    machine.overdueTasks = 0;
    machine.failedJobs.clear();
    suspectCount--;
  }

  /**
   * Records that a task failed on the machine.
   *
   * @param jobId identifies the task's job
   * @param jobAtFault true when the job has failed on several machines, so that its failure is no
   *     evidence against this one
   * @param fleetSize number of machines in the fleet
   * @return true when the machine became suspect
   */
  public boolean recordTaskFailed(
      MachineHealth machine, int jobId, boolean jobAtFault, int fleetSize, long now) {
    if (jobAtFault) {
      machine.failedJobs.remove(jobId);
      return false;
    }
    if (machine.failedJobs.size() < policy.minFailedJobs()) {
      machine.failedJobs.add(jobId);
    }
    return machine.suspicion == Suspicion.NONE
        && machine.failedJobs.size() >= policy.minFailedJobs()
        && trySuspect(machine, Suspicion.FAULTY, fleetSize, now);
  }

  /**
   * Records how long a task on the machine has been waiting for its image.
   *
   * @param waitedMs the wait so far, in ms
   * @param expectedMs expected duration of the fetch on this machine type, in ms
   * @param fleetSize number of machines in the fleet
   * @return true when the machine became suspect
   */
  public boolean recordImageWait(
      MachineHealth machine, long waitedMs, double expectedMs, int fleetSize, long now) {
    return machine.suspicion == Suspicion.NONE
        && waitedMs > FETCH_FACTOR * expectedMs + FETCH_GRACE_MS
        && trySuspect(machine, Suspicion.NO_IMAGE, fleetSize, now);
  }

  /**
   * Ends a suspicion that had no new evidence for {@link HealthPolicy#suspicionExpiryMs}.
   *
   * @return true when a suspicion expired, so that the machine gets tasks again
   */
  public boolean expireSuspicion(MachineHealth machine, long now) {
    if (machine.isSuspect() && now - machine.newestEvidenceMs > policy.suspicionExpiryMs()) {
      clearSuspicion(machine);
      return true;
    }
    return false;
  }

  /** Forgets a machine that no longer exists. */
  public void remove(MachineHealth machine) {
    if (machine.isSuspect()) {
      clearSuspicion(machine);
    }
  }
}
