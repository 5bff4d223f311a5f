package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The gates of all gated jobs of a term, and the queue of those to be evaluated. The end of a job
 * or a change of a league queues the gates that depend on it and no others, so that the cost of a
 * commit does not grow with the number of gates.
 *
 * <p>The queue is evidence only: a gate is opened by a transaction that compares the records
 * ({@code DependencyGateController}). Confined to the event loop.
 */
public final class DependencyGates {
  private final Object2ObjectLinkedOpenHashMap<String, DependencyGate> gates =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Set<DependencyGate>> byRequiredJob =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Set<DependencyGate>> byRequiredLeague =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<DependencyGate> toEvaluate =
      new ObjectLinkedOpenHashSet<>();
  private long visitCount;

  /** How many gates were visited so far: the cost of the events, in tests and figures. */
  public long visitCount() {
    return visitCount;
  }

  /** A gated job became known; the same gate again when it was known before. */
  public DependencyGate add(String jobId, JobDependencies dependencies) {
    DependencyGate gate = gates.get(jobId);
    if (gate != null) {
      return gate;
    }
    DependencyGate added = new DependencyGate(jobId, dependencies);
    gates.put(jobId, added);
    dependencies.requiredJobs().forEach(job -> index(byRequiredJob, job, added));
    dependencies.requiredGames().forEach(g -> index(byRequiredLeague, g.league(), added));
    toEvaluate.add(added);
    return added;
  }

  /** The gate of a job; null when the job is not gated or not known. */
  public DependencyGate get(String jobId) {
    return gates.get(jobId);
  }

  /** All gates, in the order in which they were added. */
  public Collection<DependencyGate> allGates() {
    return gates.values();
  }

  /** The gated job has ended. */
  public void remove(String jobId) {
    DependencyGate gate = gates.remove(jobId);
    if (gate == null) {
      return;
    }
    toEvaluate.remove(gate);
    gate.dependencies().requiredJobs().forEach(job -> unindex(byRequiredJob, job, gate));
    gate.dependencies().requiredGames().forEach(g -> unindex(byRequiredLeague, g.league(), gate));
  }

  private static void index(
      Map<String, Set<DependencyGate>> index, String key, DependencyGate gate) {
    index.computeIfAbsent(key, k -> new ObjectLinkedOpenHashSet<>()).add(gate);
  }

  private static void unindex(
      Map<String, Set<DependencyGate>> index, String key, DependencyGate gate) {
    Set<DependencyGate> gatesOfKey = index.get(key);
    if (gatesOfKey == null) {
      return;
    }
    gatesOfKey.remove(gate);
    if (gatesOfKey.isEmpty()) {
      index.remove(key);
    }
  }

  /**
   * Any job ended.
   *
   * @param done true when it is done, false when it was cancelled
   * @param foldedLeagues the leagues of which it folded games
   */
  public void recordJobEnded(String jobId, boolean done, Set<String> foldedLeagues) {
    for (DependencyGate gate : List.copyOf(byRequiredJob.getOrDefault(jobId, Set.of()))) {
      visitCount++;
      if (done) {
        gate.recordCompletedJob(jobId);
      }
      enqueue(gate);
    }
    foldedLeagues.forEach(this::recordLeagueChanged);
  }

  /** A league's games changed. */
  public void recordLeagueChanged(String league) {
    for (DependencyGate gate : byRequiredLeague.getOrDefault(league, Set.of())) {
      visitCount++;
      enqueue(gate);
    }
  }

  /** The leagues with required games. */
  public Set<String> requiredLeagues() {
    return byRequiredLeague.keySet();
  }

  /** Queues a gate to be evaluated, behind all others, unless its job has started. */
  public void enqueue(DependencyGate gate) {
    if (gate.state() != DependencyGate.State.STARTED) {
      toEvaluate.addAndMoveToLast(gate);
    }
  }

  /** Takes the next closed gate from the queue; null when there is none. */
  public DependencyGate pollGateToEvaluate() {
    for (int n = toEvaluate.size(); n > 0; n--) {
      DependencyGate gate = toEvaluate.removeFirst();
      visitCount++;
      if (gate.state() == DependencyGate.State.CLOSED && gates.get(gate.jobId()) == gate) {
        return gate;
      }
    }
    return null;
  }
}
