package org.mallowroad.controller.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptOutcome;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;

/** Which records come first when there are more than the state service takes. */
final class WriteBehindCommitterTest {
  private static final double RPS = 22;
  private static final int VALUE_BYTES = 8 * 1024;
  private final VirtualTimeHarness c = new VirtualTimeHarness();
  private final VirtualTimeHarness.Process p = c.new Process();
  private final KeyValueStore state = new KeyValueStore(p, p, p);
  private final NameIndex zones = new NameIndex();
  private final MachineType type =
      new MachineType(0, "t9", 9_000, 0, 9_000, 100, 1, 2.0, 0.5, 30, new int[] {0});
  private final SchedulerState schedulerState;
  private final Machine machine;
  private final long leaderVersion;
  private final WriteBehindCommitter committer;

  WriteBehindCommitterTest() {
    zones.intern("a");
    schedulerState = new SchedulerState(1, 26, 4, List.of(new Team("t", 0, 0, 0, 0)), zones);
    machine = schedulerState.registerMachine("n-1", type, 0, false, c.nowMs);
    schedulerState.processHeartbeat(
        machine,
        new Heartbeat("n-1", "h:1", "t9", "a", false, 1, 1, 1, -1, List.of()),
        true,
        c.nowMs);
    leaderVersion = put(LeaderElection.LEADER_KEY);
    committer = committer(16);
  }

  private WriteBehindCommitter committer(int maxOps) {
    return new WriteBehindCommitter(
        p,
        state,
        new RateLimiter(RPS, 24, c.nowMs),
        schedulerState,
        zones,
        new WriteBehindCommitter.Options(leaderVersion, maxOps),
        new WriteBehindCommitter.Listener() {
          @Override
          public void addStartConditions(Job job, Transaction transaction) {}

          @Override
          public void gatedStartCommitted(Job job, long revision) {}

          @Override
          public void reloadStartConditions(Job job, Runnable next) {
            next.run();
          }

          @Override
          public void deposed() {
            throw new IllegalStateException("deposed");
          }

          @Override
          public void committed() {}

          @Override
          public void jobEnded(Job job, boolean done) {}
        });
  }

  private long put(String key) {
    String body = "{\"writes\":[{\"put\":\"" + key + "\",\"v\":{}}]}";
    return c.callStore("POST", "/multi", body).body().path("epoch").asLong();
  }

  private Attempt start(String id, int priority) {
    JobSpec s = JobSpecBuilder.job(id, 1, 1).priority(priority).build();
    Job job = schedulerState.accept(s, put("open/" + id), 0, c.nowMs);
    return schedulerState.start(job, 0, machine, c.nowMs);
  }

