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

/** Plays a plan. */
public final class Simulation {
  private static final double REPORT_S = 2;
  private static final double LEASE_S = 13;
  private static final double CANCEL_S = 28;
  private static final long LOAD_MS = 70_000;
  private static final long END_MS = 260_000;

  /** A job is served when its user knows of its end so soon after the first try to submit it. */
  public static final long SERVED_WITHIN_MS = 110_000;

  private static final long RESTART_MS = 3_000;
  private static final int MOST_HUNG = 8;

  /** What users cancel all at once was submitted so long before, and would run for so long. */
  private static final long VICTIMS_MS = 16_000;

  private static final long LONG_RUN_MS = 70_000;
  private static final long FETCH_MS = 9_000;
  private static final long WALL_MS = 250;

  /** Close looks while the end of a job is on its way to the records. */
  private static final int END_LOOKS = 3;

  private static final long END_LOOK_US = 3_000_000;
  private static final double GUARANTEE_CPUS = 16;
  private static final int STATE_RPS = 400;
  private static final int STATE_WRITE_RPS = 100;

  /** How often it is looked whether another controller leads. */
  private static final long TERM_LOOK_US = 10_000;

  private static final List<String> TEAMS = List.of("red", "green", "blue");
  private static final List<String> CLASSES = List.of("short", "wide", "long");

  private final Scenario plan;
  private final EventQueue time = new EventQueue();
  private final SplittableRandom random;
  private final Network network;
  private final StateModel state;
  private final CloudModel cloud;
  private final InvariantChecker checker;
  private final UserModel users;
  private final List<SimulatedEnvironment> hosts = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Network.Party> directory = new HashMap<>();
  private final List<String> faultLog = new ArrayList<>();

  /** While above 0, one ending job in so many is cancelled at its end. */
  private int atEndOneIn;

  private int oddRequestCount;
  private long calmMs = Long.MAX_VALUE / 2;
  private final StarvationCheck waiting;

  /** Rating jobs and prints; null without them. */
  private RatingModel ratings;

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
    /** True when no rule broke and all were served. */
    public boolean hasNoBreaches() {
      return breaches.isEmpty();
    }

    /** The least part of a class or team that was served. */
    public double leastServedShare() {
      double least = 1;
      for (double[] s : servedCounts.values()) {
        least = Math.min(least, s[1] == 0 ? 1 : s[0] / s[1]);
      }
      return least;
    }

    /** One line that is the same for the same history. */
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

  /** A world for a plan. */
  public Simulation(Scenario plan) throws IOException {
    this.plan = plan;
    this.random = new SplittableRandom(plan.seed() * 31 + 7);
    this.network = new Network(time, random.split());
    Map<String, Double> limits = new HashMap<>();
    TEAMS.forEach(t -> limits.put(t, plan.limits() * limit(t)));
    this.checker = new InvariantChecker(time::nowMs, limits, (long) (CANCEL_S * 1000));
    this.state = new StateModel(time, random.split(), STATE_RPS, STATE_WRITE_RPS);
    this.cloud =
        new CloudModel(time, random.split(), Scenario.ZONES, plan.machines(), this::worker);
    directory.put("state", state);
    directory.put("cloud", cloud);
    for (int i = 0; i < plan.nodes(); i++) {
      SimulatedEnvironment h =
          new SimulatedEnvironment(
              time,
              network,
              e -> directory.get(e.host()),
              i,
              "n" + i,
              Scenario.ZONES.get(i % Scenario.ZONES.size()),
              (random.nextDouble() - 0.5) * 0.001,
              wander());
      hosts.add(h);
      directory.put(h.name, h);
    }
    network.controllers = hosts;
    this.users = new UserModel(time, network, random.split(), hosts, checker);
    for (int i = 0; i < plan.nodes(); i++) {
      nodes.add(null);
      int n = i;
      time.schedule(random.nextLong(300_000), null, () -> begin(n));
    }
    load();
    users.workerByAddress =
        a -> directory.get(a.substring(0, a.indexOf(':'))) instanceof WorkerModel w ? w : null;
    if (plan.gangs() > 0) {
      gangs();
    }
    if (plan.weights() > 0) {
      weights();
    }
    if (plan.folds() > 0) {
      ratings = new RatingModel(time, random.split(), users, checker, state.store());
      ratings.scheduleJobs(plan.folds(), LOAD_MS);
    }
    plan.faults().forEach(this::schedule);
    plan.faults().stream().filter(f -> f.kind() == Fault.Kind.CANCEL_NOW).forEach(this::victims);
    checker.onCompleted(this::completed);
    this.waiting =
        new StarvationCheck(checker, cloud::workers, id -> ratings != null && ratings.isHeld(id));
    everySecond();
  }

