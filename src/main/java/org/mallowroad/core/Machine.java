package org.mallowroad.core;

import it.unimi.dsi.fastutil.ints.Int2DoubleLinkedOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntBidirectionalIterator;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import org.mallowroad.core.health.MachineHealth;

/** A rented machine as the leader knows it. */
public final class Machine {
  /** The cloud's name for it. */
  public final String name;

  /** Its type, zone and kind. */
  public final MachineType type;

  /** Zone index. */
  public final int zone;

  /** True for a spot machine. */
  public final boolean spot;

  /** What is suspected of it; never a proof. */
  public final MachineHealth health;

  /** Where its worker listens, once known. */
  public String address = "";

  /** The peer that brought its newest report, or -1: it came by itself. */
  public int relayPeer = -1;

  /** Session and sequence of the newest message seen; 0 before the first one. */
  public long incarnation;

  /** Sequence of the newest message within the session. */
  public long sequence;

  /** Highest token the worker said it has seen. */
  public long highestTokenSeen;

  /** The token on every message to it: the term, raised now and then ({@link SchedulerState}). */
  public long fencingToken;

  /** The token on the answer to its newest report; 0 before the first one. */
  long lastResponseToken;

  /** When this leader's newest report of it came, or -1. */
  public long lastHeartbeatMs = -1;

  /** When this leader last answered it, which may have renewed its lease, or -1. */
  public long lastResponseMs = -1;

  /** When it was rented or first seen. */
  public long firstSeenMs;

  /** When the cloud will take it, or 0. */
  public long interruptionMs;

  /** When its notice came, or 0. */
  public long interruptionNoticeMs;

  /** True when its worker can hand images on to others, and take them; it said so itself. */
  public boolean servesImages;

  /** No new work goes to it. */
  public boolean draining;

  /** A delete request is to be sent, or was sent and not yet answered. */
  public boolean deleting;

  /** The list said it has failed. */
  public boolean failed;

  /** The gang that this machine is held for: nothing else starts here; null for none. */
  public Job reservedFor;

  /** No new work before this time, after it refused a task. */
  long backoffUntilMs;

  /** Since when it holds nothing, or -1. */
  public long idleSinceMs;

  public final ObjectLinkedOpenHashSet<Attempt> attempts = new ObjectLinkedOpenHashSet<>();

  /**
   * Attempts whose launch was sent straight to the worker, and the token on that message. It may
   * come late, or once more; were the attempt cleared before the worker has seen a higher token, it
   * would start again.
   */
  final Object2LongOpenHashMap<String> unfencedLaunches = new Object2LongOpenHashMap<>();

  /** Since when exited attempts stay uncleared for want of a higher token; -1: none does. */
  long exitsUnclearedSinceMs = -1;

  public final ResourceVector freeResources;
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

  /** True once a report of this leader's term came and work may go to it. */
  public boolean isUsable() {
    return lastHeartbeatMs >= 0 && !draining && !deleting && !failed;
  }

  /** Its unresolved attempts. */
  public Iterable<Attempt> attempts() {
    return attempts;
  }

  /** True when it has no unresolved attempt. */
  public boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** True when the image was fetched here and is most likely still cached. */
  public boolean hasImage(int image) {
    return cachedImages.containsKey(image);
  }

  /** True when the images used since leave it in that part of the cache. */
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

  /** What no unresolved attempt takes: a copy. */
  public ResourceVector copyFreeResources() {
    return new ResourceVector(freeResources.cpus, freeResources.cards, freeResources.memGb);
  }

  /** CPUs that no unresolved attempt takes. */
  public double freeCpus() {
    return freeResources.cpus;
  }

  /** Booked share of the scarcest resource. */
  public double bookedShare() {
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
