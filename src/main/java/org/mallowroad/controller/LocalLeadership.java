package org.mallowroad.controller;

import org.mallowroad.api.UserApi;
import org.mallowroad.core.Job;
import org.mallowroad.core.admission.AdmissionRateLimiter;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * The leadership of this node: begins a {@link Leader} when the election grants a term and stops it
 * when the term is over. Runs on the event loop only.
 */
final class LocalLeadership implements LeaderElection.Listener {
  /** After the takeover's first reads are under way: they matter more. */
  private static final long ANNOUNCEMENT_DELAY_MS = 100;

  private final LeaderServices services;
  private final PeerMessenger peers;
  private final UserApi users;
  private final AdmissionRateLimiter admission;
  private final MachineTypeCache machineTypes;
  private final SharedRecordRollout sharedRecords;

  /** Null while this node does not lead. */
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
  public void elected(long term, long version) {
    EventLoop loop = services.loop();
    LeadershipTerm granted = new LeadershipTerm(term, version);
    Leader elected = new Leader(services, granted, new LeaderListener(granted));
    leader = elected;
    elected.start();
    if (services.clusterConfig().operator.records().shareStarts()) {
      sharedRecords.enable(elected, () -> leader == elected);
    }
    loop.after(
        ANNOUNCEMENT_DELAY_MS,
        () -> peers.announce(services.clusterConfig().settings().node(), term));
  }

  @Override
  public void deposed() {
    if (leader != null) {
      leader.stop();
      leader = null;
    }
  }

  /** Stops the leader, if there is one, when the process ends. */
  void stop() {
    if (leader != null) {
      leader.stop();
    }
  }

  /** A job is known to be cancelled: its tasks go at once if this node leads. */
  void cancellationReceived(String job) {
    if (leader != null) {
      leader.cancellationReceived(job);
    }
  }

  private final class LeaderListener implements Leader.Listener {
    private final LeadershipTerm term;

    LeaderListener(LeadershipTerm term) {
      this.term = term;
    }

    @Override
    public void recovered() {
      machineTypes.save(term.leaderKeyVersion());
    }

    @Override
    public void overloaded() {
      admission.recordOverload(services.loop().now());
      peers.sendOverloaded(term.number());
    }

    @Override
    public void jobDone(Job job) {
      users.cacheOutcome(job.spec.id(), true);
    }
  }
}
