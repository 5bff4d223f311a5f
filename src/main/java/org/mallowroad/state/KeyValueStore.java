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
 * The client of the state service. Each call has exactly one outcome, which its listener is told on
 * the event loop; none throws.
 *
 * <p>Confined to the event loop.
 */
public final class KeyValueStore {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueStore.class);

  /** Without a response in this time a call has failed. */
  private static final long TIMEOUT_MS = 1500;

  /** A list is read a page at a time: the response may be half a megabyte. */
  private static final long LIST_TIMEOUT_MS = 2 * TIMEOUT_MS;

  /** Items of a page, at most; a limit of the service. */
  private static final int PAGE_ITEMS = 1_000;

  /** How often a page is asked for again after a failure. */
  private static final int MAX_PAGE_RETRIES = 3;

  private static final long PAGE_RETRY_DELAY_MS = 200;

  /** After a refusal for the service's rate limit no transaction is sent again for this long. */
  private static final long THROTTLED_BACKOFF_MS = 1_000;

  /** Retries of transactions a second where nothing else is set. */
  private static final double DEFAULT_RETRIES_PER_S = 6;

  /** Retries that may be sent at once, as seconds of their rate. */
  private static final double RETRY_BURST_S = 2;

  private final EventLoop loop;
  private final RequestSender sender;
  private final RequestSender watchSender;
  private final ServiceHealth health;
  private RateLimiter retries;

  /** Told the outcome of a read. */
  public interface ReadListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK} or {@link CallResult#NOT_EXECUTED}
     * @param item with {@code OK} the item (version 0 when absent), else null
     */
    void onRead(CallResult result, VersionedValue item);
  }

  /** Told the outcome of a transaction. */
  public interface TransactionListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK}, {@link CallResult#CONDITION_FAILED}, {@link
     *     CallResult#NOT_EXECUTED} or {@link CallResult#UNKNOWN}
     * @param revision with {@code OK} the version of all keys that were written
     * @param failedKeys with {@code CONDITION_FAILED} keys whose conditions did not hold; a service
     *     may name the first alone, or none
     */
    void onOutcome(CallResult result, long revision, List<String> failedKeys);
  }

  /** Told the outcome of a list. */
  public interface ListListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK} or {@link CallResult#NOT_EXECUTED}
     * @param items with {@code OK} the items, in the order of their keys
     * @param revision with {@code OK} the service's revision when it answered for the first page
     */
    void onList(CallResult result, List<VersionedValue> items, long revision);
  }

  /** Told the outcome of a lease call. */
  public interface LeaseListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK}, {@link CallResult#LEASE_EXPIRED}, {@link
     *     CallResult#NOT_EXECUTED} or {@link CallResult#UNKNOWN}
     * @param lease with {@code OK} the lease
     */
    void onLease(CallResult result, long lease);
  }

  /** Told the outcome of a watch. */
  public interface WatchListener {
    /**
     * Called once.
     *
     * @param result {@link CallResult#OK}, {@link CallResult#REVISION_COMPACTED} or {@link
     *     CallResult#NOT_EXECUTED}
     * @param events with {@code OK} the changes, oldest first; none when the time ran out
     * @param revision with {@code OK} where the next watch begins
     */
    void onEvents(CallResult result, List<VersionedValue> events, long revision);
  }

  /** A page of a list. */
  private interface PageListener {
    void onPage(ObjectNode body) throws InvalidMessageException;

    void onFailure();
  }

  /**
   * A client of one state service.
   *
   * @param sender for ordinary calls
   * @param watchSender for watches, so that they never hold up other calls
   */
  public KeyValueStore(EventLoop loop, RequestSender sender, RequestSender watchSender) {
    this.loop = loop;
    this.sender = sender;
    this.watchSender = watchSender;
    this.health = new ServiceHealth(loop);
    setRetriesPerSecond(DEFAULT_RETRIES_PER_S);
  }

  /** Bounds how many transactions are sent again since their responses are late. */
  public void setRetriesPerSecond(double perSecond) {
    retries = new RateLimiter(perSecond, RETRY_BURST_S * perSecond, loop.now());
  }

  /** What the calls show of the service. */
  public ServiceHealth health() {
    return health;
  }

  /** Reads a key. */
  public void get(String key, ReadListener listener) {
    sender.call(
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
   * Lists all keys with a prefix, page by page. The pages are not of one moment: changes after the
   * revision of the first page may show in later ones.
   */
  public void list(String prefix, ListListener listener) {
    new ListCall(prefix, listener).requestPage(null, 0);
  }

  /** A list under way. */
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
      page(
          prefix,
          after,
          PAGE_ITEMS,
          new PageListener() {
            @Override
            public void onPage(ObjectNode body) throws InvalidMessageException {
              add(body);
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

    private void add(ObjectNode body) throws InvalidMessageException {
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
   * Lists one page of the keys with a prefix, in order.
   *
   * @param after the key before the first one, or null for the beginning
   * @param limit items at most
   */
  public void listPage(String prefix, String after, int limit, ListListener listener) {
    page(
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

  private void page(String prefix, String after, int limit, PageListener listener) {
    sender.call(
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
   * Executes a transaction whose conditions make it safe to be executed twice, and sends it again
   * while its response is late ({@link TransactionRetry}). {@link CallResult#CONDITION_FAILED} may
   * then mean that an earlier copy was executed: the caller compares what it finds with what it
   * wrote.
   *
   * @param onRetry run for each further copy, which counts against the service's limits as well
   */
  public void compareAndSwapWithRetry(
      Transaction transaction, Runnable onRetry, TransactionListener listener) {
    new TransactionRetry(
            loop,
            outcome -> compareAndSwap(transaction, outcome),
            this::mayRetry,
            () -> {
              health.retried();
              onRetry.run();
            },
            health.latency(),
            listener)
        .send();
  }

  /** Retries are a small part of the calls, and none is sent while calls are refused. */
  private boolean mayRetry() {
    long now = loop.now();
    return now - health.lastThrottledMs() > THROTTLED_BACKOFF_MS
        && !health.isFailing()
        && retries.tryAcquire(1, now);
  }

  /** Executes a transaction. */
  public void compareAndSwap(Transaction transaction, TransactionListener listener) {
    sender.call(
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
            listener.onOutcome(withoutResponse(sent), 0, List.of());
          }
        });
  }

  /** Asks for a lease that ends unless it is renewed in time. */
  public void grantLease(long durationMs, LeaseListener listener) {
    leaseCall("POST", "/leases", StateServiceCodec.grantLease(durationMs), TIMEOUT_MS, listener);
  }

  /** Renews a lease for its full duration. */
  public void renewLease(long lease, long timeoutMs, LeaseListener listener) {
    byte[] emptyObject = {'{', '}'};
    leaseCall("POST", "/leases/" + lease + "/extend", emptyObject, timeoutMs, listener);
  }

  /** Ends a lease at once; if the call fails the lease runs out by itself. */
  public void releaseLease(long lease) {
    leaseCall("DELETE", "/leases/" + lease, null, TIMEOUT_MS, (result, id) -> {});
  }

  private void leaseCall(
      String method, String path, byte[] body, long timeoutMs, LeaseListener listener) {
    sender.call(
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
            listener.onLease(withoutResponse(sent), 0);
          }
        });
  }

  private static CallResult withoutResponse(boolean sent) {
    return sent ? CallResult.UNKNOWN : CallResult.NOT_EXECUTED;
  }

  /**
   * Waits for changes of keys with a prefix.
   *
   * @param afterRevision the last revision whose changes are known
   * @param waitMs how long the service waits for a change
   */
  public void watch(String prefix, long afterRevision, long waitMs, WatchListener listener) {
    watchSender.call(
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
