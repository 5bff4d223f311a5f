package org.mallowroad.simulation;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** Ends, restarts and freezes processes. Each method returns an action that ends the fault. */
final class ProcessFaults {
  private static final long MAX_CRASH_DOWNTIME_MS = 3_000;

  /** Less than the timeout of a direct command, so that the answers still count. */
  private static final long MESSAGES_HELD_US = 1_500_000;

  /** So that several direct commands may be on their way when the controller stops. */
  private static final int FREEZE_AT_COMMAND_ONE_IN = 3;

  private final EventQueue eventQueue;
  private final Network network;
  private final SplittableRandom random;
  private final List<SimulatedEnvironment> environments;
  private final IntConsumer startNode;
  private final LongSupplier wallClockOffsetMs;

  /**
   * Creates the faults of the controllers' processes.
   *
   * @param startNode starts the node of a controller whose process has been restarted
   * @param wallClockOffsetMs draws the offset of a restarted process's wall clock
   */
  ProcessFaults(
      EventQueue eventQueue,
      Network network,
      SplittableRandom random,
      List<SimulatedEnvironment> environments,
      IntConsumer startNode,
      LongSupplier wallClockOffsetMs) {
    this.eventQueue = eventQueue;
    this.network = network;
    this.random = random;
    this.environments = environments;
    this.startNode = startNode;
    this.wallClockOffsetMs = wallClockOffsetMs;
  }

  Runnable crash(int controller, long forMs) {
    SimulatedEnvironment environment = environments.get(controller);
    if (environment.isAlive()) {
      environment.terminate();
      eventQueue.schedule(
          Math.min(forMs, MAX_CRASH_DOWNTIME_MS) * 1000, null, () -> restart(controller));
    }
    return () -> {};
  }

  private void restart(int controller) {
    environments.get(controller).restart(wallClockOffsetMs.getAsLong());
    startNode.accept(controller);
  }

  Runnable restartRepeatedly(List<IntSupplier> targets) {
    boolean[] ended = new boolean[1];
    targets.forEach(target -> restartAndRepeat(target, ended));
    return () -> ended[0] = true;
  }

  /**
   * Ends a process, restarts it after 1 ms to 1 s and schedules the next round. The downtime is
   * drawn on a logarithmic scale, so that short ones are as frequent as long ones.
   */
  private void restartAndRepeat(IntSupplier target, boolean[] ended) {
    if (ended[0]) {
      return;
    }
    int controller = target.getAsInt();
    if (environments.get(controller).isAlive()) {
      environments.get(controller).terminate();
      eventQueue.schedule(
          (long) (1_000 * Math.pow(1_000, random.nextDouble())), null, () -> restart(controller));
    }
    eventQueue.schedule(
        300_000 + random.nextLong(7_000_000), null, () -> restartAndRepeat(target, ended));
  }

  Runnable freeze(EventQueue.Actor actor) {
    actor.freeze();
    return () -> eventQueue.thaw(actor);
  }

  /** Freezes a controller at one of its next direct commands, which it has not sent yet. */
  Runnable freezeWhileSending(SimulatedEnvironment environment) {
    Runnable releaseMessages =
        random.nextBoolean()
            ? network.cut(
                LinkFaults.kindSelector(Network.Kind.WORKER),
                LinkFaults.controllerSelector(environment.index),
                Network.Mode.HOLD)
            : () -> {};
    eventQueue.schedule(
        MESSAGES_HELD_US,
        environment,
        () -> network.directCommandListener = sender -> freezeSender(sender, environment));
    return () -> {
      network.directCommandListener = sender -> {};
      releaseMessages.run();
      eventQueue.thawInRandomOrder(environment, random);
    };
  }

  private void freezeSender(Network.Party sender, SimulatedEnvironment environment) {
    if (sender == environment && random.nextInt(FREEZE_AT_COMMAND_ONE_IN) == 0) {
      network.directCommandListener = other -> {};
      environment.freeze();
    }
  }

  Runnable restartInTurn() {
    for (int i = 0; i < environments.size(); i++) {
      int controller = i;
      eventQueue.schedule(i * 6_000_000L, null, () -> crash(controller, MAX_CRASH_DOWNTIME_MS));
    }
    return () -> {};
  }
}
