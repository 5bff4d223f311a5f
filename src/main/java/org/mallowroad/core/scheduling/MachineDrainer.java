package org.mallowroad.core.scheduling;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * Drains spot machines that the cloud is about to take back: tasks that can save their progress do
 * so, and tasks that are not expected to finish in time are stopped, so that they start again
 * elsewhere at once.
 */
final class MachineDrainer {
  private final SchedulerState schedulerState;

  MachineDrainer(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** Stops tasks on all machines for which an interruption notice came. */
  void drain(long now) {
    for (Machine m : schedulerState.machines()) {
      if (m.interruptionMs != 0) {
        drain(m, (m.interruptionMs - now) / 1000.0, now);
      }
    }
  }

  private void drain(Machine m, double secondsLeft, long now) {
    for (Attempt a : m.attempts) {
      if (a.isStopping() || a.phase == Attempt.Phase.RECORDING) {
        continue;
      }
      JobSpec s = a.job.spec;
      if (s.checkpointIntervalS() > 0) {
        schedulerState.requestStop(a, s.checkpointDurationS(), now);
      } else if (!endsWithin(a, secondsLeft, now)) {
        schedulerState.requestStop(a, 0, now);
      }
    }
  }

  private static boolean endsWithin(Attempt a, double secondsLeft, long now) {
    JobSpec s = a.job.spec;
    return a.phase == Attempt.Phase.RUNNING
        && !s.service()
        && s.estimateS() - (now - a.runningSinceMs()) / 1000.0 <= secondsLeft;
  }
}
