package org.mallowroad.core.objective;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.Team;

/**
 * Measures how well the jobs of a leader term attain their service-level objectives: by class and
 * by team, the share of the due jobs that are done; and by class, the share of the largest jobs
 * that started within {@link #START_TARGET_MS}. A job has started once as many of its tasks as may
 * run concurrently are running or done.
 *
 * <p>A job is due after one and a half times its deadline or, without a deadline, after {@link
 * #DEFAULT_DUE_MS}. Jobs that ended under an earlier leader are not counted; jobs that were still
 * open at the start of this term are.
 *
 * <p>Not thread-safe: confined to the event loop of the leader.
 */
public final class ObjectiveAttainment {
  /** Age in milliseconds at which a job without a deadline is due. */
  static final long DEFAULT_DUE_MS = 300_000;

  /** Age in milliseconds at which a job is due, for each second of its deadline. */
  private static final double DUE_MS_PER_DEADLINE_S = 1_500;

  /**
   * Most classes, and most teams, that are counted separately. Users choose class names freely, so
   * the number of counters must be bounded; all further names are counted together as {@link
   * #OTHERS}.
   */
  private static final int MAX_NAMES = 64;

  private static final String OTHERS = "others";

  /**
   * The attainment of one class or team, or of the largest jobs of one class.
   *
   * @param kind {@code class}, {@code team}, or {@code largest} for the largest jobs of a class
   * @param name the name of the class or team
   * @param done jobs that are done; for {@code largest}, jobs that started in time
   * @param overdue open jobs that are overdue; for {@code largest}, jobs that did not start in time
   * @param open jobs that are open; 0 for {@code largest}
   * @param oldestOpenAgeMs age of the oldest open job in milliseconds; 0 for {@code largest}
   */
  public record Summary(
      String kind, String name, int done, int overdue, int open, long oldestOpenAgeMs) {
    /** The share of the due jobs that are done; 1 when none is due. */
    public double doneShare() {
      return done + overdue == 0 ? 1 : (double) done / (done + overdue);
    }
  }

  /** Age in milliseconds by which every job, however large, should have started. */
  static final long START_TARGET_MS = (long) (ServiceLevelObjectives.START_TARGET_S * 1000);

  /** Number of the newest done jobs of each class among which the largest ones are selected. */
  private static final int MAX_REMEMBERED_STARTS = 128;

  /** One in this many jobs of a class, but at least one, is among its largest. */
  private static final int JOBS_PER_LARGEST = 10;

  /** The number of a job's tasks, and whether the job started in time. */
  private record JobStart(int tasks, boolean startedInTime) {}

  /** The counts of one class or team. */
  private static final class Counts {
    private final ArrayDeque<JobStart> starts = new ArrayDeque<>();

    private int done;

    // The open jobs are counted again in each call of summarize().
    private int overdue;
    private int open;
    private long oldestOpenAgeMs;
  }

  private final NameIndex classes;
  private final List<Team> teams;
  private final Object2ObjectLinkedOpenHashMap<String, Counts> byClass =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Counts> byTeam =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Creates the counts of a new leader term, all zero. */
  public ObjectiveAttainment(NameIndex classes, List<Team> teams) {
    this.classes = classes;
    this.teams = teams;
  }

  /** The counts of a name, or of {@link #OTHERS} when there are too many names. */
  private static Counts countsOf(
      Object2ObjectLinkedOpenHashMap<String, Counts> countsByName, String name) {
    Counts counts = countsByName.get(name);
    if (counts == null) {
      String key = countsByName.size() < MAX_NAMES ? name : OTHERS;
      counts = countsByName.computeIfAbsent(key, k -> new Counts());
    }
    return counts;
  }

  /** Counts a job that is done. Services are never done, and never count as due. */
  public void recordDone(Job job) {
    Counts counts = countsOf(byClass, classes.name(job.spec.taskClass()));
    counts.done++;
    long begunMs = job.fullyPlacedMs() < 0 ? job.lastStartMs() : job.fullyPlacedMs();
    counts.starts.addLast(
        new JobStart(job.spec.tasks(), begunMs - job.eligibleSinceMs() <= START_TARGET_MS));
    if (counts.starts.size() > MAX_REMEMBERED_STARTS) {
      counts.starts.removeFirst();
    }
    countsOf(byTeam, teams.get(job.spec.team()).name).done++;
  }

