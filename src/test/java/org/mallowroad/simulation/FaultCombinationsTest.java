package org.mallowroad.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.simulation.Fault.Kind;

/**
 * Combinations of faults that overlap in time, each as a fixed scenario on a few seeds: no rule may
 * be broken, all jobs must be served, and the intended combination must have occurred. In these
 * simulations {@code lease_s} is 13 s and {@code cancel_s} is 28 s. The cases are described in
 * docs/meetings.md under their display names.
 */
final class FaultCombinationsTest {
  private static final int SEEDS_PER_CASE = 4;
  private static final int LEADER = -1;

  private static Fault fault(Kind kind, long atMs, long forMs) {
    return fault(kind, atMs, forMs, LEADER, 4);
  }

  private static Fault fault(Kind kind, long atMs, long forMs, int node, int count) {
    return new Fault(kind, atMs, forMs, node, 0, "a", "hold", 0, count);
  }

  private static Fault cancel(long atMs) {
    return fault(Kind.CANCEL_NOW, atMs, 1_000, 0, 8);
  }

  private static Fault cancelAndHang(long atMs, long forMs) {
    return new Fault(Kind.CANCEL_NOW, atMs, forMs, 0, 0, "a", "hang", 0, 8);
  }

  private static Function<Long, Scenario> scenario(Fault... faults) {
    return seed -> new Scenario(seed, 3, 10, 24, true, List.of(faults));
  }

  private static Function<Long, Scenario> scenarioWithoutLinkStateRouting(Fault... faults) {
    return seed -> new Scenario(seed, 3, 10, 24, false, List.of(faults));
  }

  private static Function<Long, Scenario> scenarioWithFewMachines(Fault... faults) {
    return seed -> new Scenario(seed, 3, 3, 60, true, List.of(faults));
  }

  /** All teams have half of their usual limits, and more jobs than these admit at once. */
  private static Function<Long, Scenario> scenarioWithHalvedLimits(Fault... faults) {
    return seed -> new Scenario(seed, 3, 10, 16, true, List.of(faults), 0, 0, 0, 0.5);
  }

