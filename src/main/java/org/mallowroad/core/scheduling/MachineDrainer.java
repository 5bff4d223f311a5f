package org.mallowroad.core.scheduling;

import org.mallowroad.core.Attempt;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;

/**
 * Drains spot machines that the cloud has announced to interrupt. Tasks that support checkpoints
 * are stopped with time to save their progress. Other tasks are stopped at once unless they are
 * expected to finish before the interruption, so that they restart on another machine without
 * delay.
 */
final class MachineDrainer {
  private final SchedulerState schedulerState;

  MachineDrainer(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** Stops tasks on all machines for which the cloud sent an interruption notice. */
  void drain(long now) {
    for (Machine machine : schedulerState.machines()) {
      if (machine.isInterrupted()) {
        drain(machine, (machine.interruptionMs - now) / 1000.0, now);
      }
    }
  }

  private void drain(Machine machine, double secondsLeft, long now) {
    for (Attempt attempt : machine.attempts) {
      if (attempt.isStopping() || attempt.phase == Attempt.Phase.RECORDING) {
        continue;
      }
      JobSpec spec = attempt.job.spec;
      if (spec.checkpointIntervalS() > 0) {
        schedulerState.requestStop(attempt, spec.checkpointDurationS(), now);
      } else if (!endsWithin(attempt, secondsLeft, now)) {
        schedulerState.requestStop(attempt, 0, now);
      }
    }
  }

  private static boolean endsWithin(Attempt attempt, double secondsLeft, long now) {
    JobSpec spec = attempt.job.spec;
    return attempt.phase == Attempt.Phase.RUNNING
        && !spec.service()
        && spec.estimateS() - (now - attempt.runningSinceMs()) / 1000.0 <= secondsLeft;
  }
}
