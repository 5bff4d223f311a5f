package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** An operator must be able to tell which proof freed an attempt, at any size of a failure. */
final class AttemptAuditTest {
  private static final long MORE_THAN_A_LEASE_MS = 20_600;

  private static AttemptAudit audit(SchedulerFixture cluster) {
    return cluster.schedulerState.attemptAudit();
  }

  @TestFactory
  Stream<DynamicTest> resolutionsNameTheirProof() {
    return Stream.of(
        SchedulerFixture.testCase(
            "attempts of one machine are one line with session, token and age of the response",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              cluster.startCommitted(cluster.job("job-2", 1, 1), 0, machine);
              cluster.now += MORE_THAN_A_LEASE_MS;
              cluster.schedulerState.expireLeases(cluster.now);
              assertEquals(
                  List.of(
                      new AttemptAudit.Resolution(
                          "n-1",
                          ResolutionProof.LEASE_EXPIRED,
                          1,
                          SchedulerFixture.TERM,
                          MORE_THAN_A_LEASE_MS,
                          cluster.now,
                          2,
                          "job-1/0/1")),
                  audit(cluster).takeResolutions());
              assertEquals(2, audit(cluster).resolutions(ResolutionProof.LEASE_EXPIRED));
              assertEquals(List.of(), audit(cluster).takeResolutions());
            }),
        SchedulerFixture.testCase(
            "a new session and a deletion are told apart",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Job job = cluster.job("job-1", 1, 1);
              cluster.startCommitted(job, 0, machine);
              cluster.heartbeat(machine, 2, SchedulerFixture.TERM);
              Machine other = cluster.machine("n-2", 0);
              cluster.startCommitted(job, 0, other);
              cluster.schedulerState.machineDeleted(other, cluster.now);
              assertEquals(
                  List.of(ResolutionProof.NEW_SESSION, ResolutionProof.MACHINE_DELETED),
                  audit(cluster).takeResolutions().stream()
                      .map(AttemptAudit.Resolution::proof)
                      .toList());
            }),
        SchedulerFixture.testCase(
            "the worker's own word is counted and not listed",
            cluster -> {
              Machine machine = cluster.machine("n-1", 0);
              Attempt attempt = cluster.startCommitted(cluster.job("job-1", 1, 1), 0, machine);
              cluster.heartbeat(
                  machine,
                  1,
                  SchedulerFixture.TERM,
                  SchedulerFixture.entry(attempt, Heartbeat.State.EXITED, "done"));
              assertEquals(1, audit(cluster).resolutions(ResolutionProof.WORKER_REPORT));
              assertEquals(List.of(), audit(cluster).takeResolutions());
            }),
        SchedulerFixture.testCase(
            "the list is bounded and says how much it lacks",
            cluster -> {
              int machines = AttemptAudit.MAX_PENDING + 3;
              Job job = cluster.job("job-1", 1, 1);
              for (int i = 0; i < machines; i++) {
                Machine machine = cluster.machine("n-" + i, 0);
                cluster.startCommitted(job, 0, machine);
                cluster.schedulerState.machineFailed(machine, cluster.now);
              }
              assertEquals(AttemptAudit.MAX_PENDING, audit(cluster).takeResolutions().size());
              assertEquals(3, audit(cluster).takeDroppedResolutions());
              assertEquals(machines, audit(cluster).resolutions(ResolutionProof.MACHINE_FAILED));
            }));
  }
}
