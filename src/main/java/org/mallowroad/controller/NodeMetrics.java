package org.mallowroad.controller;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.ToDoubleFunction;
import org.mallowroad.core.AttemptAudit;
import org.mallowroad.core.HeartbeatSource;
import org.mallowroad.core.ResolutionProof;
import org.mallowroad.core.TokenRaiseReason;
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
      registerAttemptAudit();
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
    registerGauge("mallowroad.leading", m -> m.node.leadership.isLeading() ? 1 : 0);
    registerGauge("mallowroad.term", m -> m.node.election.highestSeenToken());
    registerGauge(
        "mallowroad.jobs.open", m -> m.leaderValue(l -> l.schedulerState().jobs().size()));
    registerGauge(
        "mallowroad.machines", m -> m.leaderValue(l -> l.schedulerState().machines().size()));
    registerGauge(
        "mallowroad.records.uncommitted",
        m -> m.leaderValue(l -> l.schedulerState().dirtyRecords().size()));
    registerGauge(
        "mallowroad.records.urgent",
        m -> m.leaderValue(l -> l.schedulerState().urgentRecords().size()));
    registerGauge(
        "mallowroad.tasks.completed",
        m -> m.leaderValue(l -> l.schedulerState().attemptsCompleted()));
  }

  private void registerHealth() {
    registerGauge(
        "mallowroad.machines.late",
        m -> m.fleetHealthValue(h -> h.failureDetector().overdueMachineCount()));
    registerGauge(
        "mallowroad.machines.doubted",
        m -> m.fleetHealthValue(h -> h.stragglerDetector().suspectCount()));
    registerGauge(
        "mallowroad.machines.slow.refused",
        m -> m.fleetHealthValue(h -> h.stragglerDetector().refusedSuspicionCount()));
    registerGauge(
        "mallowroad.zones.cut",
        m -> m.fleetHealthValue(h -> h.failureDetector().partitionedZoneCount()));
    registerGauge(
        "mallowroad.stood.still", m -> m.fleetHealthValue(h -> h.pauseDetector().pauseCount()));
    registerGauge(
        "mallowroad.stood.still.longest.ms",
        m -> m.fleetHealthValue(h -> h.pauseDetector().longestPauseMs()));
  }

  private void registerAttemptAudit() {
    for (ResolutionProof proof : ResolutionProof.values()) {
      registerGauge(
          "mallowroad.attempts.resolved",
          Tags.of("proof", proof.label()),
          m -> m.attemptAuditValue(audit -> audit.resolutions(proof)));
    }
    for (HeartbeatSource evidence : HeartbeatSource.values()) {
      registerGauge(
          "mallowroad.attempts.started",
          Tags.of("evidence", evidence.label()),
          m -> m.attemptAuditValue(audit -> audit.starts(evidence)));
    }
    for (TokenRaiseReason reason : TokenRaiseReason.values()) {
      registerGauge(
          "mallowroad.tokens.raised",
          Tags.of("reason", reason.label()),
          m -> m.attemptAuditValue(audit -> audit.tokenRaises(reason)));
    }
  }

  private void registerOverload() {
    registerGauge("mallowroad.loop.lag.ms", m -> m.leaderValue(Leader::worstLoopLagMs));
    registerGauge(
        "mallowroad.cancellations.view.ms", m -> m.leaderValue(Leader::cancellationViewAgeMs));
    registerGauge("mallowroad.admission.limited", m -> m.node.admission.isLimited() ? 1 : 0);
    registerGauge("mallowroad.admission.refused", m -> m.node.admission.refusedCount());
    registerGauge(
        "mallowroad.state.silence.ms",
        m -> m.node.loop.now() - m.node.state.health().lastExecutedCallSentMs());
  }

  private void registerLinks(LinkMonitor links) {
    registerGauge("mallowroad.links.down", m -> links.links().downLinkCount());
    registerGauge(
        "mallowroad.links.rows", m -> links.links().freshAdvertisementCount(m.node.loop.now()));
    registerGauge("mallowroad.links.state.via", m -> links.stateRoute().relayPeer());
    registerGauge(
        "mallowroad.links.state.age.ms",
        m -> links.links().ageMs(ExternalService.STATE, m.node.loop.now()));
    registerGauge("mallowroad.detours", m -> links.relayedCallCount());
    registerGauge("mallowroad.reports.carried", m -> links.heartbeatRelay().relayedCount());
    registerGauge("mallowroad.reports.sent.on", m -> links.heartbeatRelay().redirectedCount());
    registerGauge("mallowroad.kept.guests", m -> links.heartbeatRelay().trackedWorkerCount());
  }

  private void registerInvalidMessages() {
    registerGauge("mallowroad.garbled.state", m -> m.node.state.health().malformedResponses());
    registerGauge("mallowroad.garbled.cloud", m -> m.node.cloud.invalidResponses());
    registerGauge("mallowroad.garbled.peers", m -> m.node.peers.invalidMessages());
    registerGauge("mallowroad.garbled.workers", m -> m.node.heartbeatApi.invalidMessages());
  }

  /**
   * Registers the memory of the process as the operating system counts it, and the parts of it that
   * the heap and the buffers use.
   */
  private void registerMemory() {
    registerGauge(
        "mallowroad.memory.limit.bytes",
        m -> m.node.clusterConfig.settings().ramMb() * 1024 * 1024);
    registerGauge("mallowroad.memory.process.bytes", m -> MemoryMetrics.processBytes());
    registerGauge("mallowroad.memory.heap.bytes", m -> MemoryMetrics.heapBytes());
    registerGauge("mallowroad.collector.share", m -> MemoryMetrics.garbageCollectionShare());
    registerGauge("mallowroad.bodies.bytes", m -> m.node.environment.bufferedBodyBytes());
    registerGauge("mallowroad.kept.ends", m -> m.node.users.cachedOutcomeCount());
    registerGauge("mallowroad.kept.opens", m -> m.node.users.cachedOpenJobCount());
    registerGauge("mallowroad.kept.names", m -> m.node.clusterConfig.nameCount());
    registerGauge("mallowroad.kept.callers", m -> m.node.workers.connectedWorkers());
  }

  private double leaderValue(ToDoubleFunction<Leader> value) {
    Leader leader = node.leadership.leader();
    return leader == null ? 0 : value.applyAsDouble(leader);
  }

  private double fleetHealthValue(ToDoubleFunction<FleetHealth> value) {
    return leaderValue(l -> value.applyAsDouble(l.schedulerState().health()));
  }

  private double attemptAuditValue(ToDoubleFunction<AttemptAudit> value) {
    return leaderValue(l -> value.applyAsDouble(l.schedulerState().attemptAudit()));
  }

  private void registerGauge(String name, ToDoubleFunction<NodeMetrics> value) {
    registerGauge(name, Tags.empty(), value);
  }

  private void registerGauge(String name, Tags tags, ToDoubleFunction<NodeMetrics> value) {
    Gauge.builder(name, this, value).tags(tags).register(registry);
  }
}
