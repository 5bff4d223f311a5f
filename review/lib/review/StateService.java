package review;

import com.sun.net.httpserver.HttpServer;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The state service of PROTOCOL-mallowroad.md. Each node has a port of its own, so that a single
 * node can be refused or cut off.
 */
final class StateService {
  private record Value(Object value, long mark, long tenure) {}

  private record Change(long epoch, String key, Object value) {}

  private static final class Lease {
    final long lifeMs;
    long endsNs;

    Lease(long lifeMs) {
      this.lifeMs = lifeMs;
      this.endsNs = System.nanoTime() + lifeMs * 1_000_000;
    }
  }

  /** What happens to a transaction. */
  enum Fate {
    NORMAL,
    /** It is carried out at once, and its answer is lost. */
    ANSWER_LOST,
    /** It gets no answer, and is carried out 2 to 12 s later. */
    LATE
  }

  /** Decides the fate of each transaction. */
  interface FateOf {
    Fate fate(int node, Map<String, Object> transaction);
  }

  private final Recorder record;
  private final Settings settings;
  private final TreeMap<String, Value> values = new TreeMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Bucket calls;
  private final Bucket writes;
  private final Set<Integer> refused = new HashSet<>();
  private long epoch = 1;
  private long droppedEpoch;
  private long nextLease = 1;
  private boolean down;
  private volatile FateOf fates = (node, transaction) -> Fate.NORMAL;
  private volatile int latencyMs = 3;
  private volatile int txnOps;
  private volatile double valueKb;
  private volatile Bucket currentWrites;

  StateService(Settings settings, Recorder record) {
    this.settings = settings;
    this.record = record;
    this.calls = new Bucket(settings.stateRps);
    this.writes = new Bucket(settings.stateWriteRps);
    this.currentWrites = writes;
    this.txnOps = settings.txnOps;
    this.valueKb = settings.valueKb;
    for (int node = 0; node < settings.nodes; node++) {
      int index = node;
      servers.add(Http.serve((method, target, body) -> handle(index, method, target, body)));
    }
    Thread expiry = new Thread(this::expireLeases, "leases");
    expiry.setDaemon(true);
    expiry.start();
  }

  String address(int node) {
    return Http.HOST + ":" + servers.get(node).getAddress().getPort();
  }

  void setFates(FateOf newFates) {
    fates = newFates;
  }

  void setLatencyMs(int ms) {
    latencyMs = ms;
  }

  /** Lowers the limits, without notice. */
  void setLimits(double newValueKb, int newTxnOps, double newWriteRps) {
    valueKb = newValueKb;
    txnOps = newTxnOps;
    currentWrites = new Bucket(newWriteRps);
  }

  /** An outage for all nodes; all leases get their full time again afterwards. */
  synchronized void setDown(boolean isDown) {
    down = isDown;
    if (!isDown) {
      long now = System.nanoTime();
      leases.values().forEach(lease -> lease.endsNs = now + lease.lifeMs * 1_000_000);
    }
    notifyAll();
  }

  /** Refuses a single node with 503. */
  synchronized void setRefused(int node, boolean isRefused) {
    if (isRefused) {
      refused.add(node);
    } else {
      refused.remove(node);
    }
    notifyAll();
  }

  @SuppressWarnings("unchecked")
  synchronized String leader() {
    Value value = values.get("leader");
    return value == null ? null : Json.str((Map<String, Object>) value.value, "node");
  }

  synchronized boolean hasKey(String key) {
    return values.containsKey(key);
  }

  synchronized int count(String prefix) {
    return (int) values.keySet().stream().filter(key -> key.startsWith(prefix)).count();
  }

