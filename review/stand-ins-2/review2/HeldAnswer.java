package review2;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A team is at its limit. The answer to a report, which carries a launch, is held up for 2.5 s, and
 * meanwhile the job is cancelled. The team must not use more than its limit.
 */
final class HeldAnswer {
  private static final long HOLD_MS = 2_500;
  private static final String TEAM = "archive-keepers";
  private static final String FIRST = "job-000101";
  private static final String SECOND = "job-000102";

  private HeldAnswer() {}

  public static void main(String[] arguments) throws Exception {
    World.Settings settings =
        new World.Settings().team(TEAM, 4, 4).team("go-teachers", 64, 192);
    Cloud.MachineType large =
        new Cloud.MachineType(
            "rook-large", 32, 256, 2.3, 2_000, 4, List.of("puget-north", "puget-south"));
    World world = new World(arguments[0], settings, List.of(large));
    world.tasks.limit(TEAM, 4);
    world.cloud.add(large, "puget-north", false);
    CountDownLatch launched = new CountDownLatch(1);
    AtomicBoolean isHeld = new AtomicBoolean();
    String launch = "\"order\":\"launch\",\"move\":\"" + FIRST + "/2\"";
    for (HoldingProxy proxy : world.workerProxies) {
      proxy.hold =
          part -> {
            if (!part.contains(launch) || !isHeld.compareAndSet(false, true)) {
              return 0;
            }
            world.record("an answer to a report launches %s/2; held=%s", FIRST, world.trouble);
            launched.countDown();
            return world.trouble ? HOLD_MS : 0;
          };
    }
    world.startControllers();

    // Two of the first job's tasks fit into the limit. The second one ends soon, and the third one
    // takes its place; the second job waits for the limit.
    world.runS.put(FIRST, new double[] {80, 8, 80});
    world.runS.put(SECOND, new double[] {15, 15});
    boolean accepted = world.submit(World.job(FIRST, TEAM, 3, 2, 4));
    long deadline = world.nowMs() + 30_000;
    while (!(world.tasks.isOnAMachine(FIRST + "/0") && world.tasks.isOnAMachine(FIRST + "/1"))) {
      if (!accepted || world.nowMs() > deadline) {
        World.exit(world, World.NOT_RUN);
      }
      World.sleep(20);
    }
    accepted = world.submit(World.job(SECOND, TEAM, 2, 2, 4));
    if (!accepted || !launched.await(30, TimeUnit.SECONDS)) {
      world.record("the third task was not launched in the answer to a report");
      World.exit(world, World.NOT_RUN);
    }
    if (!"withdrawn".equals(world.withdraw(FIRST))) {
      World.exit(world, World.NOT_RUN);
    }
    boolean isDone = world.awaitState(SECOND, "done", 40_000);
    world.recordLogs("ERROR|event=task_failed|event=deposed");
    if (!world.tasks.overLimit.isEmpty() || !world.tasks.ranTwice.isEmpty()) {
      World.exit(world, World.BROKEN);
    }
    World.exit(world, isDone ? World.HELD : World.NOT_RUN);
  }
}
