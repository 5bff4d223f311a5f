package org.mallowroad.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Checks that no job waits too long although it could run. It is checked after the last fault. A
 * job could run if its team is below its limit and there is room for what it needs next: one task,
 * or all waiting tasks of a gang. The room must be in the job's zone if it has one. If all tasks
 * must run in the same zone, the room must be in one zone, that of the running tasks if there are
 * any.
 */
final class StarvationCheck {
  /** The users' requirement: no job that could run waits longer than this. */
  static final long MAX_WAIT_MS = 90_000;

  private final InvariantChecker checker;
  private final Supplier<List<WorkerModel>> workers;
  private final Map<String, Long> waitingSinceMs = new HashMap<>();

  private final Predicate<String> isHeld;

  /**
   * Creates a check.
   *
   * @param workers the workers of all existing machines
   * @param isHeld whether a job, given by its id, waits for other jobs or games and not for room
   */
  StarvationCheck(
      InvariantChecker checker, Supplier<List<WorkerModel>> workers, Predicate<String> isHeld) {
    this.checker = checker;
    this.workers = workers;
    this.isHeld = isHeld;
  }

  /** Checks all unfinished jobs; call once a second. */
  void check(long nowMs, long lastFaultEndMs) {
    if (nowMs < lastFaultEndMs) {
      return;
    }
    List<WorkerModel> reachable = new ArrayList<>(workers.get());
    reachable.removeIf(
        worker ->
            !worker.isListening()
                || worker.isFrozen()
                || worker.inboundLost
                || worker.outboundLost);
    for (Map.Entry<InvariantChecker.SubmittedJob, Set<Integer>> entry :
        checker.unfinishedJobs().entrySet()) {
      InvariantChecker.SubmittedJob job = entry.getKey();
      if (isHeld.test(job.id()) || !canRun(job, entry.getValue(), reachable)) {
        waitingSinceMs.remove(job.id());
      } else if (nowMs - waitingSinceMs.computeIfAbsent(job.id(), id -> nowMs) > MAX_WAIT_MS) {
        checker.reportBreach(
            "left_waiting", job.id() + " has waited too long although it could run");
        waitingSinceMs.put(job.id(), Long.MAX_VALUE / 2); // Reports the violation once.
      }
    }
  }

  private boolean canRun(
      InvariantChecker.SubmittedJob job, Set<Integer> completedTasks, List<WorkerModel> reachable) {
    String zone = job.zone();
    int waiting = 0;
    for (int index = 0; index < job.taskCount(); index++) {
      if (!completedTasks.contains(index)) {
        String task = job.id() + "/" + index;
        WorkerModel holder =
            reachable.stream().filter(worker -> worker.hasTask(task)).findFirst().orElse(null);
        waiting += holder == null ? 1 : 0;
        zone = holder != null && job.sameZone() ? holder.zone : zone;
      }
    }
    int neededSlots = job.gang() ? waiting : Math.min(1, waiting);
    if (neededSlots == 0 || checker.unusedCpus(job.team()) < neededSlots * job.cpusPerTask()) {
      return false;
    }
    Map<String, Integer> freeSlots = new HashMap<>();
    for (WorkerModel worker : reachable) {
      if (zone == null || zone.equals(worker.zone)) {
        int fits =
            (int) Math.floor((CloudModel.CPUS - worker.usedCpus()) / job.cpusPerTask() + 1e-9);
        freeSlots.merge(job.sameZone() ? worker.zone : "", fits, Integer::sum);
      }
    }
    return freeSlots.values().stream().anyMatch(slots -> slots >= neededSlots);
  }
}
