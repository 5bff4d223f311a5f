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

/**
 * Tests which records the committer writes first under the state service's write limit, and how
 * small jobs share attempt records.
 */
final class WriteBehindCommitterTest {
  private static final double WRITES_PER_SECOND = 22;
  private static final int MAX_VALUE_BYTES = 8 * 1024;
  private final VirtualTimeHarness clock = new VirtualTimeHarness();
  private final VirtualTimeHarness.Process process = clock.new Process();
  private final KeyValueStore store = new KeyValueStore(process, process, process);
  private final NameIndex zones = new NameIndex();
  private final MachineType type =
      new MachineType(0, "t9", 9_000, 0, 9_000, 100, 1, 2.0, 0.5, 30, new int[] {0});
  private final SchedulerState schedulerState;
  private final Machine machine;
  private final long leaderKeyVersion;
  private final WriteBehindCommitter committer;

  WriteBehindCommitterTest() {
    zones.intern("a");
    schedulerState = new SchedulerState(1, 26, 4, List.of(new Team("t", 0, 0, 0, 0)), zones);
    machine = schedulerState.registerMachine("n-1", type, 0, false, clock.nowMs);
    schedulerState.processHeartbeat(
        machine,
        new Heartbeat("n-1", "h:1", "t9", "a", false, 1, 1, 1, -1, List.of()),
        true,
        clock.nowMs);
    leaderKeyVersion = put(LeaderElection.LEADER_KEY);
    committer = committer(16);
  }

  private WriteBehindCommitter committer(int maxTransactionWrites) {
    return new WriteBehindCommitter(
        process,
        store,
        new RateLimiter(WRITES_PER_SECOND, 24, clock.nowMs),
        schedulerState,
        zones,
        new WriteBehindCommitter.Options(leaderKeyVersion, maxTransactionWrites),
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
    return clock.callStore("POST", "/multi", body).body().path("epoch").asLong();
  }

  private Attempt start(String id, int priority) {
    JobSpec jobSpec = JobSpecBuilder.job(id, 1, 1).priority(priority).build();
    Job job = schedulerState.accept(jobSpec, put("open/" + id), 0, clock.nowMs);
    return schedulerState.start(job, 0, machine, clock.nowMs);
  }

  /**
   * Hundreds of starts of idle jobs are pending while other starts use the whole write rate.
   * Neither may the idle starts delay the others, nor may the idle starts never be recorded.
   */
  @Test
  void idleJobStartsNeitherDelayOtherStartsNorStarve() {
    List<Attempt> idle = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      idle.add(start("job-1" + i, JobSpec.IDLE));
    }
    List<Attempt> others = new ArrayList<>();
    for (int second = 0; second < 6; second++) {
      // As many starts as the write rate allows per second.
      for (int i = 0; i < WRITES_PER_SECOND; i++) {
        others.add(start("job-2" + second + i, 1));
      }
      committer.commitPending();
      clock.advance(1_000);
      if (second == 0) {
        assertTrue(
            recordedStarts(others) >= 10,
            "other starts recorded in the first second: " + recordedStarts(others));
      }
    }
    assertTrue(recordedStarts(others) >= 70, "other starts recorded: " + recordedStarts(others));
    assertTrue(recordedStarts(idle) >= 25, "idle starts recorded: " + recordedStarts(idle));
    clock.advance(25_000);
    assertEquals(432, recordedStarts(others) + recordedStarts(idle));
  }

