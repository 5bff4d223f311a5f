package org.mallowroad;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** A clock, a store and loops of processes on it; each call to the store takes a millisecond. */
public final class VirtualTimeHarness {
  private record Due(long ms, long sequence, Runnable task) {}

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::ms).thenComparingLong(Due::sequence));

  /** What the state service keeps. */
  public final InMemoryKeyValueStore store = new InMemoryKeyValueStore();

  /** The time. */
  public long nowMs = 1_000;

  /** Transactions are done, and nobody hears of it. */
  public boolean loseTransactionResponses;

  /** So many transactions are done next of which nobody hears. */
  public int transactionResponsesToLose;

  /** Puts and deletes that were asked for. */
  public int requestedWrites;

  /** While above the time, each call gets 429. */
  public long rateLimitedUntilMs;

  /** A transaction that fails names the first condition only. */
  public boolean reportFirstFailureOnly;

  /** Runs before the next transaction. */
  public Runnable beforeTransaction = () -> {};

  /** Calls that reached the service. */
  public int receivedCalls;

  private long sequence;

  /** Plays for a while. */
  public void advance(long ms) {
    long until = nowMs + ms;
    while (!due.isEmpty() && due.peek().ms() <= until) {
      Due d = due.poll();
      nowMs = Math.max(nowMs, d.ms());
      store.expire(nowMs);
      d.task().run();
    }
    nowMs = until;
    store.expire(nowMs);
  }

  /** Does a call to the store from outside of any process. */
  public InMemoryKeyValueStore.Answer callStore(String method, String path, String body) {
    try {
      return store.serve(
          method, path, body.getBytes(java.nio.charset.StandardCharsets.UTF_8), nowMs);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** One process. */
  public final class Process extends EventLoop implements RequestSender {
    /** Nothing of it runs any more. */
    public boolean crashed;

    @Override
    public long nanos() {
      return nowMs * 1_000_000;
    }

    @Override
    public long wallMs() {
      return 1_000_000 + nowMs;
    }

    @Override
    protected void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    protected Timer schedule(long ms, Runnable task) {
      due.add(
          new Due(
              nowMs + ms,
              sequence++,
              () -> {
                if (!crashed) {
                  task.run();
                }
              }));
      return () -> true;
    }

    @Override
    public void call(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
      after(1, () -> serve(method, path, body, timeoutMs, answer));
    }

    private static int writes(byte[] body) {
      try {
        return Json.parseObject(body).path("writes").size();
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }

    private void serve(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
      receivedCalls++;
      boolean multi = path.equals("/multi");
      if (nowMs < rateLimitedUntilMs) {
        answer.answered(429, new byte[0]);
        return;
      }
      if (multi) {
        beforeTransaction.run();
        requestedWrites += writes(body);
      }
      try {
        InMemoryKeyValueStore.Answer a =
            store.serve(method, path, body == null ? new byte[0] : body, nowMs);
        if (a == null) {
          // A watch that waits: asked again until something has changed.
          after(50, () -> serve(method, path, body, timeoutMs - 50, answer));
        } else if (multi && (loseTransactionResponses || transactionResponsesToLose-- > 0)) {
          after(timeoutMs, () -> answer.failed(true));
        } else {
          if (reportFirstFailureOnly && a.status() == 409) {
            ArrayNode failed = (ArrayNode) a.body().get("failed");
            while (failed.size() > 1) {
              failed.remove(1);
            }
          }
          answer.answered(a.status(), Json.toBytes(a.body()));
        }
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
