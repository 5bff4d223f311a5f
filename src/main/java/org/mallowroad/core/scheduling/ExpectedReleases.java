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
 * How much room running tasks will set free by themselves within a few seconds. Stopping a task
 * throws its progress away, and with thousands of them running some end at every moment: what is
 * coming anyway need not be bought.
 *
 * <p>Owners' estimates are often wrong by half, so no single end is forecast. A task that has run
 * for some part of its estimate is taken to end at an even rate from then on, and only sums over
 * many tasks are used: the error of one job's estimate stays that job's share of the sum.
 */
final class ExpectedReleases {
  /** Before this part of its estimate hardly any task ends. */
  private static final double EARLY = 0.4;

  /** Beyond it a task ends within about this part of its estimate. */
  private static final double REST = 0.8;

  /** Ends expected of one job's tasks on one type, zone and kind of machine. */
  private static final class Ends {
    private final JobSpec job;
    private final MachineVariant on;
    private double expected;

    Ends(JobSpec job, MachineVariant on) {
      this.job = job;
      this.on = on;
    }
  }

  private final List<Ends> ends = new ArrayList<>();
  private final double horizonS;
  private double claimed;
  private long looked;

  /** Over the ends of the next {@code horizonS} seconds. */
  ExpectedReleases(double horizonS) {
    this.horizonS = horizonS;
  }

  /** Attempts looked at so far: what the survey costs. */
  long looked() {
    return looked;
  }

  /** Looks at what runs, once for all jobs that ask in a pass. */
  void survey(Iterable<Job> jobs, long now) {
    ends.clear();
    claimed = 0;
    Long2ObjectOpenHashMap<Ends> here = new Long2ObjectOpenHashMap<>();
    for (Job j : jobs) {
      if (j.liveAttemptCount() == 0 || j.spec.service()) {
        continue;
      }
      here.clear();
      for (int task = 0; task < j.spec.tasks(); task++) {
        Attempt a = j.liveAttempt(task);
        if (a == null) {
          continue;
        }
        looked++;
        double p = probability(a, now);
        if (p > 0 && a.machine.isUsable()) {
          Machine m = a.machine;
          MachineVariant on = new MachineVariant(m.type, m.zone, m.spot);
          Ends e = here.get(on.key());
          if (e == null) {
            e = new Ends(j.spec, on);
            here.put(on.key(), e);
            ends.add(e);
          }
          e.expected += p;
        }
      }
    }
  }

  private double probability(Attempt a, long now) {
    if (a.phase != Attempt.Phase.RUNNING || a.isStopping()) {
      return 0; // What is stopping is counted by who looks at the machine.
    }
    double estimate = Math.max(1, a.job.spec.estimateS());
    double ran = (now - a.runningSinceMs()) / 1000.0 + horizonS - EARLY * estimate;
    return ran <= 0 ? 0 : Math.min(1, Math.min(ran, horizonS) / (REST * estimate));
  }

  /**
   * How many of a job's waiting tasks will find room by themselves, when those ahead of it in the
   * queue have taken theirs. A task counts where one single end makes room for it: rooms of several
   * ends on one machine are left out.
   */
  int coming(JobSpec s, int most) {
    double tasks = 0;
    for (Ends e : ends) {
      if (s.allows(e.on.type().index(), e.on.zone(), e.on.spot())) {
        tasks += e.expected * holds(e.job, s);
      }
    }
    double ahead = s.cpus() > 0 ? claimed / s.cpus() : 0;
    return (int) Math.max(0, Math.min(most, tasks - ahead));
  }

  /** A job ahead in the queue takes room for so many of its tasks. */
  void claim(JobSpec s, int tasks) {
    claimed += tasks * s.cpus();
  }

  private static int holds(JobSpec ended, JobSpec s) {
    return new ResourceVector(ended.cpus(), ended.cards(), ended.memGb()).capacityFor(s, 1_000);
  }
}
