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
 * Two troubles that meet, each by a written plan on a few seeds: no rule breaks, all are served,
 * and the meeting came about. In these worlds a lease lasts 13 s and a cancellation 28 s. The rows
 * are those of docs/meetings.md, by name.
 */
final class FaultCombinationsTest {
  private static final int SEEDS = 4;
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

  private static Function<Long, Scenario> of(Fault... faults) {
    return seed -> new Scenario(seed, 3, 10, 24, true, List.of(faults));
  }

  private static Function<Long, Scenario> withoutLinks(Fault... faults) {
    return seed -> new Scenario(seed, 3, 10, 24, false, List.of(faults));
  }

  private static Function<Long, Scenario> crowded(Fault... faults) {
    return seed -> new Scenario(seed, 3, 3, 60, true, List.of(faults));
  }

  /** All teams at half of their limits, more work than they admit at once. */
  private static Function<Long, Scenario> tight(Fault... faults) {
    return seed -> new Scenario(seed, 3, 10, 16, true, List.of(faults), 0, 0, 0, 0.5);
  }

  private static Simulation.Result play(Scenario plan) {
    try {
      return new Simulation(plan).run();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** On all seeds nothing breaks; on at least one {@code came} is seen. */
  private static DynamicTest row(
      String name, Function<Long, Scenario> plan, Predicate<Simulation.Result> came) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          List<Simulation.Result> all =
              LongStream.rangeClosed(1, SEEDS)
                  .parallel()
                  .mapToObj(seed -> play(plan.apply(seed)))
                  .toList();
          List<String> bad =
              all.stream()
                  .filter(r -> !r.hasNoBreaches())
                  .map(r -> r.summaryLine() + " " + r.breaches())
                  .toList();
          assertEquals(List.of(), bad);
          assertTrue(
              all.stream().anyMatch(came),
              () ->
                  "the meeting came about: "
                      + all.stream().map(Simulation.Result::summaryLine).toList());
        });
  }

  private static Predicate<Simulation.Result> cancelled(int jobs) {
    return r -> r.cancelledJobs() >= jobs;
  }

  private static Predicate<Simulation.Result> terms(int terms) {
    return r -> r.terms() >= terms;
  }

  private static Predicate<Simulation.Result> killed() {
    return r -> r.killedTasks() > 0;
  }

  /** The gap: its spans, who else is cut off, which leader it is, what the tasks do. */
  @TestFactory
  Stream<DynamicTest> theGap() {
    Fault out = fault(Kind.STATE_OUT, 32_000, 40_000);
    return Stream.of(
        row(
            "refused for 14 s, out a second later, for longer than cancel_s",
            of(fault(Kind.STATE_REFUSES, 30_000, 14_000), cancel(30_100), out),
            cancelled(6).and(killed())),
        row(
            "refused 3 s before, out for shorter than cancel_s",
            of(fault(Kind.STATE_REFUSES, 29_000, 14_000), cancel(29_500), out.withDuration(12_000)),
            cancelled(6)),
        row(
            "refused 14 s before",
            of(fault(Kind.STATE_REFUSES, 18_000, 30_000), cancel(31_000), out),
            cancelled(6)),
        row(
            "refused 40 s before, without ways round cuts",
            withoutLinks(
                fault(Kind.STATE_REFUSES, 20_000, 60_000),
                cancel(58_000),
                fault(Kind.STATE_OUT, 60_000, 40_000)),
            cancelled(6)),
        row(
            "without ways round cuts",
            withoutLinks(fault(Kind.STATE_REFUSES, 30_000, 14_000), cancel(30_500), out),
            cancelled(6)),
        row(
            "no controller reaches another",
            of(
                fault(Kind.PEERS_REFUSED, 29_000, 50_000),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_500),
                out),
            cancelled(6)),
        row(
            "the leader reaches its workers alone",
            of(fault(Kind.WORKERS_ONLY, 30_000, 50_000), cancel(31_000), out),
            cancelled(6)),
        row(
            "confirmed in the last second before the outage, and machines hang",
            of(cancelAndHang(31_200, 10_000), out),
            cancelled(6)),
        row(
            "a new leader that can read nothing: the one before stands still as the jobs are"
                + " cancelled, and an outage leaves the office empty for most of a lease",
            of(
                cancel(29_600),
                fault(Kind.LISTS_CROWDED, 29_000, 40_000),
                fault(Kind.FREEZE, 29_590, 60_000),
                fault(Kind.STATE_OUT, 30_050, 7_000)),
            cancelled(4).and(killed())),
        row(
            "a leader that is served and hears nothing: its watch is lost, and it cannot list anew",
            of(
                fault(Kind.LISTS_CROWDED, 28_000, 50_000),
                fault(Kind.STATE_REFUSES, 29_000, 1_500),
                cancel(33_000)),
            cancelled(6).and(r -> r.longestRunAfterCancellationMs() < 3_000)),
        row(
            "the same, and no controller hears of it from another",
            of(
                fault(Kind.LISTS_CROWDED, 28_000, 50_000),
                fault(Kind.STATE_REFUSES, 29_000, 1_500),
                fault(Kind.PEERS_REFUSED, 32_000, 40_000),
                cancel(33_000)),
            cancelled(6).and(killed())),
        row(
            "a leader that hears that jobs are over, and cannot read how they ended",
            of(
                fault(Kind.ENDS_CROWDED, 32_000, 45_000),
                fault(Kind.PEERS_REFUSED, 32_000, 45_000),
                cancel(33_000)),
            cancelled(6).and(killed())),
        row(
            "tasks that wait for their image as their jobs are cancelled",
            of(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                new Fault(Kind.CANCEL_NOW, 30_100, 1_000, 0, 0, "a", "fetch", 0, 8),
                out),
            cancelled(6)),
        row(
            "a new leader that has read some: the service is slow, and out as it reads",
            seed ->
                of(
                        fault(Kind.STATE_SLOW, 26_000, 10_000, 0, 30),
                        cancel(27_700),
                        fault(Kind.CRASH, 28_000, 3_000),
                        fault(Kind.STATE_OUT, 28_600 + 120 * seed, 40_000))
                    .apply(seed),
            cancelled(4)),
        row(
            "a new leader that has read all",
            of(
                fault(Kind.CRASH, 24_000, 3_000),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                out),
            cancelled(6).and(terms(2))),
        row(
            "the old leader stands still in the middle",
            of(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                fault(Kind.FREEZE, 30_500, 16_000),
                out),
            cancelled(6)),
        row(
            "the old leader ends in the middle",
            of(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                fault(Kind.CRASH, 31_000, 3_000),
                out),
            cancelled(6)),
        row(
            "all controllers are back within a second while the outage lasts",
            of(
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                fault(Kind.BACK_ALL, 40_000, 20_000),
                out),
            cancelled(6)),
        row(
            "five terms around an outage",
            of(
                fault(Kind.BACK_LEADERS, 22_000, 70_000),
                cancel(30_500),
                out,
                fault(Kind.STATE_OUT, 76_000, 12_000)),
            cancelled(6).and(terms(5))),
        row(
            "machines that hear no answer",
            of(
                fault(Kind.DEAF, 28_000, 50_000, 0, 5),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(30_100),
                out),
            cancelled(6).and(killed())));
  }

  @TestFactory
  Stream<DynamicTest> eachMeeting() {
    Fault odd = fault(Kind.ODD_REQUESTS, 5_000, 80_000, 0, 1);
    return Stream.of(
        row(
            "workers reach no controller, orders reach them",
            of(fault(Kind.MUTE, 25_000, 45_000, 0, 5), cancel(30_000), odd),
            cancelled(6).and(killed())),
        row(
            "a leader left with workers and users, cancelled through the new one",
            of(fault(Kind.WORKERS_ONLY, 28_000, 50_000), cancel(34_000)),
            cancelled(6).and(terms(2))),
        row(
            "jobs of two or three tasks end far apart across changes of leader",
            of(fault(Kind.BACK_LEADERS, 15_000, 60_000), odd),
            terms(5)),
        row(
            "cancelled, asked about and submitted again at a job's end, nothing else",
            of(fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 1), odd),
            cancelled(4).and(r -> r.terms() == 1)),
        row(
            "a leader ends while machines do not hear the next one",
            of(
                fault(Kind.DEAF, 26_000, 40_000, 0, 5),
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000)),
            killed().and(terms(2))),
        row(
            "a leader ends while machines with long tasks cannot be reached",
            of(
                fault(Kind.CUT_ZONE, 26_000, 30_000),
                fault(Kind.CRASH, 30_000, 3_000),
                cancel(31_000)),
            cancelled(6).and(terms(2))),
        row(
            "a report comes to a new leader that has acted",
            of(
                fault(Kind.LATE_REPORTS, 5_000, 80_000, 0, 1),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.CRASH, 50_000, 3_000)),
            terms(3)),
        row(
            "ten changes of leader in two minutes, some inside an outage",
            of(
                fault(Kind.BACK_LEADERS, 12_000, 110_000),
                fault(Kind.STATE_OUT, 50_000, 12_000),
                cancel(49_000)),
            terms(10)),
        row(
            "the state service slow, then it refuses the leader, then everybody",
            of(
                fault(Kind.STATE_SLOW, 20_000, 60_000, 0, 25),
                fault(Kind.STATE_REFUSES, 30_000, 14_000),
                cancel(31_000),
                fault(Kind.STATE_OUT, 36_000, 35_000)),
            cancelled(4).and(killed())),
        row(
            "all controllers away for longer than lease_s",
            of(
                fault(Kind.FREEZE, 30_000, 20_000, 0, 1),
                fault(Kind.FREEZE, 30_000, 20_000, 1, 1),
                fault(Kind.FREEZE, 30_000, 20_000, 2, 1),
                cancel(29_500)),
            killed()),
        row(
            "old reports after newer ones, from earlier sessions too",
            of(
                fault(Kind.LATE_REPORTS, 5_000, 90_000, 0, 1),
                fault(Kind.HANG, 25_000, 18_000, 0, 5)),
            killed()),
        row(
            "offices go over and back, all end, one returns first, within a second",
            of(
                fault(Kind.BACK_ALL, 20_000, 25_000),
                fault(Kind.FREEZE, 30_000, 9_000, 1, 1),
                fault(Kind.FREEZE, 30_000, 9_000, 2, 1),
                odd),
            terms(4)),
        row(
            "teams at their limits, a new leader, machines that cannot be asked, a cancellation",
            crowded(
                fault(Kind.HANG, 28_000, 20_000, 0, 4),
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000)),
            cancelled(4).and(terms(2))),
        row(
            "jobs bound to a zone lose machines",
            of(
                fault(Kind.DIE, 20_000, 1_000, 0, 5),
                fault(Kind.DIE, 30_000, 1_000, 0, 5),
                fault(Kind.DIE, 40_000, 1_000, 0, 5)),
            r -> r.unfinishedJobs() == 0),
        row(
            "orders and answers held for seconds, and the machine goes on",
            of(
                fault(Kind.COPIES, 5_000, 80_000, 0, 0),
                fault(Kind.HANG, 25_000, 11_000, 0, 6),
                fault(Kind.CUT_WORKERS, 26_000, 10_000),
                cancel(30_000)),
            cancelled(6)),
        row(
            "a zone with workers and a controller cut off for longer than lease_s",
            of(fault(Kind.CUT_ZONE, 25_000, 30_000), cancel(30_000), odd),
            cancelled(6)),
        row(
            "transactions carried out late, after newer ones, and leaders change",
            of(
                fault(Kind.LATE_WRITES, 10_000, 70_000, 0, 1),
                fault(Kind.BACK_LEADERS, 25_000, 30_000),
                fault(Kind.CANCEL_AT_END, 3_000, 80_000, 0, 3)),
            terms(3)),
        row(
            "more work than room, urgent and not, over slow links",
            crowded(
                new Fault(Kind.CUT_WORKERS, 10_000, 60_000, LEADER, 0, "a", "lossy", 0, 1),
                fault(Kind.STATE_SLOW, 10_000, 60_000, 0, 10),
                odd),
            r -> r.unfinishedJobs() == 0));
  }

  private static Predicate<Simulation.Result> looks(int jobs) {
    return r -> r.closelyCheckedJobs() >= jobs;
  }

  private static Predicate<Simulation.Result> kept(int reports) {
    return r -> r.replayedReports() >= reports;
  }

  /** Users look at all nodes after each accept, end and cancellation, whatever else happens. */
  @TestFactory
  Stream<DynamicTest> closeLooks() {
    Fault looks = fault(Kind.CLOSE_LOOKS, 1_000, 110_000, 0, 1);
    Fault atEnd = fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 1);
    return Stream.of(
        row("close looks, no other trouble", of(looks, atEnd), looks(20)),
        row("close looks, without ways round cuts", withoutLinks(looks, atEnd), looks(20)),
        row(
            "close looks while the state service refuses one node, then the next",
            of(
                looks,
                atEnd,
                fault(Kind.STATE_REFUSES, 15_000, 15_000),
                fault(Kind.STATE_REFUSES, 32_000, 15_000, Scenario.FOLLOWER, 1),
                cancel(33_000)),
            looks(15).and(cancelled(6))),
        row(
            "close looks through changes of leader and a standstill",
            of(
                looks,
                atEnd,
                fault(Kind.BACK_LEADERS, 20_000, 30_000),
                fault(Kind.FREEZE, 52_000, 9_000),
                cancel(51_500)),
            looks(15).and(terms(3))),
        row(
            "close looks while no controller reaches another",
            of(looks, atEnd, fault(Kind.PEERS_REFUSED, 10_000, 60_000), cancel(30_000)),
            looks(15).and(cancelled(6))),
        row(
            "close looks, the state service slow, refusing the leader, then out for longer than"
                + " cancel_s",
            of(
                looks,
                atEnd,
                fault(Kind.STATE_SLOW, 15_000, 60_000, 0, 25),
                fault(Kind.STATE_REFUSES, 28_000, 14_000),
                cancel(29_000),
                fault(Kind.STATE_OUT, 34_000, 32_000)),
            looks(10).and(cancelled(4))));
  }

  /** Transactions that are carried out while only their answers are lost. */
  @TestFactory
  Stream<DynamicTest> lostAnswers() {
    Fault looks = fault(Kind.CLOSE_LOOKS, 1_000, 110_000, 0, 1);
    Fault atEnd = fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 1);
    Fault everySecond = fault(Kind.ANSWERS_LOST, 5_000, 80_000, 0, 0);
    return Stream.of(
        row(
            "answers of transactions lost while others read what they wrote",
            of(looks, atEnd, everySecond, cancel(30_000)),
            looks(15).and(cancelled(6))),
        row(
            "answers lost, and the leader ends",
            of(
                looks,
                atEnd,
                everySecond,
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.CRASH, 50_000, 3_000)),
            terms(2).and(looks(10))),
        row(
            "answers lost, other transactions late, leaders back at once",
            of(
                looks,
                everySecond,
                fault(Kind.LATE_WRITES, 5_000, 80_000, 0, 2),
                fault(Kind.BACK_LEADERS, 25_000, 30_000)),
            terms(3)));
  }

  /** Teams at their limits, jobs cancelled whose machines cannot be asked, changes of leader. */
  @TestFactory
  Stream<DynamicTest> atTheLimits() {
    return Stream.of(
        row(
            "all teams at their limits, machines of cancelled jobs hang, and the leader ends",
            tight(cancelAndHang(40_000, 11_000), fault(Kind.CRASH, 40_400, 3_000)),
            cancelled(4).and(terms(2))),
        row(
            "all teams at their limits, a zone cut, jobs cancelled, two changes of leader",
            tight(
                fault(Kind.CUT_ZONE, 38_000, 20_000),
                cancel(39_000),
                fault(Kind.CRASH, 40_000, 3_000),
                fault(Kind.CRASH, 60_000, 3_000)),
            cancelled(4).and(terms(3))),
        row(
            "all teams at their limits, machines unreachable, commands late, the leader stands"
                + " still",
            tight(
                fault(Kind.LATE_COMMANDS, 5_000, 80_000, 0, 0),
                fault(Kind.DEAF, 36_000, 25_000, 0, 4),
                cancel(40_000),
                fault(Kind.FREEZE, 40_200, 15_000)),
            cancelled(4).and(terms(2))));
  }

  /** Work changes hands while jobs are cancelled. */
  @TestFactory
  Stream<DynamicTest> handOvers() {
    return Stream.of(
        row(
            "cancelled in the second in which the leader ends",
            seed -> of(cancel(29_800), fault(Kind.CRASH, 29_600 + 150 * seed, 3_000)).apply(seed),
            cancelled(6).and(terms(2))),
        row(
            "cancelled in the second in which the leader stands still, with orders under way",
            seed ->
                of(
                        fault(Kind.LATE_COMMANDS, 10_000, 60_000, 0, 0),
                        cancel(29_800),
                        fault(Kind.FREEZE, 29_600 + 150 * seed, 15_000))
                    .apply(seed),
            cancelled(6).and(terms(2))),
        row(
            "cancelled while the leader loses state and peers, with its records under way",
            seed ->
                of(
                        fault(Kind.ANSWERS_LOST, 20_000, 30_000, 0, 0),
                        fault(Kind.WORKERS_ONLY, 29_600 + 150 * seed, 30_000),
                        cancel(29_800))
                    .apply(seed),
            cancelled(6).and(terms(2))),
        row(
            "cancelled in a roll of all controllers",
            of(fault(Kind.ROLL, 27_000, 20_000), cancel(29_800), cancel(33_000)),
            cancelled(8).and(terms(2))));
  }

  /** Old commands and reports that reach a new leader's machines, or the new leader. */
  @TestFactory
  Stream<DynamicTest> oldMessages() {
    return Stream.of(
        row(
            "old reports reach every controller as a new leader begins",
            of(
                fault(Kind.REPORTS_FOR_NEXT, 5_000, 80_000, 0, 0),
                fault(Kind.HANG, 22_000, 18_000, 0, 4),
                cancel(29_500),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.CRASH, 52_000, 3_000)),
            terms(3).and(kept(40))),
        row(
            "the same, leaders changing ten times",
            of(
                fault(Kind.REPORTS_FOR_NEXT, 5_000, 100_000, 0, 0),
                fault(Kind.BACK_LEADERS, 12_000, 100_000)),
            terms(8).and(kept(40))),
        row(
            "commands held up and carried out once, after the next leader's",
            of(
                fault(Kind.LATE_COMMANDS, 5_000, 90_000, 0, 0),
                fault(Kind.LATE_REPORTS, 5_000, 90_000, 0, 2),
                cancel(29_800),
                fault(Kind.CRASH, 30_000, 3_000),
                fault(Kind.FREEZE, 50_000, 9_000)),
            cancelled(6).and(terms(3))),
        row(
            "commands held up while sessions end",
            of(
                fault(Kind.LATE_COMMANDS, 5_000, 90_000, 0, 0),
                fault(Kind.HANG, 25_000, 18_000, 0, 6),
                fault(Kind.DEAF, 45_000, 20_000, 0, 4),
                cancel(26_000)),
            cancelled(6).and(killed())),
        row(
            "machines up within two seconds get work at once, writes lag, and the leader ends",
            of(
                fault(Kind.QUICK_BOOTS, 1_000, 100_000, 0, 1),
                fault(Kind.STATE_SLOW, 8_000, 40_000, 0, 25),
                fault(Kind.DIE, 20_000, 1_000, 0, 6),
                fault(Kind.CRASH, 21_500, 3_000),
                fault(Kind.DIE, 34_000, 1_000, 0, 6),
                fault(Kind.CRASH, 35_500, 3_000)),
            terms(3)),
        row(
            "the same, transactions late, the cloud's lists behind",
            of(
                fault(Kind.QUICK_BOOTS, 1_000, 100_000, 0, 1),
                fault(Kind.LATE_WRITES, 8_000, 60_000, 0, 1),
                fault(Kind.DIE, 20_000, 1_000, 0, 8),
                fault(Kind.BACK_LEADERS, 20_500, 20_000),
                cancel(30_000)),
            terms(3).and(cancelled(4))));
  }

  /**
   * Two, four and seven times as many jobs as the records can carry (some 25 a second): nothing
   * that was accepted is forgotten or left, and as many are done as at the rate that they can
   * carry.
   */
  @Test
  void overload() {
    int carried = done(overloaded(1));
    for (int times : new int[] {2, 4, 7}) {
      List<Simulation.Result> all = overloaded(times);
      List<String> broken =
          all.stream()
              .flatMap(r -> r.breaches().stream())
              .map(InvariantChecker.Breach::rule)
              .filter(rule -> !rule.equals("served")) // Jobs that were turned away are not.
              .distinct()
              .toList();
      assertEquals(List.of(), broken);
      assertTrue(done(all) >= 0.9 * carried, times + ": " + done(all) + " of " + carried);
    }
  }

  private static List<Simulation.Result> overloaded(int times) {
    Fault jobs = fault(Kind.SINGLE_JOBS, 15_000, 15_000, 0, 25 * times);
    return LongStream.rangeClosed(1, 3)
        .parallel()
        .mapToObj(seed -> play(new Scenario(seed, 3, 16, 12, true, List.of(jobs))))
        .toList();
  }

  private static int done(List<Simulation.Result> all) {
    return all.stream().mapToInt(Simulation.Result::completedJobs).sum();
  }

  /** One-task jobs as fast as the users' page has them. */
  @TestFactory
  Stream<DynamicTest> singleJobs() {
    Fault singles = fault(Kind.SINGLE_JOBS, 8_000, 40_000, 0, 4);
    return Stream.of(
        row(
            "one-task jobs four a second, a quarter cancelled",
            of(singles, fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 4)),
            cancelled(25)),
        row(
            "the same, and two leaders end",
            of(
                singles,
                fault(Kind.CRASH, 20_000, 3_000),
                fault(Kind.CRASH, 35_000, 3_000),
                fault(Kind.CANCEL_AT_END, 3_000, 90_000, 0, 4)),
            cancelled(25).and(terms(3))),
        row(
            "the same, answers lost, and an outage of ten seconds",
            of(
                singles,
                fault(Kind.ANSWERS_LOST, 5_000, 60_000, 0, 1),
                fault(Kind.STATE_OUT, 25_000, 10_000)),
            cancelled(20)));
  }
}
