package org.mallowroad.controller;

import java.util.List;
import java.util.OptionalLong;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.HeartbeatRelay;
import org.mallowroad.core.linkstate.LinkPolicy;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.core.linkstate.LinkStateTable;
import org.mallowroad.core.linkstate.RouteSelector;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.peer.RelayTransport;
import org.mallowroad.peer.RelayedCaller;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.mallowroad.worker.HeartbeatResponder;
import org.mallowroad.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a node does about its links: advertises their state to its peers, probes links that nothing
 * else uses, and relays for peers and workers what they cannot deliver themselves. The decisions
 * are those of {@code core.linkstate}. Runs on the event loop only.
 *
 * <p><b>Why a relayed heartbeat breaks no rule.</b> The worker counts its lease from when it
 * <i>sent</i> the heartbeat, and drops an answer after 4 s; the leader counts from when it
 * <i>answered</i> ({@code Machine.lastAnswerMs}), which is later, by whichever way the heartbeat
 * came. So the proof by lease in {@code SchedulerState} holds as it stands. The answer carries the
 * fencing token of the leader that gave it: a deposed one's is dropped by every worker that has
 * seen a later one, and one that has not may stay with it exactly as if it reached it directly,
 * until the leader's view is stale ({@code CancellationView}), or this node hears of the later term
 * (advertisements, announcements, other workers' tokens) and forwards nothing there any more. A
 * node adds nothing to an answer and remembers none. Commands by way of a peer without an answer
 * are {@code UNKNOWN}, kept until they are confirmed and fenced as any.
 */
final class LinkMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LinkMonitor.class);
  private static final long CHECK_INTERVAL_MS = 250;
  private static final long PROBE_TIMEOUT_MS = 1_000;

  /** A link that was not used for this long is probed. */
  private static final long IDLE_LINK_MS = 1_500;

  /** Just after a start the processor is needed for other work. */
  private static final long FIRST_ADVERTISEMENT_DELAY_MS = 2_000;

  /** A failure that is shorter may be a brief interruption, and the node is not isolated yet. */
  private static final long ISOLATION_DELAY_MS = 3_000;

  /** A node with broken links lets the others campaign first: this long for each kind of link. */
  private static final long ELECTION_HANDICAP_MS = 300;

  /** How long heartbeats that were only relayed count as a broken link to the workers. */
  private static final long WORKER_CONTACT_MEMORY_MS = 30_000;

  /** Lines about links in each {@link #LOG_PERIOD_MS}. */
  private static final int MAX_LOG_LINES = 20;

  private static final long LOG_PERIOD_MS = 10_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final EventLoop loop;
  private final Settings settings;
  private final ClusterConfig clusterConfig;
  private final LinkPolicy policy;
  private final LinkStateTable links;
  private final ExternalLink state;
  private final ExternalLink cloud;
  private final RelayTransport transport;
  private final HeartbeatForwarder forwarder;
  private final LogLimiter logLimiter = new LogLimiter(MAX_LOG_LINES, LOG_PERIOD_MS);
  private LeaderElection election;
  private WorkerClient workers;
  private Listener listener;
  private boolean isProbingState;
  private long lastDirectHeartbeatMs = NEVER;
  private long lastRelayedHeartbeatMs = NEVER;

  /** The node that has these links. */
  interface Listener {
    /** True while this node leads. */
    boolean isLeading();

    /** Answers a heartbeat that a peer relayed. */
    void handleHeartbeat(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder);
  }

  /** Over the direct ways to the external services. */
  LinkMonitor(
      NodeEnvironment host,
      ClusterConfig clusterConfig,
      LinkPolicy policy,
      RequestSender stateDirect,
      RequestSender cloudDirect) {
    this.loop = host.loop();
    this.clusterConfig = clusterConfig;
    this.settings = clusterConfig.settings();
    this.policy = policy;
    List<Member> members = settings.members();
    this.links =
        new LinkStateTable(
            policy,
            settings.node(),
            members.stream().map(Member::node).toList(),
            settings.zones(),
            loop.wallMs(),
            loop.now());
    this.state = newLink(ExternalService.STATE, stateDirect);
    this.cloud = newLink(ExternalService.CLOUD, cloudDirect);
    this.transport = new RelayTransport(host, members, links, new PeerRequests());
    this.forwarder = new HeartbeatForwarder(loop, clusterConfig, policy, links, transport);
  }

  private ExternalLink newLink(ExternalService service, RequestSender direct) {
    return new ExternalLink(service, direct, new RouteSelector(links, service));
  }

  /** A caller of the state service that goes round a broken link, over one that does not. */
  RequestSender state(RequestSender direct) {
    return new RelayedCaller(
        loop, direct, ExternalService.STATE, state.route(), transport, policy.hedgeDelayMs());
  }

  /** A caller of the cloud that goes round a broken link. */
  RequestSender cloud() {
    return new RelayedCaller(
        loop,
        cloud.direct(),
        ExternalService.CLOUD,
        cloud.route(),
        transport,
        policy.hedgeDelayMs());
  }

  /** Carries relayed requests between this node and its peers. */
  RelayTransport transport() {
    return transport;
  }

  /** What is known of all links. */
  LinkStateTable links() {
    return links;
  }

  /** Decides which heartbeats are forwarded, and counts them. */
  HeartbeatRelay heartbeatRelay() {
    return forwarder.relay();
  }

  /** The way to the state service. */
  RouteSelector stateRoute() {
    return state.route();
  }

  /** Begins to probe and to advertise. */
  void start(LeaderElection election, WorkerClient workers, Listener listener) {
    this.election = election;
    this.workers = workers;
    this.listener = listener;
    loop.every(CHECK_INTERVAL_MS, this::check);
    loop.after(
        FIRST_ADVERTISEMENT_DELAY_MS,
        () -> loop.every(policy.advertiseIntervalMs(), this::advertise));
  }

  /** Calls of this node that were made by way of a peer. */
  long detours() {
    return state.route().relayedCallCount() + cloud.route().relayedCallCount();
  }

  /**
   * True when this node reaches neither the state service nor any peer: users are better served by
   * other nodes. While peers are reachable it relays users' requests to them.
   */
  boolean isIsolated() {
    long now = loop.now();
    return state.route().isDirectPathDown()
        && links.freshAdvertisementCount(now) == 0
        && now - links.changedMs(ExternalService.STATE) > ISOLATION_DELAY_MS;
  }

  /** How long this node lets others campaign first when there is no leader, in milliseconds. */
  long electionHandicapMs() {
    boolean lacksWorkers =
        lastRelayedHeartbeatMs - lastDirectHeartbeatMs > IDLE_LINK_MS
            && loop.now() - lastRelayedHeartbeatMs < WORKER_CONTACT_MEMORY_MS;
    return (state.route().isDirectPathDown() ? ELECTION_HANDICAP_MS : 0)
        + (lacksWorkers ? ELECTION_HANDICAP_MS : 0);
  }

  /** A heartbeat came to this node, which leads. */
  void heartbeatReceived(Heartbeat heartbeat, boolean isDirect) {
    if (isDirect) {
      lastDirectHeartbeatMs = loop.now();
    } else {
      lastRelayedHeartbeatMs = loop.now();
    }
    links.recordHeartbeat(clusterConfig.zones.find(heartbeat.zone()), isDirect, loop.now());
  }

  /**
   * Forwards a heartbeat to the leader where its worker does not get there; false: the worker is
   * redirected.
   */
  boolean forwardHeartbeat(IncomingRequest request, Heartbeat heartbeat, String leader) {
    return forwarder.forward(request, heartbeat, leader, election.leaderTerm());
  }

  private void advertise() {
    boolean isLeading = listener.isLeading();
    // A leader's own term, not the tokens within it that single workers have.
    long term = isLeading ? election.leaderTerm() : election.highestSeenToken();
    transport.broadcastLinkState(links.advertise(term, isLeading, loop.now()));
  }

  private void check() {
    long now = loop.now();
    long ageMs = links.ageMs(ExternalService.STATE, now);
    boolean isIdle = !state.route().isDirectPathDown() && (ageMs < 0 || ageMs > IDLE_LINK_MS);
    if (!isProbingState && (state.route().startProbeIfDue(now) || isIdle)) {
      isProbingState = true;
      probe(state, "/kv/" + LeaderElection.LEADER_KEY, () -> isProbingState = false);
    }
    // Only the leader uses the cloud; other nodes need no route to it.
    if (cloud.route().startProbeIfDue(now) && listener.isLeading()) {
      probe(cloud, CloudClient.MACHINE_TYPES_PATH, () -> {});
    }
    logChanges(now);
  }

  private void logChanges(long now) {
    for (LinkStateTable.LinkChange c : links.takeChanges()) {
      if (logLimiter.tryAcquire(now)) {
        LOG.warn(
            "event={} from={} to={} lasted_ms={} reported_by={} suppressed={}",
            c.down() ? "link_down" : "link_up",
            c.from(),
            c.to(),
            c.previousStateMs(),
            c.reportedBy(),
            logLimiter.suppressed() + links.takeDroppedChangeCount());
      }
    }
  }

  private void probe(ExternalLink link, String path, Runnable ended) {
    long sentMs = loop.now();
    link.direct()
        .call(
            "GET",
            path,
            null,
            PROBE_TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] body) {
                ended(!link.isRefusal(status));
              }

              @Override
              public void failed(boolean sent) {
                ended(false);
              }

              private void ended(boolean worked) {
                ended.run();
                link.route().recordDirectCall(worked, sentMs, loop.now());
              }
            });
  }

  /** Serves what peers relay by way of this node. */
  private final class PeerRequests implements RelayTransport.Listener {
    @Override
    public OptionalLong onLinkState(LinkStateAdvertisement advertised) {
      if (!links.accept(advertised, loop.now())) {
        long began = links.processStartedMs(advertised.node());
        return began > advertised.processStartedMs()
            ? OptionalLong.of(began)
            : OptionalLong.empty();
      }
      if (election != null) {
        if (advertised.leading()) {
          election.leaderAnnounced(advertised.node(), advertised.term());
        } else {
          election.tokenSeen(advertised.term());
        }
      }
      return OptionalLong.empty();
    }

    @Override
    public void onCall(
        ExternalService to,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        RequestSender.ResponseHandler answer) {
      ExternalLink link = to == ExternalService.STATE ? state : cloud;
      if (links.isDown(to)) {
        answer.failed(false);
        return;
      }
      link.direct().call(method, path, body, timeoutMs, new ForwardedAnswer(link, answer));
    }

    @Override
    public void onCommands(String address, byte[] body, RequestSender.ResponseHandler answer) {
      workers.sendRelayed(address, body, answer);
    }

    @Override
    public void onHeartbeat(int peer, byte[] report, RequestSender.ResponseHandler answer) {
      Heartbeat heartbeat;
      try {
        heartbeat = WorkerCodec.decodeHeartbeat(Json.parseObject(report));
      } catch (InvalidMessageException e) {
        answer.answered(400, Json.toBytes(Json.object().put(Fields.ERROR, e.getMessage())));
        return;
      }
      election.tokenSeen(heartbeat.fencingToken());
      if (!listener.isLeading() || peer < 0) {
        redirect(answer);
        return;
      }
      heartbeatReceived(heartbeat, false);
      listener.handleHeartbeat(
          heartbeat,
          peer,
          new HeartbeatResponder() {
            @Override
            public void respond(long fencingToken, List<WorkerCommand> commands) {
              answer.answered(
                  200, Json.toBytes(WorkerCodec.encodeCommands(fencingToken, commands)));
            }

            @Override
            public void retryLater() {
              answer.answered(503, Json.toBytes(Json.object().put(Fields.ERROR, "not now")));
            }
          });
    }

    private void redirect(RequestSender.ResponseHandler answer) {
      String leader = election.leader();
      if (leader == null || leader.equals(settings.node())) {
        answer.answered(503, Json.toBytes(Json.object().put(Fields.ERROR, "no leader known")));
      } else {
        answer.answered(421, Json.toBytes(Json.object().put(Fields.LEADER, leader)));
      }
    }
  }

  /** The answer to a peer's call, which also shows the state of this node's own link. */
  private final class ForwardedAnswer implements RequestSender.ResponseHandler {
    private final ExternalLink link;
    private final RequestSender.ResponseHandler answer;
    private final long sentMs = loop.now();

    ForwardedAnswer(ExternalLink link, RequestSender.ResponseHandler answer) {
      this.link = link;
      this.answer = answer;
    }

    @Override
    public void answered(int status, byte[] body) {
      boolean isRefusal = link.isRefusal(status);
      link.route().recordDirectCall(!isRefusal, sentMs, loop.now());
      if (isRefusal) {
        answer.failed(false);
      } else {
        answer.answered(status, body);
      }
    }

    @Override
    public void failed(boolean sent) {
      link.route().recordDirectCall(false, sentMs, loop.now());
      answer.failed(sent);
    }
  }
}
