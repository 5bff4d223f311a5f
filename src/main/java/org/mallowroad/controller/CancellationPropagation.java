package org.mallowroad.controller;

import java.util.List;
import org.mallowroad.config.Settings;
import org.mallowroad.core.cancellation.PendingCancellationNotices;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * Notifies the other controllers of cancellations that this one learnt of, until they have accepted
 * the message or {@code cancel_s} is over: by then the workers' leases have expired. What a peer
 * reported is passed on to the leader alone, once, since its sender may not reach the leader.
 *
 * <p>Runs on the event loop only.
 */
final class CancellationPropagation {
  /** Cancellations come together; those of a moment share a message. */
  private static final long BATCH_DELAY_MS = 20;

  private static final long RETRY_DELAY_MS = 500;

  /** Accepts the end of a job as a fact. */
  interface EndListener {
    /** The job is over: {@code done}, or cancelled. */
    void ended(String id, boolean done);
  }

  private final EventLoop loop;
  private final PeerMessenger peers;
  private final List<String> peerNames;
  private final PendingCancellationNotices notices;

  /** Whether a message to the peer is due; by index of the peer. */
  private final boolean[] isScheduled;

  private boolean isHandlingPeerMessage;

  CancellationPropagation(EventLoop loop, Settings settings, PeerMessenger peers) {
    this.loop = loop;
    this.peers = peers;
    this.peerNames = settings.members().stream().map(Settings.Member::node).toList();
    this.notices =
        new PendingCancellationNotices(peerNames.size(), (long) (settings.cancelS() * 1000));
    this.isScheduled = new boolean[peerNames.size()];
  }

  /**
   * This node learnt of a cancellation: notifies all peers or, where a peer reported it, only the
   * leader.
   */
  void learnt(String job, String leader) {
    for (int peer = 0; peer < peerNames.size(); peer++) {
      if (!isHandlingPeerMessage || peerNames.get(peer).equals(leader)) {
        notices.add(peer, job, loop.now());
        schedule(peer, BATCH_DELAY_MS);
      }
    }
  }

  /** A peer reported cancellations; {@code listener} may call {@link #learnt} for each. */
  void received(List<String> jobs, EndListener listener) {
    isHandlingPeerMessage = true;
    try {
      jobs.forEach(id -> listener.ended(id, false));
    } finally {
      isHandlingPeerMessage = false;
    }
  }

  private void schedule(int peer, long delayMs) {
    if (!isScheduled[peer]) {
      isScheduled[peer] = true;
      loop.after(delayMs, () -> send(peer));
    }
  }

  private void send(int peer) {
    isScheduled[peer] = false;
    List<String> jobs = notices.takeBatch(peer, loop.now());
    if (jobs.isEmpty()) {
      return;
    }
    peers.sendCancelled(
        peer,
        jobs,
        isAccepted -> {
          notices.completeBatch(peer, jobs, isAccepted);
          if (notices.pendingCount(peer) > 0) {
            schedule(peer, isAccepted ? BATCH_DELAY_MS : RETRY_DELAY_MS);
          }
        });
  }
}
