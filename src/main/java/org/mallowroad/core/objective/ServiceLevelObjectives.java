package org.mallowroad.core.objective;

import it.unimi.dsi.fastutil.ints.Int2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import org.mallowroad.core.JobSpec;

/** What users expect of each class of jobs, as the settings say. */
public final class ServiceLevelObjectives {
  /**
   * Seconds after its submission by which users expect every job to have started, also the largest
   * ones.
   */
  public static final double START_TARGET_S = 240;

  /** Estimates are often wrong by half, so a little more is planned for. */
  private static final double ESTIMATE_MARGIN = 1.5;

  private final Int2DoubleOpenHashMap finishedS = new Int2DoubleOpenHashMap();
  private final Int2DoubleOpenHashMap waitS = new Int2DoubleOpenHashMap();
  private final IntOpenHashSet deadline = new IntOpenHashSet();
  private double guaranteeS = Double.POSITIVE_INFINITY;

  /** None. */
  public ServiceLevelObjectives() {
    finishedS.defaultReturnValue(Double.POSITIVE_INFINITY);
    waitS.defaultReturnValue(Double.POSITIVE_INFINITY);
  }

  /** Jobs of the class are to be done within a time; the shortest one counts. */
  public void finished(int taskClass, double withinS) {
    finishedS.put(taskClass, Math.min(finishedS.get(taskClass), withinS));
  }

  /** Tasks of the class are to start within a time. */
  public void started(int taskClass, double withinS) {
    waitS.put(taskClass, Math.min(waitS.get(taskClass), withinS));
  }

  /** Jobs of the class are to be done by their deadline. */
  public void deadline(int taskClass) {
    deadline.add(taskClass);
  }

  /** Work within a guarantee is to start within a time. */
  public void guarantee(double withinS) {
    guaranteeS = Math.min(guaranteeS, withinS);
  }

  /** Seconds after its submission by which a job should be done; never infinite. */
  public double doneWithinS(JobSpec s) {
    double due = finishedS.get(s.taskClass());
    if (deadline.contains(s.taskClass()) && s.dueS() > 0) {
      due = Math.min(due, s.dueS());
    }
    if (due == Double.POSITIVE_INFINITY) {
      // Nobody said: its own deadline, or some patience beyond the estimate.
      due = s.dueS() > 0 ? s.dueS() : 3 * s.estimateS() + 60;
    }
    return due;
  }

  /**
   * Seconds after its submission by which the last task should start.
   *
   * @param readyS when a machine rented now could run it: a wait that is exceeded by then is no
   *     reason to rent
   */
  public double startWithinS(JobSpec s, double fetchS, boolean guaranteed, double readyS) {
    double start = doneWithinS(s) - ESTIMATE_MARGIN * s.estimateS() - fetchS;
    double wait = waitS.get(s.taskClass());
    if (guaranteed) {
      wait = Math.min(wait, guaranteeS);
    }
    return Math.max(0, readyS <= wait ? Math.min(start, wait) : start);
  }
}
