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

/** The state service: slow, out, or refusing one node, within its limits of calls. */
final class StateModel extends Network.Party {
  private static final long USUAL_US = 2_500;
  private static final byte[] EMPTY = {'{', '}'};

  private final EventQueue time;
  private final SplittableRandom random;
  private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
  private final List<PendingWatch> watches = new ArrayList<>();
  private final int rps;
  private long secondMs;
  private int calls;

  private final int writesPerSecond;
  private int writesThisSecond;
  private long writeCount;

  /** Puts and deletes asked for so far, those of failed transactions too. */
  long writeCount() {
    return writeCount;
  }

  private long sharedStartWrites;

  /** Transactions that wrote shared records of starts. */
  long sharedStartWrites() {
    return sharedStartWrites;
  }

  /** How many times slower than usual it is. */
  int slowdownFactor = 1;

  /** Nobody is served. */
  boolean unavailable;

  /** Listings are refused as one call too many. */
  boolean throttlesLists;

  /** Readings of how a job ended are refused as one call too many. */
  boolean throttlesEndReads;

  /** The node that alone is not served, or -1. */
  int refusedNode = -1;

  private record PendingWatch(int node, String target, Network.Reply reply, long untilMs) {}

  StateModel(EventQueue time, SplittableRandom random, int rps, int writesPerSecond) {
    super(Network.Kind.STATE, 0, "state", null);
    this.time = time;
    this.random = random;
    this.rps = rps;
    this.writesPerSecond = writesPerSecond;
    tick();
  }

  InMemoryKeyValueStore store() {
    return store;
  }

  /** The outage is over: leases have their full time again. */
  void endOutage() {
    unavailable = false;
    store.renewAllLeases(time.nowMs());
  }

  private boolean serves(int node) {
    return !unavailable && node != refusedNode;
  }

  private void tick() {
    time.schedule(
        50_000,
        this,
        () -> {
          if (!unavailable) {
            store.removeExpiredKeys(time.nowMs());
            wake();
          }
          tick();
        });
  }

  @Override
  void handleRequest(
      Network.Party from, String method, String target, byte[] body, Network.Reply reply) {
    time.schedule(
        (USUAL_US + random.nextLong(USUAL_US)) * slowdownFactor,
        this,
        () -> serve(from.index, method, target, body, reply));
  }

  private void serve(int node, String method, String target, byte[] body, Network.Reply reply) {
    if (!serves(node)) {
      reply.answer(503, EMPTY);
      return;
    }
    if (time.nowMs() - secondMs >= 1_000) {
      secondMs = time.nowMs();
      calls = 0;
      writesThisSecond = 0;
    }
    if (++calls > rps
        || (throttlesLists && target.startsWith("/kv?"))
        || (throttlesEndReads && target.startsWith("/kv/end/"))) {
      reply.answer(429, EMPTY);
      return;
    }
    try {
      long before = store.revision();
      if (target.equals("/multi")) {
        int more = Json.parseObject(body).path(Fields.WRITES).size();
        writeCount += more;
        writesThisSecond += more;
        sharedStartWrites += new String(body, UTF_8).contains("\"put\":\"starts/") ? 1 : 0;
        if (writesThisSecond > writesPerSecond) {
          reply.answer(429, EMPTY);
          return;
        }
      }
      InMemoryKeyValueStore.Response a = store.serve(method, target, body, time.nowMs());
      if (a == null) {
        long block = InMemoryKeyValueStore.watchTimeoutMs(target);
        watches.add(new PendingWatch(node, target, reply, time.nowMs() + block));
      } else {
        reply.answer(a.status(), Json.toBytes(a.body()));
      }
      if (store.revision() != before) {
        wake();
      }
    } catch (InvalidMessageException e) {
      reply.answer(400, EMPTY);
    }
  }

  private void wake() {
    for (Iterator<PendingWatch> it = watches.iterator(); it.hasNext(); ) {
      PendingWatch w = it.next();
      if (!serves(w.node)) {
        continue;
      }
      try {
        InMemoryKeyValueStore.Response a = store.serve("GET", w.target, EMPTY, time.nowMs());
        if (a == null && time.nowMs() >= w.untilMs) {
          a = store.emptyWatchResponse();
        }
        if (a != null) {
          it.remove();
          w.reply.answer(a.status(), Json.toBytes(a.body()));
        }
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
