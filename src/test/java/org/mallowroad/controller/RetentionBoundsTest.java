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
 * Many days of jobs, machines and connections in virtual time: what a process keeps must depend on
 * what there is now, not on how long it has run.
 */
final class RetentionBoundsTest {
  private static final long DAY_MS = 86_400_000;
  private static final int DAYS = 40;
  private static final int A_DAY = 600;

  @TempDir Path dir;
  private ClusterConfig clusterConfig;

  @BeforeEach
  void settings() throws Exception {
    Path f = dir.resolve("n.toml");
    Files.writeString(
        f,
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
    clusterConfig = new ClusterConfig(Settings.load(f.toString()), OperatorSettings.defaults());
    clusterConfig.replaceMachineTypes(
        List.of(
            new MachineType(
                clusterConfig.types.intern("t32"),
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

  private ObjectNode submission(int n) {
    ObjectNode o = Json.object();
    o.put("name_id", "job-" + n).put("docket", "class-" + n).put("crew", "t").put("form", "sweep");
    o.put("rank", "normal").put("moves", 4).put("cpus", 8.0).put("cards", 0.0).put("mem_gb", 1.0);
    o.put("kit", "image-" + n).put("size_gb", 4.0).put("together", false).put("scatter", false);
    o.put("driftwood", true).put("reckon_s", 60.0).put("cairn_s", 0.0).put("stow_s", 0.0);
    o.putArray("builds").add("t32").add("type-" + n);
    return o;
  }

  /** Runs a job to its end; every other one fails once and is cancelled. */
  private void runJob(SchedulerState schedulerState, TaskScheduler placement, int n, long now)
      throws InvalidMessageException {
    Job job = schedulerState.accept(clusterConfig.codec.decode(submission(n), now), 5, 0, now);
    placement.placeTasks(now);
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    if (n % 2 == 0) {
      schedulerState.resolve(job.liveAttempt(0), AttemptOutcome.FAILED, now);
      schedulerState.cancel(job, now);
    }
    for (int t = 0; t < 4; t++) {
      if (job.liveAttempt(t) != null) {
        schedulerState.resolve(job.liveAttempt(t), AttemptOutcome.COMPLETED, now);
      }
    }
    if (n % 2 == 1) {
      assertTrue(job.areAllTasksDone());
      schedulerState.markEnded(job, now);
    }
    assertTrue(job.isFinished());
    JobSpecBuilder.commitDirtyRecords(schedulerState, now);
    schedulerState.removeJob(job);
    schedulerState.machinesWithUnsentCommands().clear();
  }

  /** Every job has names of its own, errors and an end; every machine serves a few and goes. */
  @Test
  void endedJobsAndDeletedMachinesLeaveNothingBehind() throws Exception {
    SchedulerState schedulerState =
        new SchedulerState(1, 26, 4, clusterConfig.newTeams(), clusterConfig.zones);
    TaskScheduler placement = new TaskScheduler(schedulerState);
    MachineType type = clusterConfig.machineType("t32");
    int n = 0;
    long now = 0;
    Machine m = null;
    for (int day = 0; day < DAYS; day++) {
      for (int i = 0; i < A_DAY; i++) {
        now = day * DAY_MS + i * (DAY_MS / A_DAY);
        n++;
        if (m != null && n % 2 == 0) {
          schedulerState.machineDeleted(m, now);
        }
        String name = "n-" + n / 2;
        m = schedulerState.registerMachine(name, type, 0, true, now);
        schedulerState.processHeartbeat(
            m,
            new Heartbeat(name, "h:1", "t32", "a", true, 1, 2L * n, 1, -1, List.of()),
            true,
            now);
        runJob(schedulerState, placement, n, now);
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
    // Classes that users make up do not pile up as measures of speed either.
    assertTrue(classes <= 256, classes + " classes");
    // 72,000 names were made up; a day's worth is there at the most between two looks.
    assertTrue(
        clusterConfig.nameCount() < ClusterConfig.MAX_NAMES, clusterConfig.nameCount() + " names");
    assertTrue(clusterConfig.classes.find("named-in-settings") == 0);
    assertEquals(type.index(), clusterConfig.types.find("t32"));
  }

  @Test
  void checkedSubmissionsLeaveNoNames() throws Exception {
    int before = clusterConfig.nameCount();
    for (int n = 0; n < 1_000; n++) {
      clusterConfig.codec.validate(submission(n));
    }
    assertEquals(before, clusterConfig.nameCount());
  }

  @Test
  void usedNamesKeepTheirIndexAndUnusedIndicesAreReused() throws Exception {
    SchedulerState schedulerState =
        new SchedulerState(1, 26, 4, clusterConfig.newTeams(), clusterConfig.zones);
    Job kept = schedulerState.accept(clusterConfig.codec.decode(submission(7), 0), 5, 0, 0);
    for (int n = 100; n < 3_000; n++) {
      clusterConfig.codec.decode(submission(n), 0);
    }
    clusterConfig.forgetUnusedNames(schedulerState);
    assertEquals(kept.spec.image(), clusterConfig.images.find("image-7"));
    assertEquals(kept.spec.taskClass(), clusterConfig.classes.find("class-7"));
    assertTrue(kept.spec.types().get(clusterConfig.types.find("type-7")));
    assertEquals(-1, clusterConfig.images.find("image-200"));
    int fresh = clusterConfig.images.intern("image-new");
    assertTrue(fresh != kept.spec.image() && fresh < 3_000);
    assertEquals("image-new", clusterConfig.images.name(fresh));
  }

  @Test
  void endedJobsAreRememberedUpToABound() {
    EventLoop loop = new VirtualTimeHarness().new Process();
    UserApi users =
        new UserApi(loop, null, new UserApi.Limits(null, 1, null, null, 8, 64, 5_000), null);
    for (int n = 0; n < 100_000; n++) {
      users.cacheOutcome("job-" + n, true);
    }
    assertEquals(5_000, users.cachedOutcomeCount());
  }

  @Test
  void connectionsToWorkersAreBounded() throws Exception {
    XnioEnvironment host = new XnioEnvironment(clusterConfig.settings());
    try {
      WorkerClient client = new WorkerClient(host, 50);
      CompletableFuture<Integer> kept = new CompletableFuture<>();
      host.loop()
          .soon(
              () -> {
                for (int port = 1; port <= 1_000; port++) {
                  client.send("127.0.0.1:" + port, -1, 1, 1, List.of(), (result, report) -> {});
                }
                kept.complete(client.connectedWorkers());
              });
      assertEquals(50, kept.get(20, TimeUnit.SECONDS));
    } finally {
      host.stop();
    }
  }
}
