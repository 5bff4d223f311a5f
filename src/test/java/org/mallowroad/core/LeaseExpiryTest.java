package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * The expiry of a worker's lease proves attempts gone only for the session whose lease it is, and
 * only if no other message can have renewed it. Each case chooses the order of the messages.
 */
final class LeaseExpiryTest {
  private static final long NEXT_TERM = SchedulerFixture.TERM + FencingTokens.TOKENS_PER_TERM;

  /** Longer than a worker's lease and the leader's margins. */
  private static final long MORE_THAN_A_LEASE_MS = 20_600;

  private static final long LONG_PAUSE_MS = 30_000;
  private static final long TICK_MS = 250;

  /** The session after the first. */
  private static final long SECOND_SESSION = 2;

  private static void assertCounted(Attempt attempt) {
    assertEquals(attempt, attempt.job.liveAttempt(attempt.task), "freed while it may run");
  }

  /** Launches a task directly; the worker runs it and the leader knows. */
  private static Attempt launchDirectly(WorkerLink link, Job job) {
    Attempt attempt = link.cluster.startCommitted(job, 0, link.machine);
    link.exchange(link.takeDirectCommand());
    assertTrue(link.worker.runs(WorkerLink.launch(attempt)));
    return attempt;
  }

  /**
   * The leader decides on a direct command and stops for longer than a lease before it is sent; the
   * worker rejects it and so shows its next session.
   */
  private static void learnNextSessionFromRejection(WorkerLink link) {
    link.cluster.startCommitted(link.cluster.job("job-0", 1, 1), 0, link.machine);
    WorkerStandIn.DirectCommand command = link.takeDirectCommand();
    link.advance(LONG_PAUSE_MS);
    link.expireLeases();
    assertFalse(link.worker.accepts(command));
    link.exchange(command);
    assertEquals(SECOND_SESSION, link.machine.incarnation);
  }

