package org.mallowroad.controller;

import java.util.Collection;
import org.mallowroad.core.Job;
import org.mallowroad.core.objective.ObjectiveAttainment;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each completed job and, when called periodically, the attainment of the service-level
 * objectives of task classes and teams in this term.
 */
final class ObjectiveLogger {
  private static final Logger LOG = LoggerFactory.getLogger(ObjectiveLogger.class);

  private final ObjectiveAttainment attainment;

  ObjectiveLogger(ClusterConfig clusterConfig) {
    this.attainment =
        new ObjectiveAttainment(clusterConfig.taskClassNames, clusterConfig.createTeams());
  }

  /** Logs a job whose completion is committed and includes it in the attainment. */
  void recordJobDone(Job job, long now) {
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

  /** Logs one line for each task class and team. */
  void logAttainment(Collection<Job> openJobs, long now) {
    for (ObjectiveAttainment.Summary line : attainment.summarize(openJobs, now)) {
      LOG.info(
          "event=objective_attainment {}={} share={} done={} late={} open={} oldest_s={}",
          line.kind(),
          line.name(),
          Math.round(line.doneShare() * 1000) / 1000.0,
          line.done(),
          line.overdue(),
          line.open(),
          line.oldestOpenAgeMs() / 1000);
    }
  }
}
