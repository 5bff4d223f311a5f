package org.mallowroad.controller;

import java.util.List;
import org.mallowroad.api.Reply;
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
 * What a node does about its links: tells its row, tries ways that nothing else uses, and carries
 * what others cannot deliver themselves. The decisions are those of {@code core.linkstate}.
 *
 * <p><b>Why a carried report breaks no rule.</b> The worker counts its lease from when it
 * <i>sent</i> the report, and drops an answer after 4 s; the leader counts from when it
 * <i>answered</i> ({@code Machine.lastAnswerMs}), which is later, by whichever way the report came.
 * So the proof by lease in {@code SchedulerState} holds as it stands. The answer carries the token
 * of the leader that gave it: a deposed one's is dropped by every worker that has seen a later one,
 * and one that has not may stay with it exactly as if it reached it directly, until the leader's
 * view is stale ({@code CancellationView}), or this node hears of the later term (rows,
 * announcements, other workers' tokens) and carries nothing there any more. A node adds nothing to
 * an answer and remembers none. Orders by way of a peer without an answer are {@code UNKNOWN}, held
 * uncleared and fenced as any.
 */
final class LinkMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(LinkMonitor.class);
  private static final long BEAT_MS = 250;
  private static final long PROBE_TIMEOUT_MS = 1_000;

  /** A link that nothing used for so long is tried. */
  private static final long IDLE_MS = 1_500;

  /** After a start on a fraction of a core other things come first. */
  private static final long FIRST_ROW_MS = 2_000;

  /** Before that a failure may be a moment's. */
  private static final long ISOLATED_MS = 3_000;

  /** A node that others serve better than lets them go first for so long, for each reason. */
  private static final long HANDICAP_MS = 300;

  /** What a leader learnt of its link to the workers holds for so long after. */
  private static final long REMEMBER_MS = 30_000;

  /** Reports that are being carried at once; more are turned away. */
  private static final int MOST_CARRYING = 192;

  private final EventLoop loop;
  private final Settings settings;
  private final ClusterConfig clusterConfig;
  private final LinkPolicy policy;
  private final LinkStateTable links;
  private final RouteSelector state;
  private final RouteSelector cloud;
  private final HeartbeatRelay carriage;
  private final RelayTransport forwarding;
  private final RequestSender stateDirect;
  private final RequestSender cloudDirect;
  private final LogLimiter lines = new LogLimiter(20, 10_000);
  private LeaderElection election;
  private WorkerClient workers;
  private Listener listener;
  private int carrying;
  private boolean probing;
  private long directMs = Long.MIN_VALUE / 2;
  private long carriedMs = Long.MIN_VALUE / 2;

  /** The node that has these duties. */
  interface Listener {
    /** True while this node leads. */
    boolean leading();

    /** Answers a report that a peer brought; null means not now. */
    void report(Heartbeat r, int via, HeartbeatResponder reply);
  }

  /** Over the direct ways to the outside parties. */
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
    this.stateDirect = stateDirect;
    this.cloudDirect = cloudDirect;
    List<Member> members = settings.members();
    this.links =
        new LinkStateTable(
            policy,
            settings.node(),
            members.stream().map(Member::node).toList(),
            settings.zones(),
            loop.wallMs(),
            loop.now());
    this.state = new RouteSelector(links, ExternalService.STATE);
    this.cloud = new RouteSelector(links, ExternalService.CLOUD);
    this.carriage = new HeartbeatRelay(policy, settings.zones().size());
    this.forwarding = new RelayTransport(host, members, links, new FromPeers());
  }

  /** A caller of the state service that goes round cuts, over one that does not. */
  RequestSender state(RequestSender direct) {
    return new RelayedCaller(
        loop, direct, ExternalService.STATE, state, forwarding, policy.hedgeMs());
  }

  /** A caller of the cloud that goes round cuts. */
  RequestSender cloud() {
    return new RelayedCaller(
        loop, cloudDirect, ExternalService.CLOUD, cloud, forwarding, policy.hedgeMs());
  }

  RelayTransport forwarding() {
    return forwarding;
  }

  LinkStateTable links() {
    return links;
  }

  HeartbeatRelay carriage() {
    return carriage;
  }

  /** The way to the state service. */
  RouteSelector stateRoute() {
    return state;
  }

  /** Begins. */
  void start(LeaderElection e, WorkerClient w, Listener o) {
    election = e;
    workers = w;
    listener = o;
    loop.every(BEAT_MS, this::beat);
    loop.after(FIRST_ROW_MS, () -> loop.every(policy.rowMs(), this::tell));
  }

  /** Calls of this node that were done by way of a peer. */
  long detours() {
    return state.detours() + cloud.detours();
  }

  /**
   * True when this node reaches neither the state service nor any peer: others that do serve users
   * better. While peers are heard it passes users on to them, and in an outage they say so.
   */
  boolean isolated() {
    long now = loop.now();
    return state.astray()
        && links.freshRows(now) == 0
        && now - links.sinceMs(ExternalService.STATE) > ISOLATED_MS;
  }

  /** How long this node lets others go first when a leader is sought. */
  long handicapMs() {
    boolean noWorkers = carriedMs - directMs > IDLE_MS && loop.now() - carriedMs < REMEMBER_MS;
    return (state.astray() ? HANDICAP_MS : 0) + (noWorkers ? HANDICAP_MS : 0);
  }

  private void tell() {
    boolean leads = listener.leading();
    // A leader's own term, not the tokens within it that single workers have.
    long term = leads ? election.leaderTerm() : election.seenTerm();
    forwarding.tell(links.own(term, leads, loop.now()));
  }

  private void beat() {
    long now = loop.now();
    long age = links.ageMs(ExternalService.STATE, now);
    boolean idle = !state.astray() && (age < 0 || age > IDLE_MS);
    if (!probing && (state.probeDue(now) || idle)) {
      probing = true;
      probe(stateDirect, "/kv/" + LeaderElection.LEADER, state, true);
    }
    // Only the leader uses the cloud, and no detour is needed where nothing is asked.
    if (cloud.probeDue(now) && listener.leading()) {
      probe(cloudDirect, CloudClient.MACHINE_TYPES_PATH, cloud, false);
    }
    for (LinkStateTable.Change c : links.changes()) {
      if (lines.tryAcquire(now)) {
        LOG.warn(
            "event={} from={} to={} before_ms={} by={} left_out={}",
            c.down() ? "link_down" : "link_up",
            c.from(),
            c.to(),
            c.sinceMs(),
            c.by(),
            lines.suppressed() + links.leftOut());
      }
    }
  }

  private void probe(RequestSender direct, String path, RouteSelector route, boolean ofState) {
    long sentMs = loop.now();
    direct.call(
        "GET",
        path,
        null,
        PROBE_TIMEOUT_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void answered(int status, byte[] body) {
            done(!ofState || status != 503);
          }

          @Override
          public void failed(boolean sent) {
            done(false);
          }

          private void done(boolean worked) {
            if (ofState) {
              probing = false;
            }
            route.direct(worked, sentMs, loop.now());
          }
        });
  }

  /** A report that came to this node, which leads. */
  void heard(Heartbeat r, boolean direct) {
    if (direct) {
      directMs = loop.now();
    } else {
      carriedMs = loop.now();
    }
    links.heard(clusterConfig.zones.find(r.zone()), direct, loop.now());
  }

  /** Carries a report to the leader where its worker does not get there; false: it is sent on. */
  boolean carry(IncomingRequest x, Heartbeat r, String leader) {
    int peer = links.peer(leader);
    if (peer < 0) {
      return false;
    }
    long now = loop.now();
    LinkStateAdvertisement row = links.fresh(peer, now);
    LinkStateAdvertisement.Heard h = row == null ? null : row.zone(r.zone());
    boolean stay =
        carriage.carry(
            r.machine(),
            clusterConfig.zones.find(r.zone()),
            r.fencingToken(),
            election.leaderTerm(),
            h == null ? -1 : h.directMs(),
            now);
    if (!stay) {
      return false;
    }
    if (links.downPeer(peer)) {
      // Neither of us gets there: the next node may, and the worker must not wait to hear it.
      Reply.retryLater(x, "the leader is not reached");
      return true;
    }
    if (carrying >= MOST_CARRYING) {
      Reply.retryLater(x, "too many reports are carried");
      return true;
    }
    carrying++;
    forwarding.carry(
        peer,
        settings.node(),
        x.body(),
        new RequestSender.ResponseHandler() {
          @Override
          public void answered(int status, byte[] body) {
            carrying--;
            x.answer(status, "application/json", body, status == 503);
          }

          @Override
          public void failed(boolean sent) {
            carrying--;
            Reply.retryLater(x, "the leader is not reached");
          }
        });
    return true;
  }

  private final class FromPeers implements RelayTransport.Listener {
    @Override
    public long row(LinkStateAdvertisement row) {
      if (!links.row(row, loop.now())) {
        long began = links.began(row.node());
        return began > row.started() ? began : 0;
      }
      if (election != null) {
        if (row.leading()) {
          election.announced(row.node(), row.term());
        } else {
          election.sawTerm(row.term());
        }
      }
      return 0;
    }

    @Override
    public void forward(
        ExternalService to,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        RequestSender.ResponseHandler answer) {
      RouteSelector own = to == ExternalService.STATE ? state : cloud;
      if (links.down(to)) {
        answer.failed(false);
        return;
      }
      long sentMs = loop.now();
      (to == ExternalService.STATE ? stateDirect : cloudDirect)
          .call(
              method,
              path,
              body,
              timeoutMs,
              new RequestSender.ResponseHandler() {
                @Override
                public void answered(int status, byte[] bytes) {
                  boolean refused = to == ExternalService.STATE && status == 503;
                  own.direct(!refused, sentMs, loop.now());
                  if (refused) {
                    answer.failed(false);
                  } else {
                    answer.answered(status, bytes);
                  }
                }

                @Override
                public void failed(boolean sent) {
                  own.direct(false, sentMs, loop.now());
                  answer.failed(sent);
                }
              });
    }

    @Override
    public void commands(String address, byte[] body, RequestSender.ResponseHandler answer) {
      workers.sendRelayed(address, body, answer);
    }

    @Override
    public void carried(int peer, byte[] report, RequestSender.ResponseHandler answer) {
      Heartbeat r;
      try {
        r = WorkerCodec.decodeHeartbeat(Json.parseObject(report));
      } catch (InvalidMessageException e) {
        answer.answered(400, Json.bytes(Json.object().put(Fields.ERROR, e.getMessage())));
        return;
      }
      election.sawTerm(r.fencingToken());
      if (!listener.leading() || peer < 0) {
        String leader = election.leader();
        if (leader == null || leader.equals(settings.node())) {
          answer.answered(503, Json.bytes(Json.object().put(Fields.ERROR, "no leader known")));
        } else {
          answer.answered(421, Json.bytes(Json.object().put(Fields.LEADER, leader)));
        }
        return;
      }
      heard(r, false);
      listener.report(
          r,
          peer,
          new HeartbeatResponder() {
            @Override
            public void respond(long fencingToken, List<WorkerCommand> commands) {
              answer.answered(200, Json.bytes(WorkerCodec.encodeCommands(fencingToken, commands)));
            }

            @Override
            public void retryLater() {
              answer.answered(503, Json.bytes(Json.object().put(Fields.ERROR, "not now")));
            }
          });
    }
  }
}
