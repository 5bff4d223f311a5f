package org.mallowroad.controller;

import org.mallowroad.controller.persistence.WriteBehindCommitter;
import org.mallowroad.core.CostAccounting;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs at regular intervals how busy the leader is and what its machines cost. */
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

  /** Logs the interval that ends now and begins the next one. */
  void log() {
    logLoad();
    if (schedulerState.attemptsStarted() > 0) {
      LOG.info("event=image_fetches {}", schedulerState.imageDistribution().logFields());
    }
    logCosts();
    context.load().beginInterval();
  }

  private void logLoad() {
    int waiting = 0;
    int live = 0;
    for (Job j : schedulerState.jobs()) {
      waiting += j.pendingTaskCount();
      live += j.liveAttemptCount();
    }
    LoadStatistics load = context.load();
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
    for (CostAccounting.MachineTypeCosts l :
        schedulerState
            .costAccounting()
            .costsByMachineType(schedulerState.machines(), context.loop().now())) {
      LOG.info(
          "event=machine_cost type={} spot={} machines={} boot={} idle={} starting={} useful={} lost={}",
          l.type(),
          l.spot(),
          l.deletedMachines(),
          toThousandths(l.boot()),
          toThousandths(l.idle()),
          toThousandths(l.starting()),
          toThousandths(l.completedWork()),
          toThousandths(l.lostWork()));
    }
  }

  private static double toThousandths(double money) {
    return Math.round(money * 1000) / 1000.0;
  }
}
