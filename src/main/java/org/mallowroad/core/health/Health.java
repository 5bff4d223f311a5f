package org.mallowroad.core.health;

import java.util.ArrayList;
import java.util.List;

/**
 * All that is suspected in one term: what the ledger, placement and the fleet tell and ask. One
 * place, so that each of them needs one field. Nothing here frees an attempt.
 */
public final class Health {
  /** Changes of standing that wait to be logged; more than these are counted only. */
  private static final int MOST_CHANGES = 64;

  /** A machine fell out of favour, or came back into it. */
  public record Change(MachineHealth machine, MachineHealth.Doubt doubt, double pace) {}

  private final HealthPolicy policy;
  private final FailureDetector failureDetector;
  private final PauseDetector still;
  private final StragglerDetector stragglerDetector;
  private final List<Change> changes = new ArrayList<>();
  private long unlogged;
  private int fleet;

  /** For workers of so many zones that report every {@code heartbeatIntervalS}. */
  public Health(HealthPolicy policy, int zones, double heartbeatIntervalS, long now) {
    this.policy = policy;
    this.failureDetector = new FailureDetector(zones, heartbeatIntervalS, policy, now);
    this.still = new PauseDetector(policy.stillMs(), now);
    this.stragglerDetector = new StragglerDetector(policy);
  }

  /** The thresholds. */
  public HealthPolicy policy() {
    return policy;
  }

  /** Who has not been heard. */
  public FailureDetector failureDetector() {
    return failureDetector;
  }

  /** Whether this process itself stood still. */
  public PauseDetector still() {
    return still;
  }

  /** Who is slow or faulty. */
  public StragglerDetector stragglerDetector() {
    return stragglerDetector;
  }

  /** The machine became known. */
  public void met(MachineHealth m, long now) {
    failureDetector.met(m, now);
    fleet++;
  }

  /** A report of the machine is read; returns when it had come at the latest that is certain. */
  public long heard(MachineHealth m, long now) {
    long at = still.heard(now);
    failureDetector.heard(m, at);
    if (stragglerDetector.fade(m, now)) {
      changed(m);
    }
    return at;
  }

  /** The machine is proven gone. */
  public void gone(MachineHealth m) {
    failureDetector.gone(m);
    stragglerDetector.gone(m);
    fleet--;
  }

  /** A task ended well. */
  public void finished(
      MachineHealth m, RunTimeBaseline job, int taskClass, long ranMs, double estimateS, long now) {
    if (stragglerDetector.finished(m, job, taskClass, ranMs, estimateS, fleet, now)) {
      changed(m);
    }
  }

  /** A task failed; {@code jobAtFault} when its job has failed on several machines. */
  public void failed(MachineHealth m, int job, boolean jobAtFault, long now) {
    if (stragglerDetector.failed(m, job, jobAtFault, fleet, now)) {
      changed(m);
    }
  }

  /** So many tasks on the machine have run for several times as long as their peers. */
  public void overdue(MachineHealth m, int tasks, long now) {
    if (stragglerDetector.overdue(m, tasks, fleet, now)) {
      changed(m);
    }
  }

  /** A task has been waiting for its image. */
  public void fetching(MachineHealth m, long waitedMs, double needMs, long now) {
    if (stragglerDetector.fetching(m, waitedMs, needMs, fleet, now)) {
      changed(m);
    }
  }

  private void changed(MachineHealth m) {
    if (changes.size() < MOST_CHANGES) {
      changes.add(new Change(m, m.doubt(), m.pace()));
    } else {
      unlogged++;
    }
  }

  /** Changes of standing since the last call, {@link #MOST_CHANGES} at the most. */
  public List<Change> changes() {
    List<Change> out = new ArrayList<>(changes);
    changes.clear();
    return out;
  }

  /** Changes that were not kept for the log since the last call. */
  public long unlogged() {
    long n = unlogged;
    unlogged = 0;
    return n;
  }

  /** True when the machine is in a zone that is cut off, and itself not heard. */
  public boolean away(MachineHealth m) {
    return failureDetector.cut(m.zone()) && failureDetector.late(m);
  }
}
