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
import org.mallowroad.peer.RelayingRequestSender;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.mallowroad.worker.HeartbeatResponder;
import org.mallowroad.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors the links of a node: advertises their state to its peers, probes links that carry no
 * other traffic, and relays requests that peers and workers cannot deliver themselves. The
 * decisions are made in {@code core.linkstate}. Runs on the event loop only.
 *
 * <p><b>Why relaying a heartbeat violates no invariant.</b> The worker measures its lease from when
 * it <i>sent</i> the heartbeat, and drops an answer that takes longer than 4 s. The leader measures
 * from when it <i>answered</i> ({@code Machine.recordResponse}), which is later, whichever path the
 * heartbeat took. So the proof by lease in {@code SchedulerState} applies unchanged. The answer
 * carries the fencing token of the leader that sent it. Every worker that has seen a later token
 * drops the answer of a deposed leader. A worker that has not may stay with the deposed leader,
 * exactly as if it reached that leader directly, until the leader's view of cancellations is stale
 * ({@code CancellationView}), or until this node learns of the later term (from advertisements,
 * announcements or the tokens of other workers) and stops forwarding to the deposed leader. A node
 * adds nothing to an answer and caches none. Commands that are sent through a peer and not answered
 * have the delivery state {@code UNKNOWN}; they are kept until they are confirmed, and fenced like
 * any others.
 */
