package org.mallowroad.core.health;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.BitSet;
import org.mallowroad.core.health.MachineHealth.Doubt;

/**
 * Tells slow and faulty machines from slow tasks, wrong estimates and slow days.
 *
 * <p>A finished task is compared with the median of its own job's tasks, or of its class while the
 * job has too few, both as run time by estimate: the owner's error and the day's lean cancel out.
 * What the peers vary among themselves is allowed for. A task that still runs though it has taken
 * several times as long as its peers counts as well, or a machine that hardly moves would be found
 * out last. A machine is doubted when enough of its newest tasks agree; only a share of the fleet
 * may be, since otherwise the day is slow and not the machines; and doubt fades, so that a machine
 * that recovered gets work again and can show it.
 */
public final class StragglerDetector {
  /** Tasks of a class that make it a measure, in thirds. */
  private static final int CLASS_PEERS = 60;

  /** So many spreads beyond the median are still no sign of anything. */
  private static final double SPREADS = 2;

  /** Classes that are kept: the settings name a handful, users may make up more. */
  static final int MOST_CLASSES = 256;

  /** A running task counts later than a finished one: it may just be the longest of its job. */
  private static final double LATE = 1.2;

  /** Of fewer machines none is doubted. */
  private static final int FEW = 4;

  /** This part of the newest samples must agree. */
  private static final double AGREE = 0.7;

  /** An image is overdue after this many times the time that it takes, and the patience. */
  private static final double FETCH_FACTOR = 6;

  private static final long FETCH_PATIENCE_MS = 30_000;

  private final HealthPolicy policy;
  private final Int2ObjectOpenHashMap<RunTimeBaseline> classes = new Int2ObjectOpenHashMap<>();
  private final double slow;
  private int doubted;
  private long refused;

  /** With the operators' thresholds. */
  public StragglerDetector(HealthPolicy policy) {
    this.policy = policy;
    this.slow = Math.log(policy.slowFactor());
  }

  /** Machines out of favour now. */
  public int doubted() {
    return doubted;
  }

  /**
   * Times a machine was not held slow because too many others were, counted at each judgement: the
   * sign of a slow day.
   */
  public long refused() {
    return refused;
  }

  /** Classes that are kept. */
  public int classes() {
    return classes.size();
  }

  /** Drops the classes whose indices are about to be given to other names. */
  public void keep(BitSet used) {
    classes.keySet().removeIf((int c) -> !used.get(c));
  }

  /**
   * The logarithm of how many times its estimate a task may take without being slow, leaving room
   * for the spread of its peers; not a number while nothing is known. A class is a poor measure:
   * each owner errs in a way of their own, so its spread is wide.
   */
  private double fair(RunTimeBaseline job, int taskClass) {
    RunTimeBaseline measure = job.enough() ? job : classes.get(taskClass);
    return measure == null || !measure.enough()
        ? Double.NaN
        : measure.median() + Math.max(0, SPREADS * measure.spread() - slow);
  }

  /**
   * A task ended well after {@code ranMs}.
   *
   * @return true when the machine's standing changed
   */
  public boolean finished(
      MachineHealth m,
      RunTimeBaseline job,
      int taskClass,
      long ranMs,
      double estimateS,
      int fleet,
      long now) {
    double x = Math.log(Math.max(1, ranMs) / 1000.0 / Math.max(0.1, estimateS));
    double fair = fair(job, taskClass);
    job.add(x);
    RunTimeBaseline all = classes.get(taskClass);
    if (all == null && classes.size() < MOST_CLASSES) {
      all = new RunTimeBaseline(CLASS_PEERS);
      classes.put(taskClass, all);
    }
    if (all != null) {
      all.add(x);
    }
    m.errorJobs.clear();
    if (Double.isNaN(fair)) {
      return false;
    }
    m.excess[m.samples++ % MachineHealth.SAMPLES] = x - fair;
    if (m.samples >= 2 * MachineHealth.SAMPLES) {
      m.samples -= MachineHealth.SAMPLES; // The ring is full and stays so; counts never overflow.
    }
    return judge(m, fleet, now);
  }

  /** Of the tasks on the machine so many have run for several times as long as their peers. */
  public boolean overdue(MachineHealth m, int tasks, int fleet, long now) {
    if (m.overdue == tasks) {
      return false;
    }
    m.overdue = tasks;
    return judge(m, fleet, now);
  }

  /** True when a task that has run so long counts as overdue: only its own job can say so. */
  public boolean late(RunTimeBaseline job, long ranMs, double estimateS) {
    return job.enough() && ranMs > 2_000 + 1000 * estimateS * LATE * Math.exp(slow + fair(job, 0));
  }

  private boolean judge(MachineHealth m, int fleet, long now) {
    int n = Math.min(m.samples, MachineHealth.SAMPLES);
    int against = m.overdue;
    for (int i = 0; i < n; i++) {
      if (m.excess[i] > slow) {
        against++;
      }
    }
    int all = n + m.overdue;
    if (m.doubt == Doubt.NONE) {
      if (against >= policy.slowSamples() && against >= AGREE * all) {
        return doubt(m, Doubt.SLOW, fleet, now);
      }
    } else if (m.doubt == Doubt.SLOW) {
      if (against < (1 - AGREE) * all) {
        clear(m);
        return true;
      }
      m.doubtedMs = now;
    }
    return false;
  }

  private boolean doubt(MachineHealth m, Doubt why, int fleet, long now) {
    // Of a few machines none is spared that easily: urgent work might have nowhere else to go.
    if (doubted + 1 > Math.max(fleet < FEW ? 0 : 1, policy.slowShare() * fleet)) {
      refused++;
      return false;
    }
    m.doubt = why;
    m.doubtedMs = now;
    doubted++;
    return true;
  }

  private void clear(MachineHealth m) {
    m.doubt = Doubt.NONE;
    m.samples = 0;
    m.overdue = 0;
    m.errorJobs.clear();
    doubted--;
  }

  /**
   * A task of a job failed on the machine.
   *
   * @param jobAtFault true when the job has failed on several machines: that says nothing of this
   *     one
   */
  public boolean failed(MachineHealth m, int job, boolean jobAtFault, int fleet, long now) {
    if (jobAtFault) {
      m.errorJobs.remove(job);
      return false;
    }
    if (m.errorJobs.size() < policy.errors()) {
      m.errorJobs.add(job);
    }
    return m.doubt == Doubt.NONE
        && m.errorJobs.size() >= policy.errors()
        && doubt(m, Doubt.FAULTY, fleet, now);
  }

  /**
   * A task has been waiting for its image for so long.
   *
   * @param needMs how long the fetch takes by the cloud's figures
   */
  public boolean fetching(MachineHealth m, long waitedMs, double needMs, int fleet, long now) {
    return m.doubt == Doubt.NONE
        && waitedMs > FETCH_FACTOR * needMs + FETCH_PATIENCE_MS
        && doubt(m, Doubt.NO_IMAGE, fleet, now);
  }

  /** Doubt fades without new evidence; true when the machine is tried again. */
  public boolean fade(MachineHealth m, long now) {
    if (m.doubted() && now - m.doubtedMs > policy.favourMs()) {
      clear(m);
      return true;
    }
    return false;
  }

  /** The machine is gone. */
  public void gone(MachineHealth m) {
    if (m.doubted()) {
      clear(m);
    }
  }
}
