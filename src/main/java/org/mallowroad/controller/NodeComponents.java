package org.mallowroad.controller;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.mallowroad.api.JobProgress;
import org.mallowroad.api.Responder;
import org.mallowroad.api.UserApi;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.config.Settings;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.admission.AdmissionRateLimiter;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.ObservedEnvironment;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.peer.PeerMessenger;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.worker.HeartbeatApi;
import org.mallowroad.worker.HeartbeatResponder;
import org.mallowroad.worker.WorkerClient;

/**
 * Builds and connects the components of one node. Building starts nothing: {@link Node} drives
 * their life cycle. All components run on the event loop only.
 */
final class NodeComponents {
  private static final String JSON = "application/json";

  /**
   * Connections to the state service. While many answers are lost, each lost answer occupies a
   * connection until its call times out, and lease renewals and commits must find a free connection
   * even then.
   */
  private static final int STATE_CONNECTIONS = 128;

  /** Connections for watches of the state service, and connections to the cloud. */
  private static final int SMALL_POOL_CONNECTIONS = 8;

  /**
   * The memory limit divided by this number is the size of the largest accepted answer of an
   * external service.
   */
  private static final int MEMORY_TO_ANSWER_RATIO = 8;

  /**
   * Share of the state service's call rate that all nodes together use to retry late transactions.
   */
  private static final double STATE_RETRY_SHARE = 0.3;

  private static final double MIN_STATE_RETRIES_PER_S = 4;

  /**
   * Share of the cloud's rate limit that is used as the sustained rate; the rest is reserved for
   * bursts.
   */
  private static final double CLOUD_RATE_SHARE = 0.8;

  private static final int MIN_WORKER_CONNECTIONS = 16;
  private static final int SOCKETS_PER_WORKER_CONNECTION = 8;

  /**
   * Share of the state service's call rate that all nodes together use for user requests. The rest
   * is reserved for accepting jobs, commits, lease renewals and watches: beyond the limit the
   * service rejects any call, and a leader that cannot renew its lease loses it.
   */
  private static final double USER_READ_SHARE = 0.6;

  private static final double MIN_USER_READS_PER_S = 4;

  /** Share of the state service's write rate that user requests may use. */
  private static final double USER_WRITE_SHARE = 0.45;

  /** Burst of the writes for user requests, as a share of the write rate per second. */
  private static final double USER_WRITE_BURST_SHARE = 0.6;

  private static final double USER_WRITE_BURST_PER_NODE = 4;

  /** A transaction may have four times as many conditions as writes (see PROTOCOL). */
  private static final int CONDITIONS_PER_WRITE = 4;

  /**
   * Ended jobs remembered per MB of memory: at about 120 bytes each they take a twentieth of the
   * memory.
   */
  private static final int ENDED_JOBS_PER_MB = 400;

  final ClusterConfig clusterConfig;
  final NodeEnvironment environment;
  final EventLoop loop;
  final CloudClient cloud;
  final KeyValueStore state;
  final LeaderElection election;
  final LocalLeadership leadership;
  final WorkerClient workers;
  final UserApi users;
  final HeartbeatApi heartbeatApi;
  final PeerMessenger peers;
  final MachineTypeCache machineTypes;
  final CancellationPropagation cancellations;
  final AdmissionRateLimiter admission;

  /**
   * Monitors links and relays requests around broken ones; null if the operator has disabled it.
   */
  final LinkMonitor links;

  NodeComponents(ClusterConfig clusterConfig, NodeEnvironment nodeEnvironment) {
    this.clusterConfig = clusterConfig;
    this.environment = new ObservedEnvironment(nodeEnvironment, this::recordActivity);
    this.loop = environment.loop();
    Settings settings = clusterConfig.settings();
    int maxAnswerBytes = (int) (settings.ramMb() * 1024 * 1024) / MEMORY_TO_ANSWER_RATIO;
    RequestSender stateCalls =
        environment.requestSender(settings.state(), JSON, STATE_CONNECTIONS, maxAnswerBytes);
    RequestSender cloudCalls =
        environment.requestSender(settings.cloud(), JSON, SMALL_POOL_CONNECTIONS, maxAnswerBytes);
    RequestSender stateWatches =
        environment.requestSender(settings.state(), JSON, SMALL_POOL_CONNECTIONS, maxAnswerBytes);
    boolean isLinkMonitoringEnabled =
        clusterConfig.operatorSettings.links().isPresent() && !settings.members().isEmpty();
    this.links =
        isLinkMonitoringEnabled
            ? new LinkMonitor(
                environment,
                clusterConfig,
                clusterConfig.operatorSettings.links().get(),
                stateCalls,
                cloudCalls)
            : null;
    this.state = newStateClient(settings, stateCalls, stateWatches);
    this.admission = new AdmissionRateLimiter(loop.now());
    this.cloud = newCloudClient(settings, cloudCalls);
    this.machineTypes = new MachineTypeCache(loop, state, cloud, clusterConfig);
    this.workers =
        new WorkerClient(
            environment,
            Math.max(
                MIN_WORKER_CONNECTIONS, settings.maxSockets() / SOCKETS_PER_WORKER_CONNECTION));
    this.users = newUserApi(settings);
    this.election =
        new LeaderElection(
            loop,
            state,
            settings.node(),
            settings.node().hashCode(),
            () -> links == null ? 0 : links.electionDelayMs(),
            new ElectionListener());
    this.heartbeatApi = new HeartbeatApi(loop, new HeartbeatListener());
    this.peers = new PeerMessenger(environment, settings.members(), new PeerListener());
    this.cancellations = new CancellationPropagation(loop, settings, peers);
    this.leadership =
        new LocalLeadership(newLeaderServices(), peers, users, admission, machineTypes);
    users.setCancellationListener(this::handleCancellation);
    if (links != null) {
      peers.setRelayTransport(links.transport());
      workers.setRelay(links.transport()::relayCommands);
    }
  }

