package org.mallowroad.controller;

import java.util.function.BooleanSupplier;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * Enables shared records of starts once every controller reads them.
 *
 * <p>A leader of an earlier build would start again tasks whose attempts are in shared records
 * only. So they are written only once every other controller has said that its build reads them,
 * also while a deployment is rolled out. Runs on the event loop only.
 */
final class SharedRecordRollout {
  private static final long RETRY_INTERVAL_MS = 1_000;

  private final EventLoop loop;
  private final PeerMessenger peers;

  /** Which peers have said that their build reads shared records; by index of the peer. */
  private final boolean[] isSupportedByPeer;

  SharedRecordRollout(EventLoop loop, PeerMessenger peers) {
    this.loop = loop;
    this.peers = peers;
    this.isSupportedByPeer = new boolean[peers.peerCount()];
  }

  /** Asks the peers until all support shared records, then enables them, while the term lasts. */
  void enable(Leader leader, BooleanSupplier isCurrentTerm) {
    if (!isCurrentTerm.getAsBoolean()) {
      return;
    }
    boolean isSupportedByAll = true;
    for (int p = 0; p < isSupportedByPeer.length; p++) {
      if (!isSupportedByPeer[p]) {
        isSupportedByAll = false;
        int peer = p;
        peers.readsSharedStarts(peer, yes -> isSupportedByPeer[peer] |= yes);
      }
    }
    if (isSupportedByAll) {
      leader.enableSharedAttemptRecords();
    } else {
      loop.after(RETRY_INTERVAL_MS, () -> enable(leader, isCurrentTerm));
    }
  }
}
