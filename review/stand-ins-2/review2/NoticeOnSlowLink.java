package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * All that one spot machine and the controllers send to each other takes 1 s. While a direct
 * launch is on its way to the machine, another task is placed on it, and the cloud gives notice of
 * taking it back. No task may start on one machine while it is on another.
 */
final class NoticeOnSlowLink {
  private static final long DELAY_MS = 1_000;
  private static final long NOTICE_MS = 15_000;
  private static final String TEAM = "go-teachers";
  private static final String LONG = "job-000401";
  private static final String EARLIER = "job-000402";
  private static final String LATER = "job-000403";

  private NoticeOnSlowLink() {}

  private static ObjectNode job(String id, int moves, String build) {
    ObjectNode job = World.job(id, TEAM, moves, 1, 1.5);
    job.put("driftwood", true).put("reckon_s", 25.0);
    if (build != null) {
      job.putArray("builds").add(build);
    }
    return job;
  }

  public static void main(String[] arguments) throws Exception {
    World.Settings settings = new World.Settings().team(TEAM, 64, 192);
    Cloud.MachineType large =
        new Cloud.MachineType(
            "rook-large", 32, 256, 2.3, 2_000, 4, List.of("puget-north", "puget-south"));
    Cloud.MachineType small =
        new Cloud.MachineType("pawn-small", 4, 8, 0.2, 2_000, 4, List.of("puget-south"));
    World world = new World(arguments[0], settings, List.of(large, small));
    CountDownLatch launched = new CountDownLatch(1);
    String launch = "\"order\":\"launch\",\"move\":\"" + EARLIER + "/0\"";
    Worker spot =
        world.cloud.add(
            small,
            "puget-south",
            true,
            worker ->
                worker.useSlowLink(
                    world.trouble ? DELAY_MS : 0,
                    part -> {
                      if (part.contains(launch)) {
                        launched.countDown();
                      }
                    }));
    world.cloud.add(large, "puget-north", false);
    world.startControllers();

    // One task on each machine keeps it in use, with the image that the other jobs need.
    boolean accepted =
        world.submit(job(LONG, 1, "pawn-small")) && world.submit(job("job-000404", 1, "rook-large"));
    long deadline = world.nowMs() + 30_000;
    while (!(world.tasks.isOnAMachine(LONG + "/0") && world.tasks.isOnAMachine("job-000404/0"))) {
      if (!accepted || world.nowMs() > deadline) {
        World.exit(world, World.NOT_RUN);
      }
      World.sleep(20);
    }
    // Between two reports of the spot machine a job comes that is launched on it directly.
    World.sleep(3_000);
    deadline = world.nowMs() + 40_000;
    while (!spot.isSilentFor(700)) {
      if (world.nowMs() > deadline) {
        World.exit(world, World.NOT_RUN);
      }
      World.sleep(5);
    }
    accepted = world.submit(job(EARLIER, 1, "pawn-small"));
    if (!accepted || !launched.await(5, TimeUnit.SECONDS)) {
      world.record("the earlier job was not launched directly");
      World.exit(world, World.NOT_RUN);
    }
    world.record("a direct launch of %s/0 is on its way", EARLIER);
    accepted = world.submit(job(LATER, 1, null));
    World.sleep(200);
    spot.notice(NOTICE_MS);
    long takenMs = world.nowMs() + NOTICE_MS;
    World.sleep(takenMs - world.nowMs());
    world.cloud.take(spot);
    boolean isDone = accepted && world.awaitState(LATER, "done", 45_000);
    world.recordLogs("ERROR|event=task_failed|event=deposed");
    if (!world.tasks.ranTwice.isEmpty()) {
      World.exit(world, World.BROKEN);
    }
    World.exit(world, isDone ? World.HELD : World.NOT_RUN);
  }
}
