package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The held jobs of a term, and which of them are worth asking about: an end, a claim or a change of
 * a league's record touches those that wait for it and no others. Evidence only: what opens a hold
 * is a transaction that compares the records ({@code DependencyGateController}).
 */
public final class DependencyGates {
  /** How far a hold is. */
  public enum State {
    /** Waits for what it depends on. */
    CLOSED,
    /** Its release is recorded; starts have it as a condition. */
    OPEN,
    /** A first start was recorded under the release: it cannot be called back. */
    PRINTED
  }

  /** A held job. */
  public static final class Hold {
    /** Its id. */
    public final String job;

    /** What it waits for. */
    public final JobDependencies dependencies;

    /** How far it is. */
    public State state = State.CLOSED;

    /** Mark of its release record; 0 without one. */
    public long version;

    /** Marks of the leagues' records when it was confirmed: conditions of starts until printed. */
    public final Map<String, Long> leagues = new Object2ObjectLinkedOpenHashMap<>();

    /** How often games that holds depend on had changed in each league when it was confirmed. */
    public final Map<String, Long> changes = new Object2ObjectLinkedOpenHashMap<>();

    /** What it still waits for, as of the newest look, for people; bounded. */
    public String waitsFor = "not looked at yet";

    /** True once a claim came after the print began. */
    public boolean superseded;

    /** Dependencies that were seen done in this term: their ends never change. */
    final Set<String> done = new ObjectLinkedOpenHashSet<>();

    private Hold(String job, JobDependencies dependencies) {
      this.job = job;
      this.dependencies = dependencies;
    }

    /** Dependencies not seen done yet. */
    public List<String> left() {
      List<String> out = new ArrayList<>();
      for (String j : dependencies.requiredJobs()) {
        if (!done.contains(j)) {
          out.add(j);
        }
      }
      return out;
    }

    /** A dependency was seen done. */
    public void done(String dependency) {
      done.add(dependency);
    }
  }

  private final Object2ObjectLinkedOpenHashMap<String, Hold> holds =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Set<Hold>> byJob = new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Set<Hold>> byLeague = new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<Hold> touched = new ObjectLinkedOpenHashSet<>();
  private long looked;

  /** Holds looked at so far: what a commit causes. */
  public long looked() {
    return looked;
  }

  /** A held job became known. */
  public Hold add(String job, JobDependencies dependencies) {
    Hold h = holds.get(job);
    if (h == null) {
      h = new Hold(job, dependencies);
      holds.put(job, h);
      for (String j : dependencies.requiredJobs()) {
        byJob.computeIfAbsent(j, k -> new ObjectLinkedOpenHashSet<>()).add(h);
      }
      for (JobDependencies.RequiredGames g : dependencies.requiredGames()) {
        byLeague.computeIfAbsent(g.league(), k -> new ObjectLinkedOpenHashSet<>()).add(h);
      }
      touched.add(h);
    }
    return h;
  }

  /** A held job, or null. */
  public Hold get(String job) {
    return holds.get(job);
  }

  /** All of them. */
  public Collection<Hold> all() {
    return holds.values();
  }

  /** The job is over. */
  public void remove(String job) {
    Hold h = holds.remove(job);
    if (h == null) {
      return;
    }
    touched.remove(h);
    h.dependencies.requiredJobs().forEach(j -> drop(byJob, j, h));
    h.dependencies.requiredGames().forEach(g -> drop(byLeague, g.league(), h));
  }

  private static void drop(Map<String, Set<Hold>> of, String key, Hold h) {
    Set<Hold> set = of.get(key);
    if (set != null) {
      set.remove(h);
      if (set.isEmpty()) {
        of.remove(key);
      }
    }
  }

  /** A job ended; {@code leagues} are those that it folded in. */
  public void ended(String job, boolean done, Set<String> leagues) {
    for (Hold h : List.copyOf(byJob.getOrDefault(job, Set.of()))) {
      looked++;
      if (done) {
        h.done(job);
      }
      touch(h);
    }
    leagues.forEach(this::league);
  }

  /** Something changed among a league's games. */
  public void league(String league) {
    for (Hold h : byLeague.getOrDefault(league, Set.of())) {
      looked++;
      touch(h);
    }
  }

  /** Leagues on which a hold depends. */
  public Set<String> leagues() {
    return byLeague.keySet();
  }

  /** To be looked at again. */
  public void touch(Hold h) {
    if (h.state != State.PRINTED) {
      touched.addAndMoveToLast(h);
    }
  }

  /** One that is worth looking at: all of its jobs are done, as far as is known; null for none. */
  public Hold next() {
    for (int n = touched.size(); n > 0; n--) {
      Hold h = touched.removeFirst();
      looked++;
      if (h.state == State.CLOSED && holds.get(h.job) == h) {
        return h;
      }
    }
    return null;
  }
}
