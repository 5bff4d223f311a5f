package org.mallowroad.core.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeSnapshot.ReasonLine;

/** Puts waiting tasks that are alike in team, class and reason into one line. */
public final class PendingCauseSummary {
  private record Key(String team, String taskClass, String reason) {}

  private JobLine longest;
  private int jobs;
  private int tasks;

  private PendingCauseSummary() {}

  /** The lines of these jobs, most tasks first. */
  public static List<ReasonLine> summarize(List<JobLine> jobs) {
    Map<Key, PendingCauseSummary> byKey = new LinkedHashMap<>();
    for (JobLine l : jobs) {
      if (!l.reason().isEmpty()) {
        byKey
            .computeIfAbsent(
                new Key(l.team(), l.taskClass(), l.reason()), k -> new PendingCauseSummary())
            .add(l);
      }
    }
    List<ReasonLine> out = new ArrayList<>();
    byKey.values().forEach(r -> out.add(r.line()));
    out.sort(
        Comparator.comparingInt((ReasonLine r) -> -r.tasks()).thenComparing(r -> r.exampleJob()));
    return out;
  }

  private void add(JobLine l) {
    jobs++;
    tasks += l.waiting() + l.starting() + l.silent();
    if (longest == null || l.sinceS() > longest.sinceS()) {
      longest = l;
    }
  }

  private ReasonLine line() {
    return new ReasonLine(
        longest.team(),
        longest.taskClass(),
        longest.reason(),
        jobs,
        tasks,
        longest.sinceS(),
        longest.id(),
        longest.detail());
  }
}
