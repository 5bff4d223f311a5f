package org.mallowroad.controller;

import java.util.List;
import org.mallowroad.config.Settings;
import org.mallowroad.core.cancellation.PendingCancellationNotices;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * Notifies the other controllers of cancellations that this node has learnt of. Retries until a
 * peer accepts the message or {@code cancel_s} (in seconds) has elapsed, since by then the workers'
 * leases have expired. A cancellation that a peer reported is forwarded only to the leader, because
 * the reporting peer may be unable to reach it.
 *
 * <p>Runs on the event loop only.
 */
final class CancellationPropagation {
  /** Cancellations often arrive in bursts; those within this delay are sent in one message. */
  private static final long BATCH_DELAY_MS = 20;

  private static final long RETRY_DELAY_MS = 500;

  /** Called when the end of a job becomes known. */
  interface JobEndListener {
    /** The job has ended: completed if {@code done}, otherwise cancelled. */
    void onJobEnded(String id, boolean done);
  }

  private final EventLoop loop;
  private final PeerMessenger peers;
  private final List<String> peerNames;
  private final PendingCancellationNotices pendingNotices;

  /** Whether a message to the peer is scheduled, indexed by peer. */
  private final boolean[] isSendScheduled;

  private boolean isHandlingPeerMessage;

  CancellationPropagation(EventLoop loop, Settings settings, PeerMessenger peers) {
    this.loop = loop;
    this.peers = peers;
    this.peerNames = settings.members().stream().map(Settings.Member::node).toList();
    this.pendingNotices =
        new PendingCancellationNotices(peerNames.size(), (long) (settings.cancelS() * 1000));
    this.isSendScheduled = new boolean[peerNames.size()];
  }

  /** Notifies all peers of a cancellation or, if a peer reported it, only the leader. */
  void propagate(String jobId, String leader) {
    for (int peer = 0; peer < peerNames.size(); peer++) {
      if (!isHandlingPeerMessage || peerNames.get(peer).equals(leader)) {
        pendingNotices.add(peer, jobId, loop.now());
        scheduleSend(peer, BATCH_DELAY_MS);
      }
    }
  }

  /**
   * Handles cancellations that a peer reported; {@code listener} may call {@link #propagate} for
   * each of them.
   */
  void handlePeerNotification(List<String> jobIds, JobEndListener listener) {
    isHandlingPeerMessage = true;
    try {
      jobIds.forEach(jobId -> listener.onJobEnded(jobId, false));
    } finally {
      isHandlingPeerMessage = false;
    }
  }

  private void scheduleSend(int peer, long delayMs) {
    if (!isSendScheduled[peer]) {
      isSendScheduled[peer] = true;
      loop.after(delayMs, () -> send(peer));
    }
  }

  private void send(int peer) {
    isSendScheduled[peer] = false;
    List<String> jobIds = pendingNotices.takeBatch(peer, loop.now());
    if (jobIds.isEmpty()) {
      return;
    }
    peers.sendCancelledJobs(
        peer,
        jobIds,
        isAccepted -> {
          pendingNotices.completeBatch(peer, jobIds, isAccepted);
          if (pendingNotices.pendingCount(peer) > 0) {
            scheduleSend(peer, isAccepted ? BATCH_DELAY_MS : RETRY_DELAY_MS);
          }
        });
  }
}
