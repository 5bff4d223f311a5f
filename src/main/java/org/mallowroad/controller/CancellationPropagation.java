package org.mallowroad.controller;

import java.util.List;
import org.mallowroad.config.Settings;
import org.mallowroad.core.cancellation.PendingCancellationNotices;
import org.mallowroad.net.EventLoop;
import org.mallowroad.peer.PeerMessenger;

/**
 * Tells the other controllers of cancellations that this one learnt of, until they have taken it or
 * {@code cancel_s} is over: by then the leases have done the same. What a peer told goes on to the
 * leader alone, once, since its sender may not reach it.
 */
final class CancellationPropagation {
  /** Cancellations come together; those of a moment share a message. */
  private static final long GATHER_MS = 20;

  /** What was not taken is told again so much later. */
  private static final long AGAIN_MS = 500;

  /** Takes the end of a job as a fact. */
  interface EndListener {
    void ended(String id, boolean done);
  }

  private final EventLoop loop;
  private final PeerMessenger peers;
  private final List<String> names;
  private final PendingCancellationNotices notices;
  private final boolean[] soon;
  private boolean hearing;

  CancellationPropagation(EventLoop loop, Settings settings, PeerMessenger peers) {
    this.loop = loop;
    this.peers = peers;
    this.names = settings.members().stream().map(Settings.Member::node).toList();
    this.notices = new PendingCancellationNotices(names.size(), (long) (settings.cancelS() * 1000));
    this.soon = new boolean[names.size()];
  }

  /** This node learnt of it: all have to hear; or by a peer's word: whoever leads has to. */
  void learnt(String id, String leader) {
    for (int p = 0; p < names.size(); p++) {
      if (!hearing || names.get(p).equals(leader)) {
        notices.learnt(p, id, loop.now());
        tell(p, GATHER_MS);
      }
    }
  }

  /** A peer's word. */
  void heard(List<String> jobs, EndListener ends) {
    hearing = true;
    try {
      jobs.forEach(id -> ends.ended(id, false));
    } finally {
      hearing = false;
    }
  }

  private void tell(int peer, long ms) {
    if (soon[peer]) {
      return;
    }
    soon[peer] = true;
    loop.after(
        ms,
        () -> {
          soon[peer] = false;
          List<String> jobs = notices.take(peer, loop.now());
          if (!jobs.isEmpty()) {
            peers.cancelled(
                peer,
                jobs,
                taken -> {
                  notices.answered(peer, jobs, taken);
                  if (notices.untold(peer) > 0) {
                    tell(peer, taken ? GATHER_MS : AGAIN_MS);
                  }
                });
          }
        });
  }
}
