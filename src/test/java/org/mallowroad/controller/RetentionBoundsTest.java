package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.api.UserApi;
import org.mallowroad.config.OperatorSettings;
import org.mallowroad.config.Settings;
import org.mallowroad.core.AttemptOutcome;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpecBuilder;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.scheduling.TaskScheduler;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.XnioEnvironment;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.worker.WorkerClient;

/**
 * Guards against memory leaks: simulates many days of jobs, machines and connections in virtual
 * time. The state that a process retains must depend on the current load, not on how long it has
 * run.
 */
final class RetentionBoundsTest {
  private static final long DAY_MS = 86_400_000;
  private static final int DAYS = 40;
  private static final int JOBS_PER_DAY = 600;

  @TempDir Path directory;
  private ClusterConfig clusterConfig;

  @BeforeEach
  void settings() throws Exception {
    Path file = directory.resolve("n.toml");
    Files.writeString(
        file,
        """
        node_name = "n"
        site = "a"
        listen = "127.0.0.1:0"
        peer_listen = "127.0.0.1:0"
        [outside]
        cloud = "127.0.0.1:1"
        state = "127.0.0.1:1"
        [params]
        zones = ["a"]
        [[params.teams]]
        name = "t"
        cpus = 1000.0
        cpus_max = 1000.0
        [[params.objectives]]
        kind = "finished"
        class = "named-in-settings"
        within_s = 100.0
        [params.workers]
        report_s = 4.0
        lease_s = 26.0
        cancel_s = 51.0
        [params.state]
        rps = 100.0
        write_rps = 30.0
        value_kb = 8.0
        txn_ops = 16
        [params.cloud]
        rps = 8.0
        """);
    clusterConfig = new ClusterConfig(Settings.load(file.toString()), OperatorSettings.defaults());
    clusterConfig.replaceMachineTypes(
        List.of(
            new MachineType(
                clusterConfig.typeNames.intern("t32"),
                "t32",
                32,
                0,
                256,
                9,
                1,
                2,
                0.5,
                30,
                new int[] {0})));
  }

  private ObjectNode submission(int jobNumber) {
    ObjectNode submission = Json.object();
    submission
        .put("name_id", "job-" + jobNumber)
        .put("docket", "class-" + jobNumber)
        .put("crew", "t")
        .put("form", "sweep");
    submission
        .put("rank", "normal")
        .put("moves", 4)
        .put("cpus", 8.0)
        .put("cards", 0.0)
        .put("mem_gb", 1.0);
    submission
        .put("kit", "image-" + jobNumber)
        .put("size_gb", 4.0)
        .put("together", false)
        .put("scatter", false);
    submission.put("driftwood", true).put("reckon_s", 60.0).put("cairn_s", 0.0).put("stow_s", 0.0);
    submission.putArray("builds").add("t32").add("type-" + jobNumber);
    return submission;
  }

  /** Runs a job to its end; every second job has a failed attempt and is cancelled. */
  private void runJob(
      SchedulerState schedulerState, TaskScheduler placement, int jobNumber, long now)
      throws InvalidMessageException {
    Job job =
        schedulerState.accept(clusterConfig.codec.decode(submission(jobNumber), now), 5, 0, now);
    placement.placeTasks(now);
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    if (jobNumber % 2 == 0) {
      schedulerState.resolve(job.liveAttempt(0), AttemptOutcome.FAILED, now);
      schedulerState.cancel(job, now);
    }
    for (int task = 0; task < 4; task++) {
      if (job.liveAttempt(task) != null) {
        schedulerState.resolve(job.liveAttempt(task), AttemptOutcome.COMPLETED, now);
      }
    }
    if (jobNumber % 2 == 1) {
      assertTrue(job.areAllTasksDone());
      schedulerState.markEnded(job, now);
    }
    assertTrue(job.isFinished());
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    schedulerState.removeJob(job);
    schedulerState.machinesWithUnsentCommands().clear();
  }

