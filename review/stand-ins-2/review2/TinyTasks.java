package review2;

import java.util.List;

/**
 * One huge array of small tasks, 1,600 of which fit on a machine. No answer to a worker may contain
 * a line longer than 64 KiB, and no request to it may hold more.
 */
final class TinyTasks {
  private static final String TEAM = "coach-tools";
  private static final String ARRAY = "job-000301";
  private static final String OTHER = "job-000302";
  private static final int ARRAY_TASKS = 3_000;
  private static final double ARRAY_CPUS = 0.02;

  private TinyTasks() {}

  public static void main(String[] arguments) throws Exception {
    World.Settings settings = new World.Settings().team(TEAM, 64, 192).team("fair-play", 24, 64);
    Cloud.MachineType large =
        new Cloud.MachineType(
            "rook-large", 32, 256, 2.3, 2_000, 2, List.of("puget-north", "puget-south"));
    World world = new World(arguments[0], settings, List.of(large));
    world.tasks.recordsEachTask = false;
    world.cloud.add(large, "puget-north", false);
    world.startControllers();
    world.runS.put(OTHER, new double[] {3});
    if (world.trouble && !world.submit(World.job(ARRAY, TEAM, ARRAY_TASKS, ARRAY_CPUS, 0.05))) {
      World.exit(world, World.NOT_RUN);
    }
    if (!world.submit(World.job(OTHER, "fair-play", 1, 1, 4))) {
      World.exit(world, World.NOT_RUN);
    }
    boolean isOtherDone = world.awaitState(OTHER, "done", 45_000);
    boolean isArrayDone = !world.trouble || world.awaitState(ARRAY, "done", 30_000);
    world.record(
        "the other job is done: %s; the array is done: %s, %d of %d tasks; %d messages too long",
        isOtherDone,
        isArrayDone,
        world.tasks.resultCount(ARRAY),
        ARRAY_TASKS,
        world.findings.size());
    world.recordLogs("ERROR|event=task_failed|event=deposed|event=machine_unreach");
    boolean isBroken = !world.findings.isEmpty();
    boolean held = isOtherDone && isArrayDone;
    World.exit(world, isBroken ? World.BROKEN : held ? World.HELD : World.NOT_RUN);
  }
}
