package org.mallowroad.controller;

import java.util.function.BooleanSupplier;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * Enables shared attempt records once every controller can read them.
 *
 * <p>A leader of an earlier build cannot read shared records, so it would start tasks again whose
 * attempts are stored only there. Therefore shared records are written only after every other
 * controller has confirmed that its build reads them. This also holds during a rolling deployment.
 * Runs on the event loop only.
 */
final class SharedRecordRollout {
  private static final long RETRY_INTERVAL_MS = 1_000;

  private final EventLoop loop;
  private final PeerMessenger peers;

  /** Whether a peer has confirmed that its build reads shared records, indexed by peer. */
  private final boolean[] isSupportedByPeer;

  SharedRecordRollout(EventLoop loop, PeerMessenger peers) {
    this.loop = loop;
    this.peers = peers;
    this.isSupportedByPeer = new boolean[peers.peerCount()];
  }

  /**
   * Asks the peers repeatedly until all support shared records, then enables them; stops when the
   * term ends.
   */
  void enableWhenSupported(Leader leader, BooleanSupplier isCurrentTerm) {
    if (!isCurrentTerm.getAsBoolean()) {
      return;
    }
    boolean isSupportedByAll = true;
    for (int i = 0; i < isSupportedByPeer.length; i++) {
      if (!isSupportedByPeer[i]) {
        isSupportedByAll = false;
        int peer = i;
        peers.checkSharedAttemptRecordSupport(
            peer, isSupported -> isSupportedByPeer[peer] |= isSupported);
      }
    }
    if (isSupportedByAll) {
      leader.enableSharedAttemptRecords();
    } else {
      loop.after(RETRY_INTERVAL_MS, () -> enableWhenSupported(leader, isCurrentTerm));
    }
  }
}
