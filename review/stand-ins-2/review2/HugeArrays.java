package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Arrays of 100,000 tasks come in, four a second. A small urgent job within its team's guarantee
 * must still run.
 */
final class HugeArrays {
  private static final String GUEST = "tacoma-puzzle-guild";
  private static final String URGENT = "job-000590";
  private static final int ARRAYS = 112;

  private HugeArrays() {}

  public static void main(String[] arguments) throws Exception {
    World.Settings settings =
        new World.Settings().team("ratings-desk", 64, 112).team(GUEST, 0, 0);
    Cloud.MachineType large =
        new Cloud.MachineType(
            "rook-large", 32, 256, 2.3, 2_000, 2, List.of("puget-north", "puget-south"));
    World world = new World(arguments[0], settings, List.of(large));
    world.tasks.recordsEachTask = false;
    world.cloud.add(large, "puget-north", false);
    world.startControllers();
    int arrays = world.trouble ? ARRAYS : 1;
    for (int i = 0; i < arrays; i++) {
      ObjectNode array = World.job("job-" + (600_000 + i), GUEST, 100_000, 1, 2);
      array.put("docket", "endgame-sweep").put("rank", "idle").put("reckon_s", 60.0);
      long sentMs = world.nowMs();
      if (!world.submit(array)) {
        World.exit(world, World.NOT_RUN);
      }
      World.sleep(sentMs + 250 - world.nowMs());
    }
    ObjectNode urgent = World.job(URGENT, "ratings-desk", 2, 1, 2);
    urgent.put("docket", "rating-recalc").put("rank", "urgent");
    world.runS.put(URGENT, new double[] {3, 3});
    if (!world.submit(urgent)) {
      World.exit(world, World.NOT_RUN);
    }
    boolean isDone = world.awaitState(URGENT, "done", 70_000);
    world.recordLogs("ERROR|OutOfMemory|event=cancellation_view|event=heartbeats_missing|=deposed");
    World.exit(world, isDone ? World.HELD : World.BROKEN);
  }
}
