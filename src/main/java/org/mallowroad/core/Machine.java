package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntBidirectionalIterator;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import org.mallowroad.core.health.MachineHealth;

/**
 * A rented machine as known to the leader. Times are milliseconds on the process's monotonic clock.
 */
public final class Machine {
  /** The name that the cloud assigned. */
  public final String name;

  public final MachineType type;

  /** The index of its zone. */
  public final int zone;

  /** True for a spot machine. */
  public final boolean spot;

  /** Health evidence about the machine; never a proof that an attempt is gone. */
  public final MachineHealth health;

  /** Address at which the worker accepts direct commands; empty until the first heartbeat. */
  public String address = "";

  /** Index of the peer that relayed the latest heartbeat; -1 when it came directly. */
  public int relayPeer = -1;

  /** The highest worker incarnation seen; 0 before the first heartbeat. */
  public long incarnation;

  /** The highest heartbeat sequence number seen of that incarnation. */
  public long sequence;

  /**
   * The highest sequence number of that incarnation among the heartbeats that the worker sent by
   * itself, that is without those in answers to direct commands; 0 before the first one.
   */
  long reportSequence;

  /** The highest fencing token that the worker has acknowledged in a heartbeat. */
  public long highestTokenSeen;

  /**
   * The fencing token of every message to the machine: the term's first token, or a higher one
   * after {@link HeartbeatReconciler} raised it.
   */
  public long fencingToken;

  /** The fencing token of the latest heartbeat response; 0 before the first one. */
  long lastResponseToken;

  /** Time of the latest heartbeat that this leader received, or -1. */
  public long lastHeartbeatMs = -1;

  /** How the latest heartbeat reached this leader. */
  HeartbeatSource lastHeartbeatSource = HeartbeatSource.REPORT;

  /** What this leader knows of the worker's lease. */
  final WorkerLease lease;

  /** Time at which the machine was rented or first seen. */
  public long firstSeenMs;

  /** Time at which the cloud will reclaim the spot machine, or 0. */
  public long interruptionMs;

  /** Time at which the interruption notice arrived, or 0. */
  public long interruptionNoticeMs;

  /** True when the worker serves images to other workers and fetches images from them. */
  public boolean servesImages;

  /** True when the machine gets no new work. */
  public boolean draining;

  /** True when a delete request is due or its response is outstanding. */
  public boolean deleting;

  /** True once the cloud's machine list reported the machine as failed. */
  public boolean failed;

  /** The gang that the machine is reserved for; no other job's task starts here. Null for none. */
  public Job reservedFor;

  /** End of the backoff after the worker refused a launch: no new work before this time. */
  long backoffUntilMs;

  /** Time since which the machine has no attempts; -1 while it has some. */
  public long idleSinceMs;

  /** Attempts on this machine that are not proven gone, in the order of their creation. */
  public final ObjectLinkedOpenHashSet<Attempt> attempts = new ObjectLinkedOpenHashSet<>();

  /**
   * Fencing tokens of launches that were sent in direct commands, by attempt key. Such a command
   * may arrive late or as a duplicate; if the attempt were cleared before the worker has seen a
   * higher token, the command would start it again.
   */
  final Object2LongOpenHashMap<String> unfencedLaunches = new Object2LongOpenHashMap<>();

  /** Time since which an exited attempt waits for a higher token to be cleared; -1 for none. */
  long exitsAwaitingTokenSinceMs = -1;

  /** Resources that no attempt occupies. */
  public final ResourceVector freeResources;

  /** Sizes in GB of the images that are probably cached, least recently used first. */
  final Int2DoubleLinkedOpenHashMap cachedImages = new Int2DoubleLinkedOpenHashMap();

  Machine(String name, MachineType type, int zone, boolean spot, long fencingToken, long now) {
    this.fencingToken = fencingToken;
    this.lease = new WorkerLease(fencingToken);
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.freeResources = new ResourceVector(type.cpus(), type.cards(), type.memGb());
    this.health = new MachineHealth(name, zone);
    this.firstSeenMs = now;
    this.idleSinceMs = now;
  }

  /**
   * True once this leader received a heartbeat, unless the machine is draining, being deleted or
   * failed.
   */
  public boolean isUsable() {
    return lastHeartbeatMs >= 0 && !draining && !deleting && !failed;
  }

  /**
   * Records that this leader responds to a heartbeat of the machine, which may renew the lease of
   * the worker's session. Must be called for every response, also for one to a late heartbeat.
   *
   * @param session the session that the heartbeat belongs to
   */
  public void recordResponse(long session, long now) {
    lease.recordResponse(session, now);
  }

  /** How the latest heartbeat reached this leader. */
  public HeartbeatSource lastHeartbeatSource() {
    return lastHeartbeatSource;
  }

  /** True once the cloud has announced to reclaim the spot machine: no task is launched here. */
  public boolean isInterrupted() {
    return interruptionMs != 0;
  }

  /** Attempts on this machine that are not proven gone, in the order of their creation. */
  public Iterable<Attempt> attempts() {
    return attempts;
  }

  /** True when all attempts on this machine are proven gone. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** True when the image was used here and is probably still cached. */
  public boolean hasImage(int image) {
    return cachedImages.containsKey(image);
  }

  /** True when the image and those used since fill no more than the given share of the cache. */
  public boolean isLikelyCached(int image, double maxCacheShare) {
    double totalGb = 0;
    for (IntBidirectionalIterator mostRecentFirst =
            cachedImages.keySet().iterator(cachedImages.isEmpty() ? 0 : cachedImages.lastIntKey());
        mostRecentFirst.hasPrevious(); ) {
      int cachedImage = mostRecentFirst.previousInt();
      totalGb += cachedImages.get(cachedImage);
      if (cachedImage == image) {
        return totalGb <= maxCacheShare * type.cacheGb();
      }
    }
    return false;
  }

  /**
   * Records the use of an image, and evicts the least recently used images if the cache is full.
   */
  public void recordImageUse(int image, double gb) {
    cachedImages.putAndMoveToLast(image, gb);
    double totalGb = 0;
    for (double cachedGb : cachedImages.values()) {
      totalGb += cachedGb;
    }
    while (totalGb > type.cacheGb() && cachedImages.size() > 1) {
      totalGb -= cachedImages.removeFirstDouble();
    }
  }

  /** A copy of the free resources. */
  public ResourceVector copyFreeResources() {
    return new ResourceVector(freeResources.cpus, freeResources.cards, freeResources.memGb);
  }

  /** Free CPUs. */
  public double freeCpus() {
    return freeResources.cpus;
  }

  /** Allocated share of the machine's most heavily allocated resource, from 0 to 1. */
  public double allocatedShare() {
    double share = 1 - freeResources.cpus / type.cpus();
    if (type.memGb() > 0) {
      share = Math.max(share, 1 - freeResources.memGb / type.memGb());
    }
    if (type.cards() > 0) {
      share = Math.max(share, 1 - freeResources.cards / type.cards());
    }
    return share;
  }

  void add(Attempt attempt) {
    attempts.add(attempt);
    freeResources.add(attempt.job.spec, -1);
    idleSinceMs = -1;
  }

  void remove(Attempt attempt, long now) {
    attempts.remove(attempt);
    freeResources.add(attempt.job.spec, 1);
    if (attempts.isEmpty()) {
      // Reset to the exact capacity so that rounding errors do not accumulate.
      freeResources.cpus = type.cpus();
      freeResources.cards = type.cards();
      freeResources.memGb = type.memGb();
      idleSinceMs = now;
    }
  }
}
