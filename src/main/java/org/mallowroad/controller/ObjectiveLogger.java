package org.mallowroad.controller;

import java.util.Collection;
import org.mallowroad.core.Job;
import org.mallowroad.core.objective.ObjectiveAttainment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each job that is done and, at regular intervals, how far the service-level objectives of
 * classes and teams are attained in this term.
 */
final class ObjectiveLogger {
  private static final Logger LOG = LoggerFactory.getLogger(ObjectiveLogger.class);

  private final ObjectiveAttainment attainment;

  ObjectiveLogger(ClusterConfig clusterConfig) {
    this.attainment = new ObjectiveAttainment(clusterConfig.classes, clusterConfig.newTeams());
  }

  /** The job's end as done is recorded. */
  void jobDone(Job job, long now) {
    LOG.info(
        "event=job_done job={} priority={} tasks={} age_s={} deadline_s={}"
            + " last_start_s={} attempts={} cpus={} estimate_s={}",
        job.spec.id(),
        job.spec.priority(),
        job.spec.tasks(),
        (now - job.submittedMs()) / 1000,
        (long) job.spec.deadlineS(),
        (job.lastStartMs() - job.submittedMs()) / 1000,
        job.maxAttemptNumber(),
        job.spec.cpus(),
        job.spec.estimateS());
    attainment.recordDone(job);
  }

  /** Logs a line for each class and team. */
  void logAttainment(Collection<Job> openJobs, long now) {
    for (ObjectiveAttainment.Summary l : attainment.summarize(openJobs, now)) {
      LOG.info(
          "event=objective_attainment {}={} share={} done={} late={} open={} oldest_s={}",
          l.kind(),
          l.name(),
          Math.round(l.doneShare() * 1000) / 1000.0,
          l.done(),
          l.overdue(),
          l.open(),
          l.oldestOpenAgeMs() / 1000);
    }
  }
}