  /**
   * Every job uses names of its own, and every second one fails and is cancelled. Every machine
   * runs a few jobs and is deleted. Nothing of these may be retained except the bounded tables.
   */
  @Test
  void endedJobsAndDeletedMachinesAreNotRetained() throws Exception {
    SchedulerState schedulerState =
        new SchedulerState(1, 26, 4, clusterConfig.createTeams(), clusterConfig.zones);
    TaskScheduler placement = new TaskScheduler(schedulerState);
    MachineType type = clusterConfig.machineType("t32");
    int jobNumber = 0;
    long now = 0;
    Machine machine = null;
    for (int day = 0; day < DAYS; day++) {
      for (int i = 0; i < JOBS_PER_DAY; i++) {
        now = day * DAY_MS + i * (DAY_MS / JOBS_PER_DAY);
        jobNumber++;
        if (machine != null && jobNumber % 2 == 0) {
          schedulerState.machineDeleted(machine, now);
        }
        String name = "n-" + jobNumber / 2;
        machine = schedulerState.registerMachine(name, type, 0, true, now);
        schedulerState.processHeartbeat(
            machine,
            new Heartbeat(name, "h:1", "t32", "a", true, 1, 2L * jobNumber, 1, -1, List.of()),
            true,
            now);
        runJob(schedulerState, placement, jobNumber, now);
      }
      clusterConfig.forgetUnusedNames(schedulerState);
    }
    Map<String, Integer> tables = schedulerState.tableSizes();
    int classes = tables.remove("classes");
    Map<String, Integer> expected = new HashMap<>();
    for (String empty : List.of("jobs", "dirty", "urgent", "outbox", "shared", "ending")) {
      expected.put(empty, 0);
    }
    expected.put("machines", 1);
    expected.put("gone", 10_000);
    expected.put("watched", 1);
    assertEquals(expected, tables);
    // The speed statistics of user-defined classes are bounded as well.
    assertTrue(classes <= 256, classes + " task classes retained");
    // 72,000 names were used; between two cleanups at most one day's worth of names is added.
    assertTrue(
        clusterConfig.nameCount() < ClusterConfig.MAX_NAMES,
        clusterConfig.nameCount() + " names retained");
    assertTrue(clusterConfig.taskClassNames.find("named-in-settings") == 0);
    assertEquals(type.index(), clusterConfig.typeNames.find("t32"));
  }

  @Test
  void validatingSubmissionsRetainsNoNames() throws Exception {
    int before = clusterConfig.nameCount();
    for (int jobNumber = 0; jobNumber < 1_000; jobNumber++) {
      clusterConfig.codec.validate(submission(jobNumber));
    }
    assertEquals(before, clusterConfig.nameCount());
  }

  @Test
  void usedNamesKeepTheirIndexAndUnusedIndicesAreReused() throws Exception {
    SchedulerState schedulerState =
        new SchedulerState(1, 26, 4, clusterConfig.createTeams(), clusterConfig.zones);
    Job retainedJob = schedulerState.accept(clusterConfig.codec.decode(submission(7), 0), 5, 0, 0);
    for (int jobNumber = 100; jobNumber < 3_000; jobNumber++) {
      clusterConfig.codec.decode(submission(jobNumber), 0);
    }
    clusterConfig.forgetUnusedNames(schedulerState);
    assertEquals(retainedJob.spec.image(), clusterConfig.imageNames.find("image-7"));
    assertEquals(retainedJob.spec.taskClass(), clusterConfig.taskClassNames.find("class-7"));
    assertTrue(retainedJob.spec.types().get(clusterConfig.typeNames.find("type-7")));
    assertEquals(-1, clusterConfig.imageNames.find("image-200"));
    int newIndex = clusterConfig.imageNames.intern("image-new");
    assertTrue(newIndex != retainedJob.spec.image() && newIndex < 3_000);
    assertEquals("image-new", clusterConfig.imageNames.name(newIndex));
  }

  @Test
  void numberOfRememberedEndedJobsIsLimited() {
    EventLoop loop = new VirtualTimeHarness().new Process();
    UserApi users =
        new UserApi(loop, null, new UserApi.Limits(null, 1, null, null, 8, 64, 5_000), null);
    for (int jobNumber = 0; jobNumber < 100_000; jobNumber++) {
      users.cacheOutcome("job-" + jobNumber, true);
    }
    assertEquals(5_000, users.cachedOutcomeCount());
  }

  @Test
  void numberOfConnectionsToWorkersIsLimited() throws Exception {
    XnioEnvironment host = new XnioEnvironment(clusterConfig.settings());
    try {
      WorkerClient client = new WorkerClient(host, 50);
      CompletableFuture<Integer> connectionCount = new CompletableFuture<>();
      host.loop()
          .submit(
              () -> {
                for (int port = 1; port <= 1_000; port++) {
                  client.send("127.0.0.1:" + port, -1, 1, 1, List.of(), (result, report) -> {});
                }
                connectionCount.complete(client.connectedWorkers());
              });
      assertEquals(50, connectionCount.get(20, TimeUnit.SECONDS));
    } finally {
      host.stop();
    }
  }
}
