package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What runs where, over all machines. A task is on its machine from the moment it has its image
 * until it exits, is killed or the machine is gone.
 */
final class Tasks {
  private final World world;

  /** The machines on which each task is, by task. */
  private final Map<String, Set<String>> machinesByTask = new HashMap<>();

  private final Map<String, Integer> countByTeam = new HashMap<>();
  private final Map<String, Double> cpusByTeam = new HashMap<>();
  private final Map<String, Double> limitByTeam = new HashMap<>();
  private final Set<String> results = new HashSet<>();
  private final Map<String, Integer> startsByJob = new HashMap<>();

  /** Starts of a task on one machine while it was on another. */
  final List<String> ranTwice = new ArrayList<>();

  /** Moments at which a team's tasks used more than its limit. */
  final List<String> overLimit = new ArrayList<>();

  boolean recordsEachTask = true;

  Tasks(World world) {
    this.world = world;
  }

  synchronized void limit(String team, double cpus) {
    limitByTeam.put(team, cpus);
  }

  private static String job(String move) {
    return move.substring(0, move.indexOf('/'));
  }

  synchronized void started(String move, int attempt, String machine) {
    Set<String> machines = machinesByTask.computeIfAbsent(move, key -> new HashSet<>());
    startsByJob.merge(job(move), 1, Integer::sum);
    String team = world.jobs.get(job(move)).path("crew").asText();
    double cpus =
        cpusByTeam.merge(team, world.jobs.get(job(move)).path("cpus").asDouble(), Double::sum);
    if (recordsEachTask) {
      world.record(
          "start %s try %d on %s; %s uses %.2f CPUs", move, attempt, machine, team, cpus);
    }
    if (!machines.isEmpty() && !machines.contains(machine)) {
      ranTwice.add(move + " on " + machine + " and " + machines);
      world.record("RAN TWICE: %s starts on %s and is on %s", move, machine, machines);
    }
    machines.add(machine);
    if (cpus > limitByTeam.getOrDefault(team, Double.MAX_VALUE) + 1e-6) {
      overLimit.add(team + " uses " + cpus);
      world.record(
          "OVER THE LIMIT: %s uses %.2f CPUs of at most %.2f", team, cpus, limitByTeam.get(team));
    }
  }

  synchronized void ended(String move, int attempt, String machine, String cause) {
    if (cause.equals("done")) {
      results.add(move);
    }
    machinesByTask.getOrDefault(move, new HashSet<>()).remove(machine);
    String team = world.jobs.get(job(move)).path("crew").asText();
    cpusByTeam.merge(team, -world.jobs.get(job(move)).path("cpus").asDouble(), Double::sum);
    if (recordsEachTask) {
      world.record("end %s try %d on %s: %s", move, attempt, machine, cause);
    }
  }

  synchronized boolean hasResult(String move) {
    return results.contains(move);
  }

  synchronized boolean isOnAMachine(String move) {
    return !machinesByTask.getOrDefault(move, Set.of()).isEmpty();
  }

  synchronized int resultCount(String job) {
    return (int) results.stream().filter(move -> job(move).equals(job)).count();
  }

  synchronized int startCount(String job) {
    return startsByJob.getOrDefault(job, 0);
  }
}
