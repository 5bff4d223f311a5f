package org.mallowroad.controller;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.ToDoubleFunction;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.linkstate.ExternalService;

/**
 * The metrics of a node in Prometheus text format. What only a leader knows is 0 on other nodes.
 * Runs on the event loop only.
 */
final class NodeMetrics {
  private final NodeComponents node;

  /** Made on the first request: a start must not pay for it. */
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
    gauge("mallowroad.jobs.open", m -> m.ofLeader(l -> l.schedulerState().jobs().size()));
    gauge("mallowroad.machines", m -> m.ofLeader(l -> l.schedulerState().machines().size()));
    gauge(
        "mallowroad.records.uncommitted",
        m -> m.ofLeader(l -> l.schedulerState().dirtyRecords().size()));
    gauge(
        "mallowroad.records.urgent",
        m -> m.ofLeader(l -> l.schedulerState().urgentRecords().size()));
    gauge(
        "mallowroad.tasks.completed", m -> m.ofLeader(l -> l.schedulerState().attemptsCompleted()));
  }

  private void registerHealth() {
    gauge(
        "mallowroad.machines.late",
        m -> m.ofHealth(h -> h.failureDetector().overdueMachineCount()));
    gauge(
        "mallowroad.machines.doubted", m -> m.ofHealth(h -> h.stragglerDetector().suspectCount()));
    gauge(
        "mallowroad.machines.slow.refused",
        m -> m.ofHealth(h -> h.stragglerDetector().refusedSuspicionCount()));
    gauge("mallowroad.zones.cut", m -> m.ofHealth(h -> h.failureDetector().partitionedZoneCount()));
    gauge("mallowroad.stood.still", m -> m.ofHealth(h -> h.pauseDetector().pauseCount()));
    gauge(
        "mallowroad.stood.still.longest.ms",
        m -> m.ofHealth(h -> h.pauseDetector().longestPauseMs()));
  }

  private void registerOverload() {
    gauge("mallowroad.loop.lag.ms", m -> m.ofLeader(Leader::loopLagMs));
    gauge("mallowroad.cancellations.view.ms", m -> m.ofLeader(Leader::cancellationViewAgeMs));
    gauge("mallowroad.admission.limited", m -> m.node.admission.isLimited() ? 1 : 0);
    gauge("mallowroad.admission.refused", m -> m.node.admission.refusedCount());
    gauge(
        "mallowroad.state.silence.ms",
        m -> m.node.loop.now() - m.node.state.health().lastExecutedCallSentMs());
  }

  private void registerLinks(LinkMonitor links) {
    gauge("mallowroad.links.down", m -> links.links().downLinkCount());
    gauge("mallowroad.links.rows", m -> links.links().freshAdvertisementCount(m.node.loop.now()));
    gauge("mallowroad.links.state.via", m -> links.stateRoute().relayPeer());
    gauge(
        "mallowroad.links.state.age.ms",
        m -> links.links().ageMs(ExternalService.STATE, m.node.loop.now()));
    gauge("mallowroad.detours", m -> links.detours());
    gauge("mallowroad.reports.carried", m -> links.heartbeatRelay().relayedCount());
    gauge("mallowroad.reports.sent.on", m -> links.heartbeatRelay().redirectedCount());
    gauge("mallowroad.kept.guests", m -> links.heartbeatRelay().trackedWorkerCount());
  }

  private void registerInvalidMessages() {
    gauge("mallowroad.garbled.state", m -> m.node.state.health().malformedResponses());
    gauge("mallowroad.garbled.cloud", m -> m.node.cloud.invalidResponses());
    gauge("mallowroad.garbled.peers", m -> m.node.peers.invalidMessages());
    gauge("mallowroad.garbled.workers", m -> m.node.heartbeatApi.invalidMessages());
  }

  /** The process's memory as the system counts it, and which of it are the heap and the buffers. */
  private void registerMemory() {
    gauge(
        "mallowroad.memory.limit.bytes",
        m -> m.node.clusterConfig.settings().ramMb() * 1024 * 1024);
    gauge("mallowroad.memory.process.bytes", m -> MemoryMetrics.processBytes());
    gauge("mallowroad.memory.heap.bytes", m -> MemoryMetrics.heapBytes());
    gauge("mallowroad.collector.share", m -> MemoryMetrics.collectorShare());
    gauge("mallowroad.bodies.bytes", m -> m.node.host.bufferedBodyBytes());
    gauge("mallowroad.kept.ends", m -> m.node.users.cachedOutcomeCount());
    gauge("mallowroad.kept.opens", m -> m.node.users.cachedOpenJobCount());
    gauge("mallowroad.kept.names", m -> m.node.clusterConfig.nameCount());
    gauge("mallowroad.kept.callers", m -> m.node.workers.connectedWorkers());
  }

  private double ofLeader(ToDoubleFunction<Leader> value) {
    Leader leader = node.leadership.leader();
    return leader == null ? 0 : value.applyAsDouble(leader);
  }

  private double ofHealth(ToDoubleFunction<FleetHealth> value) {
    return ofLeader(l -> value.applyAsDouble(l.schedulerState().health()));
  }

  private void gauge(String name, ToDoubleFunction<NodeMetrics> value) {
    Gauge.builder(name, this, value).register(registry);
  }
}
