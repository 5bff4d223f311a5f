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
 * Who is served in a term: of the jobs that should be over by now, how many are, by class and by
 * team, and of the largest jobs of each class, that have to begin within {@link #BEGIN_MS}. A job
 * should be over at one and a half times its deadline or, without one, after {@link #PATIENCE_MS}.
 * Jobs that an earlier leader ended are not known; those that it left open are.
 */
public final class ObjectiveAttainment {
  /** How long a job without a deadline may take before it counts as due. */
  static final long PATIENCE_MS = 300_000;

  /** Classes that are told apart; users make names up, so the rest is counted as one. */
  private static final int MOST = 64;

  private static final String OTHERS = "others";

  /** What is known of a class or team. */
  public record Line(String kind, String name, int done, int late, int open, long oldestMs) {
    /** The part of what was due that is done; 1 where nothing was. */
    public double share() {
      return done + late == 0 ? 1 : (double) done / (done + late);
    }
  }

  /** The largest jobs have to begin by then, as the smallest have. */
  static final long BEGIN_MS = (long) (ServiceLevelObjectives.START_TARGET_S * 1000);

  /** Of a class the newest so many jobs are looked at for the largest of them. */
  private static final int SIZES = 128;

  /** The largest tenth of a class's jobs, at least one, are its largest jobs. */
  private static final int LARGEST_OF = 10;

  /** A job's size, and whether it had begun in time. */
  private record Begun(int tasks, boolean inTime) {}

  private static final class Sum {
    private final ArrayDeque<Begun> begun = new ArrayDeque<>();

    private int done;
    private int late;
    private int open;
    private long oldestMs;
  }

  private final NameIndex classes;
  private final List<Team> teams;
  private final Object2ObjectLinkedOpenHashMap<String, Sum> byClass =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Sum> byTeam =
      new Object2ObjectLinkedOpenHashMap<>();

  /** For the names of a site. */
  public ObjectiveAttainment(NameIndex classes, List<Team> teams) {
    this.classes = classes;
    this.teams = teams;
  }

  private static Sum sum(Object2ObjectLinkedOpenHashMap<String, Sum> of, String name) {
    Sum s = of.get(name);
    if (s == null) {
      String key = of.size() < MOST ? name : OTHERS;
      s = of.computeIfAbsent(key, k -> new Sum());
    }
    return s;
  }

  /** A job is done. Services never are: they are served while they run, and not counted. */
  public void done(Job job) {
    Sum s = sum(byClass, classes.name(job.spec.taskClass()));
    s.done++;
    long begunMs = job.begunMs() < 0 ? job.lastStartMs() : job.begunMs();
    s.begun.addLast(new Begun(job.spec.tasks(), begunMs - job.eligibleSinceMs() <= BEGIN_MS));
    if (s.begun.size() > SIZES) {
      s.begun.removeFirst();
    }
    sum(byTeam, teams.get(job.spec.team()).name).done++;
  }

  private static long dueMs(JobSpec s) {
    return s.dueS() > 0 ? (long) (s.dueS() * 1_500) : PATIENCE_MS;
  }

  /** A line for each class and team; costs the open jobs. */
  public List<Line> lines(Collection<Job> open, long now) {
    for (Sum s : byClass.values()) {
      fresh(s);
    }
    for (Sum s : byTeam.values()) {
      fresh(s);
    }
    Object2ObjectLinkedOpenHashMap<String, List<Begun>> due =
        new Object2ObjectLinkedOpenHashMap<>();
    byClass.forEach((n, s) -> due.put(n, new ArrayList<>(s.begun)));
    for (Job j : open) {
      if (j.isCancelled() || j.isHeld()) {
        continue; // A held job waits for others by its user's word.
      }
      boolean inTime = j.begunMs() >= 0 && j.begunMs() - j.eligibleSinceMs() <= BEGIN_MS;
      if (inTime || now - j.eligibleSinceMs() > BEGIN_MS) {
        String name = classes.name(j.spec.taskClass());
        due.computeIfAbsent(
                byClass.containsKey(name) || byClass.size() < MOST ? name : OTHERS,
                k -> new ArrayList<>())
            .add(new Begun(j.spec.tasks(), inTime));
      }
      if (j.spec.service()) {
        continue;
      }
      long age = now - j.eligibleSinceMs();
      count(sum(byClass, classes.name(j.spec.taskClass())), age, dueMs(j.spec));
      count(sum(byTeam, teams.get(j.spec.team()).name), age, dueMs(j.spec));
    }
    List<Line> out = new ArrayList<>();
    byClass.forEach((n, s) -> out.add(line("class", n, s)));
    byTeam.forEach((n, s) -> out.add(line("team", n, s)));
    due.forEach((n, all) -> largest(n, all, out));
    return out;
  }

  private static void largest(String name, List<Begun> all, List<Line> out) {
    if (all.isEmpty()) {
      return;
    }
    all.sort(Comparator.comparingInt(Begun::tasks).reversed());
    int n = Math.max(1, all.size() / LARGEST_OF);
    int inTime = 0;
    for (Begun b : all.subList(0, n)) {
      inTime += b.inTime ? 1 : 0;
    }
    out.add(new Line("largest", name, inTime, n - inTime, 0, 0));
  }

  private static void fresh(Sum s) {
    s.late = 0;
    s.open = 0;
    s.oldestMs = 0;
  }

  private static void count(Sum s, long age, long due) {
    s.open++;
    s.late += age > due ? 1 : 0;
    s.oldestMs = Math.max(s.oldestMs, age);
  }

  private static Line line(String kind, String name, Sum s) {
    return new Line(kind, name, s.done, s.late, s.open, s.oldestMs);
  }
}
