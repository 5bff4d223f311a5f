package org.mallowroad.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import java.util.stream.IntStream;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.RecordPolicy;
import org.mallowroad.config.Settings;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.config.Settings.TeamSetting;
import org.mallowroad.controller.ClusterConfig;
import org.mallowroad.controller.Node;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.core.linkstate.LinkPolicy;

/**
 * Runs one scenario in virtual time: real controller nodes against models of the network, the state
 * service, the cloud, workers and users, with the scenario's faults, under an invariant checker.
 */
public final class Simulation {
  private static final double REPORT_INTERVAL_S = 2;
  private static final double LEASE_S = 13;
  private static final double CANCELLATION_LIMIT_S = 28;
  private static final long SUBMISSION_PERIOD_MS = 70_000;
  private static final long MAX_DURATION_MS = 260_000;

  /** A job counts as served if its user learns its end this soon after the first submission. */
  public static final long SERVED_WITHIN_MS = 110_000;

  private static final int MAX_HUNG_MACHINES = 8;

  /**
   * With the spread less than a controller's lease, so that short outages keep the leases alive.
   */
  private static final long MIN_STATE_FLAP_US = 1_000_000;

  private static final long STATE_FLAP_SPREAD_US = 1_000_000;

  /** Jobs of CANCEL_NOW are submitted this long before the fault and then run for 70 s. */
  private static final long SUBMITTED_BEFORE_CANCELLATION_MS = 16_000;

  private static final long CANCELLED_JOB_RUN_MS = 70_000;
  private static final long CANCELLED_JOB_FETCH_MS = 9_000;
  private static final long MAX_WALL_CLOCK_OFFSET_MS = 250;

  /** Rounds of close checks while the end of a job is being recorded. */
  private static final int CLOSE_CHECKS_AT_END = 3;

  private static final long CLOSE_CHECK_SPREAD_US = 3_000_000;
  private static final double GUARANTEED_CPUS = 16;
  private static final int STATE_CALLS_PER_SECOND = 400;
  private static final int STATE_WRITES_PER_SECOND = 100;

  /** Interval at which the store is checked for a new leader term. */
  private static final long TERM_POLL_INTERVAL_US = 10_000;

  private static final List<String> TEAMS = List.of("red", "green", "blue");
  private static final List<String> TASK_CLASSES = List.of("short", "wide", "long");

  private final Scenario scenario;
  private final EventQueue eventQueue = new EventQueue();
  private final SplittableRandom random;
  private final Network network;
  private final StateModel state;
  private final CloudModel cloud;
  private final InvariantChecker checker;
  private final UserModel users;
  private final List<SimulatedEnvironment> environments = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Network.Party> parties = new HashMap<>();
  private final List<String> faultLog = new ArrayList<>();

  /** If above 0, one in this many jobs is cancelled, queried and resubmitted as it completes. */
  private int cancelAtEndOneIn;

  private int oddRequestCount;
  private long lastFaultEndMs = Long.MAX_VALUE / 2;
  private final StarvationCheck starvationCheck;
  private final LinkFaults linkFaults;
  private final ProcessFaults processFaults;
  private final MachineFaults machineFaults;

  /** The rating and print jobs; null if the scenario has none. */
  private RatingModel ratingModel;

