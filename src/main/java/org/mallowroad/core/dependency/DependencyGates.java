package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The gates of all gated jobs known in a leader term, and the queue of the gates to be evaluated.
 * The end of a job or a change of a league only queues the gates that depend on it, so that the
 * cost of a commit does not grow with the number of gates.
 *
 * <p>The queue is only a hint: a gate is opened by a transaction that compares the stored records
 * ({@code DependencyGateController}). Confined to the event loop.
 */
public final class DependencyGates {
  private final Object2ObjectLinkedOpenHashMap<String, DependencyGate> gates =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Set<DependencyGate>> byRequiredJob =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Set<DependencyGate>> byRequiredLeague =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectLinkedOpenHashSet<DependencyGate> evaluationQueue =
      new ObjectLinkedOpenHashSet<>();
  private long visitCount;

  /** Number of gates that all calls so far have visited, a measure of their cost for tests. */
  public long visitCount() {
    return visitCount;
  }

  /** Adds a gated job and returns its gate; returns the existing gate when the job is known. */
  public DependencyGate add(String jobId, JobDependencies dependencies) {
    DependencyGate gate = gates.get(jobId);
    if (gate != null) {
      return gate;
    }
    DependencyGate added = new DependencyGate(jobId, dependencies);
    gates.put(jobId, added);
    dependencies.requiredJobs().forEach(job -> addToIndex(byRequiredJob, job, added));
    dependencies
        .requiredGames()
        .forEach(games -> addToIndex(byRequiredLeague, games.league(), added));
    evaluationQueue.add(added);
    return added;
  }

  /** The gate of a job, or null when the job is not gated or not known. */
  public DependencyGate get(String jobId) {
    return gates.get(jobId);
  }

  /** All gates, in the order in which they were added. */
  public Collection<DependencyGate> allGates() {
    return gates.values();
  }

  /** Removes the gate of a job that has ended. */
  public void remove(String jobId) {
    DependencyGate gate = gates.remove(jobId);
    if (gate == null) {
      return;
    }
    evaluationQueue.remove(gate);
    gate.dependencies().requiredJobs().forEach(job -> removeFromIndex(byRequiredJob, job, gate));
    gate.dependencies()
        .requiredGames()
        .forEach(games -> removeFromIndex(byRequiredLeague, games.league(), gate));
  }

  private static void addToIndex(
      Map<String, Set<DependencyGate>> index, String key, DependencyGate gate) {
    index.computeIfAbsent(key, k -> new ObjectLinkedOpenHashSet<>()).add(gate);
  }

  private static void removeFromIndex(
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
   * Queues the gates that depend on a job that has ended.
   *
   * @param jobId id of the job, which need not be gated itself
   * @param succeeded true when the job is done, false when it was cancelled
   * @param foldedLeagues the leagues of which the job folded games
   */
  public void recordJobEnded(String jobId, boolean succeeded, Set<String> foldedLeagues) {
    for (DependencyGate gate : List.copyOf(byRequiredJob.getOrDefault(jobId, Set.of()))) {
      visitCount++;
      if (succeeded) {
        gate.recordCompletedJob(jobId);
      }
      enqueue(gate);
    }
    foldedLeagues.forEach(this::recordLeagueChanged);
  }

  /** Queues the gates that require games of a league that has changed. */
  public void recordLeagueChanged(String league) {
    for (DependencyGate gate : byRequiredLeague.getOrDefault(league, Set.of())) {
      visitCount++;
      enqueue(gate);
    }
  }

  /** The leagues of which any gated job requires games. */
  public Set<String> requiredLeagues() {
    return byRequiredLeague.keySet();
  }

  /** Queues a gate for evaluation after all others, unless its job has started. */
  public void enqueue(DependencyGate gate) {
    if (gate.state() != DependencyGate.State.STARTED) {
      evaluationQueue.addAndMoveToLast(gate);
    }
  }

  /** Removes the next closed gate from the queue and returns it, or null when there is none. */
  public DependencyGate pollGateToEvaluate() {
    for (int remaining = evaluationQueue.size(); remaining > 0; remaining--) {
      DependencyGate gate = evaluationQueue.removeFirst();
      visitCount++;
      if (gate.state() == DependencyGate.State.CLOSED && gates.get(gate.jobId()) == gate) {
        return gate;
      }
    }
    return null;
  }
}
