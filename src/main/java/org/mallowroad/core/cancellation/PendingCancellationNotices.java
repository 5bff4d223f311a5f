package org.mallowroad.core.cancellation;

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Cancellation notices that a node still has to send to its peers.
 *
 * <p>A cancellation is final, so its notice is valid however late and however often it arrives. No
 * guarantee depends on its delivery, since {@link CancellationView} alone bounds how long cancelled
 * tasks run. The number of notices and the time that they are kept are therefore bounded.
 *
 * <p>Peers are identified by dense indices. Not thread-safe: confined to the controller's event
 * loop.
 */
public final class PendingCancellationNotices {
  /** Most notices that are kept for a peer; when there are more, the oldest are dropped. */
  public static final int MAX_PENDING = 2_000;

  /** Most jobs in one message; with ids of 16 bytes far below the size limit of peer messages. */
  public static final int MAX_BATCH = 500;

  private final long expiryMs;

  /** By peer: the ids of the jobs to send, and the times at which they were added; oldest first. */
  private final List<Object2LongLinkedOpenHashMap<String>> pending = new ArrayList<>();

  /** By peer: whether a message was sent and is not completed yet. */
  private final boolean[] sending;

  /**
   * Creates an empty set of notices.
   *
   * @param peers number of peers
   * @param expiryMs notices that are not acknowledged for this long are dropped
   */
  public PendingCancellationNotices(int peers, long expiryMs) {
    this.expiryMs = expiryMs;
    this.sending = new boolean[peers];
    for (int peer = 0; peer < peers; peer++) {
      pending.add(new Object2LongLinkedOpenHashMap<>());
    }
  }

  /** Adds a notice of a cancelled job for all peers. */
  public void add(String jobId, long now) {
    for (int peer = 0; peer < pending.size(); peer++) {
      add(peer, jobId, now);
    }
  }

  /** Adds a notice of a cancelled job for one peer. */
  public void add(int peer, String jobId, long now) {
    Object2LongLinkedOpenHashMap<String> jobIds = pending.get(peer);
    jobIds.putIfAbsent(jobId, now);
    if (jobIds.size() > MAX_PENDING) {
      jobIds.removeFirstLong();
    }
  }

  /**
   * Returns the ids of the jobs of the next message to a peer. The batch is empty when there are no
   * notices, or while an earlier message to the peer is not completed. The caller must complete
   * each batch that is not empty by {@link #completeBatch}.
   */
  public List<String> takeBatch(int peer, long now) {
    Object2LongLinkedOpenHashMap<String> jobIds = pending.get(peer);
    while (!jobIds.isEmpty() && now - jobIds.getLong(jobIds.firstKey()) > expiryMs) {
      jobIds.removeFirstLong();
    }
    if (sending[peer] || jobIds.isEmpty()) {
      return List.of();
    }
    sending[peer] = true;
    List<String> batch = new ArrayList<>();
    for (Object2LongMap.Entry<String> entry : jobIds.object2LongEntrySet()) {
      if (batch.size() >= MAX_BATCH) {
        break;
      }
      batch.add(entry.getKey());
    }
    return batch;
  }

  /** Completes a message to a peer; its jobs are sent again unless the peer acknowledged them. */
  public void completeBatch(int peer, List<String> jobIds, boolean acknowledged) {
    sending[peer] = false;
    if (acknowledged) {
      jobIds.forEach(pending.get(peer)::removeLong);
    }
  }

  /** Number of notices that are still to be sent to a peer, or not acknowledged. */
  public int pendingCount(int peer) {
    return pending.get(peer).size();
  }
}
