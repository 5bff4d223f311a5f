package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * A missing entry proves that an attempt is gone only if no launch of it can still arrive. Each
 * case chooses the order in which the messages between a leader and a worker stand-in arrive.
 */
final class LaunchDeliveryTest {
  private static final long TERM = SchedulerFixture.TERM;

  /** A machine, its worker, and the leader's messages to it. */
  private static final class Link {
    private final SchedulerFixture cluster;
    private final Machine machine;
    private final WorkerStandIn worker;

    Link(SchedulerFixture cluster, String name) {
      this.cluster = cluster;
      this.machine =
          cluster.schedulerState.registerMachine(name, cluster.type, 0, false, cluster.now);
      this.worker = new WorkerStandIn(name);
      exchangeHeartbeat();
      exchangeHeartbeat();
    }

    /** The leader receives a heartbeat; the response is returned and not delivered yet. */
    WorkerStandIn.Response respond(Heartbeat heartbeat) {
      List<WorkerCommand> commands =
          cluster.schedulerState.processHeartbeat(machine, heartbeat, true, cluster.now);
      machine.lastResponseMs = cluster.now;
      return new WorkerStandIn.Response(
          heartbeat.sequence(),
          heartbeat.incarnation(),
          machine.fencingToken,
          commands == null ? List.of() : commands);
    }

    /** The worker sends a heartbeat and receives the response. */
    void exchangeHeartbeat() {
      worker.receive(respond(worker.sendHeartbeat()));
    }

    /** Takes the leader's pending direct commands; they are not delivered yet. */
    WorkerStandIn.DirectCommand takeDirectCommand() {
      return new WorkerStandIn.DirectCommand(
          machine.fencingToken,
          machine.incarnation,
          cluster
              .schedulerState
              .heartbeatReconciler()
              .takeDirectCommands(machine, true, cluster.now));
    }

    /** The leader receives the worker's answer to a direct command. */
    void answer(WorkerStandIn.DirectCommand command, Heartbeat answer) {
      cluster
          .schedulerState
          .heartbeatReconciler()
          .directCommandsAnswered(machine, command.commands());
      cluster.schedulerState.processCommandResponse(machine, answer, cluster.now);
    }

    /** The worker executes a direct command and the leader receives its answer. */
    void exchange(WorkerStandIn.DirectCommand command) {
      answer(command, worker.receive(command));
    }
  }

  private static WorkerCommand launch(Attempt attempt) {
    return new WorkerCommand(
        WorkerCommand.Kind.LAUNCH, attempt.job.spec.id(), attempt.task, attempt.number, 0);
  }

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
              Link link = new Link(cluster, "n-1");
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              WorkerStandIn.DirectCommand direct = link.takeDirectCommand();
              Attempt attempt = cluster.startCommitted(cluster.job("job-2", 1, 1), 0, link.machine);
              WorkerStandIn.Response response = link.respond(link.worker.sendHeartbeat());
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              link.exchange(direct);
              assertEquals(attempt, attempt.job.liveAttempt(0));

              link.worker.receive(response);
              assertTrue(link.worker.runs(launch(attempt)));
              link.exchangeHeartbeat();
              assertFalse(link.worker.runs(launch(attempt)));
              link.exchangeHeartbeat();
              assertNull(attempt.job.liveAttempt(0));
            }),
        SchedulerFixture.testCase(
            "a cancelled task launched in a response on its way keeps its quota after a direct answer",
            cluster -> {
              // review/6: the direct command stops another task of the cancelled job.
              Link link = new Link(cluster, "n-1");
              Job job = cluster.job("job-1", 2, 2);
              Attempt running = cluster.startCommitted(job, 0, link.machine);
              link.exchangeHeartbeat();
              link.exchangeHeartbeat();
              assertTrue(link.worker.runs(launch(running)));
              Attempt attempt = cluster.startCommitted(job, 1, link.machine);
              WorkerStandIn.Response response = link.respond(link.worker.sendHeartbeat());
              cluster.schedulerState.cancel(job, cluster.now);
              link.exchange(link.takeDirectCommand());
              assertFalse(link.worker.runs(launch(running)));
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
              Link link = new Link(cluster, "n-1");
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              link.respond(link.worker.sendHeartbeat());
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              link.respond(link.worker.sendHeartbeat());
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "an attempt that no message launched is freed by the answer to a direct command",
            cluster -> {
              Link link = new Link(cluster, "n-1");
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              WorkerStandIn.DirectCommand direct = link.takeDirectCommand();
              Attempt attempt = cluster.startCommitted(cluster.job("job-2", 1, 1), 0, link.machine);
              cluster.schedulerState.requestStop(attempt, 0, cluster.now);
              link.exchange(direct);
              assertEquals(Attempt.Phase.GONE, attempt.phase);
            }),
        SchedulerFixture.testCase(
            "the first message of a later session frees the attempts of the earlier one",
            cluster -> {
              Link link = new Link(cluster, "n-1");
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, link.machine);
              WorkerStandIn.Response response = link.respond(link.worker.sendHeartbeat());
              link.worker.expireLease();
              link.exchange(link.takeDirectCommand());
              assertEquals(Attempt.Phase.GONE, attempt.phase);
              link.worker.receive(response);
              assertFalse(link.worker.runs(launch(attempt)));
            }));
  }
}
