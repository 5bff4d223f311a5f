package review2;

import java.util.List;

/**
 * A task ends once with an error on the only machine. The job must still run: the machine has room,
 * the cloud has more machines, and the team is far below its limit.
 */
final class ErrorOnOnlyMachine {
  private static final String TEAM = "coach-tools";
  private static final String JOB = "job-000201";

  private ErrorOnOnlyMachine() {}

  public static void main(String[] arguments) throws Exception {
    World.Settings settings = new World.Settings().team(TEAM, 64, 192).team("fair-play", 24, 64);
    Cloud.MachineType large =
        new Cloud.MachineType(
            "rook-large", 32, 256, 2.3, 2_000, 4, List.of("puget-north", "puget-south"));
    World world = new World(arguments[0], settings, List.of(large));
    world.cloud.add(large, "puget-north", false);
    Worker.fate =
        (move, attempt, worker) ->
            world.trouble && move.equals(JOB + "/0") && attempt == 1 ? "error" : null;
    world.startControllers();
    world.runS.put(JOB, new double[] {3, 3});
    if (!world.submit(World.job(JOB, TEAM, 2, 2, 4))) {
      World.exit(world, World.NOT_RUN);
    }
    long deadline = world.nowMs() + 20_000;
    while (world.tasks.startCount(JOB) < 2 && world.nowMs() < deadline) {
      World.sleep(50);
    }
    if (world.tasks.startCount(JOB) < 2) {
      World.exit(world, World.NOT_RUN);
    }
    // The page's bound is 90 s; the error comes 3 s after the start.
    boolean isDone = world.awaitState(JOB, "done", 95_000);
    world.recordLogs("ERROR|event=task_failed|event=deposed|event=scale|event=machine_");
    World.exit(world, isDone ? World.HELD : World.BROKEN);
  }
}