  /** Lets the leader notice a pause of this process before it handles the message read now. */
  private void recordActivity() {
    if (leadership.isLeading()) {
      leadership.leader().recordActivity();
    }
  }

  private KeyValueStore newStateClient(
      Settings settings, RequestSender calls, RequestSender watches) {
    KeyValueStore client =
        links == null
            ? new KeyValueStore(loop, calls, watches)
            : new KeyValueStore(loop, links.state(calls), links.state(watches));
    client.setRetriesPerSecond(
        Math.max(
            MIN_STATE_RETRIES_PER_S,
            settings.stateRps() * STATE_RETRY_SHARE / settings.nodeCount()));
    return client;
  }

  private CloudClient newCloudClient(Settings settings, RequestSender calls) {
    return new CloudClient(
        loop,
        links == null ? calls : links.cloud(),
        new RateLimiter(settings.cloudRps() * CLOUD_RATE_SHARE, settings.cloudRps(), loop.now()),
        clusterConfig.typeNames,
        clusterConfig.zones);
  }

  private UserApi newUserApi(Settings settings) {
    long now = loop.now();
    double readRps =
        Math.max(
            MIN_USER_READS_PER_S, settings.stateRps() * USER_READ_SHARE / settings.nodeCount());
    double writeRps = settings.stateWriteRps() * USER_WRITE_SHARE;
    return new UserApi(
        loop,
        state,
        new UserApi.Limits(
            new RateLimiter(readRps, readRps, now),
            readRps,
            new RateLimiter(writeRps, settings.stateWriteRps() * USER_WRITE_BURST_SHARE, now),
            new RateLimiter(writeRps / settings.nodeCount(), USER_WRITE_BURST_PER_NODE, now),
            settings.valueKb(),
            CONDITIONS_PER_WRITE * settings.txnOps(),
            (int) (settings.ramMb() * ENDED_JOBS_PER_MB)),
        new JobChecks());
  }

  private LeaderServices newLeaderServices() {
    return new LeaderServices(
        loop,
        state,
        cloud,
        clusterConfig,
        election,
        workers,
        users.claimService(),
        () -> links == null ? 0 : links.links().freshAdvertisementCount(loop.now()));
  }

  /**
   * Handles a confirmed cancellation that was read from the state service or reported by a peer:
   * the leader stops the job's tasks at once, and the other controllers are notified.
   */
  private void handleCancellation(String jobId) {
    leadership.handleCancellation(jobId);
    cancellations.propagate(jobId, election.leader());
  }

  /**
   * Passes the election's events to the leadership. The leadership is built after the election
   * because it needs it.
   */
  private final class ElectionListener implements LeaderElection.Listener {
    @Override
    public void elected(long term, long version) {
      leadership.elected(term, version);
    }

    @Override
    public void deposed() {
      leadership.deposed();
    }
  }

  /** Answers the user API's questions about jobs that their records alone do not answer. */
  private final class JobChecks implements UserApi.LocalJobs {
    @Override
    public boolean tryAdmit() {
      return admission.tryAdmit(loop.now());
    }

    @Override
    public JobSpec validate(JsonNode submission) throws InvalidMessageException {
      return clusterConfig.codec.validate(submission);
    }

    @Override
    public boolean hasMachineTypes() {
      return !clusterConfig.machineTypes().isEmpty();
    }

    @Override
    public Optional<String> rejectionReason(JobSpec spec) {
      return Optional.ofNullable(clusterConfig.rejectionReason(spec));
    }

    @Override
    public JobProgress progress(String id) {
      Job job = leadership.isLeading() ? leadership.leader().job(id) : null;
      return job == null ? null : new JobProgress(job.doneTaskCount(), job.runningCount());
    }
  }

  private final class PeerListener implements PeerMessenger.Listener {
    @Override
    public void onJobsCancelled(List<String> jobs) {
      cancellations.handlePeerNotification(jobs, users::cacheOutcome);
    }

    @Override
    public void onLeaderOverloaded(long term) {
      if (term >= election.highestSeenToken() || term == election.leaderTerm()) {
        admission.recordOverload(loop.now());
      }
    }

    @Override
    public void onLeadershipAnnounced(String node, long term) {
      election.leaderAnnounced(node, term);
    }

    @Override
    public void onRelayedRequest(String method, String path, byte[] body, Responder responder) {
      users.serve(method, path, body, responder);
    }
  }

  private final class HeartbeatListener implements HeartbeatApi.Handler {
    @Override
    public void onFencingToken(long fencingToken) {
      election.tokenSeen(fencingToken);
    }

    @Override
    public boolean isLeader() {
      return leadership.isLeading();
    }

    @Override
    public String leaderName() {
      String leader = election.leader();
      return leader == null || leader.equals(clusterConfig.settings.node()) ? null : leader;
    }

    @Override
    public boolean relayToLeader(IncomingRequest request, Heartbeat heartbeat, String leader) {
      return links != null && links.forwardHeartbeat(request, heartbeat, leader);
    }

    @Override
    public void onHeartbeat(Heartbeat heartbeat, HeartbeatResponder responder) {
      if (links != null) {
        links.heartbeatReceived(heartbeat, true);
      }
      leadership.leader().handleHeartbeat(heartbeat, -1, responder);
    }
  }
}
