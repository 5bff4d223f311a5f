package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;

/**
 * Three jobs were submitted with a mistake: their tasks fail, until their users cancel them. Another
 * job that needs the same machine must still run: the machine has room, and the team is far below
 * its limit.
 */
final class MistakenJobs {
  private static final String TEAM = "coach-tools";
  private static final String SERVICE = "job-000400";
  private static final String GOOD = "job-000404";
  private static final List<String> MISTAKEN = List.of("job-000401", "job-000402", "job-000403");

  private MistakenJobs() {}

  private static ObjectNode job(String id, String team, int moves, double cpus) {
    ObjectNode job = World.job(id, team, moves, cpus, 4);
    job.putArray("builds").add("rook-large");
    return job;
  }

  public static void main(String[] arguments) throws Exception {
    World.Settings settings =
        new World.Settings().team(TEAM, 64, 192).team("fair-play", 24, 64).team("go-teachers", 64, 192);
    Cloud.MachineType large =
        new Cloud.MachineType("rook-large", 32, 256, 2.3, 2_000, 1, List.of("puget-north"));
    Cloud.MachineType small =
        new Cloud.MachineType(
            "pawn-small", 4, 8, 0.2, 2_000, 8, List.of("puget-south", "willamette"));
    World world = new World(arguments[0], settings, List.of(large, small));
    Worker only = world.cloud.add(large, "puget-north", false);
    for (int i = 0; i < 5; i++) {
      world.cloud.add(small, "puget-south", false);
    }
    Set<String> mistaken = world.trouble ? Set.copyOf(MISTAKEN) : Set.of();
    Worker.fate =
        (move, attempt, worker) ->
            mistaken.contains(move.substring(0, move.indexOf('/'))) ? "error" : null;
    world.startControllers();
    ObjectNode service = job(SERVICE, "go-teachers", 1, 4);
    service.put("form", "service").put("reckon_s", 0.0);
    world.runS.put(SERVICE, new double[] {1_000_000});
    // Keeps the small machines in use, as on an ordinary day.
    world.runS.put("job-000405", new double[] {200, 200, 200, 200, 200});
    ObjectNode filler = World.job("job-000405", "go-teachers", 5, 3, 4);
    filler.putArray("builds").add("pawn-small");
    boolean accepted = world.submit(service) && world.submit(filler);
    long deadline = world.nowMs() + 15_000;
    while (!world.tasks.isOnAMachine(SERVICE + "/0") && world.nowMs() < deadline) {
      World.sleep(20);
    }
    for (String id : MISTAKEN) {
      world.runS.put(id, new double[] {1});
      accepted &= world.submit(job(id, "fair-play", 1, 2));
    }
    while (MISTAKEN.stream().anyMatch(id -> world.tasks.startCount(id) == 0)) {
      if (!accepted || world.nowMs() > deadline + 15_000) {
        World.exit(world, World.NOT_RUN);
      }
      World.sleep(20);
    }
    World.sleep(5_000);
    for (String id : MISTAKEN) {
      accepted &= world.withdraw(id) != null;
    }
    world.runS.put(GOOD, new double[] {3});
    accepted &= world.submit(job(GOOD, TEAM, 1, 2));
    if (!accepted) {
      World.exit(world, World.NOT_RUN);
    }
    // The rule is about the wait: it is broken if the task was not started in more than 90 s after
    // the job was accepted, and the machine was up with room for it all that time.
    long acceptedMs = world.nowMs();
    while (world.tasks.startCount(GOOD) == 0 && world.nowMs() - acceptedMs <= 91_000) {
      World.sleep(1_000);
      world.poll(GOOD);
    }
    boolean isStarted = world.tasks.startCount(GOOD) > 0;
    boolean isUp = world.cloud.workers().contains(only) && only.freeCpus() >= 2;
    world.record(
        "started: %s after %d ms; its machine is up with room: %s, %.0f CPUs free; the job is %s",
        isStarted, world.nowMs() - acceptedMs, isUp, only.freeCpus(), world.poll(GOOD));
    world.recordLogs("ERROR|event=task_failed|event=deposed|event=machine_(drain|fault|reco|del)");
    if (isStarted) {
      World.exit(world, world.awaitState(GOOD, "done", 15_000) ? World.HELD : World.NOT_RUN);
    }
    World.exit(world, isUp ? World.BROKEN : World.HELD);
  }
}
