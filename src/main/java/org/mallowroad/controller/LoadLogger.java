package org.mallowroad.controller;

import org.mallowroad.controller.persistence.WriteBehindCommitter;
import org.mallowroad.core.CostAccounting;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Periodically logs the load of the leader and the costs of its machines. */
final class LoadLogger {
  private static final Logger LOG = LoggerFactory.getLogger(LoadLogger.class);

  private final LeaderContext context;
  private final SchedulerState schedulerState;
  private final WriteBehindCommitter committer;

  LoadLogger(LeaderContext context, WriteBehindCommitter committer) {
    this.context = context;
    this.schedulerState = context.schedulerState();
    this.committer = committer;
  }

  /** Logs the interval that ends now and starts the next one. */
  void log() {
    logLoad();
    if (schedulerState.attemptsStarted() > 0) {
      LOG.info("event=image_fetches {}", schedulerState.imageDistribution().logFields());
    }
    logCosts();
    context.loadStatistics().startInterval();
  }

  private void logLoad() {
    int waiting = 0;
    int live = 0;
    for (Job job : schedulerState.jobs()) {
      waiting += job.pendingTaskCount();
      live += job.liveAttemptCount();
    }
    LoadStatistics load = context.loadStatistics();
    LOG.info(
        "event=load loop_lag_ms={} heartbeats={} direct_commands={} placement_passes={}"
            + " placement_ms={} preemptions={} commits={} writes={} uncommitted={} urgent={} jobs={} waiting={} live={} machines={} heap_mb={} memory_mb={}",
        load.loopLagMs(),
        load.heartbeats(),
        load.directCommands(),
        load.placementPasses(),
        load.placementMs(),
        context.taskScheduler().preemptionCount(),
        committer.commitCount(),
        committer.writeCount(),
        schedulerState.dirtyRecords().size(),
        schedulerState.urgentRecords().size(),
        schedulerState.jobs().size(),
        waiting,
        live,
        schedulerState.machines().size(),
        MemoryMetrics.heapBytes() >> 20,
        MemoryMetrics.processBytes() >> 20);
  }

  private void logCosts() {
    for (CostAccounting.MachineTypeCosts line :
        schedulerState
            .costAccounting()
            .costsByMachineType(schedulerState.machines(), context.loop().now())) {
      LOG.info(
          "event=machine_cost type={} spot={} machines={} boot={} idle={} starting={} useful={} lost={}",
          line.type(),
          line.spot(),
          line.deletedMachines(),
          toThousandths(line.boot()),
          toThousandths(line.idle()),
          toThousandths(line.starting()),
          toThousandths(line.completedWork()),
          toThousandths(line.lostWork()));
    }
  }

  private static double toThousandths(double money) {
    return Math.round(money * 1000) / 1000.0;
  }
}