  @Test
  void startsOfIdleJobsDoNotHoldOthersUpAndAreNotLeftOutEither() {
    List<Attempt> idle = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      idle.add(start("job-1" + i, JobSpec.IDLE));
    }
    List<Attempt> others = new ArrayList<>();
    for (int s = 0; s < 6; s++) {
      // As many as there are writes for.
      for (int i = 0; i < RPS; i++) {
        others.add(start("job-2" + s + i, 1));
      }
      committer.commitPending();
      c.advance(1_000);
      if (s == 0) {
        assertTrue(recorded(others) >= 10, "in the first second: " + recorded(others));
      }
    }
    assertTrue(recorded(others) >= 70, "others: " + recorded(others));
    assertTrue(recorded(idle) >= 25, "idle: " + recorded(idle));
    c.advance(25_000);
    assertEquals(432, recorded(others) + recorded(idle));
  }

  /** Twenty starts of small jobs in one write; their ends in two each and one more for all. */
  @Test
  void smallJobsShareARecordOfTheirStarts() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
    List<Attempt> all = startMany(20);
    int before = c.requestedWrites;
    committer.commitPending();
    c.advance(100);
    assertEquals(20, recorded(all));
    assertEquals(1, c.requestedWrites - before);
    assertEquals(1, c.store.keys("starts/").size());
    assertEquals(0, c.store.keys("run/").size());
    all.forEach(a -> schedulerState.resolve(a, AttemptOutcome.COMPLETED, c.nowMs));
    c.advance(1_000);
    committer.commitPending();
    c.advance(20_000);
    assertEquals(List.of(), List.copyOf(c.store.keys("starts/")));
    assertEquals(List.of(), List.copyOf(c.store.keys("open/")));
    assertEquals(1 + 2 * 20 + 1, c.requestedWrites - before);
    assertEquals(0, schedulerState.jobs().size());
    assertEquals(0, schedulerState.sharedAttemptRecords().records().size());
  }

  /** One of them is cancelled before its start is recorded: the others' are recorded. */
  @Test
  void aJobThatIsOverKeepsNoOtherFromTheSharedRecord() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
    List<Attempt> all = startMany(5);
    cancelFirst();
    committer.commitPending();
    c.advance(1_000);
    assertEquals(4, recorded(all));
    assertEquals(Attempt.Phase.GONE, all.get(0).phase);
    assertEquals(List.of("job-11", "job-12", "job-13", "job-14"), sharedJobs());
  }

  /** What a next leader would have to wait for is taken out of the record. */
  @Test
  void aCancelledJobOfWhichNothingIsLeftIsNotListedAnyMore() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
    List<Attempt> all = startMany(3);
    committer.commitPending();
    c.advance(100);
    cancelFirst();
    committer.jobCancelled(all.get(0).job);
    schedulerState.resolve(all.get(0), AttemptOutcome.STOPPED, c.nowMs);
    committer.commitPending();
    c.advance(10_000);
    committer.commitPending();
    c.advance(10_000);
    assertEquals(List.of("job-11", "job-12"), sharedJobs());
  }

  /**
   * The answer to the commit is lost: the copy finds its own value, and nothing is written anew.
   */
  @Test
  void aCommitWhoseAnswerIsLostIsFoundAndNotWrittenOnceMore() {
    for (boolean shared : new boolean[] {false, true}) {
      if (shared) {
        schedulerState
            .sharedAttemptRecords()
            .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
      }
      List<Attempt> all = startMany(shared ? 3 : 1);
      int before = c.requestedWrites;
      c.transactionResponsesToLose = 1;
      committer.commitPending();
      c.advance(600);
      assertEquals(all.size(), recorded(all));
      assertEquals(2, c.requestedWrites - before);
    }
  }

  /**
   * Exits of thirty arrays, all the time: a fifth of the writes, and starts do not wait for them.
   */
  @Test
  void exitsTakeAFifthOfTheWrites() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      JobSpec s = JobSpecBuilder.job("job-3" + i, 100, 1).build();
      Job job = schedulerState.accept(s, put("open/job-3" + i), 0, c.nowMs);
      for (int t = 0; t < 100; t++) {
        schedulerState.start(job, t, machine, c.nowMs);
      }
      jobs.add(job);
    }
    committer.commitPending();
    c.advance(10_000);
    int before = c.requestedWrites;
    for (int t = 0; t < 40; t++) {
      for (Job job : jobs) {
        schedulerState.resolve(job.liveAttempt(t), AttemptOutcome.COMPLETED, c.nowMs);
      }
      committer.commitPending();
      c.advance(500);
    }
    int written = c.requestedWrites - before;
    assertTrue(written <= 20 * RPS * 0.25, "in 20 s: " + written);
    assertTrue(written >= 30, "each record at least once: " + written);
  }

  /** More starts than one transaction has conditions for: what is listed is what is recorded. */
  @Test
  void aSharedRecordListsNoStartWithoutItsCondition() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
    List<Attempt> all = startMany(90);
    committer.commitPending();
    boolean some = false;
    for (int ms = 0; ms < 20; ms++) {
      c.advance(1);
      assertEquals(recorded(all), sharedJobs().size());
      some |= recorded(all) > 30 && recorded(all) < 90;
    }
    assertTrue(some, "more than one transaction");
    assertEquals(90, recorded(all));
  }

  /** Its own record may be there though nobody has heard so: it never joins a shared one. */
  @Test
  void aJobWhoseOwnRecordIsUnknownSharesNone() {
    c.loseTransactionResponses = true;
    List<Attempt> all = startMany(1);
    committer.commitPending();
    c.advance(1_000);
    c.loseTransactionResponses = false;
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
    c.advance(10_000);
    assertEquals(1, recorded(all));
    assertEquals(List.of(), sharedJobs());
  }

  /**
   * Few conditions a transaction: no record takes more members than one has conditions for, or none
   * of their starts would be recorded until others end.
   */
  @Test
  void sharedRecordsFitIntoTheSmallestTransactions() {
    int maxOps = 4;
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(maxOps), VALUE_BYTES);
    List<Attempt> all = startMany(60);
    committer(maxOps).commitPending();
    c.advance(10_000);
    assertEquals(60, recorded(all));
  }

  /** Jobs of four tasks on four machines, with the longest ids, and small values. */
  @Test
  void sharedRecordsStayBelowTheLimitOfAValue() {
    int mostBytes = 2 * 1024;
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), mostBytes);
    List<Attempt> all = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      String id = "job-" + "9".repeat(38) + (10 + i);
      Job job =
          schedulerState.accept(
              JobSpecBuilder.job(id, 4, 1).build(), put("open/" + id), 0, c.nowMs);
      for (int t = 0; t < 4; t++) {
        all.add(schedulerState.start(job, t, longNamed(t), c.nowMs));
      }
    }
    committer.commitPending();
    c.advance(10_000);
    assertEquals(96, recorded(all));
    for (String key : c.store.keys("starts/")) {
      int bytes = c.store.value(key).toString().length();
      assertTrue(bytes <= mostBytes, key + ": " + bytes);
    }
  }

  /** It may run for years, and would keep the shared record for as long. */
  @Test
  void aServiceHasARecordOfItsOwn() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), VALUE_BYTES);
    JobSpec s = JobSpecBuilder.job("job-1", 1, 1).service().build();
    Job job = schedulerState.accept(s, put("open/job-1"), 0, c.nowMs);
    List<Attempt> all = List.of(schedulerState.start(job, 0, machine, c.nowMs));
    committer.commitPending();
    c.advance(1_000);
    assertEquals(1, recorded(all));
    assertEquals(List.of(), sharedJobs());
    assertEquals(List.of("run/job-1/0"), List.copyOf(c.store.keys("run/")));
  }

  private Machine longNamed(int i) {
    Machine m =
        schedulerState.registerMachine("machine-with-a-long-name-" + i, type, 0, false, c.nowMs);
    schedulerState.processHeartbeat(
        m,
        new Heartbeat(m.name, "h:" + i, "t9", "a", false, 1, 1, 1, -1, List.of()),
        true,
        c.nowMs);
    return m;
  }

  private int groups;

  /** Jobs of one task each; those of the first call are job-10, job-11 and so on. */
  private List<Attempt> startMany(int count) {
    groups++;
    List<Attempt> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(start("job-" + groups + i, 1));
    }
    return all;
  }

  private void cancelFirst() {
    c.callStore(
        "POST",
        "/multi",
        "{\"writes\":[{\"delete\":\"open/job-10\"},"
            + "{\"put\":\"end/job-10\",\"v\":{\"end\":\"withdrawn\"}}]}");
  }

  private List<String> sharedJobs() {
    List<String> out = new ArrayList<>();
    for (String key : c.store.keys("starts/")) {
      c.store.value(key).fieldNames().forEachRemaining(out::add);
    }
    out.sort(null);
    return out;
  }

  private static long recorded(List<Attempt> of) {
    return of.stream().filter(a -> a.phase == Attempt.Phase.READY).count();
  }
}
