package org.mallowroad.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.health.MachineHealth.Doubt;

/** What is suspected of whom, and above all what is not. */
final class HealthTest {
  private static final long REPORT_MS = 4_000;

  /** Two zones of ten machines that report every 4 s, and one job's peers. */
  private static final class Simulation {
    final Health health = new Health(HealthPolicy.defaults(), 2, REPORT_MS / 1000.0, 0);
    final List<MachineHealth> machines = new ArrayList<>();
    final RunTimeBaseline job = new RunTimeBaseline(15);
    long now;

    Simulation(int a, int b) {
      for (int i = 0; i < a + b; i++) {
        MachineHealth m = new MachineHealth("n-" + i, i < a ? 0 : 1);
        health.met(m, now);
        machines.add(m);
      }
    }

    /** Lets time pass; each machine but those from {@code from} to {@code to} reports in time. */
    void pass(long ms, int from, int to) {
      for (long end = now + ms; now < end; now += 500) {
        health.still().turn(now);
        health.still().beat();
        for (int i = 0; i < machines.size(); i++) {
          if ((i < from || i >= to) && (now / 500) % 8 == i % 8) {
            health.heard(machines.get(i), now);
          }
        }
        health.failureDetector().judge(now);
      }
    }

    /** A task of 40 s by its estimate ends on a machine after so many times that. */
    void task(int machine, double times) {
      health.finished(machines.get(machine), job, 0, (long) (40_000 * times), 40, now);
    }

    Doubt doubt(int machine) {
      return machines.get(machine).doubt();
    }
  }

  private interface Case {
    void run(Simulation w);
  }