  /**
   * The outcome of one simulation run.
   *
   * @param scenario the scenario that was run
   * @param breaches the rules that were broken, in the order in which the checker found them
   * @param servedCounts by class and by team, the number of jobs served and the number submitted
   * @param unfinishedJobs accepted jobs whose users were not told that they are done or cancelled
   * @param startedTasks tasks that started, repeated starts included
   * @param killedTasks tasks killed because their worker's lease ran out
   * @param terms the number of leader terms
   * @param longestWorkerSilenceMs the longest time that a running worker went without an answer to
   *     a report
   * @param longestUserSilenceMs the longest time that a user went without an answer about a job
   * @param longestRecoveryMs the same, counted only from the end of the last fault
   * @param imagesFromMachines images that workers fetched from another machine
   * @param cancelledJobs jobs whose users were told that they are cancelled
   * @param replayedReports reports whose copies were delivered after the next change of leader
   * @param closelyCheckedJobs accepted jobs that users queried, resubmitted or cancelled at once
   * @param completedJobs jobs whose users were told that they are done
   * @param stateWrites puts and deletes sent to the state service, those of failed transactions
   *     included
   * @param startsAfterCancellation tasks that started after their user was told that the job is
   *     cancelled
   * @param longestRunAfterCancellationMs the longest time that a task stayed on a machine after its
   *     user was told that the job is cancelled
   * @param endMs the virtual time at which the run ended
   * @param eventCount events processed
   */
  public record Result(
      Scenario scenario,
      List<InvariantChecker.Breach> breaches,
      Map<String, double[]> servedCounts,
      int unfinishedJobs,
      long startedTasks,
      long killedTasks,
      long terms,
      long longestWorkerSilenceMs,
      long longestUserSilenceMs,
      long longestRecoveryMs,
      long imagesFromMachines,
      int cancelledJobs,
      int replayedReports,
      int closelyCheckedJobs,
      int completedJobs,
      long stateWrites,
      long startsAfterCancellation,
      long longestRunAfterCancellationMs,
      long endMs,
      long eventCount) {
    /** Returns whether the checker found no broken rule; rules include that jobs are served. */
    public boolean hasNoBreaches() {
      return breaches.isEmpty();
    }

    /** Returns the smallest share of served jobs over all classes and teams. */
    public double leastServedShare() {
      double least = 1;
      for (double[] counts : servedCounts.values()) {
        least = Math.min(least, counts[1] == 0 ? 1 : counts[0] / counts[1]);
      }
      return least;
    }

    /** Returns a one-line summary; the same scenario always gives the same line. */
    public String summaryLine() {
      return String.format(
          java.util.Locale.ROOT,
          "seed=%d nodes=%d faults=%d started=%d killed=%d terms=%d workers_ms=%d users_ms=%d recovery_ms=%d taken=%d"
              + " cancelled=%d kept=%d looks=%d done=%d writes=%d cancelled_starts=%d gone_ms=%d unfinished=%d least=%.2f until=%d events=%d breaches=%s",
          scenario.seed(),
          scenario.nodes(),
          scenario.faults().size(),
          startedTasks,
          killedTasks,
          terms,
          longestWorkerSilenceMs,
          longestUserSilenceMs,
          longestRecoveryMs,
          imagesFromMachines,
          cancelledJobs,
          replayedReports,
          closelyCheckedJobs,
          completedJobs,
          stateWrites,
          startsAfterCancellation,
          longestRunAfterCancellationMs,
          unfinishedJobs,
          leastServedShare(),
          endMs,
          eventCount,
          breaches.stream().map(InvariantChecker.Breach::rule).distinct().toList());
    }
  }

