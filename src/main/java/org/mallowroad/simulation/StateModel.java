package org.mallowroad.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** Models the state service with its rate limits, latency, outages and refusals of one node. */
final class StateModel extends Network.Party {
  private static final long MIN_LATENCY_US = 2_500;
  private static final byte[] EMPTY_OBJECT = {'{', '}'};

  private final EventQueue eventQueue;
  private final SplittableRandom random;
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private final int callsPerSecond;
  private long windowStartMs;
  private int callsThisSecond;

  private final int writesPerSecond;
  private int writesThisSecond;
  private long writeCount;

  /** Returns how many puts and deletes were requested, those of failed transactions included. */
  long writeCount() {
    return writeCount;
  }

  private long sharedStartWrites;

  /** Returns the number of transactions that wrote shared start records. */
  long sharedStartWrites() {
    return sharedStartWrites;
  }

  /** Factor applied to the usual latency. */
  int slowdownFactor = 1;

  /** While true, all calls get 503 and no lease expires. */
  boolean unavailable;

  /** While true, list requests get 429, as if the rate limit were reached. */
  boolean throttlesLists;

  /** While true, reads of jobs' end records get 429, as if the rate limit were reached. */
  boolean throttlesEndReads;

  /** Index of the one node whose calls get 503, or -1. */
  int refusedNode = -1;

  private record PendingWatch(int node, String target, Network.Reply reply, long untilMs) {}

  StateModel(
      EventQueue eventQueue, SplittableRandom random, int callsPerSecond, int writesPerSecond) {
    super(Network.Kind.STATE, 0, "state", null);
    this.eventQueue = eventQueue;
    this.random = random;
    this.callsPerSecond = callsPerSecond;
    this.writesPerSecond = writesPerSecond;
    scheduleExpiry();
  }

  InMemoryKeyValueStore store() {
    return store;
  }

  /** Ends an outage; all leases get their full duration again. */
  void endOutage() {
    unavailable = false;
    store.renewAllLeases(eventQueue.nowMs());
  }

  private boolean isServing(int node) {
    return !unavailable && node != refusedNode;
  }

  private void scheduleExpiry() {
    eventQueue.schedule(
        50_000,
        this,
        () -> {
          if (!unavailable) {
            store.removeExpiredKeys(eventQueue.nowMs());
            answerWatches();
          }
          scheduleExpiry();
        });
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    eventQueue.schedule(
        (MIN_LATENCY_US + random.nextLong(MIN_LATENCY_US)) * slowdownFactor,
        this,
        () -> serve(from.index, method, target, body, reply));
  }

  private void serve(int node, String method, String target, byte[] body, Network.Reply reply) {
    if (!isServing(node)) {
      reply.answer(503, EMPTY_OBJECT);
      return;
    }
    if (eventQueue.nowMs() - windowStartMs >= 1_000) {
      windowStartMs = eventQueue.nowMs();
      callsThisSecond = 0;
      writesThisSecond = 0;
    }
    if (++callsThisSecond > callsPerSecond
        || (throttlesLists && target.startsWith("/kv?"))
        || (throttlesEndReads && target.startsWith("/kv/end/"))) {
      reply.answer(429, EMPTY_OBJECT);
      return;
    }
    try {
      long revisionBefore = store.revision();
      if (target.equals("/multi")) {
        int requestWrites = Json.parseObject(body).path(Fields.WRITES).size();
        writeCount += requestWrites;
        writesThisSecond += requestWrites;
        sharedStartWrites += new String(body, UTF_8).contains("\"put\":\"starts/") ? 1 : 0;
        if (writesThisSecond > writesPerSecond) {
          reply.answer(429, EMPTY_OBJECT);
          return;
        }
      }
      InMemoryKeyValueStore.Response answer = store.serve(method, target, body, eventQueue.nowMs());
      if (answer == null) {
        long blockMs = InMemoryKeyValueStore.watchTimeoutMs(target);
        pendingWatches.add(new PendingWatch(node, target, reply, eventQueue.nowMs() + blockMs));
      } else {
        reply.answer(answer.status(), Json.toBytes(answer.body()));
      }
      if (store.revision() != revisionBefore) {
        answerWatches();
      }
    } catch (InvalidMessageException e) {
      reply.answer(400, EMPTY_OBJECT);
    }
  }

  private void answerWatches() {
    for (Iterator<PendingWatch> iterator = pendingWatches.iterator(); iterator.hasNext(); ) {
      PendingWatch watch = iterator.next();
      if (!isServing(watch.node)) {
        continue;
      }
      try {
        InMemoryKeyValueStore.Response answer =
            store.serve("GET", watch.target, EMPTY_OBJECT, eventQueue.nowMs());
        if (answer == null && eventQueue.nowMs() >= watch.untilMs) {
          answer = store.emptyWatchResponse();
        }
        if (answer != null) {
          iterator.remove();
          watch.reply.answer(answer.status(), Json.toBytes(answer.body()));
        }
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
