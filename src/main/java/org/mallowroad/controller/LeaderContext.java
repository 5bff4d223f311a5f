package org.mallowroad.controller;

import org.mallowroad.config.Settings;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.scheduling.TaskScheduler;
import org.mallowroad.net.EventLoop;

/**
 * State and services that all components of a {@link Leader} share during one term.
 *
 * @param services clients and configuration of the node
 * @param term the term
 * @param startedMs when the term began, in milliseconds of the monotonic clock
 * @param lifecycle the state of the term
 * @param lease the leader's lease
 * @param schedulerState jobs, attempts and machines of the term
 * @param taskScheduler decides which task starts on which machine
 * @param cancellationView the time up to which the leader knows every cancellation
 * @param loadStatistics counters for the log and for metrics
 */
record LeaderContext(
    LeaderServices services,
    LeadershipTerm term,
    long startedMs,
    LeaderLifecycle lifecycle,
    LeaderLease lease,
    SchedulerState schedulerState,
    TaskScheduler taskScheduler,
    CancellationView cancellationView,
    LoadStatistics loadStatistics) {
  /** Creates the context at the beginning of a term. */
  static LeaderContext create(LeaderServices services, LeadershipTerm term) {
    ClusterConfig clusterConfig = services.clusterConfig();
    Settings settings = clusterConfig.settings;
    long startedMs = services.loop().now();
    SchedulerState schedulerState =
        new SchedulerState(
            term.number(),
            settings.leaseS(),
            settings.heartbeatIntervalS(),
            clusterConfig.createTeams(),
            clusterConfig.zones,
            new FleetHealth(
                clusterConfig.operatorSettings.health(),
                clusterConfig.zones.size(),
                settings.heartbeatIntervalS(),
                startedMs),
            clusterConfig.operatorSettings.imageFetch());
    return new LeaderContext(
        services,
        term,
        startedMs,
        new LeaderLifecycle(),
        new LeaderLease(services.loop(), services.election()),
        schedulerState,
        new TaskScheduler(schedulerState),
        new CancellationView(CancellationView.maxAgeMs(settings.leaseS(), settings.cancelS())),
        new LoadStatistics());
  }

  EventLoop loop() {
    return services.loop();
  }

  ClusterConfig clusterConfig() {
    return services.clusterConfig();
  }
}