  /** How far a time of day may be off, either way, at this moment. */
  private long wander() {
    return random.nextLong(2 * WALL_MS) - WALL_MS;
  }

  private static double limit(String team) {
    return team.equals("red") ? 24 : 60;
  }

  private void everySecond() {
    time.schedule(
        1_000_000,
        null,
        () -> {
          checker.checkCancelledJobs();
          waiting.check(time.nowMs(), calmMs);
          everySecond();
        });
  }

  private long term() {
    com.fasterxml.jackson.databind.JsonNode term = state.store().value("term");
    return term == null ? 0 : term.path("n").asLong() / FencingTokens.TOKENS_PER_TERM;
  }

  /** Kept reports reach every controller as soon as another one leads than before. */
  private void releaseAtNextTerm(long before, boolean[] over) {
    long term = term();
    if (term > before) {
      keptReports += network.replayReports();
    }
    if (!over[0]) {
      time.schedule(TERM_LOOK_US, null, () -> releaseAtNextTerm(term, over));
    }
  }

  /** Reports that were kept for a new leader and reached it. */
  private int keptReports;

  /** One-task jobs as long as it lasts, a quarter of them cancelled. */
  private void singleJobs(int aSecond, boolean[] over) {
    if (over[0]) {
      return;
    }
    InvariantChecker.SubmittedJob s =
        new InvariantChecker.SubmittedJob(
            String.format("job-4%05d", singles++),
            TEAMS.get(singles % TEAMS.size()),
            "single",
            1,
            1,
            null,
            false,
            false,
            time.nowMs());
    long cancelAfterMs = random.nextInt(4) == 0 ? 100 + random.nextLong(4_000) : 0;
    users.submitJob(s, "urgent", 1_000 + random.nextLong(4_000), 300, cancelAfterMs, null);
    time.schedule(1_000_000 / aSecond, null, () -> singleJobs(aSecond, over));
  }

  private int singles;

  private WorkerModel worker(String[] nameAndZone) {
    int index = directory.size();
    WorkerModel w =
        new WorkerModel(
            time,
            network,
            random.split(),
            hosts,
            users,
            checker,
            (long) (REPORT_S * 1000),
            (long) (LEASE_S * 1000),
            index,
            nameAndZone[0],
            nameAndZone[1]);
    directory.put("w" + index, w);
    w.servesImages = plan.weights() > 0 && index % 4 != 0; // One in four is an earlier build's.
    return w;
  }

  private Settings settings(int i) {
    List<Member> members = new ArrayList<>();
    for (int n = 0; n < plan.nodes(); n++) {
      if (n != i) {
        members.add(
            new Member(
                "n" + n, Scenario.ZONES.get(n % Scenario.ZONES.size()), new Endpoint("n" + n, 2)));
      }
    }
    List<TeamSetting> teams = new ArrayList<>();
    TEAMS.forEach(
        t ->
            teams.add(
                new TeamSetting(
                    t, plan.limits() * GUARANTEE_CPUS, 0, plan.limits() * limit(t), 0)));
    return new Settings(
        "n" + i,
        Scenario.ZONES.get(i % Scenario.ZONES.size()),
        new Endpoint("n" + i, 1),
        new Endpoint("n" + i, 2),
        members,
        new Endpoint("cloud", 1),
        new Endpoint("state", 1),
        Scenario.ZONES,
        teams,
        List.of(),
        REPORT_S,
        LEASE_S,
        CANCEL_S,
        STATE_RPS,
        STATE_WRITE_RPS,
        8,
        16,
        20,
        2,
        1_000,
        64,
        plan.nodes());
  }

