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
 * Measures how far the jobs of a leader term attain their service-level objectives: of the jobs
 * that are due, the share that is done, by class and by team; and of the largest jobs of each
 * class, the share that started within {@link #START_TARGET_MS}. A job has started once as many of
 * its tasks are under way or done as may run at once.
 *
 * <p>A job is due at one and a half times its deadline or, without one, after {@link
 * #DEFAULT_DUE_MS}. Jobs that ended under an earlier leader are not counted; jobs that it left open
 * are.
 *
 * <p>Confined to the thread of its leader.
 */
public final class ObjectiveAttainment {
  /** Age in ms at which a job without a deadline is due. */
  static final long DEFAULT_DUE_MS = 300_000;

  /** A job with a deadline is due after this multiple of it, in ms for each second. */
  private static final double DUE_MS_PER_DEADLINE_S = 1_500;

  /**
   * Most classes, and most teams, that are counted apart. Users choose class names freely, so the
   * rest is counted together as {@link #OTHERS}.
   */
  private static final int MAX_NAMES = 64;

  private static final String OTHERS = "others";

  /**
   * The attainment of one class or team.
   *
   * @param kind {@code class}, {@code team}, or {@code largest} for the largest jobs of a class
   * @param name the class or team
   * @param done jobs that are done; of the largest ones, those that started in time
   * @param overdue open jobs that are overdue; of the largest ones, those that did not start in
   *     time
   * @param open jobs that are open; 0 for the largest ones
   * @param oldestOpenAgeMs age of the oldest open job in ms; 0 for the largest ones
   */
  public record Summary(
      String kind, String name, int done, int overdue, int open, long oldestOpenAgeMs) {
    /** The share of the due jobs that is done; 1 where none is due. */
    public double doneShare() {
      return done + overdue == 0 ? 1 : (double) done / (done + overdue);
    }
  }

  /** Age in ms by which every job, the largest ones too, is expected to have started. */
  static final long START_TARGET_MS = (long) (ServiceLevelObjectives.START_TARGET_S * 1000);

  /** Done jobs remembered of each class, the newest ones, to find the largest among them. */
  private static final int MAX_REMEMBERED_STARTS = 128;

  /** One in this many jobs of a class, and at least one, counts among its largest. */
  private static final int JOBS_PER_LARGEST = 10;

  /** A job's size, and whether it started in time. */
  private record JobStart(int tasks, boolean inTime) {}

  /** The counts of one class or team. */
  private static final class Counts {
    private final ArrayDeque<JobStart> starts = new ArrayDeque<>();

    private int done;

    // Recounted in each call of lines().
    private int late;
    private int open;
    private long oldestMs;
  }

  private final NameIndex classes;
  private final List<Team> teams;
  private final Object2ObjectLinkedOpenHashMap<String, Counts> byClass =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Counts> byTeam =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Creates the empty counts of a leader term for the given classes and teams. */
  public ObjectiveAttainment(NameIndex classes, List<Team> teams) {
    this.classes = classes;
    this.teams = teams;
  }

  /** The counts of a name, or of {@link #OTHERS} where there are too many names. */
  private static Counts countsOf(
      Object2ObjectLinkedOpenHashMap<String, Counts> countsByName, String name) {
    Counts counts = countsByName.get(name);
    if (counts == null) {
      String key = countsByName.size() < MAX_NAMES ? name : OTHERS;
      counts = countsByName.computeIfAbsent(key, k -> new Counts());
    }
    return counts;
  }

  /** Counts a job that is done. Services never are, and are not counted as due either. */
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

  /** The age in ms at which a job is due. */
  private static long dueMs(JobSpec spec) {
    return spec.deadlineS() > 0
        ? (long) (spec.deadlineS() * DUE_MS_PER_DEADLINE_S)
        : DEFAULT_DUE_MS;
  }

  /**
   * Returns a line for each class, each team, and the largest jobs of each class. Takes time in
   * proportion to the open jobs.
   *
   * @param open the open jobs of all classes
   * @param now the time in ms
   */
  public List<Summary> summarize(Collection<Job> open, long now) {
    byClass.values().forEach(ObjectiveAttainment::resetOpen);
    byTeam.values().forEach(ObjectiveAttainment::resetOpen);
    Object2ObjectLinkedOpenHashMap<String, List<JobStart>> startsDue =
        new Object2ObjectLinkedOpenHashMap<>();
    byClass.forEach((name, counts) -> startsDue.put(name, new ArrayList<>(counts.starts)));
    for (Job job : open) {
      if (job.isCancelled() || job.isHeld()) {
        continue; // A held job waits for its dependencies, as its user asked.
      }
      addStart(job, startsDue, now);
      if (job.spec.service()) {
        continue;
      }
      long ageMs = now - job.eligibleSinceMs();
      addOpen(countsOf(byClass, classes.name(job.spec.taskClass())), ageMs, dueMs(job.spec));
      addOpen(countsOf(byTeam, teams.get(job.spec.team()).name), ageMs, dueMs(job.spec));
    }
    List<Summary> lines = new ArrayList<>();
    byClass.forEach((name, counts) -> lines.add(line("class", name, counts)));
    byTeam.forEach((name, counts) -> lines.add(line("team", name, counts)));
    startsDue.forEach((name, starts) -> addLargest(name, starts, lines));
    return lines;
  }

  /** Adds an open job to the starts of its class if it has started in time or can no longer. */
  private void addStart(
      Job job, Object2ObjectLinkedOpenHashMap<String, List<JobStart>> startsDue, long now) {
    boolean inTime =
        job.fullyPlacedMs() >= 0 && job.fullyPlacedMs() - job.eligibleSinceMs() <= START_TARGET_MS;
    if (!inTime && now - job.eligibleSinceMs() <= START_TARGET_MS) {
      return;
    }
    String name = classes.name(job.spec.taskClass());
    String key = byClass.containsKey(name) || byClass.size() < MAX_NAMES ? name : OTHERS;
    startsDue
        .computeIfAbsent(key, k -> new ArrayList<>())
        .add(new JobStart(job.spec.tasks(), inTime));
  }

  /** Adds the line of the largest of the given jobs of a class, if there are any. */
  private static void addLargest(String name, List<JobStart> starts, List<Summary> lines) {
    if (starts.isEmpty()) {
      return;
    }
    starts.sort(Comparator.comparingInt(JobStart::tasks).reversed());
    int largestCount = Math.max(1, starts.size() / JOBS_PER_LARGEST);
    int inTime = 0;
    for (JobStart start : starts.subList(0, largestCount)) {
      inTime += start.inTime ? 1 : 0;
    }
    lines.add(new Summary("largest", name, inTime, largestCount - inTime, 0, 0));
  }

  private static void resetOpen(Counts counts) {
    counts.late = 0;
    counts.open = 0;
    counts.oldestMs = 0;
  }

  private static void addOpen(Counts counts, long ageMs, long dueMs) {
    counts.open++;
    counts.late += ageMs > dueMs ? 1 : 0;
    counts.oldestMs = Math.max(counts.oldestMs, ageMs);
  }

  private static Summary line(String kind, String name, Counts counts) {
    return new Summary(kind, name, counts.done, counts.late, counts.open, counts.oldestMs);
  }
}
