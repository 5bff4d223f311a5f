package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The gate that keeps a job's tasks from starting until its dependencies are met: a leader's view
 * of the job's release record. Confined to the event loop.
 */
public final class DependencyGate {
  /** How far the job is. */
  public enum State {
    /** No valid release is known; no task may start. */
    CLOSED,
    /** The release is recorded; the first start has all that was confirmed as its conditions. */
    OPEN,
    /** A first start is recorded under the release, which cannot be undone any more. */
    STARTED
  }

  private final String jobId;
  private final JobDependencies dependencies;
  private final Set<String> completedJobs = new ObjectLinkedOpenHashSet<>();
  private final Map<String, Long> leagueVersions = new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Long> leagueClaimCounts = new Object2ObjectLinkedOpenHashMap<>();
  private State state = State.CLOSED;
  private long releaseVersion;
  private boolean superseded;

  DependencyGate(String jobId, JobDependencies dependencies) {
    this.jobId = jobId;
    this.dependencies = dependencies;
  }

  /** The gated job's id. */
  public String jobId() {
    return jobId;
  }

  /** What the job depends on. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /** How far the job is. */
  public State state() {
    return state;
  }

  /** The version of the release record; 0 when there is none. */
  public long releaseVersion() {
    return releaseVersion;
  }

  /** The versions of the leagues' records named by the newest release, in order of the leagues. */
  public Map<String, Long> leagueVersions() {
    return Collections.unmodifiableMap(leagueVersions);
  }

  /** True when a required league was changed after the job started. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** The required jobs that were not seen done in this term. */
  public List<String> incompleteJobs() {
    List<String> incomplete = new ArrayList<>();
    for (String job : dependencies.requiredJobs()) {
      if (!completedJobs.contains(job)) {
        incomplete.add(job);
      }
    }
    return incomplete;
  }

  /** A required job was seen done. That is final, so it is never asked for again. */
  public void recordCompletedJob(String requiredJob) {
    completedJobs.add(requiredJob);
  }

  /** Sets what the next release names; the gate stays as it is until the release is recorded. */
  public void setConfirmedLeagues(Map<String, Long> versions, Map<String, Long> changes) {
    replace(leagueVersions, versions);
    replace(leagueClaimCounts, changes);
  }

  /** The release is recorded: tasks may start. */
  public void open(long recordVersion) {
    releaseVersion = recordVersion;
    state = State.OPEN;
  }

  /** The first start is recorded under the release. */
  public void start(long recordVersion) {
    releaseVersion = recordVersion;
    state = State.STARTED;
  }

  /** The release does not hold any more, or was never recorded. */
  public void close() {
    state = State.CLOSED;
  }

  /** Takes over a release as it is recorded. */
  public void restore(GateRelease release, long recordVersion) {
    replace(leagueVersions, release.leagueVersions());
    replace(leagueClaimCounts, release.leagueClaimCounts());
    superseded = release.superseded();
    releaseVersion = recordVersion;
    state = release.started() ? State.STARTED : State.OPEN;
  }

  /** There is no release record. */
  public void recordMissingRelease(long recordVersion) {
    leagueVersions.clear();
    releaseVersion = recordVersion;
    state = State.CLOSED;
  }

  /**
   * True when the league's record changed after the release with which the job started, and that
   * was not noticed before.
   */
  public boolean isOutdatedBy(String league, long changes) {
    Long confirmed = leagueClaimCounts.get(league);
    return state == State.STARTED && confirmed != null && changes > confirmed && !superseded;
  }

  /** The job started with games that were corrected since. */
  public void markSuperseded() {
    superseded = true;
  }

  /** The superseded release was recorded. */
  public void recordRewrittenRelease(long recordVersion) {
    releaseVersion = recordVersion;
  }

  /**
   * The release as it is to be recorded.
   *
   * @param started true when the record says that a start was recorded under it
   */
  public GateRelease toRelease(boolean started) {
    return new GateRelease(leagueVersions(), leagueClaimCounts, started, superseded);
  }

  private static void replace(Map<String, Long> values, Map<String, Long> by) {
    values.clear();
    values.putAll(by);
  }
}
