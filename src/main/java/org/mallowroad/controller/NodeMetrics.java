package org.mallowroad.controller;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.ToDoubleFunction;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.linkstate.ExternalService;

/**
 * The metrics of a node in Prometheus text format. Metrics that only a leader can provide are 0 on
 * other nodes. Runs on the event loop only.
 */
final class NodeMetrics {
  private final NodeComponents node;

  /** Created on the first request so that it does not slow down the start of the node. */
  private PrometheusMeterRegistry registry;

  NodeMetrics(NodeComponents node) {
    this.node = node;
  }

  /** The current values of all metrics. */
  String scrape() {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registerLeadership();
      registerHealth();
      registerOverload();
      if (node.links != null) {
        registerLinks(node.links);
      }
      registerInvalidMessages();
      registerMemory();
    }
    return registry.scrape();
  }

  private void registerLeadership() {
    gauge("mallowroad.leading", m -> m.node.leadership.isLeading() ? 1 : 0);
    gauge("mallowroad.term", m -> m.node.election.highestSeenToken());
    gauge("mallowroad.jobs.open", m -> m.leaderValue(l -> l.schedulerState().jobs().size()));
    gauge("mallowroad.machines", m -> m.leaderValue(l -> l.schedulerState().machines().size()));
    gauge(
        "mallowroad.records.uncommitted",
        m -> m.leaderValue(l -> l.schedulerState().dirtyRecords().size()));
    gauge(
        "mallowroad.records.urgent",
        m -> m.leaderValue(l -> l.schedulerState().urgentRecords().size()));
    gauge(
        "mallowroad.tasks.completed",
        m -> m.leaderValue(l -> l.schedulerState().attemptsCompleted()));
  }

  private void registerHealth() {
    gauge(
        "mallowroad.machines.late",
        m -> m.fleetHealthValue(h -> h.failureDetector().overdueCount()));
    gauge(
        "mallowroad.machines.doubted",
        m -> m.fleetHealthValue(h -> h.stragglerDetector().suspectCount()));
    gauge(
        "mallowroad.machines.slow.refused",
        m -> m.fleetHealthValue(h -> h.stragglerDetector().refusedSuspicions()));
    gauge(
        "mallowroad.zones.cut",
        m -> m.fleetHealthValue(h -> h.failureDetector().partitionedZoneCount()));
    gauge("mallowroad.stood.still", m -> m.fleetHealthValue(h -> h.pauseDetector().pauseCount()));
    gauge(
        "mallowroad.stood.still.longest.ms",
        m -> m.fleetHealthValue(h -> h.pauseDetector().longestPauseMs()));
  }

  private void registerOverload() {
    gauge("mallowroad.loop.lag.ms", m -> m.leaderValue(Leader::worstLoopLagMs));
    gauge("mallowroad.cancellations.view.ms", m -> m.leaderValue(Leader::cancellationViewAgeMs));
    gauge("mallowroad.admission.limited", m -> m.node.admission.isLimited() ? 1 : 0);
    gauge("mallowroad.admission.refused", m -> m.node.admission.refusedCount());
    gauge(
        "mallowroad.state.silence.ms",
        m -> m.node.loop.now() - m.node.state.health().lastContactMs());
  }

  private void registerLinks(LinkMonitor links) {
    gauge("mallowroad.links.down", m -> links.links().downLinkCount());
    gauge("mallowroad.links.rows", m -> links.links().freshAdvertisementCount(m.node.loop.now()));
    gauge("mallowroad.links.state.via", m -> links.stateRoute().relay());
    gauge(
        "mallowroad.links.state.age.ms",
        m -> links.links().ageMs(ExternalService.STATE, m.node.loop.now()));
    gauge("mallowroad.detours", m -> links.relayedCallCount());
    gauge("mallowroad.reports.carried", m -> links.heartbeatRelay().relayedCount());
    gauge("mallowroad.reports.sent.on", m -> links.heartbeatRelay().redirectedCount());
    gauge("mallowroad.kept.guests", m -> links.heartbeatRelay().trackedWorkers());
  }

  private void registerInvalidMessages() {
    gauge("mallowroad.garbled.state", m -> m.node.state.health().malformedResponses());
    gauge("mallowroad.garbled.cloud", m -> m.node.cloud.invalidResponses());
    gauge("mallowroad.garbled.peers", m -> m.node.peers.invalidMessages());
    gauge("mallowroad.garbled.workers", m -> m.node.heartbeatApi.invalidMessages());
  }

  /**
   * Registers the memory of the process as the operating system counts it, and the parts of it that
   * the heap and the buffers use.
   */
  private void registerMemory() {
    gauge(
        "mallowroad.memory.limit.bytes",
        m -> m.node.clusterConfig.settings().ramMb() * 1024 * 1024);
    gauge("mallowroad.memory.process.bytes", m -> MemoryMetrics.processBytes());
    gauge("mallowroad.memory.heap.bytes", m -> MemoryMetrics.heapBytes());
    gauge("mallowroad.collector.share", m -> MemoryMetrics.garbageCollectionShare());
    gauge("mallowroad.bodies.bytes", m -> m.node.environment.bufferedBodyBytes());
    gauge("mallowroad.kept.ends", m -> m.node.users.rememberedEnds());
    gauge("mallowroad.kept.opens", m -> m.node.users.rememberedOpenJobs());
    gauge("mallowroad.kept.names", m -> m.node.clusterConfig.nameCount());
    gauge("mallowroad.kept.callers", m -> m.node.workers.connectedWorkers());
  }

  private double leaderValue(ToDoubleFunction<Leader> value) {
    Leader leader = node.leadership.leader();
    return leader == null ? 0 : value.applyAsDouble(leader);
  }

  private double fleetHealthValue(ToDoubleFunction<FleetHealth> value) {
    return leaderValue(l -> value.applyAsDouble(l.schedulerState().health()));
  }

  private void gauge(String name, ToDoubleFunction<NodeMetrics> value) {
    Gauge.builder(name, this, value).register(registry);
  }
}
