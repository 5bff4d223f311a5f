package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * A missing entry proves that an attempt is gone only if no launch of it can still arrive. Each
 * case chooses the order in which the messages between a leader and a worker stand-in arrive.
 * Commands may arrive again after they were answered, also while another leader has begun or the
 * machine has restarted.
 */
final class LaunchDeliveryTest {
  private static final long NEXT_TERM = SchedulerFixture.TERM + FencingTokens.TOKENS_PER_TERM;

  /** The answer to a direct command overtakes a heartbeat response that is still on its way. */
  @TestFactory
  Stream<DynamicTest> overtakenResponsesCanStillStartAnAttempt() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a task launched in a response on its way is not started elsewhere after a direct answer",
            cluster -> {
              // review/4: a direct launch is under way when a response launches a second task,
              // whose
              // machine is then drained.
              WorkerLink link = new WorkerLink(cluster, "n-1");
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              WorkerStandIn.DirectCommand direct = link.takeDirectCommand();
              Attempt attempt = cluster.startCommitted(cluster.job("job-2", 1, 1), 0, link.machine);
              WorkerStandIn.Response response = link.respond(link.worker.sendHeartbeat());
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              link.exchange(direct);
              assertEquals(attempt, attempt.job.liveAttempt(0));

              link.worker.receive(response);
              assertTrue(link.worker.runs(WorkerLink.launch(attempt)));
              link.exchangeHeartbeat();
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
              link.exchangeHeartbeat();
              assertNull(attempt.job.liveAttempt(0));
            }),
        SchedulerFixture.testCase(
            "a cancelled task launched in a response on its way keeps its quota after a direct answer",
            cluster -> {
              // review/6: the direct command stops another task of the cancelled job.
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 2, 2);
              Attempt running = cluster.startCommitted(job, 0, link.machine);
              link.exchangeHeartbeat();
              link.exchangeHeartbeat();
              assertTrue(link.worker.runs(WorkerLink.launch(running)));
              Attempt attempt = cluster.startCommitted(job, 1, link.machine);
              WorkerStandIn.Response response = link.respond(link.worker.sendHeartbeat());
              cluster.schedulerState.cancel(job, cluster.now);
              link.exchange(link.takeDirectCommand());
              assertFalse(link.worker.runs(WorkerLink.launch(running)));
              assertEquals(
                  2, cluster.type.cpus() - link.machine.freeCpus(), "CPUs of the second task");

              link.worker.receive(response);
              assertEquals(2, link.worker.usedCpus(2));
              link.exchangeHeartbeat();
              link.exchangeHeartbeat();
              assertTrue(job.isFinished());
            }),
        SchedulerFixture.testCase(
            "the next heartbeat of the worker frees an attempt whose response was lost",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              link.respond(link.worker.sendHeartbeat());
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              link.respond(link.worker.sendHeartbeat());
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "an attempt that no message launched is freed by the answer to a direct command",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              WorkerStandIn.DirectCommand direct = link.takeDirectCommand();
              Attempt attempt = cluster.startCommitted(cluster.job("job-2", 1, 1), 0, link.machine);
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              link.exchange(direct);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "the response to a heartbeat with an interruption notice launches nothing",
            cluster -> {
              // The task would be launched only to be stopped, a heartbeat later.
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              link.worker.giveNotice(15);
              link.exchangeHeartbeat();
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
              cluster.taskScheduler.drainInterruptedMachines(cluster.now);
              link.exchangeHeartbeat();
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "the first message of a later session frees the attempts of the earlier one",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              WorkerStandIn.Response response = link.respond(link.worker.sendHeartbeat());
              link.worker.expireLease();
              link.exchange(link.takeDirectCommand());
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              link.worker.receive(response);
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
            }));
  }

  /**
   * Launches a task of a new job directly; the command is answered and the leader knows it runs.
   */
  private static WorkerStandIn.DirectCommand launchDirectly(WorkerLink link, Job job) {
    link.cluster.startCommitted(job, 0, link.machine);
    WorkerStandIn.DirectCommand command = link.takeDirectCommand();
    link.exchange(command);
    assertEquals(Attempt.Phase.RUNNING, job.liveAttempt(0).phase);
    return command;
  }

  /** Stops the job's task by direct command and starts it on another machine. */
  private static Attempt move(Job job, WorkerLink from, WorkerLink to) {
    from.cluster.schedulerState.requestStop(job.liveAttempt(0), 0, from.cluster.now);
    from.exchange(from.takeDirectCommand());
    assertNull(job.liveAttempt(0), "the worker reported the exit");
    Attempt moved = from.cluster.startCommitted(job, 0, to.machine);
    to.exchange(to.takeDirectCommand());
    assertTrue(to.worker.runs(WorkerLink.launch(moved)));
    return moved;
  }

  /** Exchanges heartbeats until the worker has cleared its exited tasks. */
  private static void clearExits(WorkerLink link) {
    link.cluster.commit();
    for (int i = 0; i < 4; i++) {
      link.cluster.now += HeartbeatReconciler.TOKEN_RAISE_DELAY_MS;
      link.exchangeHeartbeat();
    }
  }

  /** A duplicate of an answered launch arrives while the same leader leads. */
  @TestFactory
  Stream<DynamicTest> duplicatesOfAnsweredLaunchesStartNothing() {
    return Stream.of(
        SchedulerFixture.testCase(
            "the task still runs, or its exit is not cleared yet: the worker remembers the attempt",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              WorkerStandIn.DirectCommand command = launchDirectly(link, job);
              WorkerCommand launch = command.commands().get(0);
              link.exchange(command);
              assertTrue(link.worker.runs(launch));
              link.worker.exit(launch, "done");
              link.exchange(command);
              assertFalse(link.worker.runs(launch));
            }),
        SchedulerFixture.testCase(
            "the task is done and its exit cleared: the token is too low",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              WorkerStandIn.DirectCommand command =
                  launchDirectly(link, cluster.job("job-1", 1, 1));
              link.worker.exit(command.commands().get(0), "done");
              link.exchangeHeartbeat();
              clearExits(link);
              assertFalse(link.worker.remembers(command.commands().get(0)));
              assertFalse(link.worker.accepts(command));
            }),
        SchedulerFixture.testCase(
            "the task was moved, before and after its exit is cleared",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              WorkerStandIn.DirectCommand command = launchDirectly(link, job);
              WorkerCommand launch = command.commands().get(0);
              move(job, link, new WorkerLink(cluster, "n-2"));
              link.exchange(command);
              assertFalse(link.worker.runs(launch));
              clearExits(link);
              assertFalse(link.worker.remembers(launch));
              link.exchange(command);
              assertFalse(link.worker.runs(launch));
            }),
        SchedulerFixture.testCase(
            "the job was cancelled, before and after the exit of its task is cleared",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              WorkerStandIn.DirectCommand command = launchDirectly(link, job);
              WorkerCommand launch = command.commands().get(0);
              cluster.schedulerState.cancel(job, cluster.now);
              link.exchange(link.takeDirectCommand());
              assertTrue(job.isFinished());
              link.exchange(command);
              assertFalse(link.worker.runs(launch));
              clearExits(link);
              assertFalse(link.worker.remembers(launch));
              link.exchange(command);
              assertFalse(link.worker.runs(launch));
            }),
        SchedulerFixture.testCase(
            "the worker's lease expired: the session does not match",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              WorkerStandIn.DirectCommand command =
                  launchDirectly(link, cluster.job("job-1", 1, 1));
              link.worker.expireLease();
              assertFalse(link.worker.accepts(command));
            }),
        SchedulerFixture.testCase(
            "a stop arrives again: the attempt has exited, and its number is never used again",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              launchDirectly(link, job);
              cluster.schedulerState.requestStop(job.liveAttempt(0), 0, cluster.now);
              WorkerStandIn.DirectCommand stop = link.takeDirectCommand();
              link.exchange(stop);
              Attempt next = cluster.startCommitted(job, 0, link.machine);
              link.exchange(link.takeDirectCommand());
              link.exchange(stop);
              assertTrue(link.worker.runs(WorkerLink.launch(next)));
            }));
  }

  /** A duplicate of a launch of the previous leader arrives in the next term. */
  @TestFactory
  Stream<DynamicTest> duplicatesOfThePreviousLeadersLaunchesStartNothing() {
    return Stream.of(
        SchedulerFixture.testCase(
            "the next leader has moved the task",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              WorkerStandIn.DirectCommand command =
                  launchDirectly(link, cluster.job("job-1", 1, 1));
              WorkerCommand launch = command.commands().get(0);
              WorkerLink next = takeOver(link, false);
              Job job = next.cluster.schedulerState.job("job-1");
              next.exchangeHeartbeat();
              next.exchangeHeartbeat();
              move(job, next, new WorkerLink(next.cluster, "n-2"));
              clearExits(next);
              assertFalse(next.worker.remembers(launch));
              assertFalse(next.worker.accepts(command));
            }),
        SchedulerFixture.testCase(
            "the next leader knows of the cancellation and has not reached the worker yet",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              WorkerStandIn.DirectCommand command =
                  launchDirectly(link, cluster.job("job-1", 1, 1));
              WorkerCommand launch = command.commands().get(0);
              WorkerLink next = takeOver(link, true);
              Job job = next.cluster.schedulerState.job("job-1");
              next.worker.receive(command);
              assertFalse(job.isFinished(), "counted until the worker says that it is gone");
              next.exchangeHeartbeat();
              next.exchangeHeartbeat();
              assertTrue(job.isFinished());
              clearExits(next);
              assertFalse(next.worker.runs(launch));
              assertFalse(next.worker.accepts(command));
            }),
        SchedulerFixture.testCase(
            "a launch that arrives for the first time in the next term: counted until it is fenced",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              cluster.startCommitted(job, 0, link.machine);
              WorkerStandIn.DirectCommand command = link.takeDirectCommand();
              WorkerLink next = takeOver(link, true);
              Job restored = next.cluster.schedulerState.job("job-1");
              // The heartbeat was sent before the worker heard of the next leader.
              WorkerStandIn.Response response = next.respond(next.worker.sendHeartbeat());
              assertFalse(restored.isFinished());
              next.worker.receive(response);
              assertFalse(next.worker.accepts(command));
              next.exchangeHeartbeat();
              assertTrue(restored.isFinished());
            }));
  }

  /** The next leader reads the record of job-1, whose only task was started as attempt 1. */
  private static WorkerLink takeOver(WorkerLink link, boolean cancelled) {
    SchedulerFixture cluster = new SchedulerFixture(NEXT_TERM);
    Job job = cluster.job("job-1", 1, 1);
    WorkerLink next = new WorkerLink(cluster, link.worker);
    if (cancelled) {
      cluster.schedulerState.cancel(job, cluster.now);
    }
    cluster.schedulerState.restoreAttempt(
        job, 0, 1, next.machine, link.machine.incarnation, cluster.now);
    return next;
  }

  /**
   * A machine is back under its name with session 1, token 0 and nothing of what it knew. Its
   * heartbeats look like old ones, or like newer ones if few were sent before.
   */
  @TestFactory
  Stream<DynamicTest> duplicatesAfterARestartOfTheMachineStartNothing() {
    return Stream.of(
        SchedulerFixture.testCase(
            "a running task is not started elsewhere while a duplicate could start it here",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              WorkerStandIn.DirectCommand command = launchDirectly(link, job);
              Attempt attempt = job.liveAttempt(0);
              link.worker.restart();
              for (int i = 0; i < 12 && attempt.phase != Attempt.Phase.GONE; i++) {
                link.exchangeHeartbeat();
              }
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              link.exchange(command);
              assertFalse(link.worker.runs(WorkerLink.launch(attempt)));
            }),
        SchedulerFixture.testCase(
            "a moved task whose exit was not cleared yet does not run here after the first response",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              WorkerStandIn.DirectCommand command = launchDirectly(link, job);
              move(job, link, new WorkerLink(cluster, "n-2"));
              link.worker.restart();
              link.exchangeHeartbeat();
              link.exchange(command);
              assertFalse(link.worker.runs(command.commands().get(0)));
            }),
        SchedulerFixture.testCase(
            "a cancelled task whose exit was not cleared yet does not run here after the first response",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Job job = cluster.job("job-1", 1, 1);
              WorkerStandIn.DirectCommand command = launchDirectly(link, job);
              cluster.schedulerState.cancel(job, cluster.now);
              link.exchange(link.takeDirectCommand());
              link.worker.restart();
              link.exchangeHeartbeat();
              link.exchange(command);
              assertFalse(link.worker.runs(command.commands().get(0)));
            }),
        SchedulerFixture.testCase(
            "a task launched in a response needs no higher token: responses have no duplicates",
            cluster -> {
              WorkerLink link = new WorkerLink(cluster, "n-1");
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              link.exchangeHeartbeat();
              link.exchangeHeartbeat();
              assertTrue(link.worker.runs(WorkerLink.launch(attempt)));
              link.worker.restart();
              for (int i = 0; i < 12 && attempt.phase != Attempt.Phase.GONE; i++) {
                link.exchangeHeartbeat();
              }
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              assertEquals(SchedulerFixture.TERM, link.machine.fencingToken);
            }));
  }
}
