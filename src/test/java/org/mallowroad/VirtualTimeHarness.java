package org.mallowroad;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Runs the event loops of simulated processes and an in-memory state service in virtual time. Each
 * request reaches the service one millisecond after it was sent.
 */
public final class VirtualTimeHarness {
  private record ScheduledTask(long dueMs, long sequence, Runnable task) {}

  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::dueMs)
              .thenComparingLong(ScheduledTask::sequence));

  /** The contents of the state service. */
  public final InMemoryKeyValueStore store = new InMemoryKeyValueStore();

  /** The current virtual time in ms. */
  public long nowMs = 1_000;

  /** While true, transactions are executed but their responses are lost. */
  public boolean loseTransactionResponses;

  /** Number of next transactions that are executed but whose responses are lost. */
  public int transactionResponsesToLose;

  /** Number of puts and deletes requested in transactions. */
  public int requestedWrites;

  /** Until this virtual time, every request is rejected with status 429. */
  public long rateLimitedUntilMs;

  /** When true, a failed transaction reports only its first failed condition. */
  public boolean reportFirstFailureOnly;

  /** Runs before each transaction. */
  public Runnable beforeTransaction = () -> {};

  /** Number of requests that reached the service, rejected ones and polls of watches included. */
  public int receivedCalls;

  private long sequence;

  /** Advances the virtual time and runs the tasks that become due. */
  public void advance(long durationMs) {
    long endMs = nowMs + durationMs;
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().dueMs() <= endMs) {
      ScheduledTask next = scheduledTasks.poll();
      nowMs = Math.max(nowMs, next.dueMs());
      store.removeExpiredKeys(nowMs);
      next.task().run();
    }
    nowMs = endMs;
    store.removeExpiredKeys(nowMs);
  }

  /** Sends a request to the store that belongs to no process; it takes no virtual time. */
  public InMemoryKeyValueStore.Response callStore(String method, String path, String body) {
    try {
      return store.serve(
          method, path, body.getBytes(java.nio.charset.StandardCharsets.UTF_8), nowMs);
    } catch (InvalidMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A simulated process: an event loop and a client of the state service. */
  public final class Process extends EventLoop implements RequestSender {
    /** When true, no task of this process runs any more. */
    public boolean crashed;

    @Override
    public long nanoTime() {
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
    protected Timer schedule(long delayMs, Runnable task) {
      scheduledTasks.add(
          new ScheduledTask(
              nowMs + delayMs,
              sequence++,
              () -> {
                if (!crashed) {
                  task.run();
                }
              }));
      return () -> true;
    }

    @Override
    public void send(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      after(1, () -> callStore(method, path, body, timeoutMs, handler));
    }

    private static int countWrites(byte[] body) {
      try {
        return Json.parseObject(body).path("writes").size();
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }

    private void callStore(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      receivedCalls++;
      boolean isTransaction = path.equals("/multi");
      if (nowMs < rateLimitedUntilMs) {
        handler.onResponse(429, new byte[0]);
        return;
      }
      if (isTransaction) {
        beforeTransaction.run();
        requestedWrites += countWrites(body);
      }
      try {
        InMemoryKeyValueStore.Response response =
            store.serve(method, path, body == null ? new byte[0] : body, nowMs);
        if (response == null) {
          // A watch without changes yet; polled again until there is one.
          after(50, () -> callStore(method, path, body, timeoutMs - 50, handler));
        } else if (isTransaction
            && (loseTransactionResponses || transactionResponsesToLose-- > 0)) {
          after(timeoutMs, () -> handler.onFailure(true));
        } else {
          if (reportFirstFailureOnly && response.status() == 409) {
            ArrayNode failedConditions = (ArrayNode) response.body().get("failed");
            while (failedConditions.size() > 1) {
              failedConditions.remove(1);
            }
          }
          handler.onResponse(response.status(), Json.toBytes(response.body()));
        }
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
