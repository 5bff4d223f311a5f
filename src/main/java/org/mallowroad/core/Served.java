package org.mallowroad.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Who is served in a term: of the jobs that should be over by now, how many are, by class and by
 * team. A job should be over at one and a half times its deadline or, without one, after {@link
 * #PATIENCE_MS}. Jobs that an earlier leader ended are not known; those that it left open are.
 */
public final class Served {
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

  private static final class Sum {
    private int done;
    private int late;
    private int open;
    private long oldestMs;
  }

  private final Names classes;
  private final List<Team> teams;
  private final Object2ObjectLinkedOpenHashMap<String, Sum> byClass =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Sum> byTeam =
      new Object2ObjectLinkedOpenHashMap<>();

  /** For the names of a site. */
  public Served(Names classes, List<Team> teams) {
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
    sum(byClass, classes.name(job.spec.taskClass())).done++;
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
    for (Job j : open) {
      if (j.withdrawn() || j.spec.service()) {
        continue;
      }
      long age = now - j.submittedMs();
      count(sum(byClass, classes.name(j.spec.taskClass())), age, dueMs(j.spec));
      count(sum(byTeam, teams.get(j.spec.team()).name), age, dueMs(j.spec));
    }
    List<Line> out = new ArrayList<>();
    byClass.forEach((n, s) -> out.add(line("class", n, s)));
    byTeam.forEach((n, s) -> out.add(line("team", n, s)));
    return out;
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
