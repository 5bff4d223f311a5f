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

/** How many new jobs are admitted during an overload, and when lagging commits are an overload. */
final class AdmissionTest {
  private static final class Fixture {
    private long now;
    private final AdmissionRateLimiter rateLimiter = new AdmissionRateLimiter(0);

    /** Offers jobs at a constant rate; returns the number of jobs that were admitted. */
    private int offerJobs(int seconds, int jobsPerSecond, boolean isLagging, boolean hasRefusals) {
      int admitted = 0;
      for (int second = 0; second < seconds; second++) {
        for (int i = 0; i < jobsPerSecond; i++) {
          now += 1_000 / jobsPerSecond;
          admitted += rateLimiter.tryAdmit(now) ? 1 : 0;
        }
        rateLimiter.recordStateServiceRefusals(hasRefusals, now);
        if (isLagging) {
          rateLimiter.recordOverload(now);
        }
      }
      return admitted;
    }
  }

  private static DynamicTest admissionCase(String name, Consumer<Fixture> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Fixture()));
  }

  @TestFactory
  Stream<DynamicTest> admission() {
    return Stream.of(
        admissionCase(
            "without an overload all jobs are admitted, even if the state service refuses calls for 3 s",
            fixture -> {
              assertEquals(300, fixture.offerJobs(30, 10, false, false));
              assertEquals(30, fixture.offerJobs(3, 10, false, true));
              assertEquals(300, fixture.offerJobs(30, 10, false, false));
              assertFalse(fixture.rateLimiter.isLimited());
            }),
        admissionCase(
            "a lasting overload decreases the rate step by step, but never to zero",
            fixture -> {
              fixture.offerJobs(20, 10, false, false);
              int firstAdmitted = fixture.offerJobs(12, 10, true, false);
              int laterAdmitted = fixture.offerJobs(30, 10, true, false);
              assertTrue(firstAdmitted < 90, "first: " + firstAdmitted);
              assertTrue(laterAdmitted < 20 && laterAdmitted >= 2, "later: " + laterAdmitted);
            }),
        admissionCase(
            "after an overload the rate increases until the limit is removed",
            fixture -> {
              fixture.offerJobs(20, 5, false, false);
              fixture.offerJobs(10, 5, true, false);
              int firstAdmitted = fixture.offerJobs(20, 5, false, false);
              int laterAdmitted = fixture.offerJobs(20, 5, false, false);
              assertTrue(laterAdmitted > firstAdmitted, firstAdmitted + " then " + laterAdmitted);
              fixture.offerJobs(120, 5, false, false);
              assertFalse(fixture.rateLimiter.isLimited());
            }),
        admissionCase(
            "refusals by the state service for 14 s are an overload",
            fixture -> {
              fixture.offerJobs(20, 10, false, false);
              fixture.offerJobs(14, 10, false, true);
              assertTrue(fixture.rateLimiter.isLimited());
              assertTrue(fixture.rateLimiter.refusedCount() > 0);
            }));
  }

  /** Creates a state with one machine and one job, all of whose starts are uncommitted. */
  private static SchedulerState stateWithUncommittedStarts(int tasks, int priority, long now) {
    NameIndex zones = new NameIndex();
    zones.intern("a");
    SchedulerState schedulerState =
        new SchedulerState(1, 26, 4, List.of(new Team("t", 0, 0, 0, 0)), zones);
    MachineType type =
        new MachineType(0, "t9", 9_000, 0, 9_000, 100, 1, 2.0, 0.5, 30, new int[] {0});
    Machine machine = schedulerState.registerMachine("n-1", type, 0, false, now);
    schedulerState.processHeartbeat(
        machine,
        new Heartbeat("n-1", "h:1", "t9", "a", false, 1, 1, 1, -1, new ArrayList<>()),
        true,
        now);
    Job job =
        schedulerState.accept(
            JobSpecBuilder.job("job-1", tasks, 1).priority(priority).build(), 5, 0, now);
    for (int task = 0; task < tasks; task++) {
      schedulerState.start(job, task, machine, now);
    }
    return schedulerState;
  }

  private static DynamicTest commitLagCase(
      String name, SchedulerState schedulerState, long afterMs, boolean overloaded) {
    return commitLagCase(name, schedulerState, 0, afterMs, overloaded);
  }

  /**
   * Measures the lag once a second until {@code afterMs}; the state service does not answer before
   * {@code servedFromMs}.
   */
  private static DynamicTest commitLagCase(
      String name,
      SchedulerState schedulerState,
      long servedFromMs,
      long afterMs,
      boolean overloaded) {
    return DynamicTest.dynamicTest(
        name,
        () -> {
          CommitLagMonitor monitor = new CommitLagMonitor();
          for (long now = 0; now <= afterMs; now += 1_000) {
            monitor.measure(schedulerState, now >= servedFromMs, now);
          }
          assertEquals(overloaded, monitor.isOverloaded());
        });
  }

  @TestFactory
  Stream<DynamicTest> commitLag() {
    return Stream.of(
        commitLagCase(
            "many uncommitted starts for 9 s are no overload",
            stateWithUncommittedStarts(200, 1, 0),
            9_000,
            false),
        commitLagCase(
            "many uncommitted starts for 11 s are an overload",
            stateWithUncommittedStarts(200, 1, 0),
            11_000,
            true),
        commitLagCase(
            "a few uncommitted starts for 16 s are an overload",
            stateWithUncommittedStarts(5, 1, 0),
            16_000,
            true),
        commitLagCase(
            "a few uncommitted starts for 10 s are no overload",
            stateWithUncommittedStarts(5, 1, 0),
            10_000,
            false),
        commitLagCase(
            "waits during an outage of the state service are no overload",
            stateWithUncommittedStarts(5, 1, 0),
            20_000,
            30_000,
            false),
        commitLagCase(
            "waits for 16 s after an outage of the state service are an overload",
            stateWithUncommittedStarts(5, 1, 0),
            20_000,
            36_000,
            true),
        commitLagCase(
            "uncommitted starts of idle-priority jobs are no overload",
            stateWithUncommittedStarts(200, 3, 0),
            60_000,
            false));
  }
}
