package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The state service's calls, each with exactly one outcome. */
public final class KeyValueStore {
  private static final Logger LOG = LoggerFactory.getLogger(KeyValueStore.class);
  private static final long TIMEOUT_MS = 1500;

  /** After a refusal for its limits no copy of a transaction is sent for so long. */
  private static final long CROWDED_MS = 1_000;

  /** After a copy of a transaction answers count as late for so long. */
  private static final long REPEATED_MS = 3_000;

  /** Copies of transactions a second, and at once, where nothing else is set. */
  private static final double REPEATS_PER_S = 6;

  private static final double REPEAT_BURST_S = 2;

  private final EventLoop loop;
  private final LogLimiter garbled = LogLimiter.usual();
  private final RequestSender caller;
  private final RequestSender follower;
  private long contactMs = Long.MIN_VALUE / 2;
  private long servedMs = Long.MIN_VALUE / 2;
  private long failedMs = Long.MIN_VALUE / 2;
  private long crowdedMs = Long.MIN_VALUE / 2;
  private long repeatedMs = Long.MIN_VALUE / 2;
  private long wrong;
  private final LatencyEstimator latency = new LatencyEstimator();
  private RateLimiter repeats;

  /** How a call went. */
  public enum Result {
    /** Done, or found. */
    OK,
    /** A condition failed (409), or nothing there (404). */
    NO,
    /** Certainly not executed. */
    NOT_DONE,
    /** May have been executed, or may be later. */
    UNKNOWN
  }

  /** A key with its value and version; version 0 and no value when it does not exist. */
  public record VersionedValue(String key, JsonNode value, long version) {}

  /** An answer to a read. */
  public interface Got {
    /** With {@link Result#OK} the item (mark 0 when absent), else null. */
    void got(Result result, VersionedValue item);
  }

  /** An answer to a transaction. */
  public interface Ended {
    /** With {@link Result#OK} the revision; with {@link Result#NO} the keys that failed. */
    void ended(Result result, long revision, List<String> failed);
  }

  /** An answer to a listing. */
  public interface Listed {
    /** With {@link Result#OK} all items and the revision of the first page. */
    void listed(Result result, List<VersionedValue> items, long revision);
  }

  /** An answer to a lease call. */
  public interface Leased {
    /** With {@link Result#OK} the lease. */
    void leased(Result result, long lease);
  }

  /** An answer to a watch. */
  public interface Followed {
    /** NO means the revision is too old and the keys must be read again. */
    void followed(Result result, List<VersionedValue> events, long revision);
  }

  /** Over callers for ordinary calls and for watches, so that watches never hold up others. */
  public KeyValueStore(EventLoop loop, RequestSender caller, RequestSender follower) {
    this.loop = loop;
    this.caller = caller;
    this.follower = follower;
    repeatsPerSecond(REPEATS_PER_S);
  }

  /** Bounds the copies of transactions whose answers are late. */
  public void repeatsPerSecond(double perSecond) {
    repeats = new RateLimiter(perSecond, REPEAT_BURST_S * perSecond, loop.now());
  }

  /**
   * When the newest call was sent that the service has done. Not when its answer was read: that may
   * have waited in a socket while this process stood still, and says nothing of the time since.
   */
  public long contactMs() {
    return contactMs;
  }

  /** True when the newest sign of the service is a failure of a moment ago. */
  public boolean failing() {
    return failedMs > servedMs && loop.now() - failedMs < 3_000;
  }

  /** When the service last refused a call of this node for its limits. */
  public long crowdedMs() {
    return crowdedMs;
  }

  /** Answers that were not what the protocol says. */
  public long wrong() {
    return wrong;
  }

