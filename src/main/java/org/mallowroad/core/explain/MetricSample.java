package org.mallowroad.core.explain;

import java.util.Map;
import java.util.TreeMap;

/**
 * One point of a leader's past, for plots.
 *
 * @param atMs time of day
 * @param started attempts made in the term so far
 * @param completed tasks completed in the term so far
 * @param waiting waiting tasks by team
 * @param running running tasks by team
 * @param machines machines by type and zone
 * @param reasons waiting tasks by reason
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

  /** Of a leader's picture. */
  public static MetricSample of(NodeSnapshot p) {
    Map<String, Integer> waiting = new TreeMap<>();
    Map<String, Integer> running = new TreeMap<>();
    Map<String, Integer> machines = new TreeMap<>();
    Map<String, Integer> reasons = new TreeMap<>();
    for (NodeSnapshot.TeamLine t : p.teams()) {
      waiting.put(t.name(), t.waiting());
      running.put(t.name(), t.running());
    }
    for (NodeSnapshot.MachineLine m : p.machines()) {
      machines.merge(m.type() + " " + m.zone(), m.machines(), Integer::sum);
    }
    for (NodeSnapshot.ReasonLine r : p.reasons()) {
      reasons.merge(r.reason(), r.tasks(), Integer::sum);
    }
    return new MetricSample(
        p.atMs(),
        p.term(),
        p.totals().started(),
        p.totals().completed(),
        p.totals().moneyPerHour(),
        waiting,
        running,
        machines,
        reasons);
  }
}
