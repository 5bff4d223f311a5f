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
 * workers and sizes the fleet until it is stopped. Connects the parts that do so ({@link
 * PlacementLoop}, {@link HeartbeatHandler}, {@link DirectCommandSender}, {@link
 * WriteBehindCommitter}, {@link MachineProvisioner} and others) and drives the term's life cycle.
 *
 * <p>Runs on the event loop only, as all of its parts.
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
  private final List<EventLoop.Timer> timers = new ArrayList<>();

  /** Notified of what the node has to do for its leader. */
  interface Listener {
    /** The records of the previous term are read, and a lease has passed since. */
    void recovered();

    /** There is more to commit than the state service takes; called once a second. */
    void overloaded();

    /** A job's end as done is committed. */
    void jobDone(Job job);
  }

  /** Connects the parts of a term; nothing runs before {@link #start()}. */
  Leader(LeaderServices services, LeadershipTerm term, Listener listener) {
    this.services = services;
    this.loop = services.loop();
    this.clusterConfig = services.clusterConfig();
    this.settings = clusterConfig.settings;
    this.election = services.election();
    this.term = term;
    this.listener = listener;
    this.context = LeaderContext.begin(services, term);
    this.lifecycle = context.lifecycle();
    this.schedulerState = context.schedulerState();
    this.writeBudget = WriteBudget.begin(settings, loop.now());
    this.placement = new PlacementLoop(loop, lifecycle, context.load(), this::placeAndCommit);
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
            new HeartbeatHandler.Parts(responder, provisioner, committer, isolation, placement));
    this.directCommands =
        new DirectCommandSender(context, heartbeats::hasPendingReply, placement::requestPass);
    this.monitor = new LeaderMonitor(context, committer, listener::overloaded);
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
            clusterConfig.operator.fleet(),
            clusterConfig.objectives,
            writeBudget.maxTransactionWrites(),
            term.number(),
            term.leaderKeyVersion());
    return new MachineProvisioner(
        provisioningServices, provisioningSettings, responder, new ProvisioningListener());
  }

  /** The first token of this term's block. */
  long term() {
    return term.number();
  }

  /** A job of this term, or null. */
  Job job(String id) {
    return lifecycle.isServing() ? schedulerState.job(id) : null;
  }

  /** Read by metrics and snapshots. */
  SchedulerState schedulerState() {
    return schedulerState;
  }

  /** Read by snapshots. */
  TaskScheduler taskScheduler() {
    return context.taskScheduler();
  }

  /** Read by snapshots. */
  MachineProvisioner provisioner() {
    return provisioner;
  }

  /** True once the records of the term before are read. */
  boolean isServing() {
    return lifecycle.isServing();
  }

  /** True once every worker had time to send a heartbeat: machines are rented and returned. */
  boolean isActive() {
    return lifecycle.isActive();
  }

  /** True while the leader's lease at the state service is still valid. */
  boolean isLeaseValid() {
    return context.lease().isValid();
  }

  /** How late the event loop ran at worst in the last ten seconds, in milliseconds. */
  long loopLagMs() {
    return context.load().worstLoopLagMs();
  }

  /** The age of the view of cancellations, or -1 before there is one: for metrics. */
  long cancellationViewAgeMs() {
    return monitor.cancellationViewAgeMs();
  }

  /** Every controller reads shared records of starts: small jobs have them from now on. */
  void enableSharedAttemptRecords() {
    int valueBytes = (int) (settings.valueKb() * 1024);
    schedulerState
        .sharedAttemptRecords()
        .enable(
            WriteBehindCommitter.maxSharedMembers(writeBudget.maxTransactionWrites()), valueBytes);
  }

  /** Begins to read the records of the term before. */
  void start() {
    timers.add(loop.every(TICK_INTERVAL_MS, this::detectPauses));
    stateLoader.load();
  }

  /**
   * Runs from the first moment on, or a takeover that waits for its lists would look like a pause
   * of the process.
   */
  private void detectPauses() {
    responder.recordActivity(loop.now());
    responder.recordTick();
    heartbeats.expireDeferred(loop.now());
  }

  /** Ends the term; nothing is written or answered after. */
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
   * A peer or a user's request reported a cancellation: never needed for a rule, but it saves work.
   */
  void cancellationReceived(String id) {
    Job job = job(id);
    if (job != null
        && !job.isCancelled()
        && !job.isEnded()
        && !schedulerState.jobsToComplete().contains(job)) {
      LOG.info("event=cancellation_received job={} view_age_ms={}", id, cancellationViewAgeMs());
      committer.jobCancelled(job);
      placement.requestPass();
    }
  }

  private void recovered(int records, List<VersionedValue> rentRequests) {
    lifecycle.recovered();
    // Delayed by a lease: the writes of the takeover itself go first.
    loop.after(
        (long) (settings.leaseS() * 1000),
        () -> {
          if (!lifecycle.isStopped()) {
            listener.recovered();
          }
        });
    dependencyGates.start();
    folds.start();
    provisioner.start();
    rentRequests.forEach(
        i ->
            provisioner.restoreRental(
                i.key().substring(RecordKeys.RENTALS_PREFIX.length()), i.value()));
    LOG.info(
        "event=takeover term={} jobs={} records={} rent_requests={} ms={}",
        term.number(),
        schedulerState.jobs().size(),
        records,
        rentRequests.size(),
        loop.now() - context.startedMs());
    heartbeats.recovered();
    context.load().ticksBegin(loop.now());
    timers.add(loop.every(TICK_INTERVAL_MS, this::tick));
    monitor.start();
  }

  private void tick() {
    long now = loop.now();
    writeBudget.share().update(now);
    context.load().tick(now, TICK_INTERVAL_MS);
    if (isolation.isCutOffFromWorkers(now)) {
      // Nobody else can end this leadership: its lease is renewed, and no worker can carry a higher
      // term to it. Meanwhile the workers' leases run out at the nodes that send them here.
      LOG.warn(
          "event=heartbeats_missing term={} silence_ms={}",
          term.number(),
          isolation.silenceMs(now));
      election.resign();
      return;
    }
    if (!lifecycle.isActive() && now - context.startedMs() > firstHeartbeatsMs()) {
      lifecycle.activate();
      LOG.info(
          "event=leader_active term={} machines={}",
          term.number(),
          schedulerState.machines().size());
      provisioner.activate();
    }
    monitor.checkCancellationView(now);
    schedulerState.expireLeases(now);
    if (isLeaseValid()) {
      context.taskScheduler().drainInterruptedMachines(now);
    }
    placement.requestPass();
  }

  /** By then every worker had time to send a heartbeat to the new leader. */
  private long firstHeartbeatsMs() {
    return (long) (settings.heartbeatIntervalS() * 1250) + 500;
  }

  private void placeAndCommit() {
    // Machines that sent a heartbeat in this term may get work; the fleet's size waits for all.
    if (isLeaseValid()) {
      context.taskScheduler().placeTasks(loop.now());
    }
    committer.commitPending();
    directCommands.sendOutbox();
  }

  private final class CommitListener implements WriteBehindCommitter.Listener {
    @Override
    public void deposed() {
      election.stepDown();
    }

    @Override
    public void committed() {
      directCommands.sendOutbox();
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
        monitor.jobDone(job);
        listener.jobDone(job);
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
    public void loaded(int count, List<VersionedValue> rental) {
      recovered(count, rental);
    }

    @Override
    public void jobAccepted() {
      writeBudget.share().jobAccepted();
    }

    @Override
    public void jobCancelled() {
      writeBudget.share().jobCancelled();
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