  private void expireLeases() {
    while (true) {
      sleep(30);
      synchronized (this) {
        if (down) {
          continue;
        }
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach(
            (id, lease) -> {
              if (lease.endsNs < now) {
                ended.add(id);
              }
            });
        ended.forEach(this::endLease);
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> keys = new ArrayList<>();
    values.forEach(
        (key, value) -> {
          if (value.tenure == id) {
            keys.add(key);
          }
        });
    for (String key : keys) {
      epoch++;
      values.remove(key);
      changed(key, null);
      record.log("state", "lease " + id + " ended, key " + key + " removed");
    }
    notifyAll();
  }

  private void changed(String key, Object value) {
    changes.add(new Change(epoch, key, value));
    while (changes.size() > 10_000) {
      droppedEpoch = changes.poll().epoch;
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Http.Response handle(int node, String method, String target, String body)
      throws Exception {
    if (latencyMs > 0) {
      sleep(latencyMs);
    }
    String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
    synchronized (this) {
      if (down || refused.contains(node)) {
        return Http.json(503, Json.of("error", "trouble"));
      }
    }
    if (!calls.take(1)) {
      return Http.json(429, Json.of("error", "too many requests"));
    }
    if (path.equals("/multi")) {
      return multi(node, body);
    }
    if (path.equals("/follow")) {
      return follow(node, query(target));
    }
    synchronized (this) {
      if (path.startsWith("/leases")) {
        return lease(method, path, body);
      }
      if (path.equals("/kv")) {
        return list(query(target));
      }
      if (path.startsWith("/kv/")) {
        String key = URLDecoder.decode(path.substring(4), StandardCharsets.UTF_8);
        Value value = values.get(key);
        return value == null
            ? Http.json(404, Json.of("epoch", epoch))
            : Http.json(
                200,
                Json.of(
                    "key", key, "v", value.value, "mark", value.mark, "tenure",
                    value.tenure == 0 ? null : (Object) value.tenure));
      }
    }
    return Http.json(400, Json.of("error", "no such path"));
  }

  static Map<String, String> query(String target) {
    Map<String, String> parameters = new HashMap<>();
    int start = target.indexOf('?');
    if (start >= 0) {
      for (String parameter : target.substring(start + 1).split("&")) {
        int equals = parameter.indexOf('=');
        parameters.put(
            parameter.substring(0, equals),
            URLDecoder.decode(parameter.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }

  private Http.Response lease(String method, String path, String body) {
    if (path.equals("/leases")) {
      long life = Json.num(Json.object(body), "life_ms");
      if (life < 100 || life > 600_000) {
        return Http.json(400, Json.of("error", "life_ms"));
      }
      leases.put(nextLease, new Lease(life));
      return Http.json(200, Json.of("tenure", nextLease++));
    }
    String[] parts = path.split("/");
    long id = Long.parseLong(parts[2]);
    Lease lease = leases.get(id);
    if (lease == null) {
      return Http.json(404, Json.of("error", "no such lease"));
    }
    if (method.equals("DELETE")) {
      endLease(id);
    } else {
      lease.endsNs = System.nanoTime() + lease.lifeMs * 1_000_000;
    }
    return Http.json(200, Json.of("tenure", id));
  }

  private Http.Response list(Map<String, String> query) {
    String prefix = query.getOrDefault("under", "");
    String from = query.get("from");
    int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
    List<Object> pairs = new ArrayList<>();
    int bytes = 0;
    boolean truncated = false;
    for (Map.Entry<String, Value> entry : values.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (from != null && entry.getKey().compareTo(from) <= 0) {
        continue;
      }
      Map<String, Object> pair =
          Json.of(
              "key", entry.getKey(), "v", entry.getValue().value, "mark", entry.getValue().mark);
      bytes += Json.write(pair).length() + 1;
      if (pairs.size() >= limit || bytes > 500 * 1024) {
        truncated = true;
        break;
      }
      pairs.add(pair);
    }
    return Http.json(200, Json.of("pairs", pairs, "truncated", truncated, "epoch", epoch));
  }

  private Http.Response follow(int node, Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("under", "");
    long from = Long.parseLong(query.get("from"));
    long deadline =
        System.nanoTime()
            + Math.min(60_000, Long.parseLong(query.getOrDefault("block_ms", "0"))) * 1_000_000;
    synchronized (this) {
      while (true) {
        if (!down && !refused.contains(node)) {
          if (from < droppedEpoch) {
            return Http.json(410, Json.of("error", "too old", "epoch", epoch));
          }
          List<Object> events = new ArrayList<>();
          for (Change change : changes) {
            if (change.epoch > from && change.key.startsWith(prefix)) {
              events.add(
                  change.value == null
                      ? Json.of("delete", change.key, "mark", change.epoch)
                      : Json.of("put", change.key, "v", change.value, "mark", change.epoch));
            }
          }
          if (!events.isEmpty() || System.nanoTime() >= deadline) {
            return Http.json(200, Json.of("epoch", epoch, "events", events));
          }
        }
        wait(20);
      }
    }
  }

  private Http.Response multi(int node, String body) {
    Map<String, Object> transaction = Json.object(body);
    List<Map<String, Object>> conditions = Json.list(transaction, "if");
    List<Map<String, Object>> operations = Json.list(transaction, "writes");
    String error = tooLarge(body, conditions, operations);
    if (error != null) {
      record.log("state", "400 " + error + " from hearth-" + node + ": " + brief(transaction));
      return Http.json(400, Json.of("error", error));
    }
    Fate fate = fates.fate(node, transaction);
    if (fate == Fate.LATE) {
      long ms = 2_000 + (long) (Math.random() * 10_000);
      record.log("state", "no answer, carried out in " + ms + " ms: " + brief(transaction));
      Http.pool()
          .execute(
              () -> {
                sleep(ms);
                Http.Response response = apply(conditions, operations);
                record.log("state", "late " + response.status() + ": " + brief(transaction));
              });
      return null;
    }
    if (!operations.isEmpty() && !currentWrites.take(operations.size())) {
      return Http.json(429, Json.of("error", "too many changes"));
    }
    Http.Response response = apply(conditions, operations);
    if (!operations.isEmpty()) {
      record.log(
          "state",
          "multi of hearth-" + node + " " + response.status() + " " + brief(transaction)
              + (response.status() == 409 ? " " + response.body() : "")
              + (fate == Fate.ANSWER_LOST ? ", answer lost" : ""));
    }
    return fate == Fate.ANSWER_LOST ? null : response;
  }

  private String tooLarge(
      String body, List<Map<String, Object>> conditions, List<Map<String, Object>> operations) {
    if (operations.size() > txnOps || conditions.size() > 4 * txnOps) {
      return "too many operations: " + operations.size() + " writes, " + conditions.size()
          + " conditions";
    }
    if (body.getBytes(StandardCharsets.UTF_8).length > 64 * 1024) {
      return "transaction too large";
    }
    for (Map<String, Object> operation : operations) {
      if (operation.containsKey("put")) {
        int bytes = Json.write(operation.get("v")).getBytes(StandardCharsets.UTF_8).length;
        if (bytes > valueKb * 1024) {
          return "value of " + operation.get("put") + " too large: " + bytes;
        }
      }
    }
    return null;
  }

  private static String brief(Map<String, Object> transaction) {
    StringBuilder text = new StringBuilder();
    for (Map<String, Object> operation : Json.list(transaction, "writes")) {
      if (operation.containsKey("put")) {
        String value = Json.write(operation.get("v"));
        text.append(" put ").append(operation.get("put")).append('=');
        text.append(value.length() > 120 ? value.substring(0, 120) + "..." : value);
      } else {
        text.append(" delete ").append(operation.get("delete"));
      }
    }
    return text.toString().trim();
  }

  private synchronized Http.Response apply(
      List<Map<String, Object>> conditions, List<Map<String, Object>> operations) {
    for (Map<String, Object> operation : operations) {
      long tenure = Json.num(operation, "tenure");
      if (tenure != 0 && !leases.containsKey(tenure)) {
        return Http.json(400, Json.of("error", "no such lease"));
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : conditions) {
      Value value = values.get(Json.str(condition, "key"));
      if ((value == null ? 0 : value.mark) != Json.num(condition, "mark")) {
        failed.add(condition.get("key"));
      }
    }
    if (!failed.isEmpty()) {
      return Http.json(409, Json.of("failed", failed, "epoch", epoch));
    }
    if (!operations.isEmpty()) {
      epoch++;
      for (Map<String, Object> operation : operations) {
        if (operation.containsKey("put")) {
          String key = Json.str(operation, "put");
          Object value = operation.get("v");
          values.put(key, new Value(value, epoch, Json.num(operation, "tenure")));
          changed(key, value);
        } else {
          String key = Json.str(operation, "delete");
          if (values.remove(key) != null) {
            changed(key, null);
          }
        }
      }
      notifyAll();
    }
    return Http.json(200, Json.of("epoch", epoch));
  }
}