  private static Simulation.Result runSimulation(Scenario scenario) {
    try {
      return new Simulation(scenario).run();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * A case that passes if no seed breaks a rule and {@code hasOccurred} holds for at least one of
   * them, as evidence that the faults did overlap.
   */
  private static DynamicTest faultCase(
      String name,
      Function<Long, Scenario> scenarioForSeed,
      Predicate<Simulation.Result> hasOccurred) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          List<Simulation.Result> results =
              LongStream.rangeClosed(1, SEEDS_PER_CASE)
                  .parallel()
                  .mapToObj(seed -> runSimulation(scenarioForSeed.apply(seed)))
                  .toList();
          List<String> failures =
              results.stream()
                  .filter(result -> !result.hasNoBreaches())
                  .map(result -> result.summaryLine() + " " + result.breaches())
                  .toList();
          assertEquals(List.of(), failures);
          assertTrue(
              results.stream().anyMatch(hasOccurred),
              () ->
                  "the combination occurred with no seed: "
                      + results.stream().map(Simulation.Result::summaryLine).toList());
        });
  }

  private static Predicate<Simulation.Result> hasCancelledJobs(int minCount) {
    return result -> result.cancelledJobs() >= minCount;
  }

  private static Predicate<Simulation.Result> hasTerms(int minCount) {
    return result -> result.terms() >= minCount;
  }

  private static Predicate<Simulation.Result> hasKilledTasks() {
    return result -> result.killedTasks() > 0;
  }

  /**
   * The state service refuses the leader and then fails for everyone, while jobs are cancelled
   * through other controllers, so that the leader may miss the cancellations. The cases vary how
   * long each phase lasts, who else is cut off, how far the leader has read the state, and what the
   * tasks are doing.
   */
  @TestFactory
  Stream<DynamicTest> cancellationsNearAStateOutageBreakNoRule() {
    Fault outage = fault(Kind.STATE_OUT, 32_000, 40_000);
    return Stream.of(
        faultCase(
            "the state service refuses the leader 2 s before an outage longer than cancel_s",
            scenario(fault(Kind.STATE_REFUSES, 30_000, 14_000), cancel(30_100), outage),
            hasCancelledJobs(6).and(hasKilledTasks())),
        faultCase(
            "the state service refuses the leader 3 s before an outage shorter than cancel_s",
            scenario(
                fault(Kind.STATE_REFUSES, 29_000, 14_000),
                cancel(29_500),
                outage.withDuration(12_000)),
            hasCancelledJobs(6)),
        faultCase(
            "the state service refuses the leader 14 s before an outage",
            scenario(fault(Kind.STATE_REFUSES, 18_000, 30_000), cancel(31_000), outage),
            hasCancelledJobs(6)),
        faultCase(
            "the state service refuses the leader 40 s before an outage, no link-state routing",
            scenarioWithoutLinkStateRouting(
                fault(Kind.STATE_REFUSES, 20_000, 60_000),
                cancel(58_000),
                fault(Kind.STATE_OUT, 60_000, 40_000)),
            hasCancelledJobs(6)),
        faultCase(
            "the state service refuses the leader 2 s before an outage, no link-state routing",
            scenarioWithoutLinkStateRouting(
                fault(Kind.STATE_REFUSES, 30_000, 14_000), cancel(30_500), outage),
            hasCancelledJobs(6)),
        faultCase(
            "the leader is refused before an outage, and no controller reaches another",
            scenario(
                fault(Kind.PEERS_REFUSED, 29_000, 50_000),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_500),
                outage),
            hasCancelledJobs(6)),
        faultCase(
            "the leader loses the state service and its peers before an outage",
            scenario(fault(Kind.WORKERS_ONLY, 30_000, 50_000), cancel(31_000), outage),
            hasCancelledJobs(6)),
        faultCase(
            "cancellations are confirmed in the last second before an outage, and machines hang",
            scenario(cancelAndHang(31_200, 10_000), outage),
            hasCancelledJobs(6)),
        faultCase(
            "a new leader can read nothing: its predecessor freezes as jobs are cancelled,"
                + " and an outage keeps the leadership vacant for most of a lease",
            scenario(
                cancel(29_600),
                fault(Kind.LISTS_CROWDED, 29_000, 40_000),
                fault(Kind.FREEZE, 29_590, 60_000),
                fault(Kind.STATE_OUT, 30_050, 7_000)),
            hasCancelledJobs(4).and(hasKilledTasks())),
        faultCase(
            "the leader loses its watch and cannot list the records again",
            scenario(
                fault(Kind.LISTS_CROWDED, 28_000, 50_000),
                fault(Kind.STATE_REFUSES, 29_000, 1_500),
                cancel(33_000)),
            hasCancelledJobs(6).and(result -> result.longestRunAfterCancellationMs() < 3_000)),
        faultCase(
            "the leader cannot watch or list the records, and no controller reaches another",
            scenario(
                fault(Kind.LISTS_CROWDED, 28_000, 50_000),
                fault(Kind.STATE_REFUSES, 29_000, 1_500),
                fault(Kind.PEERS_REFUSED, 32_000, 40_000),
                cancel(33_000)),
            hasCancelledJobs(6).and(hasKilledTasks())),
        faultCase(
            "the leader learns that jobs have ended but cannot read how they ended",
            scenario(
                fault(Kind.ENDS_CROWDED, 32_000, 45_000),
                fault(Kind.PEERS_REFUSED, 32_000, 45_000),
                cancel(33_000)),
            hasCancelledJobs(6).and(hasKilledTasks())),
        faultCase(
            "jobs are cancelled while their tasks wait for an image",
            scenario(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                new Fault(Kind.CANCEL_NOW, 30_100, 1_000, 0, 0, "a", "fetch", 0, 8),
                outage),
            hasCancelledJobs(6)),
        faultCase(
            "a new leader is reading from a slow state service when an outage begins",
            seed ->
                scenario(
                        fault(Kind.STATE_SLOW, 26_000, 10_000, 0, 30),
                        cancel(27_700),
                        fault(Kind.CRASH, 28_000, 3_000),
                        fault(Kind.STATE_OUT, 28_600 + 120 * seed, 40_000))
                    .apply(seed),
            hasCancelledJobs(4)),
        faultCase(
            "a new leader has read all records before it is refused",
            scenario(
                fault(Kind.CRASH, 24_000, 3_000),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                outage),
            hasCancelledJobs(6).and(hasTerms(2))),
        faultCase(
            "the leader is refused and freezes before the outage begins",
            scenario(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                fault(Kind.FREEZE, 30_500, 16_000),
                outage),
            hasCancelledJobs(6)),
        faultCase(
            "the leader is refused and crashes before the outage begins",
            scenario(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                fault(Kind.CRASH, 31_000, 3_000),
                outage),
            hasCancelledJobs(6)),
        faultCase(
            "all controllers restart within a second, again and again, during the outage",
            scenario(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                fault(Kind.BACK_ALL, 40_000, 20_000),
                outage),
            hasCancelledJobs(6)),
        faultCase(
            "leaders restart within a second, again and again, around two outages",
            scenario(
                fault(Kind.BACK_LEADERS, 22_000, 70_000),
                cancel(30_500),
                outage,
                fault(Kind.STATE_OUT, 76_000, 12_000)),
            hasCancelledJobs(6).and(hasTerms(5))),
        faultCase(
            "machines receive no answers while the leader is refused before an outage",
            scenario(
                fault(Kind.DEAF, 28_000, 50_000, 0, 5),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                outage),
            hasCancelledJobs(6).and(hasKilledTasks())));
  }

  /** Different faults overlap in time, in many cases with cancellations or with an outage. */
  @TestFactory
  Stream<DynamicTest> overlappingFaultsBreakNoRule() {
    Fault oddRequests = fault(Kind.ODD_REQUESTS, 5_000, 80_000, 0, 1);
    return Stream.of(
        faultCase(
            "workers reach no controller, but direct commands reach the workers",
            scenario(fault(Kind.MUTE, 25_000, 45_000, 0, 5), cancel(30_000), oddRequests),
            hasCancelledJobs(6).and(hasKilledTasks())),
        faultCase(
            "a leader loses the state service and peers; jobs are cancelled at its successor",
            scenario(fault(Kind.WORKERS_ONLY, 28_000, 50_000), cancel(34_000)),
            hasCancelledJobs(6).and(hasTerms(2))),
        faultCase(
            "tasks of jobs with two or three tasks end far apart across leader changes",
            scenario(fault(Kind.BACK_LEADERS, 15_000, 60_000), oddRequests),
            hasTerms(5)),
        faultCase(
            "jobs are cancelled, queried and resubmitted as they end, without other faults",
            scenario(fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 1), oddRequests),
            hasCancelledJobs(4).and(result -> result.terms() == 1)),
        faultCase(
            "the leader crashes while machines receive no messages from its successor",
            scenario(
                fault(Kind.DEAF, 26_000, 40_000, 0, 5),
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000)),
            hasKilledTasks().and(hasTerms(2))),
        faultCase(
            "the leader crashes while machines with long tasks are unreachable",
            scenario(
                fault(Kind.CUT_ZONE, 26_000, 30_000),
                fault(Kind.CRASH, 30_000, 3_000),
                cancel(31_000)),
            hasCancelledJobs(6).and(hasTerms(2))),
        faultCase(
            "a late report reaches a new leader that has already acted",
            scenario(
                fault(Kind.LATE_REPORTS, 5_000, 80_000, 0, 1),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.CRASH, 50_000, 3_000)),
            hasTerms(3)),
        faultCase(
            "the leader changes ten times in two minutes, partly during an outage",
            scenario(
                fault(Kind.BACK_LEADERS, 12_000, 110_000),
                fault(Kind.STATE_OUT, 50_000, 12_000),
                cancel(49_000)),
            hasTerms(10)),
        faultCase(
            "the state service is slow, then refuses the leader, then refuses everyone",
            scenario(
                fault(Kind.STATE_SLOW, 20_000, 60_000, 0, 25),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(31_000),
                fault(Kind.STATE_OUT, 36_000, 35_000)),
            hasCancelledJobs(4).and(hasKilledTasks())),
        faultCase(
            "all controllers freeze for longer than lease_s",
            scenario(
                fault(Kind.FREEZE, 30_000, 20_000, 0, 1),
                fault(Kind.FREEZE, 30_000, 20_000, 1, 1),
                fault(Kind.FREEZE, 30_000, 20_000, 2, 1),
                cancel(29_500)),
            hasKilledTasks()),
        faultCase(
            "old reports arrive after newer ones, some of them from earlier sessions",
            scenario(
                fault(Kind.LATE_REPORTS, 5_000, 90_000, 0, 1),
                fault(Kind.HANG, 25_000, 18_000, 0, 5)),
            hasKilledTasks()),
        faultCase(
            "all controllers restart again and again, and two freeze so that one returns first",
            scenario(
                fault(Kind.BACK_ALL, 20_000, 25_000),
                fault(Kind.FREEZE, 30_000, 9_000, 1, 1),
                fault(Kind.FREEZE, 30_000, 9_000, 2, 1),
                oddRequests),
            hasTerms(4)),
        faultCase(
            "teams are at their limits, machines hang, jobs are cancelled, the leader crashes",
            scenarioWithFewMachines(
                fault(Kind.HANG, 28_000, 20_000, 0, 4),
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000)),
            hasCancelledJobs(4).and(hasTerms(2))),
        faultCase(
            "jobs that are restricted to a zone lose machines",
            scenario(
                fault(Kind.DIE, 20_000, 1_000, 0, 5),
                fault(Kind.DIE, 30_000, 1_000, 0, 5),
                fault(Kind.DIE, 40_000, 1_000, 0, 5)),
            result -> result.unfinishedJobs() == 0),
        faultCase(
            "messages are duplicated and held for seconds, and hung machines resume",
            scenario(
                fault(Kind.COPIES, 5_000, 80_000, 0, 0),
                fault(Kind.HANG, 25_000, 11_000, 0, 6),
                fault(Kind.CUT_WORKERS, 26_000, 10_000),
                cancel(30_000)),
            hasCancelledJobs(6)),
        faultCase(
            "a zone with workers and a controller is cut off for longer than lease_s",
            scenario(fault(Kind.CUT_ZONE, 25_000, 30_000), cancel(30_000), oddRequests),
            hasCancelledJobs(6)),
        faultCase(
            "transactions are executed late, after newer ones, while the leader changes",
            scenario(
                fault(Kind.LATE_WRITES, 10_000, 70_000, 0, 1),
                fault(Kind.BACK_LEADERS, 25_000, 30_000),
                fault(Kind.CANCEL_AT_END, 3_000, 80_000, 0, 3)),
            hasTerms(3)),
        faultCase(
            "more urgent and normal jobs than capacity, over lossy and slow links",
            scenarioWithFewMachines(
                new Fault(Kind.CUT_WORKERS, 10_000, 60_000, LEADER, 0, "a", "lossy", 0, 1),
                fault(Kind.STATE_SLOW, 10_000, 60_000, 0, 10),
                oddRequests),
            result -> result.unfinishedJobs() == 0));
  }

  private static Predicate<Simulation.Result> hasCloselyCheckedJobs(int minCount) {
    return result -> result.closelyCheckedJobs() >= minCount;
  }

  private static Predicate<Simulation.Result> hasReplayedReports(int minCount) {
    return result -> result.replayedReports() >= minCount;
  }

  /**
   * Users query all nodes and repeat requests after each acceptance, end and cancellation of a job,
   * so that a node that answers from stale state is noticed under any fault.
   */
  @TestFactory
  Stream<DynamicTest> queryingAllNodesCloselyFindsNoBrokenRule() {
    Fault closeLooks = fault(Kind.CLOSE_LOOKS, 1_000, 110_000, 0, 1);
    Fault cancelAtEnd = fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 1);
    return Stream.of(
        faultCase(
            "users query all nodes closely, without other faults",
            scenario(closeLooks, cancelAtEnd),
            hasCloselyCheckedJobs(20)),
        faultCase(
            "users query all nodes closely, without link-state routing",
            scenarioWithoutLinkStateRouting(closeLooks, cancelAtEnd),
            hasCloselyCheckedJobs(20)),
        faultCase(
            "users query all nodes closely while the state service refuses one node, then another",
            scenario(
                closeLooks,
                cancelAtEnd,
                fault(Kind.STATE_REFUSES, 15_000, 15_000),
                fault(Kind.STATE_REFUSES, 32_000, 15_000, Scenario.FOLLOWER, 1),
                cancel(33_000)),
            hasCloselyCheckedJobs(15).and(hasCancelledJobs(6))),
        faultCase(
            "users query all nodes closely through leader changes and a freeze of the leader",
            scenario(
                closeLooks,
                cancelAtEnd,
                fault(Kind.BACK_LEADERS, 20_000, 30_000),
                fault(Kind.FREEZE, 52_000, 9_000),
                cancel(51_500)),
            hasCloselyCheckedJobs(15).and(hasTerms(3))),
        faultCase(
            "users query all nodes closely while no controller reaches another",
            scenario(
                closeLooks, cancelAtEnd, fault(Kind.PEERS_REFUSED, 10_000, 60_000), cancel(30_000)),
            hasCloselyCheckedJobs(15).and(hasCancelledJobs(6))),
        faultCase(
            "users query all nodes closely while the state service is slow, refuses the leader,"
                + " then is out for longer than cancel_s",
            scenario(
                closeLooks,
                cancelAtEnd,
                fault(Kind.STATE_SLOW, 15_000, 60_000, 0, 25),
                fault(Kind.STATE_REFUSES, 28_000, 14_000),
                cancel(29_000),
                fault(Kind.STATE_OUT, 34_000, 32_000)),
            hasCloselyCheckedJobs(10).and(hasCancelledJobs(4))));
  }

  /** Transactions are executed, but their answers are lost, so that their outcome is unknown. */
  @TestFactory
  Stream<DynamicTest> lostTransactionAnswersBreakNoRule() {
    Fault closeLooks = fault(Kind.CLOSE_LOOKS, 1_000, 110_000, 0, 1);
    Fault cancelAtEnd = fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 1);
    Fault everySecondAnswerLost = fault(Kind.ANSWERS_LOST, 5_000, 80_000, 0, 0);
    return Stream.of(
        faultCase(
            "transaction answers are lost while others read what the transactions wrote",
            scenario(closeLooks, cancelAtEnd, everySecondAnswerLost, cancel(30_000)),
            hasCloselyCheckedJobs(15).and(hasCancelledJobs(6))),
        faultCase(
            "transaction answers are lost, and the leader crashes twice",
            scenario(
                closeLooks,
                cancelAtEnd,
                everySecondAnswerLost,
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.CRASH, 50_000, 3_000)),
            hasTerms(2).and(hasCloselyCheckedJobs(10))),
        faultCase(
            "transaction answers are lost, other transactions are late, leaders restart",
            scenario(
                closeLooks,
                everySecondAnswerLost,
                fault(Kind.LATE_WRITES, 5_000, 80_000, 0, 2),
                fault(Kind.BACK_LEADERS, 25_000, 30_000)),
            hasTerms(3)));
  }

  /**
   * Teams are at their limits, and jobs are cancelled whose machines cannot be reached, while the
   * leader changes: capacity must not be granted again before the cancelled tasks are gone.
   */
  @TestFactory
  Stream<DynamicTest> cancellationsWithTeamsAtTheirLimitsBreakNoRule() {
    return Stream.of(
        faultCase(
            "all teams are at their limits, machines of cancelled jobs hang, the leader crashes",
            scenarioWithHalvedLimits(
                cancelAndHang(40_000, 11_000), fault(Kind.CRASH, 40_400, 3_000)),
            hasCancelledJobs(4).and(hasTerms(2))),
        faultCase(
            "all teams are at their limits, a zone is cut off, jobs are cancelled, leaders crash",
            scenarioWithHalvedLimits(
                fault(Kind.CUT_ZONE, 38_000, 20_000),
                cancel(39_000),
                fault(Kind.CRASH, 40_000, 3_000),
                fault(Kind.CRASH, 60_000, 3_000)),
            hasCancelledJobs(4).and(hasTerms(3))),
        faultCase(
            "all teams are at their limits, machines receive no messages, commands are late,"
                + " the leader freezes",
            scenarioWithHalvedLimits(
                fault(Kind.LATE_COMMANDS, 5_000, 80_000, 0, 0),
                fault(Kind.DEAF, 36_000, 25_000, 0, 4),
                cancel(40_000),
                fault(Kind.FREEZE, 40_200, 15_000)),
            hasCancelledJobs(4).and(hasTerms(2))));
  }

  /** The leader changes at the moment when jobs are cancelled. */
  @TestFactory
  Stream<DynamicTest> cancellationsDuringALeaderChangeBreakNoRule() {
    return Stream.of(
        faultCase(
            "jobs are cancelled in the second in which the leader crashes",
            seed ->
                scenario(cancel(29_800), fault(Kind.CRASH, 29_600 + 150 * seed, 3_000)).apply(seed),
            hasCancelledJobs(6).and(hasTerms(2))),
        faultCase(
            "jobs are cancelled in the second in which the leader freezes, commands are in flight",
            seed ->
                scenario(
                        fault(Kind.LATE_COMMANDS, 10_000, 60_000, 0, 0),
                        cancel(29_800),
                        fault(Kind.FREEZE, 29_600 + 150 * seed, 15_000))
                    .apply(seed),
            hasCancelledJobs(6).and(hasTerms(2))),
        faultCase(
            "jobs are cancelled as the leader loses state and peers, its writes are in flight",
            seed ->
                scenario(
                        fault(Kind.ANSWERS_LOST, 20_000, 30_000, 0, 0),
                        fault(Kind.WORKERS_ONLY, 29_600 + 150 * seed, 30_000),
                        cancel(29_800))
                    .apply(seed),
            hasCancelledJobs(6).and(hasTerms(2))),
        faultCase(
            "jobs are cancelled during a rolling restart of all controllers",
            scenario(fault(Kind.ROLL, 27_000, 20_000), cancel(29_800), cancel(33_000)),
            hasCancelledJobs(8).and(hasTerms(2))));
  }

  /**
   * Commands and reports from an earlier term reach a new leader or its machines. In the last two
   * cases, machines boot so quickly that they get tasks while earlier writes are under way.
   */
  @TestFactory
  Stream<DynamicTest> lateMessagesToANewLeaderBreakNoRule() {
    return Stream.of(
        faultCase(
            "old reports reach every controller as a new leader takes over",
            scenario(
                fault(Kind.REPORTS_FOR_NEXT, 5_000, 80_000, 0, 0),
                fault(Kind.HANG, 22_000, 18_000, 0, 4),
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.CRASH, 52_000, 3_000)),
            hasTerms(3).and(hasReplayedReports(40))),
        faultCase(
            "old reports reach every controller at each of many leader changes",
            scenario(
                fault(Kind.REPORTS_FOR_NEXT, 5_000, 100_000, 0, 0),
                fault(Kind.BACK_LEADERS, 12_000, 100_000)),
            hasTerms(8).and(hasReplayedReports(40))),
        faultCase(
            "delayed commands are executed once, after those of the next leader",
            scenario(
                fault(Kind.LATE_COMMANDS, 5_000, 90_000, 0, 0),
                fault(Kind.LATE_REPORTS, 5_000, 90_000, 0, 2),
                cancel(29_800),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.FREEZE, 50_000, 9_000)),
            hasCancelledJobs(6).and(hasTerms(3))),
        faultCase(
            "commands are delayed while worker sessions end",
            scenario(
                fault(Kind.LATE_COMMANDS, 5_000, 90_000, 0, 0),
                fault(Kind.HANG, 25_000, 18_000, 0, 6),
                fault(Kind.DEAF, 45_000, 20_000, 0, 4),
                cancel(26_000)),
            hasCancelledJobs(6).and(hasKilledTasks())),
        faultCase(
            "quickly booted machines get tasks at once, writes are slow, and the leader crashes",
            scenario(
                fault(Kind.QUICK_BOOTS, 1_000, 100_000, 0, 1),
                fault(Kind.STATE_SLOW, 8_000, 40_000, 0, 25),
                fault(Kind.DIE, 20_000, 1_000, 0, 6),
                fault(Kind.CRASH, 21_500, 3_000),
                fault(Kind.DIE, 34_000, 1_000, 0, 6),
                fault(Kind.CRASH, 35_500, 3_000)),
            hasTerms(3)),
        faultCase(
            "quickly booted machines get tasks at once, transactions are late, leaders restart",
            scenario(
                fault(Kind.QUICK_BOOTS, 1_000, 100_000, 0, 1),
                fault(Kind.LATE_WRITES, 8_000, 60_000, 0, 1),
                fault(Kind.DIE, 20_000, 1_000, 0, 8),
                fault(Kind.BACK_LEADERS, 20_500, 20_000),
                cancel(30_000)),
            hasTerms(3).and(hasCancelledJobs(4))));
  }

  /**
   * Jobs arrive at two, four and seven times the rate that record writes can sustain, which is
   * about 25 jobs per second: no accepted job may be forgotten or left unfinished, and at least 0.9
   * times as many jobs must complete as at the sustainable rate.
   */
  @Test
  void overloadForgetsNoJobAndKeepsThroughput() {
    int baselineCompleted = completedJobs(runWithLoad(1));
    for (int loadFactor : new int[] {2, 4, 7}) {
      List<Simulation.Result> results = runWithLoad(loadFactor);
      List<String> brokenRules =
          results.stream()
              .flatMap(result -> result.breaches().stream())
              .map(InvariantChecker.Breach::rule)
              .filter(rule -> !rule.equals("served")) // Jobs that were rejected are never served.
              .distinct()
              .toList();
      assertEquals(List.of(), brokenRules);
      assertTrue(
          completedJobs(results) >= 0.9 * baselineCompleted,
          loadFactor + ": " + completedJobs(results) + " of " + baselineCompleted);
    }
  }

  private static List<Simulation.Result> runWithLoad(int loadFactor) {
    Fault jobBurst = fault(Kind.SINGLE_JOBS, 15_000, 15_000, 0, 25 * loadFactor);
    return LongStream.rangeClosed(1, 3)
        .parallel()
        .mapToObj(seed -> runSimulation(new Scenario(seed, 3, 16, 12, true, List.of(jobBurst))))
        .toList();
  }

  private static int completedJobs(List<Simulation.Result> results) {
    return results.stream().mapToInt(Simulation.Result::completedJobs).sum();
  }

  /** One-task jobs arrive at the rate that the requirements of the users state. */
  @TestFactory
  Stream<DynamicTest> oneTaskJobsBreakNoRule() {
    Fault oneTaskJobs = fault(Kind.SINGLE_JOBS, 8_000, 40_000, 0, 4);
    return Stream.of(
        faultCase(
            "four one-task jobs a second, a quarter of them cancelled",
            scenario(oneTaskJobs, fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 4)),
            hasCancelledJobs(25)),
        faultCase(
            "four one-task jobs a second, a quarter of them cancelled, and two leaders crash",
            scenario(
                oneTaskJobs,
                fault(Kind.CRASH, 20_000, 3_000),
                fault(Kind.CRASH, 35_000, 3_000),
                fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 4)),
            hasCancelledJobs(25).and(hasTerms(3))),
        faultCase(
            "four one-task jobs a second, transaction answers are lost, and a 10 s outage",
            scenario(
                oneTaskJobs,
                fault(Kind.ANSWERS_LOST, 5_000, 60_000, 0, 1),
                fault(Kind.STATE_OUT, 25_000, 10_000)),
            hasCancelledJobs(20)));
  }
}
