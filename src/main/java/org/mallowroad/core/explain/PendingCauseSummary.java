package org.mallowroad.core.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeSnapshot.ReasonLine;

/** Groups tasks that do not run by team, task class and cause. */
public final class PendingCauseSummary {
  private record GroupKey(String team, String taskClass, String reason) {}

  private JobLine longestWaiting;
  private int jobCount;
  private int taskCount;

  private PendingCauseSummary() {}

  /** Returns one line for each group of the jobs' tasks, ordered by decreasing number of tasks. */
  public static List<ReasonLine> summarize(List<JobLine> jobs) {
    Map<GroupKey, PendingCauseSummary> byKey = new LinkedHashMap<>();
    for (JobLine job : jobs) {
      if (!job.reason().isEmpty()) {
        byKey
            .computeIfAbsent(
                new GroupKey(job.team(), job.taskClass(), job.reason()),
                key -> new PendingCauseSummary())
            .add(job);
      }
    }
    List<ReasonLine> lines = new ArrayList<>();
    byKey.values().forEach(group -> lines.add(group.toReasonLine()));
    lines.sort(
        Comparator.comparingInt((ReasonLine line) -> -line.tasks())
            .thenComparing(line -> line.exampleJob()));
    return lines;
  }

  private void add(JobLine job) {
    jobCount++;
    taskCount += job.waiting() + job.starting() + job.silent();
    if (longestWaiting == null || job.sinceS() > longestWaiting.sinceS()) {
      longestWaiting = job;
    }
  }

  private ReasonLine toReasonLine() {
    return new ReasonLine(
        longestWaiting.team(),
        longestWaiting.taskClass(),
        longestWaiting.reason(),
        jobCount,
        taskCount,
        longestWaiting.sinceS(),
        longestWaiting.id(),
        longestWaiting.detail());
  }
}