  /** Reads a key. */
  public void get(String key, Got got) {
    caller.call(
        "GET",
        "/kv/" + key,
        null,
        TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            if (status == 404) {
              got.got(Result.OK, new VersionedValue(key, null, 0));
            } else if (status == 200) {
              got.got(Result.OK, item(o));
            } else {
              got.got(Result.NOT_DONE, null);
            }
          }

          @Override
          void none(boolean sent) {
            got.got(Result.NOT_DONE, null);
          }
        });
  }

  private static VersionedValue item(JsonNode o) throws InvalidMessageException {
    return new VersionedValue(
        Json.string(o, Fields.KEY, 400),
        o.get(Fields.VALUE),
        Json.integer(o, Fields.VERSION, 0, Long.MAX_VALUE));
  }

  /** Lists all keys with a prefix, page by page. */
  public void list(String prefix, Listed listed) {
    page(prefix, null, new ArrayList<>(), -1, 0, listed);
  }

  private void page(
      String prefix,
      String from,
      List<VersionedValue> sofar,
      long revision,
      int tries,
      Listed listed) {
    String path =
        "/kv?under=" + enc(prefix) + (from == null ? "" : "&from=" + enc(from)) + "&limit=1000";
    caller.call(
        "GET",
        path,
        null,
        2 * TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            if (status != 200) {
              none(false);
              return;
            }
            String last = null;
            for (JsonNode n : Json.list(o, Fields.ITEMS)) {
              VersionedValue it = item(n);
              sofar.add(it);
              last = it.key();
            }
            long first =
                revision >= 0 ? revision : Json.integer(o, Fields.REVISION, 0, Long.MAX_VALUE);
            JsonNode more = o.get(Fields.TRUNCATED);
            if (more != null && more.asBoolean() && last != null) {
              page(prefix, last, sofar, first, 0, listed);
            } else {
              listed.listed(Result.OK, sofar, first);
            }
          }

          @Override
          void none(boolean sent) {
            if (tries >= 3) {
              listed.listed(Result.NOT_DONE, List.of(), 0);
            } else {
              loop.after(200, () -> page(prefix, from, sofar, revision, tries + 1, listed));
            }
          }
        });
  }

  /**
   * Lists some keys with a prefix, in order: what comes after {@code from}, one page.
   *
   * @param from a key, or null for the first ones
   */
  public void range(String prefix, String from, int limit, Listed listed) {
    caller.call(
        "GET",
        "/kv?under=" + enc(prefix) + (from == null ? "" : "&from=" + enc(from)) + "&limit=" + limit,
        null,
        2 * TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            if (status != 200) {
              none(false);
              return;
            }
            List<VersionedValue> items = new ArrayList<>();
            for (JsonNode n : Json.list(o, Fields.ITEMS)) {
              items.add(item(n));
            }
            listed.listed(Result.OK, items, Json.integer(o, Fields.REVISION, 0, Long.MAX_VALUE));
          }

          @Override
          void none(boolean sent) {
            listed.listed(Result.NOT_DONE, List.of(), 0);
          }
        });
  }

  private static String enc(String s) {
    return URLEncoder.encode(s, StandardCharsets.UTF_8).replace("%2F", "/");
  }

  /**
   * Runs a transaction whose conditions make it safe to be carried out twice, and sends it again
   * while its answer is late ({@link TransactionRetry}). {@code NO} may then mean that an earlier
   * copy was carried out: the caller compares what it finds with what it wrote.
   *
   * @param onRepeat told of each further copy, which counts against the service's limits as well
   */
  public void runRepeated(Transaction transaction, Runnable onRepeat, Ended ended) {
    new TransactionRetry(
            loop,
            listener -> run(transaction, listener),
            this::mayRepeat,
            () -> repeated(onRepeat),
            latency,
            ended)
        .send();
  }

  /** True while answers of transactions are late: a moment ago one was sent again. */
  public boolean answersLate() {
    return loop.now() - repeatedMs < REPEATED_MS;
  }

  private void repeated(Runnable onRepeat) {
    repeatedMs = loop.now();
    onRepeat.run();
  }

  /** Copies are a small part of the calls, and none is sent while calls are refused. */
  private boolean mayRepeat() {
    long now = loop.now();
    return now - crowdedMs > CROWDED_MS && !failing() && repeats.tryAcquire(1, now);
  }

  /** Runs a transaction. */
  public void run(Transaction transaction, Ended ended) {
    caller.call(
        "POST",
        "/multi",
        Json.bytes(transaction.json()),
        TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            if (status == 200) {
              ended.ended(
                  Result.OK, Json.integer(o, Fields.REVISION, 0, Long.MAX_VALUE), List.of());
            } else if (status == 409) {
              List<String> failed = new ArrayList<>();
              for (JsonNode n : o.path("failed")) {
                failed.add(n.asText());
              }
              ended.ended(Result.NO, 0, failed);
            } else {
              if (status == 400) {
                LOG.error("event=state_refused body={}", o);
              }
              ended.ended(Result.NOT_DONE, 0, List.of());
            }
          }

          @Override
          void none(boolean sent) {
            ended.ended(sent ? Result.UNKNOWN : Result.NOT_DONE, 0, List.of());
          }
        });
  }

  /** Asks for a lease. */
  public void lease(long lifeMs, Leased leased) {
    ObjectNode o = Json.object();
    o.put(Fields.LEASE_DURATION_MS, lifeMs);
    lease("POST", "/leases", Json.bytes(o), TIMEOUT_MS, leased);
  }

  /** Renews a lease; NO means it is over. */
  public void extend(long lease, long timeoutMs, Leased leased) {
    lease("POST", "/leases/" + lease + "/extend", new byte[] {'{', '}'}, timeoutMs, leased);
  }

  /** Ends a lease at once; without an answer it runs out by itself. */
  public void release(long lease) {
    lease("DELETE", "/leases/" + lease, null, TIMEOUT_MS, (result, id) -> {});
  }

  private void lease(String method, String path, byte[] body, long timeoutMs, Leased leased) {
    caller.call(
        method,
        path,
        body,
        timeoutMs,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) {
            if (status == 200) {
              leased.leased(Result.OK, o.path(Fields.LEASE).asLong());
            } else {
              leased.leased(status == 404 ? Result.NO : Result.NOT_DONE, 0);
            }
          }

          @Override
          void none(boolean sent) {
            leased.leased(sent ? Result.UNKNOWN : Result.NOT_DONE, 0);
          }
        });
  }

  /** Waits for changes of keys with a prefix after a revision. */
  public void follow(String prefix, long from, long waitMs, Followed followed) {
    follower.call(
        "GET",
        "/follow?under=" + enc(prefix) + "&from=" + from + "&block_ms=" + waitMs,
        null,
        waitMs + 2 * TIMEOUT_MS,
        new Parsed() {
          @Override
          boolean measured() {
            return false;
          }

          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            if (status == 410) {
              followed.followed(Result.NO, List.of(), 0);
              return;
            }
            if (status != 200) {
              none(false);
              return;
            }
            List<VersionedValue> events = new ArrayList<>();
            for (JsonNode e : Json.list(o, Fields.EVENTS)) {
              JsonNode gone = e.get(Fields.DELETE);
              String key = gone != null ? gone.asText() : Json.string(e, Fields.PUT, 400);
              events.add(
                  new VersionedValue(
                      key,
                      gone != null ? null : e.get(Fields.VALUE),
                      Json.integer(e, Fields.VERSION, 0, Long.MAX_VALUE)));
            }
            followed.followed(
                Result.OK, events, Json.integer(o, Fields.REVISION, 0, Long.MAX_VALUE));
          }

          @Override
          void none(boolean sent) {
            followed.followed(Result.NOT_DONE, List.of(), 0);
          }
        });
  }

  /** Parses the body; what cannot be understood counts as no answer. */
  private abstract class Parsed implements RequestSender.ResponseHandler {
    private final long sentMs = loop.now();

    abstract void ok(int status, ObjectNode o) throws InvalidMessageException;

    abstract void none(boolean sent);

    /** False for calls that wait for something to happen. */
    boolean measured() {
      return true;
    }

    @Override
    public final void answered(int status, byte[] body) {
      if (status == 200 || status == 404 || status == 409 || status == 410) {
        contactMs = Math.max(contactMs, sentMs);
        servedMs = loop.now();
        if (measured()) {
          latency.sample(servedMs - sentMs);
        }
      } else if (status == 503) {
        failedMs = loop.now();
      } else if (status == 429) {
        crowdedMs = loop.now();
      }
      ObjectNode o = Json.object();
      if (status < 500 && status != 429 && body.length > 0) {
        try {
          o = Json.parseObject(body);
        } catch (InvalidMessageException e) {
          if (status == 200 || status == 409) {
            garbled(e);
            return;
          }
        }
      }
      try {
        ok(status, o);
      } catch (InvalidMessageException e) {
        garbled(e);
      }
    }

    private void garbled(InvalidMessageException e) {
      wrong++;
      if (garbled.tryAcquire(loop.now())) {
        LOG.warn(
            "event=state_garbled reason=\"{}\" left_out={}", e.getMessage(), garbled.suppressed());
      }
      none(true);
    }

    @Override
    public final void failed(boolean sent) {
      failedMs = loop.now();
      none(sent);
    }
  }

  /** A transaction under construction. */
  public static final class Transaction {
    private final ObjectNode o = Json.object();
    private final ArrayNode conditions = o.putArray(Fields.CONDITIONS);
    private final ArrayNode writes = o.putArray(Fields.WRITES);

    /** The key must have this version. */
    public Transaction given(String key, long version) {
      ObjectNode c = conditions.addObject();
      c.put(Fields.KEY, key);
      c.put(Fields.VERSION, version);
      return this;
    }

    /** Writes a key. */
    public Transaction put(String key, JsonNode value) {
      return put(key, value, 0);
    }

    /** Writes a key that lives as long as a lease. */
    public Transaction put(String key, JsonNode value, long lease) {
      ObjectNode w = writes.addObject();
      w.put(Fields.PUT, key);
      w.set(Fields.VALUE, value);
      if (lease > 0) {
        w.put(Fields.LEASE, lease);
      }
      return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
      writes.addObject().put(Fields.DELETE, key);
      return this;
    }

    /** Number of puts and deletes. */
    public int writes() {
      return writes.size();
    }

    /** Number of conditions. */
    public int conditions() {
      return conditions.size();
    }

    ObjectNode json() {
      return o;
    }
  }
}
