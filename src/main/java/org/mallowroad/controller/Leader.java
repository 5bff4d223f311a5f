package org.mallowroad.controller;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.config.Settings;
import org.mallowroad.controller.dependency.DependencyGateController;
import org.mallowroad.controller.dependency.FoldMaintenance;
import org.mallowroad.controller.persistence.StateLoader;
import org.mallowroad.controller.persistence.WriteBehindCommitter;
import org.mallowroad.controller.provisioning.FailureResponder;
import org.mallowroad.controller.provisioning.MachineProvisioner;
import org.mallowroad.controller.provisioning.ProvisioningServices;
import org.mallowroad.controller.provisioning.ProvisioningSettings;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.scheduling.TaskScheduler;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.worker.HeartbeatResponder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One term of leadership: reads the records of the previous term, then places tasks, answers
 * workers and scales the fleet until it is stopped. Connects the components that do so ({@link
 * PlacementLoop}, {@link HeartbeatHandler}, {@link DirectCommandSender}, {@link
 * WriteBehindCommitter}, {@link MachineProvisioner} and others) and drives the life cycle of the
 * term.
 *
 * <p>Runs on the event loop only, as do all of its components.
 */
final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final long TICK_INTERVAL_MS = 250;

  private final LeaderServices services;
  private final EventLoop loop;
  private final ClusterConfig clusterConfig;
  private final Settings settings;
  private final LeaderElection election;
  private final LeadershipTerm term;
  private final Listener listener;
  private final LeaderContext context;
  private final LeaderLifecycle lifecycle;
  private final SchedulerState schedulerState;
  private final FailureResponder responder;
  private final WriteBudget writeBudget;
  private final WriteBehindCommitter committer;
  private final PlacementLoop placement;
  private final DependencyGateController dependencyGates;
  private final FoldMaintenance folds;
  private final StateLoader stateLoader;
  private final MachineProvisioner provisioner;
  private final LeaderIsolationDetector isolation;
  private final HeartbeatHandler heartbeats;
  private final DirectCommandSender directCommands;
  private final LeaderMonitor monitor;
  private final AuditLogger auditLogger;
  private final List<EventLoop.Timer> timers = new ArrayList<>();

  /** Receives the events of a term that the node has to act on. */
  interface Listener {
    /** Called when a worker lease has elapsed since the records of the previous term were read. */
    void onRecovered();

    /**
     * Called once a second while there are more uncommitted records than the state service can
     * accept.
     */
    void onOverloaded();

    /** Called when the completion of a job is committed. */
    void onJobDone(Job job);
  }

  /** Connects the components of a term; nothing runs before {@link #start()}. */
  Leader(LeaderServices services, LeadershipTerm term, Listener listener) {
    this.services = services;
    this.loop = services.loop();
    this.clusterConfig = services.clusterConfig();
    this.settings = clusterConfig.settings;
    this.election = services.election();
    this.term = term;
    this.listener = listener;
    this.context = LeaderContext.create(services, term);
    this.lifecycle = context.lifecycle();
    this.schedulerState = context.schedulerState();
    this.writeBudget = WriteBudget.create(settings, loop.now());
    this.placement =
        new PlacementLoop(loop, lifecycle, context.loadStatistics(), this::placeAndCommit);
    this.responder = newFailureResponder();
    this.committer = newCommitter();
    this.dependencyGates = newDependencyGates();
    this.folds = newFoldMaintenance();
    this.stateLoader = newStateLoader();
    this.provisioner = newProvisioner();
    this.isolation = new LeaderIsolationDetector(context, provisioner::runningMachineCount);
    this.heartbeats =
        new HeartbeatHandler(
            context,
            new HeartbeatHandler.Collaborators(
                responder, provisioner, committer, isolation, placement));
    this.directCommands =
        new DirectCommandSender(context, heartbeats::hasPendingReply, placement::requestPass);
    this.monitor = new LeaderMonitor(context, committer, listener::onOverloaded);
    this.auditLogger = new AuditLogger(context, stateLoader::newestRead);
  }

  private FailureResponder newFailureResponder() {
    return new FailureResponder(
        schedulerState,
        clusterConfig.zones,
        settings.heartbeatIntervalS(),
        settings.leaseS(),
        term.number(),
        context.startedMs());
  }

  private WriteBehindCommitter newCommitter() {
    return new WriteBehindCommitter(
        loop,
        services.state(),
        writeBudget.limiter(),
        schedulerState,
        clusterConfig.zones,
        new WriteBehindCommitter.Options(
            term.leaderKeyVersion(), writeBudget.maxTransactionWrites()),
        new CommitListener());
  }

  private DependencyGateController newDependencyGates() {
    return new DependencyGateController(
        loop,
        services.state(),
        schedulerState,
        services.claims(),
        term.leaderKeyVersion(),
        placement::requestPass,
        election::stepDown);
  }

  private FoldMaintenance newFoldMaintenance() {
    return new FoldMaintenance(
        loop,
        services.state(),
        services.claims(),
        writeBudget.limiter(),
        writeBudget.maxTransactionWrites(),
        term.leaderKeyVersion());
  }

  private StateLoader newStateLoader() {
    return new StateLoader(
        loop,
        services.state(),
        clusterConfig,
        schedulerState,
        committer,
        context.cancellationView(),
        new RecordListener());
  }

  private MachineProvisioner newProvisioner() {
    ProvisioningServices provisioningServices =
        new ProvisioningServices(
            loop,
            services.state(),
            services.cloud(),
            clusterConfig,
            clusterConfig.zones,
            schedulerState,
            writeBudget.limiter());
    ProvisioningSettings provisioningSettings =
        new ProvisioningSettings(
            clusterConfig.operatorSettings.autoscaler(),
            clusterConfig.objectives,
            writeBudget.maxTransactionWrites(),
            term.number(),
            term.leaderKeyVersion());
    return new MachineProvisioner(
        provisioningServices, provisioningSettings, responder, new ProvisioningListener());
  }

  /** The number of the term, which is the first fencing token of its block. */
  long term() {
    return term.number();
  }

  /** The open job with this id, or null if it is unknown or the records are not read yet. */
  Job job(String id) {
    return lifecycle.isServing() ? schedulerState.job(id) : null;
  }

  /** The scheduler state, read by metrics and snapshots. */
  SchedulerState schedulerState() {
    return schedulerState;
  }

  /** The task scheduler, read by snapshots. */
  TaskScheduler taskScheduler() {
    return context.taskScheduler();
  }

  /** The machine provisioner, read by snapshots. */
  MachineProvisioner provisioner() {
    return provisioner;
  }

  /** True once the records of the previous term are read and until the term ends. */
  boolean isServing() {
    return lifecycle.isServing();
  }

  /**
   * True once every worker has had time to send a heartbeat, so that machines may be rented and
   * returned.
   */
  boolean isActive() {
    return lifecycle.isActive();
  }

  /** True while the leader's lease at the state service is still valid. */
  boolean isLeaseValid() {
    return context.lease().isValid();
  }

  /**
   * Maximum event loop lag in milliseconds since the beginning of the previous logging interval of
   * ten seconds.
   */
  long worstLoopLagMs() {
    return context.loadStatistics().worstLoopLagMs();
  }

  /** Age of the leader's view of cancellations in milliseconds, or -1 before there is one. */
  long cancellationViewAgeMs() {
    return monitor.cancellationViewAgeMs();
  }

  /**
   * Stores the attempts of small jobs in shared records from now on. Every controller must be able
   * to read shared records.
   */
  void enableSharedAttemptRecords() {
    int valueBytes = (int) (settings.valueKb() * 1024);
    schedulerState
        .sharedAttemptRecords()
        .enable(
            WriteBehindCommitter.maxSharedMembers(writeBudget.maxTransactionWrites()), valueBytes);
  }

  /** Starts reading the records of the previous term. */
  void start() {
    timers.add(loop.every(TICK_INTERVAL_MS, this::detectPauses));
    stateLoader.load();
  }

  /**
   * Runs from the beginning of the term; otherwise a takeover that waits for its list calls would
   * be mistaken for a pause of the process.
   */
  private void detectPauses() {
    recordActivity();
    responder.recordTick();
    heartbeats.expireDeferred(loop.now());
  }

  /** Detects a pause of this process; called on each tick and before each message is handled. */
  void recordActivity() {
    responder.recordActivity(loop.now());
  }

  /** Ends the term; no writes or answers are sent afterwards. */
  void stop() {
    lifecycle.stop();
    timers.forEach(EventLoop.Timer::cancel);
    monitor.stop();
    stateLoader.stop();
    dependencyGates.stop();
    folds.stop();
    committer.stop();
    provisioner.stop();
    heartbeats.stop();
  }

  /** Answers a worker's heartbeat ({@link HeartbeatHandler#handle}). */
  void handleHeartbeat(Heartbeat heartbeat, int relayPeer, HeartbeatResponder responder) {
    heartbeats.handle(heartbeat, relayPeer, responder);
  }

  /**
   * Stops a job whose cancellation a peer or a user request reported. No invariant depends on this
   * notice, but it avoids wasted work.
   */
  void handleCancellation(String jobId) {
    Job job = job(jobId);
    if (job != null
        && !job.isCancelled()
        && !job.isEnded()
        && !schedulerState.jobsToComplete().contains(job)) {
      LOG.info("event=cancellation_received job={} view_age_ms={}", jobId, cancellationViewAgeMs());
      committer.jobCancelled(job);
      placement.requestPass();
    }
  }

  private void onRecordsLoaded(int recordCount, List<VersionedValue> rentRequests) {
    lifecycle.completeRecovery();
    // Delayed by the duration of a worker lease, since the writes of the takeover itself have
    // priority.
    loop.after(
        (long) (settings.leaseS() * 1000),
        () -> {
          if (!lifecycle.isStopped()) {
            listener.onRecovered();
          }
        });
    dependencyGates.loadReleases();
    folds.start();
    provisioner.start();
    rentRequests.forEach(
        request ->
            provisioner.restoreRental(
                request.key().substring(RecordKeys.RENTALS_PREFIX.length()), request.value()));
    auditLogger.logTakeover(recordCount, rentRequests.size(), loop.now());
    heartbeats.onRecovered();
    context.loadStatistics().startTicks(loop.now());
    timers.add(loop.every(TICK_INTERVAL_MS, this::tick));
    monitor.start();
  }

  private void tick() {
    long now = loop.now();
    writeBudget.rateAdjuster().update(now);
    context.loadStatistics().recordTick(now, TICK_INTERVAL_MS);
    if (isolation.isCutOffFromWorkers(now)) {
      // No other node can end this leadership: its lease is still renewed, and no worker can report
      // a higher term to it. Meanwhile the workers' leases expire, because the other nodes redirect
      // them to this one.
      LOG.warn(
          "event=heartbeats_missing term={} silence_ms={}",
          term.number(),
          isolation.silenceMs(now));
      election.resign();
      return;
    }
    if (!lifecycle.isActive() && now - context.startedMs() > firstHeartbeatsTimeoutMs()) {
      lifecycle.activate();
      LOG.info(
          "event=leader_active term={} machines={}",
          term.number(),
          schedulerState.machines().size());
      provisioner.activate();
    }
    monitor.checkCancellationView(now);
    schedulerState.expireLeases(now);
    auditLogger.tick(now);
    if (isLeaseValid()) {
      context.taskScheduler().drainInterruptedMachines(now);
    }
    placement.requestPass();
  }

  /**
   * Time after which every worker has had the opportunity to send a heartbeat to the new leader.
   */
  private long firstHeartbeatsTimeoutMs() {
    return (long) (settings.heartbeatIntervalS() * 1250) + 500;
  }

  private void placeAndCommit() {
    // Machines that have sent a heartbeat in this term may be assigned tasks; scaling the fleet
    // waits until all had the time to.
    if (isLeaseValid()) {
      context.taskScheduler().placeTasks(loop.now());
    }
    committer.commitPending();
    directCommands.sendPendingCommands();
  }

  private final class CommitListener implements WriteBehindCommitter.Listener {
    @Override
    public void deposed() {
      election.stepDown();
    }

    @Override
    public void committed() {
      directCommands.sendPendingCommands();
    }

    @Override
    public void addStartConditions(Job job, Transaction transaction) {
      dependencyGates.addStartConditions(job, transaction);
    }

    @Override
    public void gatedStartCommitted(Job job, long revision) {
      dependencyGates.startRecorded(job, revision);
    }

    @Override
    public void reloadStartConditions(Job job, Runnable next) {
      dependencyGates.revalidate(job, next);
    }

    @Override
    public void jobEnded(Job job, boolean done) {
      dependencyGates.jobEnded(job, done);
      if (done) {
        monitor.recordJobDone(job);
        listener.onJobDone(job);
      }
    }
  }

  private final class ProvisioningListener implements MachineProvisioner.Listener {
    @Override
    public boolean isLeaseValid() {
      return Leader.this.isLeaseValid();
    }

    @Override
    public List<Job> waitingJobs() {
      return context.taskScheduler().queue(loop.now());
    }

    @Override
    public void attemptsFreed() {
      placement.requestPass();
    }

    @Override
    public void deposed() {
      election.stepDown();
    }
  }

  private final class RecordListener implements StateLoader.Listener {
    @Override
    public void loaded(int recordCount, List<VersionedValue> rentRequests) {
      onRecordsLoaded(recordCount, rentRequests);
    }

    @Override
    public void jobAccepted() {
      writeBudget.rateAdjuster().jobAccepted();
    }

    @Override
    public void jobCancelled() {
      writeBudget.rateAdjuster().jobCancelled();
    }

    @Override
    public void openJobRestored(Job job) {
      dependencyGates.jobAccepted(job);
    }

    @Override
    public void stateChanged() {
      placement.requestPass();
    }
  }
}
