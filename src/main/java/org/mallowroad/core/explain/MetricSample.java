package org.mallowroad.core.explain;

import java.util.Map;
import java.util.TreeMap;

/**
 * Metrics of a leader at one moment, for plots.
 *
 * @param atMs wall-clock time in ms
 * @param started number of attempts started in the term so far
 * @param completed number of tasks completed in the term so far
 * @param moneyPerHour price of all machines per hour
 * @param waiting number of pending tasks by team
 * @param running number of running tasks by team
 * @param machines number of machines by type and zone
 * @param reasons number of tasks by the cause for which they do not run
 */
public record MetricSample(
    long atMs,
    long term,
    long started,
    long completed,
    double moneyPerHour,
    Map<String, Integer> waiting,
    Map<String, Integer> running,
    Map<String, Integer> machines,
    Map<String, Integer> reasons) {

  /** Extracts the metrics from a leader's snapshot. */
  public static MetricSample of(NodeSnapshot snapshot) {
    Map<String, Integer> waiting = new TreeMap<>();
    Map<String, Integer> running = new TreeMap<>();
    Map<String, Integer> machines = new TreeMap<>();
    Map<String, Integer> reasons = new TreeMap<>();
    for (NodeSnapshot.TeamLine team : snapshot.teams()) {
      waiting.put(team.name(), team.waiting());
      running.put(team.name(), team.running());
    }
    for (NodeSnapshot.MachineLine machine : snapshot.machines()) {
      machines.merge(machine.type() + " " + machine.zone(), machine.machines(), Integer::sum);
    }
    for (NodeSnapshot.ReasonLine reasonLine : snapshot.reasons()) {
      reasons.merge(reasonLine.reason(), reasonLine.tasks(), Integer::sum);
    }
    return new MetricSample(
        snapshot.atMs(),
        snapshot.term(),
        snapshot.totals().started(),
        snapshot.totals().completed(),
        snapshot.totals().moneyPerHour(),
        waiting,
        running,
        machines,
        reasons);
  }
}
