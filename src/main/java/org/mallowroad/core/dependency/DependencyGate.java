package org.mallowroad.core.dependency;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The gate that keeps a job's tasks from starting until the job's dependencies are met. It is the
 * leader's view of the job's release record. Confined to the event loop.
 */
public final class DependencyGate {
  /** The stages of a gate. */
  public enum State {
    /** No valid release is known, so no task may start. */
    CLOSED,
    /**
     * The release is recorded. The transaction of the first start has all that the release confirms
     * as its conditions.
     */
    OPEN,
    /** A first start is recorded under the release, which can no longer be undone. */
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

  /** Id of the gated job. */
  public String jobId() {
    return jobId;
  }

  /** The dependencies of the gated job. */
  public JobDependencies dependencies() {
    return dependencies;
  }

  /** The current stage of the gate. */
  public State state() {
    return state;
  }

  /** The version of the release record; 0 when there is none. */
  public long releaseVersion() {
    return releaseVersion;
  }

  /** The version of each league's record that the newest release confirms. */
  public Map<String, Long> leagueVersions() {
    return Collections.unmodifiableMap(leagueVersions);
  }

  /** True when a required league changed after the job's first start. */
  public boolean isSuperseded() {
    return superseded;
  }

  /** The required jobs that are not known to be done in this leader term. */
  public List<String> incompleteJobs() {
    List<String> incomplete = new ArrayList<>();
    for (String job : dependencies.requiredJobs()) {
      if (!completedJobs.contains(job)) {
        incomplete.add(job);
      }
    }
    return incomplete;
  }

  /** Records that a required job is done. That is final, so it need not be checked again. */
  public void recordCompletedJob(String completedJob) {
    completedJobs.add(completedJob);
  }

  /**
   * Sets the league versions and claim counts that the next release confirms. The stage of the gate
   * does not change until the release is recorded.
   */
  public void setConfirmedLeagues(
      Map<String, Long> confirmedVersions, Map<String, Long> confirmedClaimCounts) {
    replace(leagueVersions, confirmedVersions);
    replace(leagueClaimCounts, confirmedClaimCounts);
  }

  /** Opens the gate after the release has been recorded: tasks may start. */
  public void open(long recordVersion) {
    releaseVersion = recordVersion;
    state = State.OPEN;
  }

  /** Records that the first start was recorded under the release. */
  public void start(long recordVersion) {
    releaseVersion = recordVersion;
    state = State.STARTED;
  }

  /** Closes the gate when the release is no longer valid or was never recorded. */
  public void close() {
    state = State.CLOSED;
  }

  /** Restores the gate from a release that was read from the state service. */
  public void restore(GateRelease release, long recordVersion) {
    replace(leagueVersions, release.leagueVersions());
    replace(leagueClaimCounts, release.leagueClaimCounts());
    superseded = release.superseded();
    releaseVersion = recordVersion;
    state = release.started() ? State.STARTED : State.OPEN;
  }

  /** Closes the gate because the state service has no release for the job. */
  public void recordMissingRelease(long recordVersion) {
    leagueVersions.clear();
    releaseVersion = recordVersion;
    state = State.CLOSED;
  }

  /**
   * True when required games of the league were claimed after the release under which the job
   * started, unless the release is already marked as superseded.
   */
  public boolean isOutdatedBy(String league, long claimCount) {
    Long confirmedClaimCount = leagueClaimCounts.get(league);
    return state == State.STARTED
        && confirmedClaimCount != null
        && claimCount > confirmedClaimCount
        && !superseded;
  }

  /** Marks the release as superseded: the job started with games that were corrected later. */
  public void markSuperseded() {
    superseded = true;
  }

  /** Updates the version after the superseded release has been recorded. */
  public void recordRewrittenRelease(long recordVersion) {
    releaseVersion = recordVersion;
  }

  /**
   * Creates the release to be recorded.
   *
   * @param started true when a start is recorded under the release
   */
  public GateRelease toRelease(boolean started) {
    return new GateRelease(leagueVersions(), leagueClaimCounts, started, superseded);
  }

  private static void replace(Map<String, Long> target, Map<String, Long> source) {
    target.clear();
    target.putAll(source);
  }
}