  private static DynamicTest rule(String name, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new Simulation(10, 10)));
  }

  @TestFactory
  Stream<DynamicTest> failureDetector() {
    return Stream.of(
        rule(
            "a zone of which nobody is heard while the others go on is cut, until it is back",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(7_000, 0, 10);
              assertTrue(w.health.failureDetector().cut(0));
              assertFalse(w.health.failureDetector().cut(1));
              assertTrue(w.health.away(w.machines.get(3)));
              w.pass(5_000, 0, 0);
              assertFalse(w.health.failureDetector().cut(0));
              assertFalse(w.health.away(w.machines.get(3)));
            }),
        rule(
            "a zone of which no single report comes is cut before most of them are overdue",
            w -> {
              for (int i = 20; i < 220; i++) {
                MachineHealth m = new MachineHealth("n-" + i, i % 2);
                w.health.met(m, w.now);
                w.machines.add(m);
              }
              w.machines.sort(java.util.Comparator.comparingInt(MachineHealth::zone));
              w.pass(20_000, 0, 0);
              w.pass(3_500, 0, 110);
              assertTrue(w.health.failureDetector().lateCount() < 65);
              assertTrue(w.health.failureDetector().cut(0));
              assertFalse(w.health.failureDetector().cut(1));
              w.pass(3_000, 0, 0);
              assertEquals(0, w.health.failureDetector().cuts());
            }),
        rule(
            "machines that came up together report together: a pause of half a report's time is no cut",
            w -> {
              // All of zone 0 report within one second of each four.
              for (int i = 0; i < 40; i++) {
                w.now += 500;
                for (MachineHealth m : w.machines) {
                  if (m.zone() == 1 ? i % 2 == 0 : i % 8 < 2) {
                    w.health.heard(m, w.now);
                  }
                }
                assertEquals(List.of(), w.health.failureDetector().judge(w.now));
              }
            }),
        rule(
            "a wave that takes half of a zone's machines is no cut: the others are heard",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(30_000, 0, 6);
              assertEquals(6, w.health.failureDetector().lateCount());
              assertEquals(0, w.health.failureDetector().cuts());
            }),
        rule(
            "as many dead machines in both zones are no cut",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(20_000, 5, 15);
              assertEquals(10, w.health.failureDetector().lateCount());
              assertEquals(0, w.health.failureDetector().cuts());
            }),
        rule(
            "when nobody is heard the fault is on this side",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(20_000, 0, 20);
              assertTrue(w.health.failureDetector().deaf(w.now));
              assertEquals(0, w.health.failureDetector().cuts());
            }),
        rule(
            "before many are overdue: with no zone heard at all nothing is said of anybody",
            few -> {
              Simulation w = new Simulation(40, 40);
              w.pass(20_000, 0, 0);
              assertFalse(w.health.failureDetector().deaf(w.now));
              w.now += 2_700;
              w.health.failureDetector().judge(w.now);
              int late = w.health.failureDetector().lateCount();
              assertTrue(late > 0 && 2 * late < w.health.failureDetector().known());
              assertTrue(w.health.failureDetector().deaf(w.now));
            }),
        rule(
            "a zone whose first report comes by a peer has time to find that way; others have not",
            w -> {
              w.pass(20_000, 0, 0);
              w.now += 9_000;
              FailureDetector s = w.health.failureDetector();
              s.judge(w.now);
              assertEquals(s.known(), s.lateCount());
              s.rerouted(0, w.now);
              w.now += 4_000;
              s.judge(w.now);
              for (MachineHealth m : w.machines) {
                assertEquals(m.zone() != 0, s.late(m));
                assertEquals(m.zone() != 0, s.silentMs(m, w.now) > 8_000);
              }
            }),
        rule(
            "a zone that is away when a leader begins is seen although it never reported",
            w -> {
              w.pass(12_000, 0, 10);
              assertTrue(w.health.failureDetector().cut(0));
            }),
        rule(
            "machines that are gone end a cut, and nothing of them is kept",
            w -> {
              w.pass(20_000, 0, 0);
              w.pass(10_000, 0, 10);
              w.machines.subList(0, 10).forEach(w.health::gone);
              w.health.failureDetector().judge(w.now);
              assertEquals(0, w.health.failureDetector().cuts());
              assertEquals(10, w.health.failureDetector().known());
              assertEquals(0, w.health.failureDetector().lateCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> standing() {
    return Stream.of(
        rule(
            "a gap between two turns is a standstill; what waited in the sockets is dated before it",
            w -> {
              w.pass(10_000, 0, 0);
              long before = w.now - 500;
              w.now += 30_000;
              assertEquals(30_500, w.health.still().turn(w.now));
              assertEquals(before, w.health.heard(w.machines.get(0), w.now));
              w.health.still().beat();
              w.health.still().beat();
              assertEquals(w.now, w.health.heard(w.machines.get(0), w.now));
              assertEquals(w.now, w.health.still().since());
              assertEquals(30_500, w.health.still().longestMs());
            }),
        rule(
            "after its own standstill nobody counts as silent before they had time to report",
            w -> {
              w.pass(10_000, 0, 0);
              w.now += 30_000;
              assertTrue(w.health.still().turn(w.now) > 0);
              w.health.failureDetector().listen(w.now);
              w.health.failureDetector().judge(w.now + 6_000);
              assertEquals(0, w.health.failureDetector().lateCount());
              w.health.failureDetector().judge(w.now + 9_000);
              assertEquals(20, w.health.failureDetector().lateCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> stragglerDetector() {
    return Stream.of(
        rule(
            "a machine whose tasks take several times as long as their peers' is slow",
            w -> {
              for (int i = 0; i < 8; i++) {
                w.task(1, 1);
                w.task(2, 1.2);
                w.task(0, 4);
              }
              assertEquals(Doubt.SLOW, w.doubt(0));
              assertEquals(Doubt.NONE, w.doubt(1));
              assertEquals(1, w.health.stragglerDetector().doubted());
              assertTrue(w.machines.get(0).pace() > 3);
            }),
        rule(
            "a few samples do not condemn a machine",
            w -> {
              for (int i = 0; i < 10; i++) {
                w.task(1, 1);
              }
              for (int i = 0; i < 4; i++) {
                w.task(0, 9);
              }
              assertEquals(Doubt.NONE, w.doubt(0));
            }),
        rule(
            "an owner's wrong estimate is nobody's fault",
            w -> {
              for (int i = 0; i < 200; i++) {
                w.task(i % 20, 6);
              }
              assertEquals(0, w.health.stragglerDetector().doubted());
            }),
        rule(
            "nor is a job whose tasks differ widely",
            w -> {
              for (int i = 0; i < 400; i++) {
                w.task(i % 20, i % 3 == 0 ? 3 : 0.8 + i % 7 / 5.0);
              }
              assertEquals(0, w.health.stragglerDetector().doubted());
            }),
        rule(
            "on a day that turns slow at least nine of ten machines stay in favour",
            w -> {
              for (int i = 0; i < 200; i++) {
                w.task(i % 20, 1);
              }
              for (int i = 0; i < 400; i++) {
                w.task(i % 20, 4);
              }
              assertTrue(w.health.stragglerDetector().doubted() <= 2);
            }),
        rule(
            "tasks that do not end although their peers did condemn a machine that hardly moves",
            w -> {
              for (int i = 0; i < 10; i++) {
                w.task(1, 1);
              }
              assertFalse(w.health.stragglerDetector().late(w.job, 60_000, 40));
              assertTrue(w.health.stragglerDetector().late(w.job, 100_000, 40));
              w.health.overdue(w.machines.get(0), 4, w.now);
              assertEquals(Doubt.NONE, w.doubt(0));
              w.health.overdue(w.machines.get(0), 5, w.now);
              assertEquals(Doubt.SLOW, w.doubt(0));
            }),
        rule(
            "a machine that recovered comes back into favour by its tasks, or by time",
            w -> {
              for (int machine = 0; machine < 2; machine++) {
                for (int i = 0; i < 6; i++) {
                  w.task(5, 1);
                  w.task(6, 1);
                  w.task(machine, 5);
                }
                assertEquals(Doubt.SLOW, w.doubt(machine));
              }
              for (int i = 0; i < 12; i++) {
                w.task(0, 1);
              }
              assertEquals(Doubt.NONE, w.doubt(0));
              w.now += HealthPolicy.defaults().favourMs() + 1;
              w.health.heard(w.machines.get(1), w.now);
              assertEquals(Doubt.NONE, w.doubt(1));
              assertEquals(0, w.health.stragglerDetector().doubted());
            }),
        rule(
            "errors of several jobs make a machine faulty, those of one job or a bad job do not",
            w -> {
              MachineHealth m = w.machines.get(0);
              for (int i = 0; i < 9; i++) {
                w.health.failed(m, 7, false, w.now);
                w.health.failed(m, 100 + i, true, w.now);
              }
              assertEquals(Doubt.NONE, m.doubt());
              w.health.failed(m, 8, false, w.now);
              w.health.failed(m, 9, false, w.now);
              assertEquals(Doubt.FAULTY, m.doubt());
            }),
        rule(
            "an image that does not come is the machine's fault only after many times its time",
            w -> {
              MachineHealth m = w.machines.get(0);
              w.health.fetching(m, 60_000, 10_000, w.now);
              assertEquals(Doubt.NONE, m.doubt());
              w.health.fetching(m, 91_000, 10_000, w.now);
              assertEquals(Doubt.NO_IMAGE, m.doubt());
            }),
        rule(
            "classes that users make up are bounded, and their indices are given again",
            w -> {
              for (int c = 0; c < 5_000; c++) {
                w.health.finished(w.machines.get(0), new RunTimeBaseline(1), c, 1_000, 1, w.now);
              }
              assertEquals(StragglerDetector.MOST_CLASSES, w.health.stragglerDetector().classes());
              BitSet used = new BitSet();
              used.set(3);
              w.health.stragglerDetector().keep(used);
              assertEquals(1, w.health.stragglerDetector().classes());
            }),
        rule(
            "changes of standing that nobody takes are bounded and counted",
            w -> {
              for (int i = 0; i < 100; i++) {
                MachineHealth m = w.machines.get(0);
                w.health.fetching(m, 1_000_000, 1, w.now);
                w.now += HealthPolicy.defaults().favourMs() + 1;
                w.health.heard(m, w.now);
              }
              assertEquals(64, w.health.changes().size());
              assertEquals(136, w.health.unlogged());
              assertEquals(0, w.health.changes().size());
            }));
  }

  /** However returns are asked for, no stretch of a lease's time sees more than twice the share. */
  @Property(tries = 200, seed = "42")
  void hasteIsBounded(
      @ForAll @IntRange(min = 1, max = 2_000) int fleet,
      @ForAll @Size(min = 1, max = 200) List<@LongRange(min = 0, max = 5_000) Long> gaps) {
    TokenBucket bucket = new TokenBucket(0.25, 8, 26_000, 0);
    List<Long> taken = new ArrayList<>();
    long now = 0;
    for (long gap : gaps) {
      now += gap;
      for (int i = 0; i < 50; i++) {
        if (bucket.take(fleet, now)) {
          taken.add(now);
        }
      }
    }
    assertTrue(taken.size() >= Math.min(50, 8)); // What nobody forbids is given.
    int from = 0;
    for (int i = 0; i < taken.size(); i++) {
      while (taken.get(i) - taken.get(from) >= 26_000) {
        from++;
      }
      assertTrue(i - from + 1 <= 2 * Math.max(8, 0.25 * fleet) + 1);
    }
  }

  /** Whatever tasks end and fail in whatever order, only the stated share of a fleet is doubted. */
  @Property(tries = 200, seed = "43")
  void doubtIsBounded(
      @ForAll @Size(min = 1, max = 400) List<@IntRange(min = 0, max = 3_999) Integer> events) {
    Simulation w = new Simulation(20, 20);
    for (int e : events) {
      int machine = e % 40;
      double times = Math.pow(2, e / 40 % 8 - 2);
      if (e / 320 % 4 == 3) {
        w.health.failed(w.machines.get(machine), e, false, w.now);
      } else {
        w.task(machine, times);
        w.task(machine, times);
      }
      int counted = 0;
      for (MachineHealth m : w.machines) {
        counted += m.doubted() ? 1 : 0;
      }
      assertEquals(counted, w.health.stragglerDetector().doubted());
      assertTrue(counted <= 4);
    }
  }

  /** Whoever is heard, met and gone in whatever order, the counts are those of the machines. */
  @Property(tries = 200, seed = "44")
  void silenceCountsAgree(
      @ForAll @Size(min = 1, max = 300) List<@IntRange(min = 0, max = 2_399) Integer> events) {
    FailureDetector s = new FailureDetector(2, 4, HealthPolicy.defaults(), 0);
    List<MachineHealth> all = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      all.add(new MachineHealth("n-" + i, i % 2));
    }
    BitSet there = new BitSet();
    long now = 0;
    for (int e : events) {
      MachineHealth m = all.get(e % 30);
      now += e / 30 % 20 * 100L;
      switch (e / 600) {
        case 0 -> {
          s.gone(m);
          there.clear(e % 30);
        }
        case 1 -> {
          s.met(m, now);
          there.set(e % 30);
        }
        default -> {
          s.heard(m, now);
          there.set(e % 30);
        }
      }
      s.judge(now);
      int late = 0;
      for (int i = there.nextSetBit(0); i >= 0; i = there.nextSetBit(i + 1)) {
        late += s.late(all.get(i)) ? 1 : 0;
      }
      assertEquals(there.cardinality(), s.known());
      assertEquals(late, s.lateCount());
    }
  }
}
