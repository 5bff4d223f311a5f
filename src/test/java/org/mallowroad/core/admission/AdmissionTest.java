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
import org.mallowroad.core.JobSpecs;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;

/** How many jobs are admitted while records lag, and when they count as lagging. */
final class AdmissionTest {
  private static final class Here {
    private long now;
    private final Admission admission = new Admission(0);

    /** Offers so many jobs a second; returns how many were admitted. */
    private int offer(int seconds, int aSecond, boolean lag, boolean refusals) {
      int admitted = 0;
      for (int s = 0; s < seconds; s++) {
        for (int i = 0; i < aSecond; i++) {
          now += 1_000 / aSecond;
          admitted += admission.admits(now) ? 1 : 0;
        }
        admission.stateService(refusals, now);
        if (lag) {
          admission.overloaded(now);
        }
      }
      return admitted;
    }
  }

  private static DynamicTest rule(String name, Consumer<Here> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Here()));
  }

  @TestFactory
  Stream<DynamicTest> admission() {
    return Stream.of(
        rule(
            "without word of a lag all are admitted, and refusals of a few seconds change nothing",
            h -> {
              assertEquals(300, h.offer(30, 10, false, false));
              assertEquals(30, h.offer(3, 10, false, true));
              assertEquals(300, h.offer(30, 10, false, false));
              assertFalse(h.admission.limited());
            }),
        rule(
            "a lag that lasts brings the rate down, step by step, and never to nothing",
            h -> {
              h.offer(20, 10, false, false);
              int first = h.offer(12, 10, true, false);
              int later = h.offer(30, 10, true, false);
              assertTrue(first < 90, "first: " + first);
              assertTrue(later < 20 && later >= 2, "later: " + later);
            }),
        rule(
            "once the records keep up the rate rises, and at last nothing is limited",
            h -> {
              h.offer(20, 5, false, false);
              h.offer(10, 5, true, false);
              int a = h.offer(20, 5, false, false);
              int b = h.offer(20, 5, false, false);
              assertTrue(b > a, a + " then " + b);
              h.offer(120, 5, false, false);
              assertFalse(h.admission.limited());
            }),
        rule(
            "a state service that refuses for long counts as a lag",
            h -> {
              h.offer(20, 10, false, false);
              h.offer(14, 10, false, true);
              assertTrue(h.admission.limited());
              assertTrue(h.admission.refused() > 0);
            }));
  }

  /** A fleet of one large machine, on which so many tasks are to be recorded. */
  private static SchedulerState recording(int tasks, int priority, long now) {
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
            JobSpecs.array("job-1", tasks, 1).priority(priority).build(), 5, 0, now);
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
          RecordLag lag = new RecordLag();
          for (long now = 0; now <= afterMs; now += 1_000) {
            lag.look(schedulerState, now >= servedFromMs, now);
          }
          assertEquals(overloaded, lag.overloaded());
        });
  }

  @TestFactory
  Stream<DynamicTest> recordLag() {
    return Stream.of(
        lag("a burst that is recorded within seconds", recording(200, 1, 0), 9_000, false),
        lag("most attempts wait for records", recording(200, 1, 0), 11_000, true),
        lag("a few starts wait for longer than any burst", recording(5, 1, 0), 16_000, true),
        lag("a few starts wait for seconds", recording(5, 1, 0), 10_000, false),
        lag(
            "what waited in an outage counts from its end",
            recording(5, 1, 0),
            20_000,
            30_000,
            false),
        lag("and then as ever", recording(5, 1, 0), 20_000, 36_000, true),
        lag("idle work waits by design", recording(200, 3, 0), 60_000, false));
  }
}
