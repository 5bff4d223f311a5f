package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import org.mallowroad.core.health.MachineHealth.Suspicion;

/**
 * Detects slow and faulty machines, and tells them from slow tasks, wrong estimates and days on
 * which everything is slow.
 *
 * <p>A finished task is compared with the median of its own job's tasks, or with its class while
 * the job has too few of them. Both are ratios of run time to estimate, so the owner's error and
 * the trend of the day cancel out, and the spread of the peers is allowed for. A running task that
 * has taken several times as long as its peers counts as well; otherwise a machine that hardly
 * makes progress would be detected last.
 *
 * <p>A machine becomes suspect when enough of its newest tasks agree. Only a share of the fleet may
 * be suspect at once, since beyond that the day is slow and not the machines. A suspicion expires,
 * so that a machine that recovered gets tasks again and can show it.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class StragglerDetector {
  /** Number of tasks by which a class's baseline is dimensioned; a third must have ended. */
  private static final int CLASS_TASKS = 60;

  /** Deviations from the median of up to this many spreads are normal. */
  private static final double NORMAL_SPREADS = 2;

  /** Most classes that are kept: the settings name a handful, but users may make up more. */
  static final int MAX_CLASSES = 256;

  /** A running task counts later than a finished one: it may just be the longest of its job. */
  private static final double RUNNING_TASK_FACTOR = 1.2;

  /** Grace period of a running task, in ms, on top of the limit. */
  private static final long RUNNING_TASK_GRACE_MS = 2_000;

  /** In a fleet of fewer machines none may become suspect. */
  private static final int MIN_FLEET = 4;

  /** Share of the newest samples that must agree. */
  private static final double MIN_AGREEMENT = 0.7;

  /** Estimates of run time count as this many seconds at the least. */
  private static final double MIN_ESTIMATE_S = 0.1;

  /** An image is overdue after this many times its expected time, plus the grace period. */
  private static final double FETCH_FACTOR = 6;

  private static final long FETCH_GRACE_MS = 30_000;

  private final HealthPolicy policy;
  private final Int2ObjectOpenHashMap<RunTimeBaseline> classes = new Int2ObjectOpenHashMap<>();

  /** Logarithm of {@link HealthPolicy#slowFactor}. */
  private final double slowExcess;

  private int suspectCount;
  private long refusedSuspicionCount;

  /** Creates a detector with the operators' thresholds. */
  public StragglerDetector(HealthPolicy policy) {
    this.policy = policy;
    this.slowExcess = Math.log(policy.slowFactor());
  }

  /** Number of machines that are suspect now. */
  public int suspectCount() {
    return suspectCount;
  }

  /**
   * Number of judgements so far by which a machine would have become suspect, had not too many
   * others been: the sign of a slow day.
   */
  public long refusedSuspicionCount() {
    return refusedSuspicionCount;
  }

  /** Number of classes that are kept. */
  public int taskClassCount() {
    return classes.size();
  }

  /** Drops the classes that are not in use; their indices are about to be given to others. */
  public void retainTaskClasses(BitSet used) {
    classes.keySet().removeIf((int taskClass) -> !used.get(taskClass));
  }

  /**
   * Records that a task ended well.
   *
   * @param job the baseline of the task's job
   * @param taskClass index of the task's class
   * @param ranMs its run time
   * @param estimateS the owner's estimate of its run time, in seconds
   * @param fleetSize number of machines
   * @return true when the machine's suspicion changed
   */
  public boolean recordTaskFinished(
      MachineHealth machine,
      RunTimeBaseline job,
      int taskClass,
      long ranMs,
      double estimateS,
      int fleetSize,
      long now) {
    double logRatio = Math.log(Math.max(1, ranMs) / 1000.0 / Math.max(MIN_ESTIMATE_S, estimateS));
    double fair = fairLogRatio(job, taskClass);
    job.add(logRatio);
    addToClass(taskClass, logRatio);
    machine.failedJobs.clear();
    if (Double.isNaN(fair)) {
      return false;
    }
    addSample(machine, logRatio - fair);
    return judge(machine, fleetSize, now);
  }

  /**
   * Logarithm of the ratio of run time to estimate that a task may have without being slow, with
   * room for the spread of its peers; NaN while there is no baseline. A class is a poor baseline:
   * each owner errs in another way, so its spread is wide.
   */
  private double fairLogRatio(RunTimeBaseline job, int taskClass) {
    RunTimeBaseline baseline = job.isSufficient() ? job : classes.get(taskClass);
    return baseline == null || !baseline.isSufficient()
        ? Double.NaN
        : baseline.median() + Math.max(0, NORMAL_SPREADS * baseline.spread() - slowExcess);
  }

  private void addToClass(int taskClass, double logRatio) {
    RunTimeBaseline baseline = classes.get(taskClass);
    if (baseline == null && classes.size() < MAX_CLASSES) {
      baseline = new RunTimeBaseline(CLASS_TASKS);
      classes.put(taskClass, baseline);
    }
    if (baseline != null) {
      baseline.add(logRatio);
    }
  }

  private static void addSample(MachineHealth machine, double excess) {
    machine.excess[machine.samples++ % MachineHealth.MAX_SAMPLES] = excess;
    if (machine.samples >= 2 * MachineHealth.MAX_SAMPLES) {
      // A full ring stays full, so the count is wrapped and never overflows.
      machine.samples -= MachineHealth.MAX_SAMPLES;
    }
  }

  /**
   * Sets how many tasks on the machine have run for several times as long as their peers.
   *
   * @return true when the machine's suspicion changed
   */
  public boolean setOverdueTasks(MachineHealth machine, int tasks, int fleetSize, long now) {
    if (machine.overdueTasks == tasks) {
      return false;
    }
    machine.overdueTasks = tasks;
    return judge(machine, fleetSize, now);
  }

  /** True when a task that has run for so long is overdue; only its own job can show it. */
  public boolean isTaskOverdue(RunTimeBaseline job, long ranMs, double estimateS) {
    return job.isSufficient()
        && ranMs
            > RUNNING_TASK_GRACE_MS
                + 1000
                    * estimateS
                    * RUNNING_TASK_FACTOR
                    * Math.exp(slowExcess + fairLogRatio(job, 0));
  }

  private boolean judge(MachineHealth machine, int fleetSize, long now) {
    int finished = Math.min(machine.samples, MachineHealth.MAX_SAMPLES);
    int slow = machine.overdueTasks;
    for (int i = 0; i < finished; i++) {
      if (machine.excess[i] > slowExcess) {
        slow++;
      }
    }
    int all = finished + machine.overdueTasks;
    if (machine.suspicion == Suspicion.NONE) {
      if (slow >= policy.minSlowSamples() && slow >= MIN_AGREEMENT * all) {
        return suspect(machine, Suspicion.SLOW, fleetSize, now);
      }
    } else if (machine.suspicion == Suspicion.SLOW) {
      if (slow < (1 - MIN_AGREEMENT) * all) {
        clear(machine);
        return true;
      }
      machine.suspectedMs = now;
    }
    return false;
  }

  /** Makes the machine suspect unless too many are already; true when it did. */
  private boolean suspect(MachineHealth machine, Suspicion suspicion, int fleetSize, long now) {
    // In a tiny fleet no machine may be avoided: urgent tasks might have nowhere else to go.
    int minAllowed = fleetSize < MIN_FLEET ? 0 : 1;
    if (suspectCount + 1 > Math.max(minAllowed, policy.maxSlowShare() * fleetSize)) {
      refusedSuspicionCount++;
      return false;
    }
    machine.suspicion = suspicion;
    machine.suspectedMs = now;
    suspectCount++;
    return true;
  }

  private void clear(MachineHealth machine) {
    machine.suspicion = Suspicion.NONE;
    machine.samples = 0;
    machine.overdueTasks = 0;
    machine.failedJobs.clear();
    suspectCount--;
  }

  /**
   * Records that a task failed on the machine.
   *
   * @param job identifies the task's job
   * @param jobAtFault true when the job has failed on several machines, which says nothing about
   *     this one
   * @param fleetSize number of machines
   * @return true when the machine became suspect
   */
  public boolean recordTaskFailed(
      MachineHealth machine, int job, boolean jobAtFault, int fleetSize, long now) {
    if (jobAtFault) {
      machine.failedJobs.remove(job);
      return false;
    }
    if (machine.failedJobs.size() < policy.minFailedJobs()) {
      machine.failedJobs.add(job);
    }
    return machine.suspicion == Suspicion.NONE
        && machine.failedJobs.size() >= policy.minFailedJobs()
        && suspect(machine, Suspicion.FAULTY, fleetSize, now);
  }

  /**
   * Records how long a task on the machine has been waiting for its image.
   *
   * @param waitedMs the wait so far
   * @param expectedMs how long the fetch takes by the machine type's figures
   * @param fleetSize number of machines
   * @return true when the machine became suspect
   */
  public boolean recordImageWait(
      MachineHealth machine, long waitedMs, double expectedMs, int fleetSize, long now) {
    return machine.suspicion == Suspicion.NONE
        && waitedMs > FETCH_FACTOR * expectedMs + FETCH_GRACE_MS
        && suspect(machine, Suspicion.NO_IMAGE, fleetSize, now);
  }

  /**
   * Ends a suspicion that had no new evidence for {@link HealthPolicy#suspicionExpiryMs}.
   *
   * @return true when the machine is tried again
   */
  public boolean expireSuspicion(MachineHealth machine, long now) {
    if (machine.isSuspect() && now - machine.suspectedMs > policy.suspicionExpiryMs()) {
      clear(machine);
      return true;
    }
    return false;
  }

  /** Forgets a machine that no longer exists. */
  public void remove(MachineHealth machine) {
    if (machine.isSuspect()) {
      clear(machine);
    }
  }
}
