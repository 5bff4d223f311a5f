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
 * How much capacity running tasks will release by themselves within a few seconds. Preempting a
 * task throws its progress away, and with thousands of them running some end at every moment: for
 * what is released anyway nothing needs to be preempted.
 *
 * <p>Users' estimates are often wrong by half, so no single end is forecast. A task that has run
 * for some share of its estimate is taken to end at an even rate from then on, and only sums over
 * many tasks are used: the error of one job's estimate stays that job's share of the sum.
 */
final class ExpectedReleases {
  /** Before this share of its estimate hardly any task ends. */
  private static final double EARLIEST_END_SHARE = 0.4;

  /** From then on a task ends within about this share of its estimate. */
  private static final double REMAINING_SHARE = 0.8;

  /** More tasks than this are never counted in the capacity that one task releases. */
  private static final int MAX_TASKS_PER_RELEASE = 1_000;

  /** The number of one job's tasks that are expected to end on machines of one variant. */
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

  /** Counts what ends within the next {@code horizonS} seconds. */
  ExpectedReleases(double horizonS) {
    this.horizonS = horizonS;
  }

  /** Attempts looked at so far: the cost of the estimates. */
  long attemptsScanned() {
    return attemptsScanned;
  }

  /** Estimates the releases of all running tasks, once for all jobs that ask in a pass. */
  void refresh(Iterable<Job> jobs, long now) {
    releases.clear();
    claimedCpus = 0;
    Long2ObjectOpenHashMap<JobReleases> byVariant = new Long2ObjectOpenHashMap<>();
    for (Job j : jobs) {
      if (j.liveAttemptCount() > 0 && !j.spec.service()) {
        byVariant.clear();
        addReleases(j, byVariant, now);
      }
    }
  }

  private void addReleases(Job j, Long2ObjectOpenHashMap<JobReleases> byVariant, long now) {
    for (int task = 0; task < j.spec.tasks(); task++) {
      Attempt a = j.liveAttempt(task);
      if (a == null) {
        continue;
      }
      attemptsScanned++;
      double probability = endProbability(a, now);
      if (probability > 0 && a.machine.isUsable()) {
        releasesOn(a.machine, j.spec, byVariant).expectedEnds += probability;
      }
    }
  }

  private JobReleases releasesOn(
      Machine m, JobSpec job, Long2ObjectOpenHashMap<JobReleases> byVariant) {
    MachineVariant variant = new MachineVariant(m.type, m.zone, m.spot);
    JobReleases found = byVariant.get(variant.key());
    if (found == null) {
      found = new JobReleases(job, variant);
      byVariant.put(variant.key(), found);
      releases.add(found);
    }
    return found;
  }

  /** The probability that a running attempt ends within the horizon. */
  private double endProbability(Attempt a, long now) {
    if (a.phase != Attempt.Phase.RUNNING || a.isStopping()) {
      return 0; // What is stopping is counted on its machine, by Preemptor.
    }
    double estimateS = Math.max(1, a.job.spec.estimateS());
    double pastEarliestEndS =
        (now - a.runningSinceMs()) / 1000.0 + horizonS - EARLIEST_END_SHARE * estimateS;
    if (pastEarliestEndS <= 0) {
      return 0;
    }
    return Math.min(1, Math.min(pastEarliestEndS, horizonS) / (REMAINING_SHARE * estimateS));
  }

  /**
   * How many of a job's waiting tasks will find room by themselves, after the jobs ahead of it in
   * the queue have taken theirs. A task counts only where a single release makes room for it: room
   * made up of several releases on one machine is left out.
   *
   * @param maxTasks upper bound of the result
   */
  int expectedRoom(JobSpec s, int maxTasks) {
    double tasks = 0;
    for (JobReleases r : releases) {
      MachineVariant v = r.variant;
      if (s.allows(v.type().index(), v.zone(), v.spot())) {
        tasks += r.expectedEnds * tasksPerRelease(r.job, s);
      }
    }
    double claimedTasks = s.cpus() > 0 ? claimedCpus / s.cpus() : 0;
    return (int) Math.max(0, Math.min(maxTasks, tasks - claimedTasks));
  }

  /** A job ahead in the queue takes released capacity for so many of its tasks. */
  void claim(JobSpec s, int tasks) {
    claimedCpus += tasks * s.cpus();
  }

  private static int tasksPerRelease(JobSpec ended, JobSpec waiting) {
    return new ResourceVector(ended.cpus(), ended.cards(), ended.memGb())
        .capacityFor(waiting, MAX_TASKS_PER_RELEASE);
  }
}