  /** Creates all parties and schedules the jobs and faults of the scenario. */
  public Simulation(Scenario scenario) throws IOException {
    this.scenario = scenario;
    this.random = new SplittableRandom(scenario.seed() * 31 + 7);
    this.network = new Network(eventQueue, random.split());
    Map<String, Double> limits = new HashMap<>();
    TEAMS.forEach(team -> limits.put(team, scenario.limits() * cpuLimit(team)));
    this.checker =
        new InvariantChecker(eventQueue::nowMs, limits, (long) (CANCELLATION_LIMIT_S * 1000));
    this.state =
        new StateModel(eventQueue, random.split(), STATE_CALLS_PER_SECOND, STATE_WRITES_PER_SECOND);
    this.cloud =
        new CloudModel(
            eventQueue, random.split(), Scenario.ZONES, scenario.machines(), this::createWorker);
    parties.put("state", state);
    parties.put("cloud", cloud);
    for (int i = 0; i < scenario.nodes(); i++) {
      SimulatedEnvironment environment =
          new SimulatedEnvironment(
              eventQueue,
              network,
              endpoint -> parties.get(endpoint.host()),
              i,
              "n" + i,
              Scenario.ZONES.get(i % Scenario.ZONES.size()),
              (random.nextDouble() - 0.5) * 0.001,
              randomWallClockOffsetMs());
      environments.add(environment);
      parties.put(environment.name, environment);
    }
    network.controllers = environments;
    this.users = new UserModel(eventQueue, network, random.split(), environments, checker);
    for (int i = 0; i < scenario.nodes(); i++) {
      nodes.add(null);
      int controller = i;
      eventQueue.schedule(random.nextLong(300_000), null, () -> startNode(controller));
    }
    scheduleJobs();
    users.workerByAddress =
        address ->
            parties.get(address.substring(0, address.indexOf(':'))) instanceof WorkerModel w
                ? w
                : null;
    if (scenario.gangs() > 0) {
      scheduleGangs();
    }
    if (scenario.weights() > 0) {
      scheduleLargeImageJobs();
    }
    if (scenario.folds() > 0) {
      ratingModel = new RatingModel(eventQueue, random.split(), users, checker, state.store());
      ratingModel.scheduleJobs(scenario.folds(), SUBMISSION_PERIOD_MS);
    }
    this.linkFaults = new LinkFaults(eventQueue, network, scenario.nodes());
    this.processFaults =
        new ProcessFaults(
            eventQueue,
            network,
            random,
            environments,
            this::startNode,
            this::randomWallClockOffsetMs);
    this.machineFaults = new MachineFaults(eventQueue, random, cloud);
    scenario.faults().forEach(this::scheduleFault);
    scenario.faults().stream()
        .filter(fault -> fault.kind() == Fault.Kind.CANCEL_NOW)
        .forEach(this::scheduleCancellationTargets);
    checker.onCompleted(this::onJobCompleted);
    this.starvationCheck =
        new StarvationCheck(
            checker, cloud::workers, id -> ratingModel != null && ratingModel.isHeld(id));
    scheduleChecks();
  }

  /** Returns a random offset of a wall clock in milliseconds, positive or negative. */
  private long randomWallClockOffsetMs() {
    return random.nextLong(2 * MAX_WALL_CLOCK_OFFSET_MS) - MAX_WALL_CLOCK_OFFSET_MS;
  }

  private static double cpuLimit(String team) {
    return team.equals("red") ? 24 : 60;
  }

  private void scheduleChecks() {
    eventQueue.schedule(
        1_000_000,
        null,
        () -> {
          checker.checkCancelledJobs();
          starvationCheck.check(eventQueue.nowMs(), lastFaultEndMs);
          scheduleChecks();
        });
  }

  private long currentTerm() {
    com.fasterxml.jackson.databind.JsonNode term = state.store().value("term");
    return term == null ? 0 : term.path("n").asLong() / FencingTokens.TOKENS_PER_TERM;
  }

  /** Delivers the stored report copies to every controller as soon as a new term begins. */
  private void replayReportsAtNextTerm(long previousTerm, boolean[] ended) {
    long term = currentTerm();
    if (term > previousTerm) {
      replayedReports += network.replayReports();
    }
    if (!ended[0]) {
      eventQueue.schedule(TERM_POLL_INTERVAL_US, null, () -> replayReportsAtNextTerm(term, ended));
    }
  }

  /** Report copies that were stored until a new term began and then delivered. */
  private int replayedReports;

  /** Submits one-task jobs until the fault ends; users cancel a quarter of them. */
  private void submitSingleTaskJobs(int jobsPerSecond, boolean[] ended) {
    if (ended[0]) {
      return;
    }
    InvariantChecker.SubmittedJob job =
        new InvariantChecker.SubmittedJob(
            String.format("job-4%05d", singleJobCount++),
            TEAMS.get(singleJobCount % TEAMS.size()),
            "single",
            1,
            1,
            null,
            false,
            false,
            eventQueue.nowMs());
    long cancelAfterMs = random.nextInt(4) == 0 ? 100 + random.nextLong(4_000) : 0;
    users.submitJob(job, "urgent", 1_000 + random.nextLong(4_000), 300, cancelAfterMs, null);
    eventQueue.schedule(
        1_000_000 / jobsPerSecond, null, () -> submitSingleTaskJobs(jobsPerSecond, ended));
  }

  private int singleJobCount;

