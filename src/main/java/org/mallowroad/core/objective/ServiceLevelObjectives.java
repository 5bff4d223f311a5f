package org.mallowroad.core.objective;

import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import org.mallowroad.core.JobSpec;

/**
 * The service-level objectives from the settings: completion times, start times and deadlines for
 * each class of jobs. If several are set for a class, the strictest applies. All times are in
 * seconds after a job's submission.
 */
public final class ServiceLevelObjectives {
  /**
   * Seconds after its submission by which users expect every job, however large, to have started.
   */
  public static final double START_TARGET_S = 240;

  /** Planned run time as a multiple of the user's estimate, which is often wrong by half. */
  private static final double ESTIMATE_MARGIN = 1.5;

  /** A job without any objective should be done within this multiple of its estimate ... */
  private static final double DEFAULT_ESTIMATE_FACTOR = 3;

  /** ... plus this many seconds. */
  private static final double DEFAULT_ALLOWANCE_S = 60;

  private final Int2DoubleOpenHashMap completionTargetsS = new Int2DoubleOpenHashMap();
  private final Int2DoubleOpenHashMap startTargetsS = new Int2DoubleOpenHashMap();
  private final IntOpenHashSet deadlineClasses = new IntOpenHashSet();
  private double guaranteedStartTargetS = Double.POSITIVE_INFINITY;

  /** Creates an empty set of objectives. */
  public ServiceLevelObjectives() {
    completionTargetsS.defaultReturnValue(Double.POSITIVE_INFINITY);
    startTargetsS.defaultReturnValue(Double.POSITIVE_INFINITY);
  }

  /** Requires jobs of the class to be done within the given time. */
  public void requireCompletion(int taskClass, double withinS) {
    completionTargetsS.put(taskClass, Math.min(completionTargetsS.get(taskClass), withinS));
  }

  /** Requires tasks of the class to start within the given time. */
  public void requireStart(int taskClass, double withinS) {
    startTargetsS.put(taskClass, Math.min(startTargetsS.get(taskClass), withinS));
  }

  /** Requires jobs of the class to be done by their own deadlines. */
  public void requireDeadline(int taskClass) {
    deadlineClasses.add(taskClass);
  }

  /** Requires tasks within their team's guarantee to start within the given time. */
  public void requireGuaranteedStart(double withinS) {
    guaranteedStartTargetS = Math.min(guaranteedStartTargetS, withinS);
  }

  /**
   * Seconds after its submission by which a job should be done. This follows from the objectives,
   * or if none applies from the job's own deadline, or if it has none from its estimated run time.
   * The result is always finite.
   */
  public double completionTargetS(JobSpec spec) {
    double targetS = completionTargetsS.get(spec.taskClass());
    if (deadlineClasses.contains(spec.taskClass()) && spec.deadlineS() > 0) {
      targetS = Math.min(targetS, spec.deadlineS());
    }
    if (targetS == Double.POSITIVE_INFINITY) {
      // No objective applies to the job.
      targetS =
          spec.deadlineS() > 0
              ? spec.deadlineS()
              : DEFAULT_ESTIMATE_FACTOR * spec.estimateS() + DEFAULT_ALLOWANCE_S;
    }
    return targetS;
  }

  /**
   * Seconds after its submission by which the last task of a job should start, at least 0.
   *
   * @param fetchS seconds to fetch the job's image
   * @param guaranteed whether the job is within its team's guarantee
   * @param readyS seconds after its submission at which a machine requested now could run the job;
   *     a start objective that a new machine cannot meet is ignored
   */
  public double latestStartS(JobSpec spec, double fetchS, boolean guaranteed, double readyS) {
    double startS = completionTargetS(spec) - ESTIMATE_MARGIN * spec.estimateS() - fetchS;
    double startTargetS = startTargetsS.get(spec.taskClass());
    if (guaranteed) {
      startTargetS = Math.min(startTargetS, guaranteedStartTargetS);
    }
    return Math.max(0, readyS <= startTargetS ? Math.min(startS, startTargetS) : startS);
  }
}
