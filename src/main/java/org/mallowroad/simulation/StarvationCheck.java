package org.mallowroad.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Whether a job is left waiting although it could run: troubles over, there is room for all that it
 * needs next, and its team is under its limit. What fits is the whole need: a machine in its zone,
 * in the zone of its other tasks where they belong together, and room for all of a gang in one.
 */
final class StarvationCheck {
  /** The users' words: no job waits longer than this. */
  static final long MOST_MS = 90_000;

  private final InvariantChecker checker;
  private final Supplier<List<WorkerModel>> workers;
  private final Map<String, Long> sinceMs = new HashMap<>();

  private final Predicate<String> held;

  /**
   * Over the machines that there are.
   *
   * @param held true for a job that waits for other jobs or games, and not for room
   */
  StarvationCheck(
      InvariantChecker checker, Supplier<List<WorkerModel>> workers, Predicate<String> held) {
    this.checker = checker;
    this.workers = workers;
    this.held = held;
  }

  /** Call once a second. */
  void look(long now, long calmMs) {
    if (now < calmMs) {
      return;
    }
    List<WorkerModel> up = new ArrayList<>(workers.get());
    up.removeIf(w -> !w.listens() || w.still() || w.deaf || w.mute);
    for (Map.Entry<InvariantChecker.Submitted, Set<Integer>> e :
        checker.unfinishedJobs().entrySet()) {
      InvariantChecker.Submitted s = e.getKey();
      if (held.test(s.id()) || !couldRun(s, e.getValue(), up)) {
        sinceMs.remove(s.id());
      } else if (now - sinceMs.computeIfAbsent(s.id(), k -> now) > MOST_MS) {
        checker.breach("left_waiting", s.id() + " waits while there is room");
        sinceMs.put(s.id(), Long.MAX_VALUE / 2); // Said once.
      }
    }
  }

  private boolean couldRun(InvariantChecker.Submitted s, Set<Integer> done, List<WorkerModel> up) {
    String zone = s.zone();
    int waiting = 0;
    for (int t = 0; t < s.tasks(); t++) {
      if (!done.contains(t)) {
        String task = s.id() + "/" + t;
        WorkerModel has = up.stream().filter(w -> w.has(task)).findFirst().orElse(null);
        waiting += has == null ? 1 : 0;
        zone = has != null && s.together() ? has.zone : zone;
      }
    }
    int need = s.gang() ? waiting : Math.min(1, waiting);
    if (need == 0 || checker.leftOf(s.team()) < need * s.cpus()) {
      return false;
    }
    Map<String, Integer> room = new HashMap<>();
    for (WorkerModel w : up) {
      if (zone == null || zone.equals(w.zone)) {
        int fits = (int) Math.floor((CloudModel.CPUS - w.usedCpus()) / s.cpus() + 1e-9);
        room.merge(s.together() ? w.zone : "", fits, Integer::sum);
      }
    }
    return room.values().stream().anyMatch(n -> n >= need);
  }
}
