package org.mallowroad.core.scheduling;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.autoscaling.MachineVariant;

/**
 * Estimates how much capacity running tasks will release within a few seconds by ending on their
 * own. Preempting a task discards its progress, and among thousands of running tasks some end all
 * the time, so nothing is preempted for capacity that is about to be released anyway.
 *
 * <p>Users' run time estimates are often wrong by half, so the end of a single task is not
 * predicted. Once a task has run for {@link #EARLIEST_END_SHARE} of its estimate, it is assumed to
 * end at a constant rate. Only sums over many tasks are used, so a wrong estimate of one job
 * affects only that job's share of the sum.
 */
final class ExpectedReleases {
  /** Hardly any task ends before it has run for this share of its estimate. */
  private static final double EARLIEST_END_SHARE = 0.4;

  /** After that, a task is assumed to end within this share of its estimate. */
  private static final double REMAINING_SHARE = 0.8;

  /** Most waiting tasks that are assumed to fit into the capacity that one task releases. */
  private static final int MAX_TASKS_PER_RELEASE = 1_000;

  /** The expected number of one job's tasks that end on machines of one variant. */
  private static final class JobReleases {
    private final JobSpec job;
    private final MachineVariant variant;
    private double expectedEnds;

    JobReleases(JobSpec job, MachineVariant variant) {
      this.job = job;
      this.variant = variant;
    }
  }

  private final List<JobReleases> releases = new ArrayList<>();
  private final double horizonS;
  private double claimedCpus;
  private long attemptsScanned;

  /** Creates an estimator of the releases within the next {@code horizonS} seconds. */
  ExpectedReleases(double horizonS) {
    this.horizonS = horizonS;
  }

  /** Number of attempts scanned so far, as a measure of the cost of the estimates. */
  long attemptsScanned() {
    return attemptsScanned;
  }

  /**
   * Estimates the releases of all running tasks. One call serves all jobs that preempt in a pass.
   */
  void refresh(Iterable<Job> jobs, long now) {
    releases.clear();
    claimedCpus = 0;
    Long2ObjectOpenHashMap<JobReleases> byVariant = new Long2ObjectOpenHashMap<>();
    for (Job job : jobs) {
      if (job.liveAttemptCount() > 0 && !job.spec.service()) {
        byVariant.clear();
        addReleases(job, byVariant, now);
      }
    }
  }

  private void addReleases(Job job, Long2ObjectOpenHashMap<JobReleases> byVariant, long now) {
    for (int task = 0; task < job.spec.tasks(); task++) {
      Attempt attempt = job.liveAttempt(task);
      if (attempt == null) {
        continue;
      }
      attemptsScanned++;
      double probability = endProbability(attempt, now);
      if (probability > 0 && attempt.machine.isUsable()) {
        releasesOfVariant(attempt.machine, job.spec, byVariant).expectedEnds += probability;
      }
    }
  }

  private JobReleases releasesOfVariant(
      Machine machine, JobSpec job, Long2ObjectOpenHashMap<JobReleases> byVariant) {
    MachineVariant variant = new MachineVariant(machine.type, machine.zone, machine.spot);
    JobReleases jobReleases = byVariant.get(variant.key());
    if (jobReleases == null) {
      jobReleases = new JobReleases(job, variant);
      byVariant.put(variant.key(), jobReleases);
      releases.add(jobReleases);
    }
    return jobReleases;
  }

  /** The probability that a running attempt ends within the horizon. */
  private double endProbability(Attempt attempt, long now) {
    if (attempt.phase != Attempt.Phase.RUNNING || attempt.isStopping()) {
      return 0; // Preemptor counts a stopping attempt as room on its machine.
    }
    double estimateS = Math.max(1, attempt.job.spec.estimateS());
    double pastEarliestEndS =
        (now - attempt.runningSinceMs()) / 1000.0 + horizonS - EARLIEST_END_SHARE * estimateS;
    if (pastEarliestEndS <= 0) {
      return 0;
    }
    return Math.min(1, Math.min(pastEarliestEndS, horizonS) / (REMAINING_SHARE * estimateS));
  }

  /**
   * Estimates how many of a job's waiting tasks will get room without preemption, after the jobs
   * ahead of it in the queue have claimed theirs. A task counts only where the end of a single task
   * makes room for it; room that needs several tasks on one machine to end is not counted.
   *
   * @param maxTasks upper bound of the result
   */
  int expectedTaskSlots(JobSpec spec, int maxTasks) {
    double taskCount = 0;
    for (JobReleases jobReleases : releases) {
      MachineVariant variant = jobReleases.variant;
      if (spec.allows(variant.type().index(), variant.zone(), variant.spot())) {
        taskCount += jobReleases.expectedEnds * tasksPerRelease(jobReleases.job, spec);
      }
    }
    double claimedTasks = spec.cpus() > 0 ? claimedCpus / spec.cpus() : 0;
    return (int) Math.max(0, Math.min(maxTasks, taskCount - claimedTasks));
  }

  /**
   * Sets released capacity aside for tasks of this job, so that jobs behind it in the queue do not
   * count it.
   */
  void claim(JobSpec spec, int taskCount) {
    claimedCpus += taskCount * spec.cpus();
  }

  private static int tasksPerRelease(JobSpec endedSpec, JobSpec waitingSpec) {
    return new ResourceVector(endedSpec.cpus(), endedSpec.cards(), endedSpec.memGb())
        .capacityFor(waitingSpec, MAX_TASKS_PER_RELEASE);
  }
}
