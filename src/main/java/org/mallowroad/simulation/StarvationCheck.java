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
  static final long MAX_WAIT_MS = 90_000;

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
  void check(long now, long calmMs) {
    if (now < calmMs) {
      return;
    }
    List<WorkerModel> up = new ArrayList<>(workers.get());
    up.removeIf(w -> !w.isListening() || w.isFrozen() || w.inboundLost || w.outboundLost);
    for (Map.Entry<InvariantChecker.SubmittedJob, Set<Integer>> e :
        checker.unfinishedJobs().entrySet()) {
      InvariantChecker.SubmittedJob s = e.getKey();
      if (held.test(s.id()) || !couldRun(s, e.getValue(), up)) {
        sinceMs.remove(s.id());
      } else if (now - sinceMs.computeIfAbsent(s.id(), k -> now) > MAX_WAIT_MS) {
        checker.reportBreach("left_waiting", s.id() + " waits while there is room");
        sinceMs.put(s.id(), Long.MAX_VALUE / 2); // Said once.
      }
    }
  }

  private boolean couldRun(
      InvariantChecker.SubmittedJob s, Set<Integer> done, List<WorkerModel> up) {
    String zone = s.zone();
    int waiting = 0;
    for (int t = 0; t < s.taskCount(); t++) {
      if (!done.contains(t)) {
        String task = s.id() + "/" + t;
        WorkerModel has = up.stream().filter(w -> w.hasTask(task)).findFirst().orElse(null);
        waiting += has == null ? 1 : 0;
        zone = has != null && s.sameZone() ? has.zone : zone;
      }
    }
    int need = s.gang() ? waiting : Math.min(1, waiting);
    if (need == 0 || checker.unusedCpus(s.team()) < need * s.cpusPerTask()) {
      return false;
    }
    Map<String, Integer> room = new HashMap<>();
    for (WorkerModel w : up) {
      if (zone == null || zone.equals(w.zone)) {
        int fits = (int) Math.floor((CloudModel.CPUS - w.usedCpus()) / s.cpusPerTask() + 1e-9);
        room.merge(s.sameZone() ? w.zone : "", fits, Integer::sum);
      }
    }
    return room.values().stream().anyMatch(n -> n >= need);
  }
}