  private WorkerModel createWorker(String[] nameAndZone) {
    int index = parties.size();
    WorkerModel worker =
        new WorkerModel(
            eventQueue,
            network,
            random.split(),
            environments,
            users,
            checker,
            (long) (REPORT_INTERVAL_S * 1000),
            (long) (LEASE_S * 1000),
            index,
            nameAndZone[0],
            nameAndZone[1]);
    parties.put("w" + index, worker);
    worker.servesImages =
        scenario.weights() > 0 && index % 4 != 0; // Every fourth worker is an earlier build.
    return worker;
  }

  private Settings settings(int controller) {
    List<Member> members = new ArrayList<>();
    for (int member = 0; member < scenario.nodes(); member++) {
      if (member != controller) {
        members.add(
            new Member(
                "n" + member,
                Scenario.ZONES.get(member % Scenario.ZONES.size()),
                new Endpoint("n" + member, 2)));
      }
    }
    List<TeamSetting> teams = new ArrayList<>();
    TEAMS.forEach(
        team ->
            teams.add(
                new TeamSetting(
                    team,
                    scenario.limits() * GUARANTEED_CPUS,
                    0,
                    scenario.limits() * cpuLimit(team),
                    0)));
    return new Settings(
        "n" + controller,
        Scenario.ZONES.get(controller % Scenario.ZONES.size()),
        new Endpoint("n" + controller, 1),
        new Endpoint("n" + controller, 2),
        members,
        new Endpoint("cloud", 1),
        new Endpoint("state", 1),
        Scenario.ZONES,
        teams,
        List.of(),
        REPORT_INTERVAL_S,
        LEASE_S,
        CANCELLATION_LIMIT_S,
        STATE_CALLS_PER_SECOND,
        STATE_WRITES_PER_SECOND,
        8,
        16,
        20,
        2,
        1_000,
        64,
        scenario.nodes());
  }

  /**
   * Returns whether a controller writes shared start records: depending on the seed, no controller
   * does, all do, or every other one does.
   */
  private static boolean writesSharedStarts(long seed, int controller) {
    return switch (Math.floorMod(seed, 3)) {
      case 0 -> false;
      case 1 -> true;
      default -> controller % 2 == 0;
    };
  }