  /** The age in milliseconds at which a job is due. */
  private static long dueAgeMs(JobSpec spec) {
    return spec.deadlineS() > 0
        ? (long) (spec.deadlineS() * DUE_MS_PER_DEADLINE_S)
        : DEFAULT_DUE_MS;
  }

  /**
   * Returns a summary for each class, for each team, and for the largest jobs of each class. The
   * cost is linear in the number of open jobs.
   *
   * @param open the open jobs of all classes
   * @param now the current time in milliseconds
   */
  public List<Summary> summarize(Collection<Job> open, long now) {
    byClass.values().forEach(ObjectiveAttainment::resetOpenCounts);
    byTeam.values().forEach(ObjectiveAttainment::resetOpenCounts);
    Object2ObjectLinkedOpenHashMap<String, List<JobStart>> startsByClass =
        new Object2ObjectLinkedOpenHashMap<>();
    byClass.forEach((name, counts) -> startsByClass.put(name, new ArrayList<>(counts.starts)));
    for (Job job : open) {
      if (job.isCancelled() || job.isHeld()) {
        continue; // A held job waits for its dependencies, which is not a delay.
      }
      addStart(job, startsByClass, now);
      if (job.spec.service()) {
        continue;
      }
      long ageMs = now - job.eligibleSinceMs();
      countOpen(countsOf(byClass, classes.name(job.spec.taskClass())), ageMs, dueAgeMs(job.spec));
      countOpen(countsOf(byTeam, teams.get(job.spec.team()).name), ageMs, dueAgeMs(job.spec));
    }
    List<Summary> summaries = new ArrayList<>();
    byClass.forEach((name, counts) -> summaries.add(summary("class", name, counts)));
    byTeam.forEach((name, counts) -> summaries.add(summary("team", name, counts)));
    startsByClass.forEach((name, starts) -> addLargestSummary(name, starts, summaries));
    return summaries;
  }

  /** Adds an open job to the starts of its class, unless it may still start in time. */
  private void addStart(
      Job job, Object2ObjectLinkedOpenHashMap<String, List<JobStart>> startsByClass, long now) {
    boolean startedInTime =
        job.fullyPlacedMs() >= 0 && job.fullyPlacedMs() - job.eligibleSinceMs() <= START_TARGET_MS;
    if (!startedInTime && now - job.eligibleSinceMs() <= START_TARGET_MS) {
      return;
    }
    String name = classes.name(job.spec.taskClass());
    String key = byClass.containsKey(name) || byClass.size() < MAX_NAMES ? name : OTHERS;
    startsByClass
        .computeIfAbsent(key, k -> new ArrayList<>())
        .add(new JobStart(job.spec.tasks(), startedInTime));
  }

  /** Adds the summary of the largest of the given jobs of a class, if there are any jobs. */
  private static void addLargestSummary(
      String name, List<JobStart> starts, List<Summary> summaries) {
    if (starts.isEmpty()) {
      return;
    }
    starts.sort(Comparator.comparingInt(JobStart::tasks).reversed());
    int largestCount = Math.max(1, starts.size() / JOBS_PER_LARGEST);
    int startedInTime = 0;
    for (JobStart start : starts.subList(0, largestCount)) {
      startedInTime += start.startedInTime ? 1 : 0;
    }
    summaries.add(new Summary("largest", name, startedInTime, largestCount - startedInTime, 0, 0));
  }

  private static void resetOpenCounts(Counts counts) {
    counts.overdue = 0;
    counts.open = 0;
    counts.oldestOpenAgeMs = 0;
  }

  private static void countOpen(Counts counts, long ageMs, long dueAgeMs) {
    counts.open++;
    counts.overdue += ageMs > dueAgeMs ? 1 : 0;
    counts.oldestOpenAgeMs = Math.max(counts.oldestOpenAgeMs, ageMs);
  }

  private static Summary summary(String kind, String name, Counts counts) {
    return new Summary(
        kind, name, counts.done, counts.overdue, counts.open, counts.oldestOpenAgeMs);
  }
}
