package org.mallowroad.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which commands are sent directly to a worker instead of in the response to its next
 * heartbeat, and when a direct command that may still arrive requires the machine's deletion.
 */
public final class DirectCommandPlanner {
  /**
   * A machine is deleted when a direct command may still start an attempt this long after its stop
   * was requested.
   */
  private static final long DELETE_TO_FENCE_AFTER_MS = 8_000;

  private final TermTiming timing;
  private final WorkerCommandFactory commandFactory;

  DirectCommandPlanner(TermTiming timing, WorkerCommandFactory commandFactory) {
    this.timing = timing;
    this.commandFactory = commandFactory;
  }

  /**
   * Returns the commands to send directly to the worker now: launches and stops that were not sent
   * yet. Their launches may arrive at any later time, see {@link LaunchMessages}.
   */
  public List<WorkerCommand> takeCommands(Machine machine, boolean mayLaunch, long now) {
    List<WorkerCommand> commands = new ArrayList<>();
    if (!canSendCommands(machine, now)) {
      return commands;
    }
    boolean canLaunch = mayLaunch && machine.fencingToken < FencingTokens.last(timing.term());
    for (Attempt attempt : machine.attempts) {
      if (attempt.incarnation != machine.incarnation) {
        continue;
      }
      if (canLaunch
          && attempt.phase == Attempt.Phase.READY
          && !attempt.launchMessages.isSent()
          && !attempt.isStopping()) {
        attempt.launchMessages.recordCommand(machine.fencingToken);
        machine.unfencedLaunches.put(attempt.key(), machine.fencingToken);
        commands.add(commandFactory.launch(attempt));
      } else if (attempt.isStopping()
          && !attempt.stopSentDirectly
          && (attempt.phase == Attempt.Phase.PULLING || attempt.phase == Attempt.Phase.RUNNING)) {
        attempt.stopSentDirectly = true;
        commands.add(commandFactory.stop(attempt));
      }
    }
    return commands;
  }

  /**
   * True when the worker has seen this term's token, its heartbeat is not overdue and responses
   * reach it. For other workers, the risk of a launch that stays in flight outweighs the faster
   * start.
   */
  private boolean canSendCommands(Machine machine, long now) {
    return machine.isUsable()
        && machine.highestTokenSeen >= timing.term()
        && now - machine.lastHeartbeatMs <= timing.heartbeatOverdueMs()
        && !machine.health.outboundReachability().isBroken();
  }

  /**
   * Records that direct commands certainly never left this process, so that their launches cannot
   * arrive. Any other outcome, an answer included, leaves them as they are: a duplicate may arrive
   * later.
   */
  public void recordNotSent(Machine machine, List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      String key = Attempt.key(command.job(), command.task(), command.attempt());
      for (Attempt attempt : machine.attempts) {
        if (attempt.key().equals(key)) {
          attempt.launchMessages.recordCommandNotSent();
        }
      }
    }
  }

  /**
   * True when a direct command may still start an attempt whose stop was requested, and raising the
   * fencing token did not prevent this in time. The machine must then be deleted.
   */
  public boolean needsDeletionToFence(Machine machine, long now) {
    for (Attempt attempt : machine.attempts) {
      if (attempt.isStopping()
          && attempt.phase == Attempt.Phase.READY
          && attempt.launchMessages.mayArriveInCommand(machine.highestTokenSeen)
          && now - attempt.stopRequestedMs > DELETE_TO_FENCE_AFTER_MS) {
        return true;
      }
    }
    return false;
  }
}
