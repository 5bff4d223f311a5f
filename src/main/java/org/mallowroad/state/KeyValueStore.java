package org.mallowroad.state;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the state service. Each call reports exactly one outcome to its listener, on the
 * event loop, and never throws.
 *
 * <p>Confined to the event loop.
 */
public final class KeyValueStore {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueStore.class);

  /** Time-out of a call. */
  private static final long TIMEOUT_MS = 1500;

  /** Time-out of each page of a list, longer because a response may be half a megabyte. */
  private static final long LIST_TIMEOUT_MS = 2 * TIMEOUT_MS;

  /** Maximum number of items per page; a limit of the service. */
  private static final int PAGE_ITEMS = 1_000;

  /** Maximum number of retries per page of a list. */
  private static final int MAX_PAGE_RETRIES = 3;

  private static final long PAGE_RETRY_DELAY_MS = 200;

  /**
   * How long no transaction is retried after the service refused a call because of its rate limit.
   */
  private static final long THROTTLED_BACKOFF_MS = 1_000;

  /** Default limit of transaction retries per second. */
  private static final double DEFAULT_RETRIES_PER_S = 6;

  /** Burst size of the retry limiter, in seconds of its rate. */
  private static final double RETRY_BURST_S = 2;

  private final EventLoop loop;
  private final RequestSender sender;
  private final RequestSender watchSender;
  private final ServiceHealth health;
  private RateLimiter retryLimiter;

  /** Receives the outcome of a read. */
  public interface ReadListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK} or {@link CallResult#NOT_EXECUTED}
     * @param item the item (version 0 when the key does not exist) if the result is {@code OK},
     *     otherwise null
     */
    void onRead(CallResult result, VersionedValue item);
  }

  /** Receives the outcome of a transaction. */
  public interface TransactionListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK}, {@link CallResult#CONDITION_FAILED}, {@link
     *     CallResult#NOT_EXECUTED} or {@link CallResult#UNKNOWN}
     * @param revision the new version of all written keys if the result is {@code OK}
     * @param failedKeys keys whose conditions did not hold if the result is {@code
     *     CONDITION_FAILED}; the service may name only the first one, or none
     */
    void onOutcome(CallResult result, long revision, List<String> failedKeys);
  }

  /** Receives the outcome of a list. */
  public interface ListListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK} or {@link CallResult#NOT_EXECUTED}
     * @param items the items in key order if the result is {@code OK}
     * @param revision the service's revision at the time of the first page if the result is {@code
     *     OK}
     */
    void onList(CallResult result, List<VersionedValue> items, long revision);
  }

  /** Receives the outcome of a lease call. */
  public interface LeaseListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK}, {@link CallResult#LEASE_EXPIRED}, {@link
     *     CallResult#NOT_EXECUTED} or {@link CallResult#UNKNOWN}
     * @param lease the lease if the result is {@code OK}
     */
    void onLease(CallResult result, long lease);
  }

  /** Receives the outcome of a watch. */
  public interface WatchListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK}, {@link CallResult#REVISION_COMPACTED} or {@link
     *     CallResult#NOT_EXECUTED}
     * @param events the changes, oldest first, if the result is {@code OK}; empty if the wait time
     *     passed without a change
     * @param revision the revision from which to continue watching if the result is {@code OK}
     */
    void onEvents(CallResult result, List<VersionedValue> events, long revision);
  }

  /** Receives the outcome of a request for one page of a list. */
  private interface PageListener {
    void onPage(ObjectNode body) throws InvalidMessageException;

    void onFailure();
  }

  /**
   * Creates a client of one state service.
   *
   * @param sender sends all calls except watches
   * @param watchSender sends watches separately, so that they never delay other calls
   */
  public KeyValueStore(EventLoop loop, RequestSender sender, RequestSender watchSender) {
    this.loop = loop;
    this.sender = sender;
    this.watchSender = watchSender;
    this.health = new ServiceHealth(loop);
    setRetriesPerSecond(DEFAULT_RETRIES_PER_S);
  }

  /** Sets the rate limit for retries of transactions whose responses are late. */
  public void setRetriesPerSecond(double perSecond) {
    retryLimiter = new RateLimiter(perSecond, RETRY_BURST_S * perSecond, loop.now());
  }

  /** Returns the health of the service, as observed through the calls of this client. */
  public ServiceHealth health() {
    return health;
  }

  /** Reads a key. */
  public void get(String key, ReadListener listener) {
    sender.send(
        "GET",
        StateServiceCodec.keyPath(key),
        null,
        TIMEOUT_MS,
        new CallHandler(health, loop.now()) {
          @Override
          void onResponse(int status, ObjectNode body) throws InvalidMessageException {
            switch (status) {
              case HttpStatus.OK -> listener.onRead(CallResult.OK, StateServiceCodec.item(body));
              case HttpStatus.NOT_FOUND ->
                  listener.onRead(CallResult.OK, new VersionedValue(key, null, 0));
              default -> listener.onRead(CallResult.NOT_EXECUTED, null);
            }
          }

          @Override
          void onNoResponse(boolean sent) {
            listener.onRead(CallResult.NOT_EXECUTED, null);
          }
        });
  }

  /**
   * Lists all keys with a prefix, page by page. The pages are not a consistent snapshot: later
   * pages may contain changes made after the revision of the first page.
   */
  public void list(String prefix, ListListener listener) {
    new ListCall(prefix, listener).requestPage(null, 0);
  }

  /** A list call in progress. */
  private final class ListCall {
    private final String prefix;
    private final ListListener listener;
    private final List<VersionedValue> items = new ArrayList<>();
    private long revision = -1;

    ListCall(String prefix, ListListener listener) {
      this.prefix = prefix;
      this.listener = listener;
    }

    private void requestPage(String after, int retriesSoFar) {
      requestListPage(
          prefix,
          after,
          PAGE_ITEMS,
          new PageListener() {
            @Override
            public void onPage(ObjectNode body) throws InvalidMessageException {
              addPage(body);
            }

            @Override
            public void onFailure() {
              if (retriesSoFar >= MAX_PAGE_RETRIES) {
                listener.onList(CallResult.NOT_EXECUTED, List.of(), 0);
              } else {
                loop.after(PAGE_RETRY_DELAY_MS, () -> requestPage(after, retriesSoFar + 1));
              }
            }
          });
    }

    private void addPage(ObjectNode body) throws InvalidMessageException {
      List<VersionedValue> page = StateServiceCodec.items(body);
      if (revision < 0) {
        revision = StateServiceCodec.revision(body);
      }
      items.addAll(page);
      if (StateServiceCodec.isTruncated(body) && !page.isEmpty()) {
        requestPage(page.get(page.size() - 1).key(), 0);
      } else {
        listener.onList(CallResult.OK, items, revision);
      }
    }
  }

  /**
   * Lists one page of the keys with a prefix, in key order.
   *
   * @param after the last key of the previous page, or null for the first page
   * @param limit maximum number of items
   */
  public void listPage(String prefix, String after, int limit, ListListener listener) {
    requestListPage(
        prefix,
        after,
        limit,
        new PageListener() {
          @Override
          public void onPage(ObjectNode body) throws InvalidMessageException {
            List<VersionedValue> items = StateServiceCodec.items(body);
            listener.onList(CallResult.OK, items, StateServiceCodec.revision(body));
          }

          @Override
          public void onFailure() {
            listener.onList(CallResult.NOT_EXECUTED, List.of(), 0);
          }
        });
  }

  private void requestListPage(String prefix, String after, int limit, PageListener listener) {
    sender.send(
        "GET",
        StateServiceCodec.listPath(prefix, after, limit),
        null,
        LIST_TIMEOUT_MS,
        new CallHandler(health, loop.now()) {
          @Override
          void onResponse(int status, ObjectNode body) throws InvalidMessageException {
            if (status == HttpStatus.OK) {
              listener.onPage(body);
            } else {
              listener.onFailure();
            }
          }

          @Override
          void onNoResponse(boolean sent) {
            listener.onFailure();
          }
        });
  }

  /**
   * Executes a transaction and resends it while its response is late ({@link TransactionRetry}).
   * The conditions of the transaction must ensure that at most one copy takes effect. {@link
   * CallResult#CONDITION_FAILED} may mean that an earlier copy was executed, so the caller must
   * compare the stored values with those it wrote.
   *
   * @param onRetry run for each additional copy, which also counts against the service's rate limit
   */
  public void compareAndSwapWithRetry(
      Transaction transaction, Runnable onRetry, TransactionListener listener) {
    new TransactionRetry(
            loop,
            outcome -> compareAndSwap(transaction, outcome),
            this::mayRetry,
            () -> {
              health.recordRetry();
              onRetry.run();
            },
            health.latency(),
            listener)
        .send();
  }

  /**
   * Returns whether a retry may be sent: retries have a low rate limit, and none is sent while the
   * service throttles or fails calls.
   */
  private boolean mayRetry() {
    long now = loop.now();
    return now - health.lastThrottledMs() > THROTTLED_BACKOFF_MS
        && !health.isFailing()
        && retryLimiter.tryAcquire(1, now);
  }

  /** Executes a transaction once, without retries. */
  public void compareAndSwap(Transaction transaction, TransactionListener listener) {
    sender.send(
        "POST",
        "/multi",
        Json.toBytes(transaction.requestBody()),
        TIMEOUT_MS,
        new CallHandler(health, loop.now()) {
          @Override
          void onResponse(int status, ObjectNode body) throws InvalidMessageException {
            if (status == HttpStatus.OK) {
              listener.onOutcome(CallResult.OK, StateServiceCodec.revision(body), List.of());
            } else if (status == HttpStatus.CONFLICT) {
              listener.onOutcome(
                  CallResult.CONDITION_FAILED, 0, StateServiceCodec.failedKeys(body));
            } else {
              if (status == HttpStatus.BAD_REQUEST) {
                LOG.error("event=state_refused body={}", body);
              }
              listener.onOutcome(CallResult.NOT_EXECUTED, 0, List.of());
            }
          }

          @Override
          void onNoResponse(boolean sent) {
            listener.onOutcome(resultWithoutResponse(sent), 0, List.of());
          }
        });
  }

  /** Requests a lease that expires unless it is renewed in time. */
  public void grantLease(long durationMs, LeaseListener listener) {
    sendLeaseCall(
        "POST", "/leases", StateServiceCodec.grantLeaseBody(durationMs), TIMEOUT_MS, listener);
  }

  /** Renews a lease for its full duration. */
  public void renewLease(long lease, long timeoutMs, LeaseListener listener) {
    byte[] emptyObject = {'{', '}'};
    sendLeaseCall("POST", "/leases/" + lease + "/extend", emptyObject, timeoutMs, listener);
  }

  /** Ends a lease immediately; if the call fails, the lease expires on its own. */
  public void releaseLease(long lease) {
    sendLeaseCall("DELETE", "/leases/" + lease, null, TIMEOUT_MS, (result, id) -> {});
  }

  private void sendLeaseCall(
      String method, String path, byte[] body, long timeoutMs, LeaseListener listener) {
    sender.send(
        method,
        path,
        body,
        timeoutMs,
        new CallHandler(health, loop.now()) {
          @Override
          void onResponse(int status, ObjectNode response) {
            switch (status) {
              case HttpStatus.OK ->
                  listener.onLease(CallResult.OK, StateServiceCodec.lease(response));
              case HttpStatus.NOT_FOUND -> listener.onLease(CallResult.LEASE_EXPIRED, 0);
              default -> listener.onLease(CallResult.NOT_EXECUTED, 0);
            }
          }

          @Override
          void onNoResponse(boolean sent) {
            listener.onLease(resultWithoutResponse(sent), 0);
          }
        });
  }

  private static CallResult resultWithoutResponse(boolean sent) {
    return sent ? CallResult.UNKNOWN : CallResult.NOT_EXECUTED;
  }

  /**
   * Waits for changes to keys with a prefix.
   *
   * @param afterRevision the last revision whose changes are already known
   * @param waitMs maximum time that the service waits for a change, in milliseconds
   */
  public void watch(String prefix, long afterRevision, long waitMs, WatchListener listener) {
    watchSender.send(
        "GET",
        StateServiceCodec.watchPath(prefix, afterRevision, waitMs),
        null,
        waitMs + 2 * TIMEOUT_MS,
        new CallHandler(health, loop.now()) {
          @Override
          boolean countsForLatency() {
            return false;
          }

          @Override
          void onResponse(int status, ObjectNode body) throws InvalidMessageException {
            if (status == HttpStatus.OK) {
              List<VersionedValue> events = StateServiceCodec.events(body);
              listener.onEvents(CallResult.OK, events, StateServiceCodec.revision(body));
            } else if (status == HttpStatus.GONE) {
              listener.onEvents(CallResult.REVISION_COMPACTED, List.of(), 0);
            } else {
              listener.onEvents(CallResult.NOT_EXECUTED, List.of(), 0);
            }
          }

          @Override
          void onNoResponse(boolean sent) {
            listener.onEvents(CallResult.NOT_EXECUTED, List.of(), 0);
          }
        });
  }
}
