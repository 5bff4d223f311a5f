package org.mallowroad.controller;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.IntSupplier;
import org.mallowroad.api.Folding;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.controller.dependency.DependencyGateController;
import org.mallowroad.controller.dependency.FoldMaintenance;
import org.mallowroad.controller.persistence.StateLoader;
import org.mallowroad.controller.persistence.WriteBehindCommitter;
import org.mallowroad.controller.persistence.WriteRateLimiter;
import org.mallowroad.controller.provisioning.FailureResponder;
import org.mallowroad.controller.provisioning.MachineProvisioner;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.CostAccounting;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.core.admission.RecordLag;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.objective.ObjectiveAttainment;
import org.mallowroad.core.scheduling.TaskScheduler;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.worker.HeartbeatResponder;
import org.mallowroad.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of leadership: takes over, then places tasks, answers workers and sizes the fleet. */
final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final long FIRM_MS = 2_800;
  private static final long HOLD_MS = 300;

  /**
   * Passes of placement are at least this far apart, and twice as far as the last one took: their
   * number must not grow with the number of reports.
   */
  private static final long PASS_MS = 40;

  private static final long TICK_MS = 250;
  private static final long LAG_MS = 1_000;
  private static final long LOAD_MS = 10_000;
  private static final long SERVED_MS = 60_000;
  private static final int FEW_MACHINES = 8;

  /**
   * So long after its last renewal a lease of 3 s is over at the service, whatever is on its way.
   */
  private static final long ALONE_MS = 4_500;

  /** A worker's way round: a report without an answer, the pause, and the same once more. */
  private static final long ROUND_MS = 10_000;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ClusterConfig clusterConfig;
  private final LeaderElection election;
  private final long term;
  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private final WriteBehindCommitter committer;
  private final MachineProvisioner fleet;
  private final FailureResponder responder;
  private final Listener listener;
  private final IntSupplier reachablePeers;
  private final long startedMs;
  private final CancellationView view;
  private final int maxOps;
  private final List<EventLoop.Timer> duties = new ArrayList<>();
  private final DeferredHeartbeats early = new DeferredHeartbeats();
  private final WorkerClient workers;
  private final ObjectOpenHashSet<String> holding = new ObjectOpenHashSet<>();
  private long heardMs;
  private boolean heard;
  private boolean loaded;
  private boolean stale;
  private boolean acting;
  private boolean stopped;
  private boolean placing;
  private long passEndedNs;
  private long passNs;
  private final List<Runnable> afterPass = new ArrayList<>();
  private final RecordLag recordLag = new RecordLag();
  private final Load load = new Load();
  private final ObjectiveAttainment served;
  private final WriteRateLimiter share;
  private final StateLoader records;
  private final DependencyGateController holds;
  private final FoldMaintenance folds;

  /** What a leader tells its node. */
  interface Listener {
    /** The records of the term before are read, and what they demanded is written. */
    void recordsRead();

    /** There is more to record than the state service takes; told once a second. */
    void overloaded();

    /** A job's end as done is recorded. */
    void ended(Job job);
  }

  Leader(
      EventLoop loop,
      KeyValueStore state,
      CloudClient cloud,
      ClusterConfig clusterConfig,
      LeaderElection election,
      long term,
      long version,
      WorkerClient workers,
      Folding folding,
      IntSupplier reachablePeers,
      Listener listener) {
    this.loop = loop;
    this.state = state;
    this.clusterConfig = clusterConfig;
    this.election = election;
    this.term = term;
    this.listener = listener;
    this.reachablePeers = reachablePeers;
    this.served = new ObjectiveAttainment(clusterConfig.classes, clusterConfig.teams());
    this.workers = workers;
    this.startedMs = loop.now();
    this.heardMs = startedMs;
    this.schedulerState =
        new SchedulerState(
            term,
            clusterConfig.settings.leaseS(),
            clusterConfig.settings.heartbeatIntervalS(),
            clusterConfig.teams(),
            clusterConfig.zones,
            new FleetHealth(
                clusterConfig.operator.health(),
                clusterConfig.zones.size(),
                clusterConfig.settings.heartbeatIntervalS(),
                startedMs),
            clusterConfig.operator.fetches());
    this.responder =
        new FailureResponder(
            schedulerState,
            clusterConfig.zones,
            clusterConfig.settings.heartbeatIntervalS(),
            clusterConfig.settings.leaseS(),
            term,
            startedMs);
    this.placement = new TaskScheduler(schedulerState);
    this.view =
        new CancellationView(
            CancellationView.mostAgeMs(
                clusterConfig.settings.leaseS(), clusterConfig.settings.cancelS()));
    double writeRps = clusterConfig.settings.stateWriteRps();
    // A transaction larger than the bucket would wait for ever, so the one bounds the other.
    this.maxOps = (int) Math.max(4, Math.min(clusterConfig.settings.txnOps(), writeRps * 0.8));
    RateLimiter writes =
        new RateLimiter(writeRps * 0.75, Math.max(maxOps, writeRps * 0.7), loop.now());
    this.share = new WriteRateLimiter(writeRps, writes, loop.now());
    this.committer =
        new WriteBehindCommitter(
            loop,
            state,
            writes,
            schedulerState,
            clusterConfig.zones,
            version,
            maxOps,
            new WriteBehindCommitter.Events() {
              @Override
              public void deposed() {
                election.stepDown();
              }

              @Override
              public void committed() {
                push();
              }

              @Override
              public void guard(Job job, Transaction transaction) {
                holds.guard(job, transaction);
              }

              @Override
              public void guarded(Job job, long revision) {
                holds.guarded(job, revision);
              }

              @Override
              public void reguard(Job job, Runnable next) {
                holds.reguard(job, next);
              }

              @Override
              public void ended(Job job, boolean done) {
                holds.ended(job, done);
                if (done) {
                  LOG.info(
                      "event=job_done job={} priority={} tasks={} age_s={} due_s={}"
                          + " placed_s={} tries={} cpus={} est={}",
                      job.spec.id(),
                      job.spec.priority(),
                      job.spec.tasks(),
                      (loop.now() - job.submittedMs()) / 1000,
                      (long) job.spec.dueS(),
                      (job.lastStartMs() - job.submittedMs()) / 1000,
                      job.maxAttemptNumber(),
                      job.spec.cpus(),
                      job.spec.estimateS());
                  served.done(job);
                  listener.ended(job);
                }
              }
            });
    this.holds =
        new DependencyGateController(
            loop,
            state,
            schedulerState,
            folding,
            version,
            this::advance,
            () -> election.stepDown());
    this.folds = new FoldMaintenance(loop, state, folding, writes, maxOps, version);
    this.records =
        new StateLoader(
            loop, state, clusterConfig, schedulerState, committer, view, new RecordListener());
    this.fleet =
        new MachineProvisioner(
            loop,
            state,
            cloud,
            clusterConfig,
            clusterConfig.zones,
            clusterConfig.operator.fleet(),
            clusterConfig.objectives,
            schedulerState,
            responder,
            writes,
            maxOps,
            term,
            version,
            new MachineProvisioner.Listener() {
              @Override
              public boolean firm() {
                return Leader.this.firm();
              }

              @Override
              public List<Job> queue() {
                return placement.queue(loop.now());
              }

              @Override
              public void changed() {
                advance();
              }

              @Override
              public void deposed() {
                election.stepDown();
              }
            });
  }

  private final class RecordListener implements StateLoader.Listener {
    @Override
    public void taken(int count, List<VersionedValue> rental) {
      Leader.this.taken(count, rental);
    }

    @Override
    public void accepted() {
      share.accepted();
    }

    @Override
    public void cancelled() {
      share.cancelled();
    }

    @Override
    public void opened(Job job) {
      holds.opened(job);
    }

    @Override
    public void changed() {
      advance();
    }
  }

  /** The first token of this term's block. */
  long term() {
    return term;
  }

  /** A job of this term, or null. */
  Job job(String id) {
    return loaded ? schedulerState.job(id) : null;
  }

  /** Read by metrics and pictures. */
  SchedulerState schedulerState() {
    return schedulerState;
  }

  /** Read by pictures. */
  TaskScheduler placement() {
    return placement;
  }

  /** Read by pictures. */
  MachineProvisioner fleet() {
    return fleet;
  }

  /** True once the records of the term before are read. */
  boolean loaded() {
    return loaded;
  }

  /** True once the workers had a round to report in, and machines are rented and returned. */
  boolean acting() {
    return acting;
  }

  /** True while the lease was renewed so recently that it holds. */
  boolean firm() {
    return loop.now() - election.renewedMs() < FIRM_MS;
  }

  /** Every controller reads shared records of starts: small jobs have them from now on. */
  void shareStarts() {
    int valueBytes = (int) (clusterConfig.settings.valueKb() * 1024);
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.mostSharedMembers(maxOps), valueBytes);
  }

  void start() {
    duties.add(loop.every(TICK_MS, this::beat));
    records.begin();
  }

  /**
   * From the first moment on, or a takeover that waits for its lists would look like a standstill.
   */
  private void beat() {
    responder.turn(loop.now());
    responder.beat();
    early.turnAway(loop.now());
  }

  void stop() {
    stopped = true;
    duties.forEach(EventLoop.Timer::cancel);
    records.stop();
    holds.stop();
    folds.stop();
    committer.stop();
    fleet.stop();
    early.turnAway(Long.MAX_VALUE);
  }

  private void taken(int records, List<VersionedValue> rental) {
    loaded = true;
    // After a lease: what a takeover has to write itself goes first.
    loop.after(
        (long) (clusterConfig.settings.leaseS() * 1000),
        () -> {
          if (!stopped) {
            listener.recordsRead();
          }
        });
    holds.begin();
    folds.begin();
    fleet.start();
    rental.forEach(i -> fleet.restore(i.key().substring(RecordKeys.RENTALS.length()), i.value()));
    LOG.info(
        "event=takeover term={} jobs={} records={} hires={} ms={}",
        term,
        schedulerState.jobs().size(),
        records,
        rental.size(),
        loop.now() - startedMs);
    early.take(loop, this::take, this::report);
    load.tickedMs = loop.now();
    duties.add(loop.every(TICK_MS, this::tick));
    duties.add(loop.every(LAG_MS, this::lookAtLag));
    duties.add(loop.every(LOAD_MS, load::log));
    duties.add(loop.every(SERVED_MS, this::tellServed));
  }

  private long heartbeatRoundMs() {
    return (long) (clusterConfig.settings.heartbeatIntervalS() * 1250) + 500;
  }

  // The ordinary course.

  private void lookAtLag() {
    boolean before = recordLag.overloaded();
    recordLag.look(schedulerState, firm() && !state.health().isFailing(), loop.now());
    if (recordLag.overloaded()) {
      listener.overloaded();
    }
    if (recordLag.overloaded() != before) {
      LOG.warn("event={} term={}", before ? "records_keep_up" : "records_lag", term);
    }
  }

  private void tick() {
    long now = loop.now();
    share.turn(now);
    load.lagMs = Math.max(load.lagMs, now - load.tickedMs - TICK_MS);
    load.tickedMs = now;
    if (cutFromWorkers(now)) {
      // Nobody else can end this leadership: its lease is renewed, and no worker can carry a higher
      // term to it. Meanwhile the workers' leases run out at the nodes that send them here.
      LOG.warn("event=workers_not_heard term={} ms={}", term, now - heardMs);
      election.resign();
      return;
    }
    if (!acting && now - startedMs > heartbeatRoundMs()) {
      acting = true;
      LOG.info("event=acting term={} machines={}", term, schedulerState.machines().size());
      fleet.act();
    }
    tellView(now);
    schedulerState.expireLeases(now);
    if (firm()) {
      placement.drain(now);
    }
    advance();
  }

  /** Places what can be placed, soon, and commits what changed. */
  private void advance() {
    if (placing || stopped || !loaded) {
      return;
    }
    placing = true;
    long sinceMs = (loop.nanos() - passEndedNs) / 1_000_000;
    long wait = Math.max(PASS_MS, 2 * passNs / 1_000_000) - sinceMs;
    if (wait <= 0) {
      loop.soon(this::pass);
    } else {
      loop.after(wait, this::pass);
    }
  }

  private void pass() {
    placing = false;
    if (stopped) {
      return;
    }
    long began = loop.nanos();
    placeNow();
    passEndedNs = loop.nanos();
    passNs = passEndedNs - began;
    load.passes++;
    load.passNs += passNs;
    List<Runnable> waiters = new ArrayList<>(afterPass);
    afterPass.clear();
    waiters.forEach(Runnable::run);
  }

  private void placeNow() {
    // Machines that reported in this term may get work; the fleet waits for the whole round.
    if (firm()) {
      placement.place(loop.now());
    }
    committer.kick();
    push();
  }

  /**
   * Sends what waits straight to the workers, one message a worker at a time. Without the state
   * service stops alone: a launch needs a leader that is one, a stop only ends what it names.
   */
  private void push() {
    boolean firm = firm();
    long now = loop.now();
    for (Iterator<Machine> it = schedulerState.machinesWithUnsentCommands().iterator();
        it.hasNext(); ) {
      Machine m = it.next();
      if (holding.contains(m.name) || workers.isBusy(m.address)) {
        continue;
      }
      List<WorkerCommand> commands =
          m.isEmpty() || m.address.isEmpty()
              ? List.of()
              : schedulerState.heartbeatReconciler().takeDirectCommands(m, firm, now);
      if (firm || !commands.isEmpty()) {
        // What cannot be sent now travels in the answer to the next report.
        it.remove();
      }
      if (commands.isEmpty()) {
        continue;
      }
      load.direct++;
      workers.send(
          m.address,
          m.relayPeer,
          m.fencingToken,
          m.incarnation,
          commands,
          (result, report) -> {
            if (stopped || schedulerState.machine(m.name) != m) {
              return;
            }
            if (result != WorkerClient.Delivery.UNKNOWN) {
              schedulerState.heartbeatReconciler().directCommandsAnswered(m, commands);
            }
            if (report != null && report.machine().equals(m.name)) {
              schedulerState.processHeartbeat(m, report, false, loop.now());
              advance();
            }
          });
    }
  }

  /**
   * True when there are machines and not one of them has reported for over a report's time. Where
   * none ever did in this term, a handful may rather all be dead: then the leadership is kept until
   * they are returned, or their tasks would never be proven gone.
   */
  private boolean cutFromWorkers(long now) {
    double reports = heard ? 1.5 : 3;
    // While this process stood still it heard nobody: that says nothing of the workers.
    long listened = Math.max(heardMs, schedulerState.health().pauseDetector().listeningSinceMs());
    // With peers at hand workers that lost their way here come by one of them first.
    long round = reachablePeers.getAsInt() > 0 ? ROUND_MS : 0;
    return clusterConfig.settings.nodes() > 1
        && now - listened
            > (long) (reports * clusterConfig.settings.heartbeatIntervalS() * 1000) + 2_000 + round
        && fleet.running() > (heard ? 0 : FEW_MACHINES);
  }

  /** The age of the view of cancellations, or -1 before there is one: for metrics. */
  long viewMs() {
    return loaded ? view.ageMs(loop.now()) : -1;
  }

  /** Told, by whoever learnt it: never needed for a rule, and it saves work. */
  void cancelled(String id) {
    Job job = job(id);
    if (job != null
        && !job.isCancelled()
        && !job.isEnded()
        && !schedulerState.jobsToComplete().contains(job)) {
      LOG.info("event=cancellation_told job={} view_ms={}", id, viewMs());
      committer.cancelled(job);
      advance();
    }
  }

  private void tellView(long now) {
    if (view.stale(now) != stale) {
      stale = !stale;
      LOG.warn("event={} term={} view_ms={}", stale ? "view_stale" : "view_fresh", term, viewMs());
    }
  }

  /**
   * True when this leader's lease must be over and no peer is heard: then it is cut off, and
   * another leads; or the state service is away and so are the peers. Nothing here tells the two
   * apart, but a worker that looks round does ({@link FailureResponder#sendRound}).
   */
  private boolean alone(long now) {
    return clusterConfig.settings.nodes() > 1
        && reachablePeers.getAsInt() == 0
        && now - Math.max(election.renewedMs(), state.health().lastContactMs()) > ALONE_MS;
  }

  private Machine take(Heartbeat r) {
    MachineType type = clusterConfig.type(r.type());
    int zone = clusterConfig.zones.find(r.zone());
    if (type == null || zone < 0) {
      return null;
    }
    return schedulerState.registerMachine(r.machine(), type, zone, r.spot(), loop.now());
  }

  /**
   * Answers a report: null in place of orders means that this node must not answer for now.
   *
   * @param via the peer that brought it, or -1
   */
  void report(Heartbeat r, int via, HeartbeatResponder reply) {
    long now = loop.now();
    responder.turn(now);
    if (stopped) {
      reply.retryLater(); // Held since before the leadership ended.
      return;
    }
    if (!loaded) {
      // An answer before the records are read stops nothing that was cancelled, whoever gives it.
      heard = true;
      heardMs = now;
      early.add(r, via, reply, now);
      return;
    }
    if (view.stale(now)
        || responder.unsure(election.renewedMs(), now)
        || (alone(now) && responder.sendRound(r, now))) {
      reply.retryLater();
      return;
    }
    Machine m = take(r);
    if (m == null) {
      reply.respond(term, List.of());
      return;
    }
    load.reports++;
    List<WorkerCommand> commands = schedulerState.processHeartbeat(m, r, firm(), now);
    m.lastResponseMs = now;
    if (commands == null) {
      // A late copy, or overtaken by a newer one: nobody was heard by it.
      reply.respond(m.fencingToken, List.of());
      return;
    }
    heard = true;
    heardMs = now;
    responder.came(m.zone, via < 0, now);
    fleet.reported(m);
    m.relayPeer = via;
    responder.reported(m, loop.now());
    advance();
    if (!firm() || !schedulerState.canReceiveTasks(m, loop.now()) || !placement.anyWaiting()) {
      reply.respond(m.fencingToken, commands);
      return;
    }
    // Work may come its way in a moment: then this answer carries the launches.
    holding.add(m.name);
    Held held = new Held(r, m, commands, reply);
    held.timer = loop.after(HOLD_MS, held::release);
    afterPass.add(held::placed);
  }

  /** How late the loop ran at worst in the last ten seconds: the first sign of too much work. */
  long lagMs() {
    return Math.max(load.lastLagMs, load.lagMs);
  }

  private static double round(double money) {
    return Math.round(money * 1000) / 1000.0;
  }

  private void tellServed() {
    for (ObjectiveAttainment.Line l : served.lines(schedulerState.jobs(), loop.now())) {
      LOG.info(
          "event=served {}={} share={} done={} late={} open={} oldest_s={}",
          l.kind(),
          l.name(),
          Math.round(l.share() * 1000) / 1000.0,
          l.done(),
          l.late(),
          l.open(),
          l.oldestMs() / 1000);
    }
  }

  /** What the leadership does, for the log: how near the machine is to its limit. */
  private final class Load {
    private long tickedMs;
    private long lagMs;
    private long lastLagMs;
    private long reports;
    private long direct;
    private long passes;
    private long passNs;

    void log() {
      int waiting = 0;
      int live = 0;
      for (Job j : schedulerState.jobs()) {
        waiting += j.waitingCount();
        live += j.liveAttemptCount();
      }
      LOG.info(
          "event=load lag_ms={} reports={} direct={} passes={} pass_ms={} stops={} commits={} writes={}"
              + " dirty={} urgent={} jobs={} waiting={} live={} machines={} heap_mb={} memory_mb={}",
          lagMs,
          reports,
          direct,
          passes,
          passNs / 1_000_000,
          placement.stops(),
          committer.commits(),
          committer.writes(),
          schedulerState.dirtyRecords().size(),
          schedulerState.urgentRecords().size(),
          schedulerState.jobs().size(),
          waiting,
          live,
          schedulerState.machines().size(),
          MemoryMetrics.heapBytes() >> 20,
          MemoryMetrics.processBytes() >> 20);
      if (schedulerState.attemptsStarted() > 0) {
        LOG.info("event=fetches {}", schedulerState.imageDistribution().figures());
      }
      for (CostAccounting.Line l :
          schedulerState.costAccounting().lines(schedulerState.machines(), loop.now())) {
        LOG.info(
            "event=spending type={} spot={} machines={} boot={} idle={} starting={} useful={} lost={}",
            l.type(),
            l.spot(),
            l.machinesGone(),
            round(l.boot()),
            round(l.idle()),
            round(l.starting()),
            round(l.useful()),
            round(l.lost()));
      }
      clusterConfig.keepNames(schedulerState);
      lastLagMs = lagMs;
      lagMs = 0;
      reports = 0;
      direct = 0;
      passes = 0;
      passNs = 0;
    }
  }

  /** A report whose answer waits a moment for the commit of the starts it is to carry. */
  private final class Held {
    private final Heartbeat report;
    private final Machine machine;
    private final List<WorkerCommand> commands;
    private final List<Attempt> recording = new ArrayList<>();
    private final HeartbeatResponder reply;
    private EventLoop.Timer timer;
    private boolean over;

    Held(
        Heartbeat report, Machine machine, List<WorkerCommand> commands, HeartbeatResponder reply) {
      this.report = report;
      this.machine = machine;
      this.commands = commands;
      this.reply = reply;
    }

    /** Placement has had its turn: without new work the answer goes out at once. */
    void placed() {
      for (Attempt a : machine.attempts()) {
        if (a.phase == Attempt.Phase.RECORDING) {
          recording.add(a);
        }
      }
      if (recording.isEmpty()) {
        release();
      } else {
        committer.afterNext(this::committed);
      }
    }

    /** A transaction before the one with these starts does not count. */
    private void committed() {
      for (Attempt a : recording) {
        if (a.phase == Attempt.Phase.RECORDING && !over) {
          committer.afterNext(this::committed);
          return;
        }
      }
      release();
    }

    void release() {
      if (over) {
        return;
      }
      over = true;
      if (timer != null) {
        timer.cancel();
      }
      holding.remove(machine.name);
      if (stopped) {
        reply.retryLater();
        return;
      }
      for (Attempt a : recording) {
        if (a.phase == Attempt.Phase.COMMITTED
            && !a.isStopping()
            && a.incarnation == report.incarnation()
            && firm()) {
          a.launchSent = true;
          a.launchInHeartbeatResponse = true;
          commands.add(schedulerState.heartbeatReconciler().launchCommand(a));
        }
      }
      machine.lastResponseMs = loop.now();
      reply.respond(machine.fencingToken, commands);
    }
  }
}
