package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntBidirectionalIterator;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import org.mallowroad.core.health.MachineHealth;

/**
 * A rented machine as the leader knows it. Times are milliseconds on the process's steady clock.
 */
public final class Machine {
  /** The cloud's name for it. */
  public final String name;

  /** Its type. */
  public final MachineType type;

  /** The index of its zone. */
  public final int zone;

  /** True for a spot machine. */
  public final boolean spot;

  /** What is suspected of it; evidence only, never a proof that an attempt is gone. */
  public final MachineHealth health;

  /** Where its worker takes direct commands; empty until its first heartbeat. */
  public String address = "";

  /** The peer that relayed its newest heartbeat, or -1 when that came directly. */
  public int relayPeer = -1;

  /** The worker's incarnation in the newest heartbeat seen; 0 before the first one. */
  public long incarnation;

  /** The sequence number of the newest heartbeat of that incarnation. */
  public long sequence;

  /** The highest fencing token that the worker said it has seen. */
  public long highestTokenSeen;

  /**
   * The token on every message to it: the term's, raised when {@link HeartbeatReconciler} needs.
   */
  public long fencingToken;

  /** The token on the response to its newest heartbeat; 0 before the first one. */
  long lastResponseToken;

  /** When its newest heartbeat to this leader came, or -1. */
  public long lastHeartbeatMs = -1;

  /** When this leader last responded to it, which may have renewed its lease, or -1. */
  public long lastResponseMs = -1;

  /** When it was rented or first seen. */
  public long firstSeenMs;

  /** When the cloud will take the spot machine back, or 0. */
  public long interruptionMs;

  /** When the notice of that came, or 0. */
  public long interruptionNoticeMs;

  /** True when its worker said that it serves images to others, and fetches from them. */
  public boolean servesImages;

  /** No new work goes to it. */
  public boolean draining;

  /** A delete request is to be sent to the cloud, or its answer has not come yet. */
  public boolean deleting;

  /** The cloud's list said that it has failed. */
  public boolean failed;

  /** The gang that it is reserved for: nothing else starts here; null for none. */
  public Job reservedFor;

  /** No new work before this time, after it refused a launch. */
  long backoffUntilMs;

  /** Since when it has no attempt, or -1 while it has one. */
  public long idleSinceMs;

  /** Its attempts that are not proven gone, in the order in which they were made. */
  public final ObjectLinkedOpenHashSet<Attempt> attempts = new ObjectLinkedOpenHashSet<>();

  /**
   * Attempts whose launch was in a direct command, and the token on it. The command may come late,
   * or once more; were the attempt cleared before the worker has seen a higher token, it would
   * start again.
   */
  final Object2LongOpenHashMap<String> unfencedLaunches = new Object2LongOpenHashMap<>();

  /** Since when exited attempts wait for a higher token to be cleared; -1 when none does. */
  long exitsUnclearedSinceMs = -1;

  /** What no attempt takes. */
  public final ResourceVector freeResources;

  /** Images most likely in its cache and their GB, the least recently used first. */
  final Int2DoubleLinkedOpenHashMap cachedImages = new Int2DoubleLinkedOpenHashMap();

  Machine(String name, MachineType type, int zone, boolean spot, long fencingToken, long now) {
    this.fencingToken = fencingToken;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.freeResources = new ResourceVector(type.cpus(), type.cards(), type.memGb());
    this.health = new MachineHealth(name, zone);
    this.firstSeenMs = now;
    this.idleSinceMs = now;
  }

  /** True once a heartbeat came to this leader, unless the machine drains or has failed. */
  public boolean isUsable() {
    return lastHeartbeatMs >= 0 && !draining && !deleting && !failed;
  }

  /** Its attempts that are not proven gone. */
  public Iterable<Attempt> attempts() {
    return attempts;
  }

  /** True when it has no attempt that is not proven gone. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** True when the image was fetched here and is most likely still cached. */
  public boolean hasImage(int image) {
    return cachedImages.containsKey(image);
  }

  /** True when it and the images used since fill no more than the given share of the cache. */
  public boolean isLikelyCached(int image, double share) {
    double sum = 0;
    for (IntBidirectionalIterator it =
            cachedImages.keySet().iterator(cachedImages.isEmpty() ? 0 : cachedImages.lastIntKey());
        it.hasPrevious(); ) {
      int i = it.previousInt();
      sum += cachedImages.get(i);
      if (i == image) {
        return sum <= share * type.cacheGb();
      }
    }
    return false;
  }

  /** Remembers an image use; the least recently used ones go when the cache is full. */
  public void recordImageUse(int image, double gb) {
    cachedImages.putAndMoveToLast(image, gb);
    double sum = 0;
    for (double g : cachedImages.values()) {
      sum += g;
    }
    while (sum > type.cacheGb() && cachedImages.size() > 1) {
      sum -= cachedImages.removeFirstDouble();
    }
  }

  /** A copy of what no attempt takes. */
  public ResourceVector copyFreeResources() {
    return new ResourceVector(freeResources.cpus, freeResources.cards, freeResources.memGb);
  }

  /** CPUs that no attempt takes. */
  public double freeCpus() {
    return freeResources.cpus;
  }

  /** The share of its scarcest resource that attempts take, from 0 to 1. */
  public double allocatedShare() {
    double b = 1 - freeResources.cpus / type.cpus();
    if (type.memGb() > 0) {
      b = Math.max(b, 1 - freeResources.memGb / type.memGb());
    }
    if (type.cards() > 0) {
      b = Math.max(b, 1 - freeResources.cards / type.cards());
    }
    return b;
  }

  void add(Attempt a) {
    attempts.add(a);
    freeResources.add(a.job.spec, -1);
    idleSinceMs = -1;
  }

  void remove(Attempt a, long now) {
    attempts.remove(a);
    freeResources.add(a.job.spec, 1);
    if (attempts.isEmpty()) {
      // Start again from exact figures so that rounding never adds up.
      freeResources.cpus = type.cpus();
      freeResources.cards = type.cards();
      freeResources.memGb = type.memGb();
      idleSinceMs = now;
    }
  }
}