  private void startNode(int controller) {
    OperatorSettings operatorSettings =
        OperatorSettings.defaults()
            .with(new RecordPolicy(writesSharedStarts(scenario.seed(), controller)));
    try {
      SimulatedEnvironment environment = environments.get(controller);
      Node node =
          new Node(
              new ClusterConfig(
                  settings(controller),
                  scenario.links()
                      ? operatorSettings.with(LinkPolicy.defaults())
                      : operatorSettings),
              environment);
      nodes.set(controller, node);
      eventQueue.schedule(0, environment, node::startOnEventLoop);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void scheduleJobs() {
    SplittableRandom jobRandom = random.split();
    for (int j = 0; j < scenario.jobs(); j++) {
      long submittedMs = 2_000 + jobRandom.nextLong(SUBMISSION_PERIOD_MS);
      String taskClass = TASK_CLASSES.get(j % TASK_CLASSES.size());
      InvariantChecker.SubmittedJob job =
          new InvariantChecker.SubmittedJob(
              String.format("job-%06d", j + 1),
              TEAMS.get(jobRandom.nextInt(TEAMS.size())),
              taskClass,
              taskClass.equals("wide") ? 4 + jobRandom.nextInt(12) : 1 + jobRandom.nextInt(4),
              taskClass.equals("long") ? 4 : 1 + jobRandom.nextInt(2),
              jobRandom.nextInt(6) == 0 ? Scenario.ZONES.get(jobRandom.nextInt(2)) : null,
              jobRandom.nextInt(8) == 0,
              false,
              submittedMs);
      String priority = jobRandom.nextInt(3) == 0 ? "urgent" : "normal";
      long usualRunMs =
          taskClass.equals("long")
              ? 9_000 + jobRandom.nextLong(9_000)
              : 1_500 + jobRandom.nextLong(4_000);
      // Every twelfth job runs longer than the cancellation limit: only then is it visible that
      // cancelled tasks are stopped and do not end by themselves.
      long runMs = j % 12 == 2 ? 3 * usualRunMs + (long) (CANCELLATION_LIMIT_S * 1000) : usualRunMs;
      long fetchMs = 300 + jobRandom.nextLong(1_500);
      long cancelAfterMs = jobRandom.nextInt(7) == 0 ? 500 + jobRandom.nextLong(25_000) : 0;
      eventQueue.schedule(
          submittedMs * 1000,
          null,
          () -> users.submitJob(job, priority, runMs, fetchMs, cancelAfterMs, null));
      if (j % 5 == 0) {
        eventQueue.schedule(
            submittedMs * 1000, null, () -> users.queryUnknownJob("job-9" + job.id().substring(5)));
      }
    }
  }

  /**
   * Schedules gang jobs beside the other jobs: all tasks of a gang must run in one zone, and most
   * gangs do not fit on one machine.
   */
  private void scheduleGangs() {
    SplittableRandom gangRandom = random.split();
    for (int g = 0; g < scenario.gangs(); g++) {
      long submittedMs = 2_000 + gangRandom.nextLong(SUBMISSION_PERIOD_MS);
      InvariantChecker.SubmittedJob job =
          new InvariantChecker.SubmittedJob(
              String.format("job-7%05d", g),
              "green",
              "gang",
              3 + gangRandom.nextInt(6),
              4,
              null,
              true,
              true,
              submittedMs);
      long runMs = 2_000 + gangRandom.nextLong(6_000);
      eventQueue.schedule(
          submittedMs * 1000, null, () -> users.submitJob(job, "normal", runMs, 500, 0, null));
    }
  }

  /**
   * Schedules jobs of many tasks that share one of two large images, which take longer to fetch
   * than the tasks run.
   */
  private void scheduleLargeImageJobs() {
    SplittableRandom jobRandom = random.split();
    for (int i = 0; i < scenario.weights(); i++) {
      long submittedMs = 2_000 + jobRandom.nextLong(SUBMISSION_PERIOD_MS);
      InvariantChecker.SubmittedJob job =
          new InvariantChecker.SubmittedJob(
              String.format("job-6%05d", i),
              "blue",
              "weights" + i % 2,
              6 + jobRandom.nextInt(9),
              4,
              null,
              false,
              false,
              submittedMs);
      long runMs = 2_000 + jobRandom.nextLong(6_000);
      eventQueue.schedule(
          submittedMs * 1000, null, () -> users.submitJob(job, "normal", runMs, 9_000, 0, null));
    }
  }

  private void logFault(String line) {
    faultLog.add(eventQueue.nowMs() + " " + line);
  }

  private void scheduleFault(Fault fault) {
    eventQueue.schedule(
        fault.atMs() * 1000,
        null,
        () -> {
          int controller = fault.node();
          if (controller < 0) {
            controller =
                (leaderIndex() + (fault.node() == Scenario.FOLLOWER ? 1 : 0)) % scenario.nodes();
          }
          logFault("begins " + fault + " of n" + controller);
          Runnable endFault = inject(fault, controller);
          eventQueue.schedule(
              fault.forMs() * 1000,
              null,
              () -> {
                logFault("ends " + fault.kind());
                endFault.run();
              });
        });
  }

  private int leaderIndex() {
    com.fasterxml.jackson.databind.JsonNode leaderRecord = state.store().value("leader");
    String name = leaderRecord == null ? "n0" : leaderRecord.path("node").asText();
    return parties.get(name) instanceof SimulatedEnvironment environment ? environment.index : 0;
  }

  private Runnable inject(Fault fault, int controller) {
    return switch (fault.kind()) {
      case CUT_STATE ->
          linkFaults.cutLink(
              fault,
              LinkFaults.controllerSelector(controller),
              LinkFaults.kindSelector(Network.Kind.STATE));
      case CUT_WORKERS ->
          linkFaults.cutLink(
              fault,
              LinkFaults.controllerSelector(controller),
              LinkFaults.kindSelector(Network.Kind.WORKER));
      case CUT_PEER ->
          linkFaults.cutLink(
              fault,
              LinkFaults.controllerSelector(controller),
              LinkFaults.controllerSelector(
                  fault.other() == controller
                      ? (controller + 1) % scenario.nodes()
                      : fault.other()));
      case CUT_CLOUD ->
          linkFaults.cutLink(
              fault,
              LinkFaults.controllerSelector(controller),
              LinkFaults.kindSelector(Network.Kind.CLOUD));
      case CUT_USERS ->
          linkFaults.cutLink(
              fault,
              LinkFaults.kindSelector(Network.Kind.USERS),
              LinkFaults.controllerSelector(controller));
      case FLAP_STATE ->
          linkFaults.flapLink(
              fault,
              LinkFaults.controllerSelector(controller),
              LinkFaults.kindSelector(Network.Kind.STATE));
      case FLAP_WORKERS ->
          linkFaults.flapLink(
              fault,
              LinkFaults.controllerSelector(controller),
              LinkFaults.kindSelector(Network.Kind.WORKER));
      case PEERS_REFUSED ->
          network.cut(
              LinkFaults.kindSelector(Network.Kind.NODE),
              LinkFaults.kindSelector(Network.Kind.NODE),
              Network.Mode.REFUSE);
      case NONE_WHOLE -> linkFaults.splitStateAndWorkers(fault, controller);
      case ALONE -> linkFaults.cutFromAllButWorkersAndUsers(fault, controller);
      case CUT_ZONE ->
          linkFaults.cutLink(
              fault,
              new Network.PartySelector(null, -1, fault.zone()),
              new Network.PartySelector(null, -1, null));
      case CRASH -> processFaults.crash(controller, fault.forMs());
      case FREEZE -> processFaults.freeze(environments.get(controller));
      case FREEZE_WHILE_SENDING -> processFaults.freezeWhileSending(environments.get(controller));
      case ROLL -> processFaults.restartInTurn();
      case DIE -> machineFaults.killWorkers(fault.count());
      case HANG -> machineFaults.hangWorkers(fault.count());
      case STATE_OUT -> {
        state.unavailable = true;
        yield state::endOutage;
      }
      case STATE_FLAPS -> flapState();
      case STATE_SLOW -> {
        state.slowdownFactor = fault.count();
        yield () -> state.slowdownFactor = 1;
      }
      case STATE_REFUSES -> {
        state.refusedNode = controller;
        yield () -> state.refusedNode = -1;
      }
      case CLOUD_OUT -> {
        cloud.unavailable = true;
        yield () -> cloud.unavailable = false;
      }
      case BACK -> processFaults.restartRepeatedly(List.of(() -> controller));
      case BACK_LEADERS -> processFaults.restartRepeatedly(List.of(this::leaderIndex));
      case BACK_ALL -> {
        List<IntSupplier> all = new ArrayList<>();
        for (int i = 0; i < scenario.nodes(); i++) {
          int index = i;
          all.add(() -> index);
        }
        yield processFaults.restartRepeatedly(all);
      }
      case DEAF -> MachineFaults.loseInbound(machineFaults.randomWorkers(fault.count()));
      case DEAF_ZONE -> {
        List<WorkerModel> all = cloud.workers();
        all.removeIf(w -> !w.isListening() || !w.zone.equals(fault.zone()));
        yield MachineFaults.loseInbound(all);
      }
      case LATE_REPORTS -> {
        network.lateReportOneIn = 1 + fault.count();
        yield () -> network.lateReportOneIn = 0;
      }
      case LATE_WRITES -> {
        network.lateWriteOneIn = 2 + fault.count();
        yield () -> network.lateWriteOneIn = 0;
      }
      case WORKERS_ONLY -> linkFaults.cutFromStateAndPeers(fault, controller);
      case LISTS_CROWDED -> {
        state.throttlesLists = true;
        yield () -> state.throttlesLists = false;
      }
      case ENDS_CROWDED -> {
        state.throttlesEndReads = true;
        yield () -> state.throttlesEndReads = false;
      }
      case MUTE -> {
        List<WorkerModel> muted = machineFaults.randomWorkers(fault.count());
        muted.forEach(w -> w.outboundLost = true);
        yield () -> muted.forEach(w -> w.outboundLost = false);
      }
      case CANCEL_NOW -> cancelRunningJobs(fault);
      case CANCEL_AT_END -> {
        cancelAtEndOneIn = fault.count();
        yield () -> cancelAtEndOneIn = 0;
      }
      case ODD_REQUESTS -> {
        boolean[] ended = new boolean[1];
        sendOddRequests(ended);
        yield () -> ended[0] = true;
      }
      case COPIES -> {
        network.duplicateOneIn = 1 + fault.count();
        yield () -> network.duplicateOneIn = 0;
      }
      case LATE_COMMANDS -> {
        network.lateCommandOneIn = 2 + fault.count();
        yield () -> network.lateCommandOneIn = 0;
      }
      case ANSWERS_LOST -> {
        network.lostAnswerOneIn = 2 + fault.count();
        yield () -> network.lostAnswerOneIn = 0;
      }
      case REPORTS_FOR_NEXT -> {
        network.replayReportOneIn = 1 + fault.count();
        boolean[] ended = new boolean[1];
        replayReportsAtNextTerm(currentTerm(), ended);
        yield () -> {
          network.replayReportOneIn = 0;
          ended[0] = true;
        };
      }
      case CLOSE_LOOKS -> {
        users.checksClosely = true;
        yield () -> users.checksClosely = false;
      }
      case DELAYED_RESPONSES -> {
        network.delayedResponseOneIn = 1 + fault.count();
        yield () -> network.delayedResponseOneIn = 0;
      }
      case MACHINES_BACK -> machineFaults.restartMachines(fault);
      case QUICK_BOOTS -> {
        cloud.quickBoots = true;
        yield () -> cloud.quickBoots = false;
      }
      case SINGLE_JOBS -> {
        boolean[] ended = new boolean[1];
        submitSingleTaskJobs(fault.count(), ended);
        yield () -> ended[0] = true;
      }
    };
  }

  /**
   * Cancels the running jobs with the longest tasks within 200 ms, or those that still fetch their
   * image if the mode is {@code fetch}. With mode {@code hang}, their machines hang as well.
   */
  private Runnable cancelRunningJobs(Fault fault) {
    Map<String, Set<String>> running = checker.runningJobs();
    List<String> longestFirst = new ArrayList<>(running.keySet());
    longestFirst.sort(Comparator.comparingLong((String id) -> -users.runMs(id)));
    List<String> chosen = longestFirst.subList(0, Math.min(fault.count(), longestFirst.size()));
    if (fault.mode().equals("fetch")) {
      chosen =
          IntStream.range(0, fault.count()).mapToObj(i -> cancellationTargetId(fault, i)).toList();
    }
    Set<String> machineNames = new TreeSet<>();
    for (String id : chosen) {
      machineNames.addAll(running.getOrDefault(id, Set.of()));
      eventQueue.schedule(random.nextLong(200_000), null, () -> users.cancel(id));
    }
    if (!fault.mode().equals("hang")) {
      return () -> {};
    }
    List<WorkerModel> candidates = cloud.workers();
    candidates.removeIf(w -> !w.isListening() || !machineNames.contains(w.name));
    List<WorkerModel> hung = candidates.subList(0, Math.min(MAX_HUNG_MACHINES, candidates.size()));
    hung.forEach(EventQueue.Actor::freeze);
    return () -> hung.forEach(eventQueue::thaw);
  }

  /** Submits long jobs ahead of a CANCEL_NOW fault, so that there are jobs to cancel. */
  private void scheduleCancellationTargets(Fault fault) {
    boolean whileFetching = fault.mode().equals("fetch");
    for (int i = 0; i < fault.count(); i++) {
      long leadMs = whileFetching ? CANCELLED_JOB_FETCH_MS / 2 : SUBMITTED_BEFORE_CANCELLATION_MS;
      long submittedMs = Math.max(1_000, fault.atMs() - leadMs) + 100L * i;
      InvariantChecker.SubmittedJob job =
          new InvariantChecker.SubmittedJob(
              cancellationTargetId(fault, i),
              TEAMS.get(1 + i % 2),
              "long",
              1 + i % 3,
              4,
              null,
              false,
              false,
              submittedMs);
      eventQueue.schedule(
          submittedMs * 1000,
          null,
          () ->
              users.submitJob(
                  job,
                  "urgent",
                  CANCELLED_JOB_RUN_MS,
                  whileFetching ? CANCELLED_JOB_FETCH_MS : 500,
                  0,
                  null));
    }
  }

  private static String cancellationTargetId(Fault fault, int index) {
    return String.format("job-5%02d%03d", Math.floorMod(fault.atMs() / 1_000, 100), index);
  }

  private void onJobCompleted(String id) {
    for (int i = 0; i < CLOSE_CHECKS_AT_END && users.checksClosely; i++) {
      eventQueue.schedule(
          random.nextLong(CLOSE_CHECK_SPREAD_US), null, () -> users.checkClosely(id));
    }
    if (cancelAtEndOneIn > 0 && random.nextInt(cancelAtEndOneIn) == 0) {
      // Each request is sent at its own random moment around the commit of the job's end.
      eventQueue.schedule(random.nextLong(1_500_000), null, () -> users.cancel(id));
      eventQueue.schedule(random.nextLong(1_500_000), null, () -> users.query(id));
      eventQueue.schedule(random.nextLong(1_500_000), null, () -> users.resubmit(id));
    }
  }

  private void sendOddRequests(boolean[] ended) {
    if (!ended[0]) {
      users.sendOddRequest(oddRequestCount++);
      eventQueue.schedule(300_000 + random.nextLong(600_000), null, () -> sendOddRequests(ended));
    }
  }

  /** Begins and ends short outages of the state service until the fault ends. */
  private Runnable flapState() {
    boolean[] ended = new boolean[1];
    toggleState(ended);
    return () -> {
      ended[0] = true;
      state.endOutage();
    };
  }

  private void toggleState(boolean[] ended) {
    if (ended[0]) {
      return;
    }
    if (state.unavailable) {
      state.endOutage();
    } else {
      state.unavailable = true;
    }
    eventQueue.schedule(
        MIN_STATE_FLAP_US + random.nextLong(STATE_FLAP_SPREAD_US), null, () -> toggleState(ended));
  }

  /** Lets tests of the checker falsify the answers of controllers to users. */
  void setAnswerFilter(Network.AnswerFilter filter) {
    network.answerFilter = filter;
  }

  /** Makes a controller answer 404 to a message path, like a build that does not know it. */
  void setUnknownMessage(int controller, String path) {
    environments.get(controller).unknownMessagePath = path;
  }

  /** Returns the number of transactions that wrote shared start records. */
  long sharedStartWrites() {
    return state.sharedStartWrites();
  }

  /** Runs until every user knows the end of its jobs or the time limit is reached. */
  public Result run() {
    long lastFaultMs = 0;
    for (Fault f : scenario.faults()) {
      lastFaultMs = Math.max(lastFaultMs, f.atMs() + f.forMs());
    }
    lastFaultEndMs = lastFaultMs;
    checker.setLastFaultEndMs(lastFaultMs);
    long earliestEndMs = Math.max(lastFaultMs, SUBMISSION_PERIOD_MS + 5_000);
    while (eventQueue.nowMs() < MAX_DURATION_MS
        && (eventQueue.nowMs() < earliestEndMs || users.openJobs() > 0)) {
      long untilUs = eventQueue.nowUs() + 500_000;
      while (eventQueue.runNext(untilUs)) {
        // Each call runs one event.
      }
    }
    if (ratingModel != null) {
      ratingModel.checkAtEnd();
    }
    checker.checkAtEnd(SERVED_WITHIN_MS);
    return new Result(
        scenario,
        checker.breaches(),
        checker.servedCounts(SERVED_WITHIN_MS),
        checker.unfinishedJobCount(),
        checker.startedTasks(),
        checker.killedTasks(),
        currentTerm(),
        cloud.workers().stream().mapToLong(WorkerModel::longestSilenceMs).max().orElse(0),
        checker.longestSilenceMs(),
        checker.longestRecoveryMs(),
        cloud.imagesFromMachines(),
        checker.cancelledJobs(),
        replayedReports,
        users.closelyCheckedJobs(),
        checker.completedJobs(),
        state.writeCount(),
        checker.startsAfterCancellation(),
        checker.longestRunAfterCancellationMs(),
        eventQueue.nowMs(),
        eventQueue.eventCount());
  }

  /** Returns a line for each begin and end of a fault. */
  public List<String> faultLog() {
    return List.copyOf(faultLog);
  }
}
