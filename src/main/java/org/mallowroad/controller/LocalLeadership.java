package org.mallowroad.controller;

import org.mallowroad.api.UserApi;
import org.mallowroad.core.Job;
import org.mallowroad.core.admission.AdmissionRateLimiter;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * Manages the leadership of this node: starts a {@link Leader} when the election grants a term and
 * stops it when the term ends. Runs on the event loop only.
 */
final class LocalLeadership implements LeaderElection.Listener {
  /**
   * Delays the announcement until the first reads of the takeover are in flight, since these are
   * more urgent.
   */
  private static final long ANNOUNCEMENT_DELAY_MS = 100;

  private final LeaderServices services;
  private final PeerMessenger peers;
  private final UserApi users;
  private final AdmissionRateLimiter admission;
  private final MachineTypeCache machineTypes;
  private final SharedRecordRollout sharedRecords;

  /** The current term's leader; null while this node does not lead. */
  private Leader leader;

  LocalLeadership(
      LeaderServices services,
      PeerMessenger peers,
      UserApi users,
      AdmissionRateLimiter admission,
      MachineTypeCache machineTypes) {
    this.services = services;
    this.peers = peers;
    this.users = users;
    this.admission = admission;
    this.machineTypes = machineTypes;
    this.sharedRecords = new SharedRecordRollout(services.loop(), peers);
  }

  /** The leader on this node, or null while it does not lead. */
  Leader leader() {
    return leader;
  }

  /** True while this node leads. */
  boolean isLeading() {
    return leader != null;
  }

  @Override
  public void elected(long term, long leaderKeyVersion) {
    EventLoop loop = services.loop();
    LeadershipTerm grantedTerm = new LeadershipTerm(term, leaderKeyVersion);
    Leader newLeader = new Leader(services, grantedTerm, new LeaderListener(grantedTerm));
    leader = newLeader;
    newLeader.start();
    if (services.clusterConfig().operatorSettings.records().sharesStartRecords()) {
      sharedRecords.enableWhenSupported(newLeader, () -> leader == newLeader);
    }
    loop.after(
        ANNOUNCEMENT_DELAY_MS,
        () -> peers.announceLeadership(services.clusterConfig().settings().node(), term));
  }

  @Override
  public void deposed() {
    if (leader != null) {
      leader.stop();
      leader = null;
    }
  }

  /** Stops the leader, if any, when the process ends. */
  void stop() {
    if (leader != null) {
      leader.stop();
    }
  }

  /** Stops the tasks of a cancelled job at once if this node leads. */
  void handleCancellation(String jobId) {
    if (leader != null) {
      leader.handleCancellation(jobId);
    }
  }

  private final class LeaderListener implements Leader.Listener {
    private final LeadershipTerm term;

    LeaderListener(LeadershipTerm term) {
      this.term = term;
    }

    @Override
    public void onRecovered() {
      machineTypes.save(term.leaderKeyVersion());
    }

    @Override
    public void onOverloaded() {
      admission.recordOverload(services.loop().now());
      peers.broadcastOverload(term.number());
    }

    @Override
    public void onJobDone(Job job) {
      users.cacheOutcome(job.spec.id(), true);
    }
  }
}
