package org.mallowroad.core.cancellation;

import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Cancellation notices that a node still has to send to its peers.
 *
 * <p>A cancellation is final, so a notice of it is true whenever and however often it arrives. No
 * guarantee depends on its arrival: {@link CancellationView} alone bounds how long cancelled tasks
 * run. Notices are therefore bounded in number and in time.
 *
 * <p>Peers are dense indices. Not thread-safe: confined to the controller's event loop.
 */
public final class PendingCancellationNotices {
  /** Most notices that are kept for a peer; beyond, the oldest are dropped. */
  public static final int MAX_PENDING = 2_000;

  /** Most jobs in one message: at 16 bytes an id far below the size limit of peer messages. */
  public static final int MAX_BATCH = 500;

  private final long expiryMs;

  /** For each peer the jobs to send with the times at which they were added, oldest first. */
  private final List<Object2LongLinkedOpenHashMap<String>> pending = new ArrayList<>();

  /** For each peer whether a message is on its way. */
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

  /** Adds a notice of a cancelled job for each peer. */
  public void add(String job, long now) {
    for (int peer = 0; peer < pending.size(); peer++) {
      add(peer, job, now);
    }
  }

  /** Adds a notice of a cancelled job for one peer. */
  public void add(int peer, String job, long now) {
    Object2LongLinkedOpenHashMap<String> jobs = pending.get(peer);
    jobs.putIfAbsent(job, now);
    if (jobs.size() > MAX_PENDING) {
      jobs.removeFirstLong();
    }
  }

  /**
   * Takes the jobs of the next message to a peer; empty when there are none, or while an earlier
   * message is on its way. A batch that is not empty ends with {@link #completeBatch}.
   */
  public List<String> takeBatch(int peer, long now) {
    Object2LongLinkedOpenHashMap<String> jobs = pending.get(peer);
    while (!jobs.isEmpty() && now - jobs.getLong(jobs.firstKey()) > expiryMs) {
      jobs.removeFirstLong();
    }
    if (sending[peer] || jobs.isEmpty()) {
      return List.of();
    }
    sending[peer] = true;
    List<String> batch = new ArrayList<>();
    for (Object2LongMap.Entry<String> entry : jobs.object2LongEntrySet()) {
      if (batch.size() >= MAX_BATCH) {
        break;
      }
      batch.add(entry.getKey());
    }
    return batch;
  }

  /** Ends a message to a peer; its jobs are sent again unless they were acknowledged. */
  public void completeBatch(int peer, List<String> jobs, boolean acknowledged) {
    sending[peer] = false;
    if (acknowledged) {
      jobs.forEach(pending.get(peer)::removeLong);
    }
  }

  /** Number of notices that are kept for a peer. */
  public int pendingCount(int peer) {
    return pending.get(peer).size();
  }
}