  @TestFactory
  Stream<DynamicTest> attemptsOfALaterSessionAreNotFreedByAResponseToAnEarlierOne() {
    return Stream.of(
        SchedulerFixture.testCase(
            "the session was learned from a 409 to a direct command",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              learnNextSessionFromRejection(link);
              Attempt attempt = launchDirectly(link, cluster.job("job-1", 1, 1));
              link.advance(TICK_MS);
              link.expireLeases();
              assertCounted(attempt);
            }),
        SchedulerFixture.testCase(
            "the session was learned from a 200 to a direct command",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              link.advance(LONG_PAUSE_MS);
              cluster.schedulerState.restoreAttempt(
                  job, 0, 1, link.machine, SECOND_SESSION, cluster.now);
              Attempt attempt = job.liveAttempt(0);
              link.exchange(
                  new WorkerStandIn.DirectCommand(
                      SchedulerFixture.TERM, SECOND_SESSION, List.of(WorkerLink.launch(attempt))));
              assertTrue(link.worker.runs(WorkerLink.launch(attempt)));
              link.advance(TICK_MS);
              link.expireLeases();
              assertCounted(attempt);
            }),
        SchedulerFixture.testCase(
            "the session is known from a restored record only",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              link.advance(LONG_PAUSE_MS);
              cluster.schedulerState.restoreAttempt(
                  job, 0, 1, link.machine, SECOND_SESSION, cluster.now);
              Attempt attempt = job.liveAttempt(0);
              link.expireLeases();
              assertCounted(attempt);
            }),
        SchedulerFixture.testCase(
            "the session was learned from a report whose response was lost",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              link.advance(LONG_PAUSE_MS);
              link.respond(link.worker.sendHeartbeat());
              Attempt attempt = launchDirectly(link, cluster.job("job-1", 1, 1));
              link.advance(TICK_MS);
              link.expireLeases();
              assertCounted(attempt);
            }));
  }

  @TestFactory
  Stream<DynamicTest> attemptsAreNotFreedWhileAnotherMessageMayHaveRenewedTheLease() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a deposed leader answered before the worker saw this term's token",
            cluster -> {
              WorkerLink deposed = new WorkerLink(cluster, "n-1");
              Attempt attempt = launchDirectly(deposed, cluster.job("job-1", 1, 1));
              SchedulerFixture nextCluster = new SchedulerFixture(NEXT_TERM);
              WorkerLink next = new WorkerLink(nextCluster, deposed.worker);
              Job job = nextCluster.job("job-1", 1, 1);
              nextCluster.schedulerState.restoreAttempt(
                  job, 0, attempt.number, next.machine, 1, nextCluster.now);
              next.respond(next.worker.sendHeartbeat());
              next.advance(10_000);
              deposed.exchangeHeartbeat();
              // DirectCommandPlanner sends none yet; this one stands for any message with the
              // token.
              assertEquals(List.of(), next.takeDirectCommand().commands());
              next.exchange(new WorkerStandIn.DirectCommand(NEXT_TERM, 1, List.of()));
              next.advance(MORE_THAN_A_LEASE_MS - 10_000);
              assertTrue(next.worker.runs(WorkerLink.launch(attempt)));
              next.expireLeases();
              assertEquals(1, job.liveAttemptCount());
            }),
        SchedulerFixture.testCase(
            "the previous leader answered last, and the worker has sent this one nothing",
            cluster -> {
              WorkerLink previous = new WorkerLink(cluster, "n-1");
              Attempt attempt = launchDirectly(previous, cluster.job("job-1", 1, 1));
              SchedulerFixture nextCluster = new SchedulerFixture(NEXT_TERM);
              WorkerLink next = new WorkerLink(nextCluster, previous.worker);
              Job job = nextCluster.job("job-1", 1, 1);
              nextCluster.schedulerState.restoreAttempt(
                  job, 0, attempt.number, next.machine, 1, nextCluster.now);
              next.advance(MORE_THAN_A_LEASE_MS);
              next.expireLeases();
              assertEquals(1, job.liveAttemptCount());
            }),
        SchedulerFixture.testCase(
            "an answer to a direct command overtook the report that was answered last",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Attempt attempt = launchDirectly(link, cluster.job("job-1", 1, 1));
              link.advance(4_000);
              Heartbeat overtaken = link.worker.sendHeartbeat();
              cluster.startCommitted(cluster.job("job-2", 1, 1), 0, link.machine);
              link.exchange(link.takeDirectCommand());
              link.worker.receive(link.respond(overtaken));
              link.advance(MORE_THAN_A_LEASE_MS - 4_000);
              assertTrue(link.worker.runs(WorkerLink.launch(attempt)));
              link.expireLeases();
              assertCounted(attempt);
            }));
  }

  @TestFactory
  Stream<DynamicTest> attemptsAreFreedOnceTheLeaseOfTheirSessionMustHaveExpired() {
    return Stream.of(
        SchedulerFixture.testCase(
            "the worker's reports were answered and then ceased",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Attempt attempt = launchDirectly(link, cluster.job("job-1", 1, 1));
              link.advance(WorkerStandIn.LEASE_MS);
              link.expireLeases();
              assertCounted(attempt);
              link.advance(MORE_THAN_A_LEASE_MS - WorkerStandIn.LEASE_MS);
              link.expireLeases();
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
            }),
        SchedulerFixture.testCase(
            "no report of the session was ever answered",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              learnNextSessionFromRejection(link);
              Attempt attempt = launchDirectly(link, cluster.job("job-1", 1, 1));
              link.advance(MORE_THAN_A_LEASE_MS);
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
              link.expireLeases();
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "a copy of a report of an earlier session was answered meanwhile",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Heartbeat ofFirstSession = link.worker.sendHeartbeat();
              link.respond(ofFirstSession);
              link.advance(LONG_PAUSE_MS);
              link.exchangeHeartbeat();
              Attempt attempt = launchDirectly(link, cluster.job("job-1", 1, 1));
              link.advance(15_000);
              link.respond(ofFirstSession);
              link.advance(MORE_THAN_A_LEASE_MS - 15_000);
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
              link.expireLeases();
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }));
  }
}