final class LinkMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LinkMonitor.class);
  private static final long CHECK_INTERVAL_MS = 250;
  private static final long PROBE_TIMEOUT_MS = 1_000;

  /** A link that has been idle for this long, in milliseconds, is probed. */
  private static final long IDLE_LINK_TIMEOUT_MS = 1_500;

  /**
   * Delay of the first advertisement, since the processor is needed for other work just after the
   * start.
   */
  private static final long FIRST_ADVERTISEMENT_DELAY_MS = 2_000;

  /**
   * A node counts as isolated only after this time, since a shorter failure may be a brief
   * interruption.
   */
  private static final long ISOLATION_DELAY_MS = 3_000;

  /**
   * Delay of a node's candidacy for each kind of broken link, so that nodes with working links
   * campaign first.
   */
  private static final long ELECTION_DELAY_PER_LINK_MS = 300;

  /**
   * Time for which a relayed heartbeat without a later direct one counts as a broken link to the
   * workers.
   */
  private static final long RELAYED_HEARTBEAT_WINDOW_MS = 30_000;

  /** Maximum number of log lines about links in each {@link #LOG_PERIOD_MS}. */
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

  /** Callbacks to the node that owns these links. */
  interface Listener {
    /** True while this node leads. */
    boolean isLeading();

    /** Answers a heartbeat that a peer relayed. */
    void handleHeartbeat(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder);
  }

  /** Creates the monitor, given direct connections to the external services. */
  LinkMonitor(
      NodeEnvironment environment,
      ClusterConfig clusterConfig,
      LinkPolicy policy,
      RequestSender stateDirect,
      RequestSender cloudDirect) {
    this.loop = environment.loop();
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
    this.transport = new RelayTransport(environment, members, links, new PeerRequestHandler());
    this.forwarder = new HeartbeatForwarder(loop, clusterConfig, policy, links, transport);
  }

  private ExternalLink newLink(ExternalService service, RequestSender direct) {
    return new ExternalLink(service, direct, new RouteSelector(links, service));
  }

  /**
   * Wraps a direct sender to the state service so that calls go through a peer while the direct
   * link is broken.
   */
  RequestSender state(RequestSender direct) {
    return new RelayingRequestSender(
        loop,
        direct,
        ExternalService.STATE,
        state.routeSelector(),
        transport,
        policy.hedgeDelayMs());
  }

  /** A sender to the cloud that relays through a peer when the direct link is broken. */
  RequestSender cloud() {
    return new RelayingRequestSender(
        loop,
        cloud.directSender(),
        ExternalService.CLOUD,
        cloud.routeSelector(),
        transport,
        policy.hedgeDelayMs());
  }

  /** The transport of relayed requests between this node and its peers. */
  RelayTransport transport() {
    return transport;
  }

  /** The known state of all links of all nodes. */
  LinkStateTable links() {
    return links;
  }

  /** The policy that decides which heartbeats are forwarded and counts them. */
  HeartbeatRelay heartbeatRelay() {
    return forwarder.relay();
  }

  /** The selector of the route to the state service. */
  RouteSelector stateRoute() {
    return state.routeSelector();
  }

  /** Starts probing and advertising. */
  void start(LeaderElection election, WorkerClient workers, Listener listener) {
    this.election = election;
    this.workers = workers;
    this.listener = listener;
    loop.every(CHECK_INTERVAL_MS, this::checkLinks);
    loop.after(
        FIRST_ADVERTISEMENT_DELAY_MS,
        () -> loop.every(policy.advertiseIntervalMs(), this::advertise));
  }

  /** Number of calls of this node that were relayed by a peer. */
  long relayedCallCount() {
    return state.routeSelector().relayedCallCount() + cloud.routeSelector().relayedCallCount();
  }

  /**
   * True if this node can reach neither the state service nor any peer, so that users are better
   * served by other nodes. While peers are reachable, the node relays user requests to them.
   */
  boolean isIsolated() {
    long now = loop.now();
    return state.routeSelector().isDirectPathDown()
        && links.freshAdvertisementCount(now) == 0
        && now - links.changedMs(ExternalService.STATE) > ISOLATION_DELAY_MS;
  }

  /**
   * Delay of this node's candidacy in milliseconds, which lets other nodes campaign first when
   * there is no leader.
   */
  long electionDelayMs() {
    boolean hasOnlyRelayedHeartbeats =
        lastRelayedHeartbeatMs - lastDirectHeartbeatMs > IDLE_LINK_TIMEOUT_MS
            && loop.now() - lastRelayedHeartbeatMs < RELAYED_HEARTBEAT_WINDOW_MS;
    return (state.routeSelector().isDirectPathDown() ? ELECTION_DELAY_PER_LINK_MS : 0)
        + (hasOnlyRelayedHeartbeats ? ELECTION_DELAY_PER_LINK_MS : 0);
  }

  /** Records a heartbeat that arrived at this node while it leads. */
  void heartbeatReceived(Heartbeat heartbeat, boolean isDirect) {
    if (isDirect) {
      lastDirectHeartbeatMs = loop.now();
    } else {
      lastRelayedHeartbeatMs = loop.now();
    }
    links.recordHeartbeat(clusterConfig.zones.find(heartbeat.zone()), isDirect, loop.now());
  }

  /**
   * Forwards a heartbeat to the leader if its worker cannot reach it; returns false if the worker
   * should be redirected instead.
   */
  boolean forwardHeartbeat(IncomingRequest request, Heartbeat heartbeat, String leader) {
    return forwarder.forward(request, heartbeat, leader, election.leaderTerm());
  }

  private void advertise() {
    boolean isLeading = listener.isLeading();
    // A leader advertises the number of its term, not the tokens within the term that individual
    // workers hold.
    long term = isLeading ? election.leaderTerm() : election.highestSeenToken();
    transport.broadcastLinkState(links.advertise(term, isLeading, loop.now()));
  }

  private void checkLinks() {
    long now = loop.now();
    long ageMs = links.ageMs(ExternalService.STATE, now);
    boolean isIdle =
        !state.routeSelector().isDirectPathDown() && (ageMs < 0 || ageMs > IDLE_LINK_TIMEOUT_MS);
    if (!isProbingState && (state.routeSelector().startProbeIfDue(now) || isIdle)) {
      isProbingState = true;
      probe(state, "/kv/" + LeaderElection.LEADER_KEY, () -> isProbingState = false);
    }
    // Only the leader uses the cloud; other nodes need no route to it.
    if (cloud.routeSelector().startProbeIfDue(now) && listener.isLeading()) {
      probe(cloud, CloudClient.MACHINE_TYPES_PATH, () -> {});
    }
    logLinkChanges(now);
  }

  private void logLinkChanges(long now) {
    for (LinkStateTable.LinkChange change : links.takeChanges()) {
      if (logLimiter.tryAcquire(now)) {
        LOG.warn(
            "event={} from={} to={} lasted_ms={} reported_by={} suppressed={}",
            change.down() ? "link_down" : "link_up",
            change.from(),
            change.to(),
            change.previousStateMs(),
            change.reportedBy(),
            logLimiter.suppressedLines() + links.takeDroppedChangeCount());
      }
    }
  }

  private void probe(ExternalLink link, String path, Runnable onEnded) {
    long sentMs = loop.now();
    link.directSender()
        .send(
            "GET",
            path,
            null,
            PROBE_TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] body) {
                ended(!link.isServiceUnavailable(status));
              }

              @Override
              public void onFailure(boolean sent) {
                ended(false);
              }

              private void ended(boolean succeeded) {
                onEnded.run();
                link.routeSelector().recordDirectCall(succeeded, sentMs, loop.now());
              }
            });
  }

  /** Serves the requests that peers relay through this node. */
  private final class PeerRequestHandler implements RelayTransport.Listener {
    @Override
    public OptionalLong onLinkState(LinkStateAdvertisement advertisement) {
      if (!links.accept(advertisement, loop.now())) {
        long knownStartMs = links.processStartedMs(advertisement.node());
        return knownStartMs > advertisement.processStartedMs()
            ? OptionalLong.of(knownStartMs)
            : OptionalLong.empty();
      }
      if (election != null) {
        if (advertisement.leading()) {
          election.leaderAnnounced(advertisement.node(), advertisement.term());
        } else {
          election.tokenSeen(advertisement.term());
        }
      }
      return OptionalLong.empty();
    }

    @Override
    public void onRelayedCall(
        ExternalService service,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        RequestSender.ResponseHandler responseHandler) {
      ExternalLink link = service == ExternalService.STATE ? state : cloud;
      if (links.isDown(service)) {
        responseHandler.onFailure(false);
        return;
      }
      link.directSender()
          .send(
              method, path, body, timeoutMs, new RelayedCallResponseHandler(link, responseHandler));
    }

    @Override
    public void onRelayedCommands(
        String address, byte[] body, RequestSender.ResponseHandler responseHandler) {
      workers.sendRelayed(address, body, responseHandler);
    }

    @Override
    public void onRelayedHeartbeat(
        int peer, byte[] body, RequestSender.ResponseHandler responseHandler) {
      Heartbeat heartbeat;
      try {
        heartbeat = WorkerCodec.decodeHeartbeat(Json.parseObject(body));
      } catch (InvalidMessageException e) {
        responseHandler.onResponse(
            400, Json.toBytes(Json.object().put(Fields.ERROR, e.getMessage())));
        return;
      }
      election.tokenSeen(heartbeat.fencingToken());
      if (!listener.isLeading() || peer < 0) {
        redirect(responseHandler);
        return;
      }
      heartbeatReceived(heartbeat, false);
      listener.handleHeartbeat(
          heartbeat,
          peer,
          new HeartbeatResponder() {
            @Override
            public void respond(long fencingToken, List<WorkerCommand> commands) {
              responseHandler.onResponse(
                  200, Json.toBytes(WorkerCodec.encodeCommands(fencingToken, commands)));
            }

            @Override
            public void retryLater() {
              responseHandler.onResponse(
                  503, Json.toBytes(Json.object().put(Fields.ERROR, "not now")));
            }
          });
    }

    private void redirect(RequestSender.ResponseHandler responseHandler) {
      String leader = election.leader();
      if (leader == null || leader.equals(settings.node())) {
        responseHandler.onResponse(
            503, Json.toBytes(Json.object().put(Fields.ERROR, "no leader known")));
      } else {
        responseHandler.onResponse(421, Json.toBytes(Json.object().put(Fields.LEADER, leader)));
      }
    }
  }

  /**
   * Passes the answer to a relayed call back to the peer and records whether this node's own link
   * works.
   */
  private final class RelayedCallResponseHandler implements RequestSender.ResponseHandler {
    private final ExternalLink link;
    private final RequestSender.ResponseHandler responseHandler;
    private final long sentMs = loop.now();

    RelayedCallResponseHandler(ExternalLink link, RequestSender.ResponseHandler responseHandler) {
      this.link = link;
      this.responseHandler = responseHandler;
    }

    @Override
    public void onResponse(int status, byte[] body) {
      boolean isUnavailable = link.isServiceUnavailable(status);
      link.routeSelector().recordDirectCall(!isUnavailable, sentMs, loop.now());
      if (isUnavailable) {
        responseHandler.onFailure(false);
      } else {
        responseHandler.onResponse(status, body);
      }
    }

    @Override
    public void onFailure(boolean sent) {
      link.routeSelector().recordDirectCall(false, sentMs, loop.now());
      responseHandler.onFailure(sent);
    }
  }
}
