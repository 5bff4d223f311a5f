package org.mallowroad.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;

/** How many jobs are admitted while commits lag, and when they are lagging. */
final class AdmissionTest {
  private static final class Fixture {
    private long now;
    private final AdmissionRateLimiter admission = new AdmissionRateLimiter(0);

    /** Offers that many jobs a second; returns how many were admitted. */
    private int offer(int seconds, int aSecond, boolean lag, boolean refusals) {
      int admitted = 0;
      for (int s = 0; s < seconds; s++) {
        for (int i = 0; i < aSecond; i++) {
          now += 1_000 / aSecond;
          admitted += admission.tryAdmit(now) ? 1 : 0;
        }
        admission.recordStateServiceRefusals(refusals, now);
        if (lag) {
          admission.recordOverload(now);
        }
      }
      return admitted;
    }
  }

  private static DynamicTest testCase(String name, Consumer<Fixture> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Fixture()));
  }

  @TestFactory
  Stream<DynamicTest> admission() {
    return Stream.of(
        testCase(
            "without an overload all jobs are admitted, also with refusals of a few seconds",
            h -> {
              assertEquals(300, h.offer(30, 10, false, false));
              assertEquals(30, h.offer(3, 10, false, true));
              assertEquals(300, h.offer(30, 10, false, false));
              assertFalse(h.admission.isLimited());
            }),
        testCase(
            "a lasting overload lowers the rate step by step, and never to zero",
            h -> {
              h.offer(20, 10, false, false);
              int first = h.offer(12, 10, true, false);
              int later = h.offer(30, 10, true, false);
              assertTrue(first < 90, "first: " + first);
              assertTrue(later < 20 && later >= 2, "later: " + later);
            }),
        testCase(
            "without the overload the rate rises, and the limit ends",
            h -> {
              h.offer(20, 5, false, false);
              h.offer(10, 5, true, false);
              int a = h.offer(20, 5, false, false);
              int b = h.offer(20, 5, false, false);
              assertTrue(b > a, a + " then " + b);
              h.offer(120, 5, false, false);
              assertFalse(h.admission.isLimited());
            }),
        testCase(
            "lasting refusals by the state service are an overload",
            h -> {
              h.offer(20, 10, false, false);
              h.offer(14, 10, false, true);
              assertTrue(h.admission.isLimited());
              assertTrue(h.admission.refusedCount() > 0);
            }));
  }

  /** A fleet of one large machine, on which that many starts are to be committed. */
  private static SchedulerState committing(int tasks, int priority, long now) {
    NameIndex zones = new NameIndex();
    zones.intern("a");
    SchedulerState schedulerState =
        new SchedulerState(1, 26, 4, List.of(new Team("t", 0, 0, 0, 0)), zones);
    MachineType type =
        new MachineType(0, "t9", 9_000, 0, 9_000, 100, 1, 2.0, 0.5, 30, new int[] {0});
    Machine m = schedulerState.registerMachine("n-1", type, 0, false, now);
    schedulerState.processHeartbeat(
        m,
        new Heartbeat("n-1", "h:1", "t9", "a", false, 1, 1, 1, -1, new ArrayList<>()),
        true,
        now);
    Job job =
        schedulerState.accept(
            JobSpecBuilder.job("job-1", tasks, 1).priority(priority).build(), 5, 0, now);
    for (int t = 0; t < tasks; t++) {
      schedulerState.start(job, t, m, now);
    }
    return schedulerState;
  }

  private static DynamicTest lag(
      String name, SchedulerState schedulerState, long afterMs, boolean overloaded) {
    return lag(name, schedulerState, 0, afterMs, overloaded);
  }

  private static DynamicTest lag(
      String name,
      SchedulerState schedulerState,
      long servedFromMs,
      long afterMs,
      boolean overloaded) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          CommitLagMonitor lag = new CommitLagMonitor();
          for (long now = 0; now <= afterMs; now += 1_000) {
            lag.measure(schedulerState, now >= servedFromMs, now);
          }
          assertEquals(overloaded, lag.isOverloaded());
        });
  }

  @TestFactory
  Stream<DynamicTest> commitLag() {
    return Stream.of(
        lag(
            "a burst that is committed within seconds is no overload",
            committing(200, 1, 0),
            9_000,
            false),
        lag(
            "many attempts that wait for their commits are an overload",
            committing(200, 1, 0),
            11_000,
            true),
        lag(
            "a few starts that wait longer than in any burst are an overload",
            committing(5, 1, 0),
            16_000,
            true),
        lag(
            "a few starts that wait for seconds are no overload",
            committing(5, 1, 0),
            10_000,
            false),
        lag("waits count from the end of an outage", committing(5, 1, 0), 20_000, 30_000, false),
        lag(
            "long waits after an outage are an overload",
            committing(5, 1, 0),
            20_000,
            36_000,
            true),
        lag("waits of idle-priority jobs are no overload", committing(200, 3, 0), 60_000, false));
  }
}
