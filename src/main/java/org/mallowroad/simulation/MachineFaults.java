package org.mallowroad.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Faults of machines and their workers. Each method returns an action that ends the fault. */
final class MachineFaults {
  private static final long MAX_MACHINE_RESTART_DOWNTIME_US = 1_000_000;

  private final EventQueue eventQueue;
  private final SplittableRandom random;
  private final CloudModel cloud;

  MachineFaults(EventQueue eventQueue, SplittableRandom random, CloudModel cloud) {
    this.eventQueue = eventQueue;
    this.random = random;
    this.cloud = cloud;
  }

  static Runnable loseInbound(List<WorkerModel> workers) {
    workers.forEach(w -> w.inboundLost = true);
    return () -> workers.forEach(w -> w.inboundLost = false);
  }

  List<WorkerModel> randomWorkers(int count) {
    List<WorkerModel> candidates = cloud.workers();
    candidates.removeIf(w -> !w.isListening());
    List<WorkerModel> chosen = new ArrayList<>();
    while (!candidates.isEmpty() && chosen.size() < count) {
      chosen.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return chosen;
  }

  Runnable killWorkers(int count) {
    randomWorkers(count).forEach(w -> w.machineGone("died"));
    return () -> {};
  }

  Runnable restartMachines(Fault fault) {
    for (int i = 0; i < fault.count(); i++) {
      eventQueue.schedule(
          random.nextLong(fault.forMs() * 1_000),
          null,
          () ->
              randomWorkers(1)
                  .forEach(
                      w -> w.restartMachine(random.nextLong(MAX_MACHINE_RESTART_DOWNTIME_US))));
    }
    return () -> {};
  }

  Runnable hangWorkers(int count) {
    List<WorkerModel> hung = randomWorkers(count);
    hung.forEach(EventQueue.Actor::freeze);
    return () -> hung.forEach(eventQueue::thaw);
  }
}
