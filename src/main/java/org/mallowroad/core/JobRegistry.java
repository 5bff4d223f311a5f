package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.BitSet;
import java.util.Collection;

/** The jobs of one term, their queues of pending tasks, and the jobs ready to be completed. */
final class JobRegistry {
  private final int zoneCount;
  private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<Job> jobsToComplete = new ObjectLinkedOpenHashSet<>();
  private long rebuiltQueueTasks;

  JobRegistry(int zoneCount) {
    this.zoneCount = zoneCount;
  }

  /** Open jobs and jobs with attempts not yet proven gone, in order of acceptance. */
  Collection<Job> all() {
    return jobs.values();
  }

  /** A job by id, or null. */
  Job get(String id) {
    return jobs.get(id);
  }

  /** Jobs whose tasks are all done and whose end is not committed yet. */
  Collection<Job> jobsToComplete() {
    return jobsToComplete;
  }

  /** Number of tasks visited so far to rebuild queues; measures the cost of a failover. */
  long rebuiltQueueTasks() {
    return rebuiltQueueTasks;
  }

  /** Marks the name indices that jobs use. */
  void markUsedNames(BitSet images, BitSet classes, BitSet types) {
    for (Job job : jobs.values()) {
      images.set(job.spec.image());
      classes.set(job.spec.taskClass());
      if (job.spec.types() != null) {
        types.or(job.spec.types());
      }
    }
  }

  /** Adds an open job with all tasks pending, or returns the existing job with the same id. */
  Job accept(JobSpec spec, long version, long ageMs, long now) {
    Job existing = jobs.get(spec.id());
    if (existing != null) {
      return existing;
    }
    Job job = new Job(spec, version, zoneCount, now - Math.max(0, ageMs), now);
    for (int task = 0; task < spec.tasks(); task++) {
      job.pendingTasks.enqueue(task);
    }
    job.held = spec.dependencies().isGated();
    jobs.put(spec.id(), job);
    return job;
  }

  /** Rebuilds the queue of a restored job from its done tasks and live attempts. */
  void rebuildQueue(Job job) {
    job.pendingTasks.clear();
    if (job.cancelled || job.ended) {
      return;
    }
    rebuiltQueueTasks += job.spec.tasks();
    for (int task = 0; task < job.spec.tasks(); task++) {
      if (!job.doneTasks.get(task) && job.liveAttempts[task] == null) {
        job.pendingTasks.enqueue(task);
      }
    }
  }

  /** Schedules the commit of the job's end if all its tasks are done. */
  void completeIfDone(Job job, long now) {
    if (job.areAllTasksDone()) {
      job.allDoneMs = now;
      jobsToComplete.add(job);
    }
  }

  /** Clears the job's queue and withdraws it from completion, so that no task of it starts. */
  void close(Job job) {
    job.pendingTasks.clear();
    jobsToComplete.remove(job);
  }

  /** Removes a job that has no attempts left. */
  void remove(Job job) {
    jobs.remove(job.spec.id());
    jobsToComplete.remove(job);
  }
}