  /** In a third of the histories none does, in a third all do, in the others every other node. */
  private static boolean sharesStarts(long seed, int node) {
    return switch (Math.floorMod(seed, 3)) {
      case 0 -> false;
      case 1 -> true;
      default -> node % 2 == 0;
    };
  }

  private void begin(int i) {
    OperatorSettings o =
        OperatorSettings.defaults().with(new RecordPolicy(sharesStarts(plan.seed(), i)));
    try {
      SimulatedEnvironment h = hosts.get(i);
      Node n =
          new Node(
              new ClusterConfig(settings(i), plan.links() ? o.with(LinkPolicy.defaults()) : o), h);
      nodes.set(i, n);
      time.schedule(0, h, n::startOnEventLoop);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void load() {
    SplittableRandom r = random.split();
    for (int j = 0; j < plan.jobs(); j++) {
      long at = 2_000 + r.nextLong(LOAD_MS);
      String kind = CLASSES.get(j % CLASSES.size());
      InvariantChecker.SubmittedJob s =
          new InvariantChecker.SubmittedJob(
              String.format("job-%06d", j + 1),
              TEAMS.get(r.nextInt(TEAMS.size())),
              kind,
              kind.equals("wide") ? 4 + r.nextInt(12) : 1 + r.nextInt(4),
              kind.equals("long") ? 4 : 1 + r.nextInt(2),
              r.nextInt(6) == 0 ? Scenario.ZONES.get(r.nextInt(2)) : null,
              r.nextInt(8) == 0,
              false,
              at);
      String rank = r.nextInt(3) == 0 ? "urgent" : "normal";
      long usual = kind.equals("long") ? 9_000 + r.nextLong(9_000) : 1_500 + r.nextLong(4_000);
      // A few outlast a cancellation's time, or nothing would show that they are stopped.
      long run = j % 12 == 2 ? 3 * usual + (long) (CANCEL_S * 1000) : usual;
      long fetch = 300 + r.nextLong(1_500);
      long cancel = r.nextInt(7) == 0 ? 500 + r.nextLong(25_000) : 0;
      time.schedule(at * 1000, null, () -> users.submitJob(s, rank, run, fetch, cancel, null));
      if (j % 5 == 0) {
        time.schedule(at * 1000, null, () -> users.queryUnknownJob("job-9" + s.id().substring(5)));
      }
    }
  }

  /** Gangs beside the rest: all of their tasks in one zone, more than any machine holds. */
  private void gangs() {
    SplittableRandom r = random.split();
    for (int g = 0; g < plan.gangs(); g++) {
      long at = 2_000 + r.nextLong(LOAD_MS);
      InvariantChecker.SubmittedJob s =
          new InvariantChecker.SubmittedJob(
              String.format("job-7%05d", g),
              "green",
              "gang",
              3 + r.nextInt(6),
              4,
              null,
              true,
              true,
              at);
      long run = 2_000 + r.nextLong(6_000);
      time.schedule(at * 1000, null, () -> users.submitJob(s, "normal", run, 500, 0, null));
    }
  }

  /** Jobs of many tasks whose image takes longer than they run: one for each group of them. */
  private void weights() {
    SplittableRandom r = random.split();
    for (int i = 0; i < plan.weights(); i++) {
      long at = 2_000 + r.nextLong(LOAD_MS);
      InvariantChecker.SubmittedJob s =
          new InvariantChecker.SubmittedJob(
              String.format("job-6%05d", i),
              "blue",
              "weights" + i % 2,
              6 + r.nextInt(9),
              4,
              null,
              false,
              false,
              at);
      long run = 2_000 + r.nextLong(6_000);
      time.schedule(at * 1000, null, () -> users.submitJob(s, "normal", run, 9_000, 0, null));
    }
  }

  private void say(String line) {
    faultLog.add(time.nowMs() + " " + line);
  }

  private void schedule(Fault f) {
    time.schedule(
        f.atMs() * 1000,
        null,
        () -> {
          int node = f.node();
          if (node < 0) {
            node = (leader() + (f.node() == Scenario.FOLLOWER ? 1 : 0)) % plan.nodes();
          }
          say("begins " + f + " of n" + node);
          Runnable end = fails(f, node);
          time.schedule(
              f.forMs() * 1000,
              null,
              () -> {
                say("ends " + f.kind());
                end.run();
              });
        });
  }

  private static Network.PartySelector node(int i) {
    return new Network.PartySelector(Network.Kind.NODE, i, null);
  }

  private static Network.PartySelector all(Network.Kind kind) {
    return new Network.PartySelector(kind, -1, null);
  }

  private Runnable cut(Fault f, Network.PartySelector a, Network.PartySelector b) {
    Network.Mode mode = Network.Mode.valueOf(f.mode().toUpperCase(java.util.Locale.ROOT));
    Runnable to = f.direction() == 2 ? () -> {} : network.cut(a, b, mode);
    Runnable back = f.direction() == 1 ? () -> {} : network.cut(b, a, mode);
    return () -> {
      to.run();
      back.run();
    };
  }

  private Runnable flap(Fault f, Network.PartySelector a, Network.PartySelector b) {
    Runnable[] lift = {cut(f, a, b)};
    boolean[] over = new boolean[1];
    boolean[] up = new boolean[1];
    Runnable[] turn = new Runnable[1];
    turn[0] =
        () -> {
          if (over[0]) {
            return;
          }
          if (up[0]) {
            lift[0] = cut(f, a, b);
          } else {
            lift[0].run();
          }
          up[0] = !up[0];
          time.schedule(3_000_000, null, turn[0]);
        };
    time.schedule(3_000_000, null, turn[0]);
    return () -> {
      over[0] = true;
      lift[0].run();
    };
  }

  private int leader() {
    com.fasterxml.jackson.databind.JsonNode v = state.store().value("leader");
    String name = v == null ? "n0" : v.path("node").asText();
    return directory.get(name) instanceof SimulatedEnvironment h ? h.index : 0;
  }

  /** Some controllers reach the state service alone, the others the workers alone. */
  private Runnable noneWhole(Fault f, int first) {
    List<Runnable> lifts = new ArrayList<>();
    for (int i = 0; i < plan.nodes(); i++) {
      boolean fewer = i < f.count();
      Network.Kind lost = fewer ? Network.Kind.STATE : Network.Kind.WORKER;
      lifts.add(cut(f, node((first + i) % plan.nodes()), all(lost)));
    }
    return () -> lifts.forEach(Runnable::run);
  }

  private Runnable alone(Fault f, int node) {
    List<Runnable> lifts = new ArrayList<>();
    for (Network.Kind lost : List.of(Network.Kind.STATE, Network.Kind.CLOUD, Network.Kind.NODE)) {
      lifts.add(cut(f, node(node), all(lost)));
    }
    return () -> lifts.forEach(Runnable::run);
  }

  private Runnable fails(Fault f, int node) {
    return switch (f.kind()) {
      case CUT_STATE -> cut(f, node(node), all(Network.Kind.STATE));
      case CUT_WORKERS -> cut(f, node(node), all(Network.Kind.WORKER));
      case CUT_PEER ->
          cut(f, node(node), node(f.other() == node ? (node + 1) % plan.nodes() : f.other()));
      case CUT_CLOUD -> cut(f, node(node), all(Network.Kind.CLOUD));
      case CUT_USERS -> cut(f, all(Network.Kind.USERS), node(node));
      case FLAP_STATE -> flap(f, node(node), all(Network.Kind.STATE));
      case FLAP_WORKERS -> flap(f, node(node), all(Network.Kind.WORKER));
      case PEERS_REFUSED ->
          network.cut(all(Network.Kind.NODE), all(Network.Kind.NODE), Network.Mode.REFUSE);
      case NONE_WHOLE -> noneWhole(f, node);
      case ALONE -> alone(f, node);
      case CUT_ZONE ->
          cut(
              f,
              new Network.PartySelector(null, -1, f.zone()),
              new Network.PartySelector(null, -1, null));
      case CRASH -> crash(node, f.forMs());
      case FREEZE -> freeze(hosts.get(node));
      case ROLL -> roll();
      case DIE -> die(f.count());
      case HANG -> hang(f.count());
      case STATE_OUT -> {
        state.unavailable = true;
        yield state::endOutage;
      }
      case STATE_SLOW -> {
        state.slowdownFactor = f.count();
        yield () -> state.slowdownFactor = 1;
      }
      case STATE_REFUSES -> {
        state.refusedNode = node;
        yield () -> state.refusedNode = -1;
      }
      case CLOUD_OUT -> {
        cloud.unavailable = true;
        yield () -> cloud.unavailable = false;
      }
      case BACK -> back(List.of(() -> node));
      case BACK_LEADERS -> back(List.of(this::leader));
      case BACK_ALL -> {
        List<IntSupplier> all = new ArrayList<>();
        for (int i = 0; i < plan.nodes(); i++) {
          int n = i;
          all.add(() -> n);
        }
        yield back(all);
      }
      case DEAF -> deaf(some(f.count()));
      case DEAF_ZONE -> {
        List<WorkerModel> all = cloud.workers();
        all.removeIf(w -> !w.isListening() || !w.zone.equals(f.zone()));
        yield deaf(all);
      }
      case LATE_REPORTS -> {
        network.lateReportOneIn = 1 + f.count();
        yield () -> network.lateReportOneIn = 0;
      }
      case LATE_WRITES -> {
        network.lateWriteOneIn = 2 + f.count();
        yield () -> network.lateWriteOneIn = 0;
      }
      case WORKERS_ONLY -> workersOnly(f, node);
      case LISTS_CROWDED -> {
        state.throttlesLists = true;
        yield () -> state.throttlesLists = false;
      }
      case ENDS_CROWDED -> {
        state.throttlesEndReads = true;
        yield () -> state.throttlesEndReads = false;
      }
      case MUTE -> {
        List<WorkerModel> mute = some(f.count());
        mute.forEach(w -> w.outboundLost = true);
        yield () -> mute.forEach(w -> w.outboundLost = false);
      }
      case CANCEL_NOW -> cancelNow(f);
      case CANCEL_AT_END -> {
        atEndOneIn = f.count();
        yield () -> atEndOneIn = 0;
      }
      case ODD_REQUESTS -> {
        boolean[] over = new boolean[1];
        odd(over);
        yield () -> over[0] = true;
      }
      case COPIES -> {
        network.duplicateOneIn = 1 + f.count();
        yield () -> network.duplicateOneIn = 0;
      }
      case LATE_COMMANDS -> {
        network.lateCommandOneIn = 2 + f.count();
        yield () -> network.lateCommandOneIn = 0;
      }
      case ANSWERS_LOST -> {
        network.lostAnswerOneIn = 2 + f.count();
        yield () -> network.lostAnswerOneIn = 0;
      }
      case REPORTS_FOR_NEXT -> {
        network.replayReportOneIn = 1 + f.count();
        boolean[] over = new boolean[1];
        releaseAtNextTerm(term(), over);
        yield () -> {
          network.replayReportOneIn = 0;
          over[0] = true;
        };
      }
      case CLOSE_LOOKS -> {
        users.checksClosely = true;
        yield () -> users.checksClosely = false;
      }
      case QUICK_BOOTS -> {
        cloud.quickBoots = true;
        yield () -> cloud.quickBoots = false;
      }
      case SINGLE_JOBS -> {
        boolean[] over = new boolean[1];
        singleJobs(f.count(), over);
        yield () -> over[0] = true;
      }
    };
  }

  /** Those that have longest to go are cancelled, within a fifth of a second. */
  private Runnable cancelNow(Fault f) {
    Map<String, Set<String>> running = checker.runningJobs();
    List<String> longest = new ArrayList<>(running.keySet());
    longest.sort(Comparator.comparingLong((String id) -> -users.runMs(id)));
    List<String> chosen = longest.subList(0, Math.min(f.count(), longest.size()));
    if (f.mode().equals("fetch")) {
      chosen = IntStream.range(0, f.count()).mapToObj(i -> victim(f, i)).toList();
    }
    Set<String> names = new TreeSet<>();
    for (String id : chosen) {
      names.addAll(running.getOrDefault(id, Set.of()));
      time.schedule(random.nextLong(200_000), null, () -> users.cancel(id));
    }
    if (!f.mode().equals("hang")) {
      return () -> {};
    }
    List<WorkerModel> hung = cloud.workers();
    hung.removeIf(w -> !w.isListening() || !names.contains(w.name));
    List<WorkerModel> few = hung.subList(0, Math.min(MOST_HUNG, hung.size()));
    few.forEach(EventQueue.Actor::freeze);
    return () -> few.forEach(time::thaw);
  }

  /** Jobs that run long enough to be cancelled then; they are there before the trouble. */
  private void victims(Fault f) {
    boolean fetch = f.mode().equals("fetch");
    for (int i = 0; i < f.count(); i++) {
      long before = fetch ? FETCH_MS / 2 : VICTIMS_MS;
      long at = Math.max(1_000, f.atMs() - before) + 100L * i;
      InvariantChecker.SubmittedJob s =
          new InvariantChecker.SubmittedJob(
              victim(f, i), TEAMS.get(1 + i % 2), "long", 1 + i % 3, 4, null, false, false, at);
      time.schedule(
          at * 1000,
          null,
          () -> users.submitJob(s, "urgent", LONG_RUN_MS, fetch ? FETCH_MS : 500, 0, null));
    }
  }

  private static String victim(Fault f, int i) {
    return String.format("job-5%02d%03d", Math.floorMod(f.atMs() / 1_000, 100), i);
  }

  private void completed(String id) {
    for (int i = 0; i < END_LOOKS && users.checksClosely; i++) {
      time.schedule(random.nextLong(END_LOOK_US), null, () -> users.checkClosely(id));
    }
    if (atEndOneIn > 0 && random.nextInt(atEndOneIn) == 0) {
      // Around the moment at which the end is committed, and each of them at its own.
      time.schedule(random.nextLong(1_500_000), null, () -> users.cancel(id));
      time.schedule(random.nextLong(1_500_000), null, () -> users.query(id));
      time.schedule(random.nextLong(1_500_000), null, () -> users.resubmit(id));
    }
  }

  private void odd(boolean[] over) {
    if (!over[0]) {
      users.sendOddRequest(oddRequestCount++);
      time.schedule(300_000 + random.nextLong(600_000), null, () -> odd(over));
    }
  }

  private static Runnable deaf(List<WorkerModel> workers) {
    workers.forEach(w -> w.inboundLost = true);
    return () -> workers.forEach(w -> w.inboundLost = false);
  }

  private Runnable workersOnly(Fault f, int node) {
    List<Runnable> lifts = new ArrayList<>();
    for (Network.Kind lost : List.of(Network.Kind.STATE, Network.Kind.NODE)) {
      lifts.add(cut(f, node(node), all(lost)));
      lifts.add(cut(f, all(lost), node(node)));
    }
    return () -> lifts.forEach(Runnable::run);
  }

  private Runnable crash(int i, long forMs) {
    SimulatedEnvironment h = hosts.get(i);
    if (h.isAlive()) {
      h.terminate();
      time.schedule(Math.min(forMs, RESTART_MS) * 1000, null, () -> rise(i));
    }
    return () -> {};
  }

  private void rise(int i) {
    hosts.get(i).restart(wander());
    begin(i);
  }

  private Runnable back(List<IntSupplier> who) {
    boolean[] over = new boolean[1];
    who.forEach(w -> again(w, over));
    return () -> over[0] = true;
  }

  /** Ends a process and brings it back after 1 ms to 1 s, short times as often as long ones. */
  private void again(IntSupplier who, boolean[] over) {
    if (over[0]) {
      return;
    }
    int i = who.getAsInt();
    if (hosts.get(i).isAlive()) {
      hosts.get(i).terminate();
      time.schedule((long) (1_000 * Math.pow(1_000, random.nextDouble())), null, () -> rise(i));
    }
    time.schedule(300_000 + random.nextLong(7_000_000), null, () -> again(who, over));
  }

  private Runnable freeze(EventQueue.Actor b) {
    b.freeze();
    return () -> time.thaw(b);
  }

  private Runnable roll() {
    for (int i = 0; i < plan.nodes(); i++) {
      int n = i;
      time.schedule(i * 6_000_000L, null, () -> crash(n, RESTART_MS));
    }
    return () -> {};
  }

  private List<WorkerModel> some(int count) {
    List<WorkerModel> up = cloud.workers();
    up.removeIf(w -> !w.isListening());
    List<WorkerModel> out = new ArrayList<>();
    while (!up.isEmpty() && out.size() < count) {
      out.add(up.remove(random.nextInt(up.size())));
    }
    return out;
  }

  private Runnable die(int count) {
    some(count).forEach(w -> w.machineGone("died"));
    return () -> {};
  }

  private Runnable hang(int count) {
    List<WorkerModel> hung = some(count);
    hung.forEach(EventQueue.Actor::freeze);
    return () -> hung.forEach(time::thaw);
  }

  /** Lets a faulty service answer users, for tests of what the checker sees. */
  void setAnswerFilter(Network.AnswerFilter filter) {
    network.answerFilter = filter;
  }

  /** One controller's build does not know a message between controllers. */
  void setUnknownMessage(int node, String path) {
    hosts.get(node).unknownMessage = path;
  }

  /** Transactions that wrote shared records of starts. */
  long sharedStartWrites() {
    return state.sharedStartWrites();
  }

  /** Plays it to its end. */
  public Result run() {
    long lastFault = 0;
    for (Fault f : plan.faults()) {
      lastFault = Math.max(lastFault, f.atMs() + f.forMs());
    }
    calmMs = lastFault;
    checker.setLastFaultEndMs(lastFault);
    long least = Math.max(lastFault, LOAD_MS + 5_000);
    while (time.nowMs() < END_MS && (time.nowMs() < least || users.openJobs() > 0)) {
      long until = time.nowUs() + 500_000;
      while (time.runNext(until)) {
        // Each step is an event.
      }
    }
    if (ratings != null) {
      ratings.checkAtEnd();
    }
    checker.checkAtEnd(SERVED_WITHIN_MS);
    return new Result(
        plan,
        checker.breaches(),
        checker.servedCounts(SERVED_WITHIN_MS),
        checker.unfinishedJobCount(),
        checker.startedTasks(),
        checker.killedTasks(),
        term(),
        cloud.workers().stream().mapToLong(WorkerModel::longestSilenceMs).max().orElse(0),
        checker.longestSilenceMs(),
        checker.longestRecoveryMs(),
        cloud.imagesFromMachines(),
        checker.cancelledJobs(),
        keptReports,
        users.closelyCheckedJobs(),
        checker.completedJobs(),
        state.writeCount(),
        checker.startsAfterCancellation(),
        checker.longestRunAfterCancellationMs(),
        time.nowMs(),
        time.eventCount());
  }

  /** When faults began and ended. */
  public List<String> faultLog() {
    return List.copyOf(faultLog);
  }
}
