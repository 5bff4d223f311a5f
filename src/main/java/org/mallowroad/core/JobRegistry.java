package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.BitSet;
import java.util.Collection;

/** The jobs of one term, with the queues of their pending tasks, and which of them are complete. */
final class JobRegistry {
  private final int zoneCount;
  private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<Job> jobsToComplete = new ObjectLinkedOpenHashSet<>();
  private long rebuiltQueueTasks;

  JobRegistry(int zoneCount) {
    this.zoneCount = zoneCount;
  }

  /** Open jobs and those whose attempts are not all proven gone, in the order of acceptance. */
  Collection<Job> all() {
    return jobs.values();
  }

  /** A job by id, or null. */
  Job get(String id) {
    return jobs.get(id);
  }

  /** Jobs whose tasks are all done and whose end is to be committed. */
  Collection<Job> jobsToComplete() {
    return jobsToComplete;
  }

  /** Tasks looked at so far to rebuild queues: what a failover costs. */
  long rebuiltQueueTasks() {
    return rebuiltQueueTasks;
  }

  /** Marks the indices of the names that jobs have. */
  void markUsedNames(BitSet images, BitSet classes, BitSet types) {
    for (Job job : jobs.values()) {
      images.set(job.spec.image());
      classes.set(job.spec.taskClass());
      if (job.spec.types() != null) {
        types.or(job.spec.types());
      }
    }
  }

  /** Adds an open job with all of its tasks pending; the known one when it is known already. */
  Job accept(JobSpec spec, long version, long ageMs, long now) {
    Job known = jobs.get(spec.id());
    if (known != null) {
      return known;
    }
    Job job = new Job(spec, version, zoneCount, now - Math.max(0, ageMs), now);
    for (int task = 0; task < spec.tasks(); task++) {
      job.pendingTasks.enqueue(task);
    }
    job.held = spec.dependencies().isGated();
    jobs.put(spec.id(), job);
    return job;
  }

  /** Makes the queue of a restored job from what its records said. */
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

  /** When all tasks of the job are done its end is to be committed. */
  void completeIfDone(Job job, long now) {
    if (job.areAllTasksDone()) {
      job.allDoneMs = now;
      jobsToComplete.add(job);
    }
  }

  /** Nothing of the job starts any more, and it is not completed. */
  void close(Job job) {
    job.pendingTasks.clear();
    jobsToComplete.remove(job);
  }

  /** Drops a job of which nothing is left. */
  void remove(Job job) {
    jobs.remove(job.spec.id());
    jobsToComplete.remove(job);
  }
}