  /**
   * The starts of twenty small jobs take one write. Their ends take two writes each, and the
   * deletion of the shared record takes one more.
   */
  @Test
  void smallJobsStartedTogetherShareOneAttemptRecord() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
    List<Attempt> attempts = startSingleTaskJobs(20);
    int writesBefore = clock.requestedWrites;
    committer.commitPending();
    clock.advance(100);
    assertEquals(20, recordedStarts(attempts));
    assertEquals(1, clock.requestedWrites - writesBefore);
    assertEquals(1, clock.store.keys("starts/").size());
    assertEquals(0, clock.store.keys("run/").size());
    attempts.forEach(
        attempt -> schedulerState.resolve(attempt, AttemptOutcome.COMPLETED, clock.nowMs));
    clock.advance(1_000);
    committer.commitPending();
    clock.advance(20_000);
    assertEquals(List.of(), List.copyOf(clock.store.keys("starts/")));
    assertEquals(List.of(), List.copyOf(clock.store.keys("open/")));
    assertEquals(1 + 2 * 20 + 1, clock.requestedWrites - writesBefore);
    assertEquals(0, schedulerState.jobs().size());
    assertEquals(0, schedulerState.sharedAttemptRecords().records().size());
  }

  /**
   * A job is cancelled before the shared record with its start is written, so the condition on its
   * open record fails. The starts of the other members must still be recorded.
   */
  @Test
  void jobCancelledBeforeItsStartIsRecordedDoesNotBlockOtherMembers() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
    List<Attempt> attempts = startSingleTaskJobs(5);
    cancelFirstJobInStore();
    committer.commitPending();
    clock.advance(1_000);
    assertEquals(4, recordedStarts(attempts));
    assertEquals(Attempt.Phase.GONE, attempts.get(0).phase);
    assertEquals(List.of("job-11", "job-12", "job-13", "job-14"), jobsInSharedRecords());
  }

  /**
   * A cancelled job that has no attempts left is removed from the shared record; otherwise the next
   * leader would wait for its attempts.
   */
  @Test
  void cancelledJobWithoutAttemptsIsRemovedFromSharedRecord() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
    List<Attempt> attempts = startSingleTaskJobs(3);
    committer.commitPending();
    clock.advance(100);
    cancelFirstJobInStore();
    committer.jobCancelled(attempts.get(0).job);
    schedulerState.resolve(attempts.get(0), AttemptOutcome.STOPPED, clock.nowMs);
    committer.commitPending();
    clock.advance(10_000);
    committer.commitPending();
    clock.advance(10_000);
    assertEquals(List.of("job-11", "job-12"), jobsInSharedRecords());
  }

  /**
   * The response to a commit is lost, and the retried copy fails on its conditions. The committer
   * must recognize the value written by the first copy and must not write the records again.
   */
  @Test
  void commitWithLostResponseIsDetectedAndNotWrittenAgain() {
    for (boolean isShared : new boolean[] {false, true}) {
      if (isShared) {
        schedulerState
            .sharedAttemptRecords()
            .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
      }
      List<Attempt> attempts = startSingleTaskJobs(isShared ? 3 : 1);
      int writesBefore = clock.requestedWrites;
      clock.transactionResponsesToLose = 1;
      committer.commitPending();
      clock.advance(600);
      assertEquals(attempts.size(), recordedStarts(attempts));
      assertEquals(2, clock.requestedWrites - writesBefore);
    }
  }

  /**
   * Tasks of thirty job arrays exit continuously. The exits must not exceed a fifth of the write
   * rate (a quarter with tolerance), or they would delay starts.
   */
  @Test
  void exitsUseAboutAFifthOfTheWriteRate() {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      JobSpec jobSpec = JobSpecBuilder.job("job-3" + i, 100, 1).build();
      Job job = schedulerState.accept(jobSpec, put("open/job-3" + i), 0, clock.nowMs);
      for (int task = 0; task < 100; task++) {
        schedulerState.start(job, task, machine, clock.nowMs);
      }
      jobs.add(job);
    }
    committer.commitPending();
    clock.advance(10_000);
    int writesBefore = clock.requestedWrites;
    for (int task = 0; task < 40; task++) {
      for (Job job : jobs) {
        schedulerState.resolve(job.liveAttempt(task), AttemptOutcome.COMPLETED, clock.nowMs);
      }
      committer.commitPending();
      clock.advance(500);
    }
    int written = clock.requestedWrites - writesBefore;
    assertTrue(written <= 20 * WRITES_PER_SECOND * 0.25, "writes in 20 s: " + written);
    assertTrue(written >= 30, "each record must be written at least once, writes: " + written);
  }

  /**
   * There are more starts than one transaction has conditions for. A shared record must list only
   * starts whose conditions are in the same transaction.
   */
  @Test
  void sharedRecordListsOnlyStartsWhoseConditionsAreInTheTransaction() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
    List<Attempt> attempts = startSingleTaskJobs(90);
    committer.commitPending();
    boolean sawPartialCommit = false;
    for (int ms = 0; ms < 20; ms++) {
      clock.advance(1);
      assertEquals(recordedStarts(attempts), jobsInSharedRecords().size());
      sawPartialCommit |= recordedStarts(attempts) > 30 && recordedStarts(attempts) < 90;
    }
    assertTrue(sawPartialCommit, "the starts must need more than one transaction");
    assertEquals(90, recordedStarts(attempts));
  }

  /**
   * The response to the write of a job's own attempt record is lost, so the record may exist. The
   * job must then not join a shared record as well.
   */
  @Test
  void jobWithPossiblyWrittenOwnRecordDoesNotJoinSharedRecord() {
    clock.loseTransactionResponses = true;
    List<Attempt> attempts = startSingleTaskJobs(1);
    committer.commitPending();
    clock.advance(1_000);
    clock.loseTransactionResponses = false;
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
    clock.advance(10_000);
    assertEquals(1, recordedStarts(attempts));
    assertEquals(List.of(), jobsInSharedRecords());
  }

  /**
   * With small transactions, a shared record must not have more members than one transaction has
   * conditions for. Otherwise none of their starts could be recorded until other members end.
   */
  @Test
  void sharedRecordsFitIntoSmallestTransactions() {
    int maxTransactionWrites = 4;
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(maxTransactionWrites), MAX_VALUE_BYTES);
    List<Attempt> attempts = startSingleTaskJobs(60);
    committer(maxTransactionWrites).commitPending();
    clock.advance(10_000);
    assertEquals(60, recordedStarts(attempts));
  }

  /**
   * Jobs with the longest IDs and four tasks on four machines must not make a shared record exceed
   * a small value size limit.
   */
  @Test
  void sharedRecordsStayWithinValueSizeLimit() {
    int maxValueBytes = 2 * 1024;
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), maxValueBytes);
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      String id = "job-" + "9".repeat(38) + (10 + i);
      Job job =
          schedulerState.accept(
              JobSpecBuilder.job(id, 4, 1).build(), put("open/" + id), 0, clock.nowMs);
      for (int task = 0; task < 4; task++) {
        attempts.add(
            schedulerState.start(job, task, registerMachineWithLongName(task), clock.nowMs));
      }
    }
    committer.commitPending();
    clock.advance(10_000);
    assertEquals(96, recordedStarts(attempts));
    for (String key : clock.store.keys("starts/")) {
      int bytes = clock.store.value(key).toString().length();
      assertTrue(bytes <= maxValueBytes, key + ": " + bytes);
    }
  }

  /**
   * A service job may run for years and would keep a shared record alive for as long, so it has its
   * own record.
   */
  @Test
  void serviceJobHasItsOwnRecord() {
    schedulerState
        .sharedAttemptRecords()
        .enable(WriteBehindCommitter.maxSharedMembers(16), MAX_VALUE_BYTES);
    JobSpec jobSpec = JobSpecBuilder.job("job-1", 1, 1).service().build();
    Job job = schedulerState.accept(jobSpec, put("open/job-1"), 0, clock.nowMs);
    List<Attempt> attempts = List.of(schedulerState.start(job, 0, machine, clock.nowMs));
    committer.commitPending();
    clock.advance(1_000);
    assertEquals(1, recordedStarts(attempts));
    assertEquals(List.of(), jobsInSharedRecords());
    assertEquals(List.of("run/job-1/0"), List.copyOf(clock.store.keys("run/")));
  }

  private Machine registerMachineWithLongName(int index) {
    Machine namedMachine =
        schedulerState.registerMachine(
            "machine-with-a-long-name-" + index, type, 0, false, clock.nowMs);
    schedulerState.processHeartbeat(
        namedMachine,
        new Heartbeat(namedMachine.name, "h:" + index, "t9", "a", false, 1, 1, 1, -1, List.of()),
        true,
        clock.nowMs);
    return namedMachine;
  }

  private int jobGroups;

  /**
   * Starts jobs of one task each. The jobs of the first call are named job-10, job-11 and so on.
   */
  private List<Attempt> startSingleTaskJobs(int count) {
    jobGroups++;
    List<Attempt> attempts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      attempts.add(start("job-" + jobGroups + i, 1));
    }
    return attempts;
  }

  private void cancelFirstJobInStore() {
    clock.callStore(
        "POST",
        "/multi",
        "{\"writes\":[{\"delete\":\"open/job-10\"},"
            + "{\"put\":\"end/job-10\",\"v\":{\"end\":\"withdrawn\"}}]}");
  }

  private List<String> jobsInSharedRecords() {
    List<String> jobIds = new ArrayList<>();
    for (String key : clock.store.keys("starts/")) {
      clock.store.value(key).fieldNames().forEachRemaining(jobIds::add);
    }
    jobIds.sort(null);
    return jobIds;
  }

  private static long recordedStarts(List<Attempt> attempts) {
    return attempts.stream().filter(attempt -> attempt.phase == Attempt.Phase.READY).count();
  }
}
