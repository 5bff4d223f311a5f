package org.mallowroad.console.ask;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mallowroad.console.view.NodeView;
import org.mallowroad.console.view.NodeView.Standing;
import org.mallowroad.console.view.Overview;
import org.mallowroad.console.view.RecordedState;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.wire.ConsoleCodec;
import org.mallowroad.wire.InvalidMessageException;

/**
 * Looks at a site: all nodes and the state service at once, so that one that hangs costs its
 * time-out and not the others'. The state service is asked seldom while a leader answers.
 */
public final class ClusterQuery implements AutoCloseable {
  /** A node that has not answered by then is hanging. */
  private static final long NODE_MS = 1_000;

  /** One look at the records may take so long, its budget of reads included. */
  private static final long RECORDS_MS = 3_500;

  /** While a leader answers the records are read again only after this time. */
  private static final long RECORDS_EVERY_MS = 10_000;

  private static final int MOST_BYTES = 8 << 20;
  private static final int MOST_NODES = 64;

  private final List<String> nodes;
  private final RecordInspector records;
  private final String state;
  private final BoundedHttpGet fetch;
  private final ExecutorService pool;
  private RecordedState recorded;
  private long recordedNs;

  /**
   * Of a site.
   *
   * @param nodes consoles' addresses
   * @param state the state service's address, or empty to leave it alone
   */
  public ClusterQuery(List<String> nodes, String state) {
    this.nodes = List.copyOf(nodes.subList(0, Math.min(MOST_NODES, nodes.size())));
    this.state = state;
    this.pool =
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r, "asker");
              t.setDaemon(true);
              return t;
            });
    HttpClient http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(NODE_MS))
            .executor(pool)
            .build();
    this.fetch = new BoundedHttpGet(http, Duration.ofMillis(NODE_MS), MOST_BYTES);
    this.records = new RecordInspector(http, state);
    this.recorded = RecordedState.notRead("", "");
  }

  /** One look. */
  public Overview fetchOverview() {
    List<Future<NodeView>> asked = new ArrayList<>();
    for (String n : nodes) {
      asked.add(pool.submit(() -> node(n)));
    }
    // The first look reads the records beside the nodes; later ones only where they are needed.
    Future<RecordedState> reading = recordedNs == 0 ? readRecords() : null;
    List<NodeView> views = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      String n = nodes.get(i);
      views.add(
          within(
              asked.get(i),
              NODE_MS + 300,
              () -> NodeView.failed(n, Standing.HANGING, "does not answer in time", NODE_MS)));
    }
    if (recordedNs == 0) {
      // This program's own first calls are slow: nobody is called hanging for that.
      for (int i = 0; i < views.size(); i++) {
        if (views.get(i).standing() == Standing.HANGING) {
          String n = nodes.get(i);
          NodeView first = views.get(i);
          views.set(i, within(pool.submit(() -> node(n)), NODE_MS + 300, () -> first));
        }
      }
    }
    boolean led = views.stream().anyMatch(v -> v.standing() == Standing.LEADING);
    long age = (System.nanoTime() - recordedNs) / 1_000_000;
    if (reading == null && (!led || age > RECORDS_EVERY_MS)) {
      reading = readRecords();
    }
    if (reading != null) {
      recorded =
          within(
              reading, RECORDS_MS, () -> RecordedState.notRead(state, "does not answer in time"));
      recordedNs = System.nanoTime();
    }
    return Overview.of(views, recorded, System.currentTimeMillis());
  }

  private Future<RecordedState> readRecords() {
    return pool.submit(() -> state.isEmpty() ? RecordedState.notRead("", "") : records.read());
  }

  private static <T> T within(Future<T> f, long ms, Supplier<T> otherwise) {
    try {
      return f.get(ms, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      f.cancel(true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
    return otherwise.get();
  }

  private NodeView node(String address) {
    long began = System.nanoTime();
    BoundedHttpGet.Answer a = fetch.get(address, ConsoleCodec.PATH_PREFIX + "picture");
    long ms = (System.nanoTime() - began) / 1_000_000;
    if (a.status() == 0) {
      Standing s =
          switch (a.failure()) {
            case REFUSED -> Standing.REFUSING;
            case HANGS -> Standing.HANGING;
            default -> Standing.STRANGE;
          };
      return NodeView.failed(address, s, a.problem(), ms);
    }
    if (a.status() != 200) {
      return NodeView.failed(
          address, Standing.STRANGE, "answers " + a.status() + ": not a console of this build", ms);
    }
    try {
      return NodeView.answered(address, ms, ConsoleCodec.decodeStatus(a.body()));
    } catch (InvalidMessageException e) {
      return NodeView.failed(address, Standing.STRANGE, e.getMessage(), ms);
    }
  }

  /** One job as the first node that knows it says, or null. */
  public JobSnapshot fetchJob(String id) {
    return first(
        n -> {
          BoundedHttpGet.Answer a = fetch.get(n, ConsoleCodec.PATH_PREFIX + "jobs/" + id);
          try {
            return a.status() == 200 ? ConsoleCodec.decodeJob(a.body()) : null;
          } catch (InvalidMessageException e) {
            return null;
          }
        });
  }

  private <T> T first(Function<String, T> ask) {
    List<Future<T>> all = new ArrayList<>();
    for (String n : nodes) {
      all.add(pool.submit(() -> ask.apply(n)));
    }
    T found = null;
    for (Future<T> f : all) {
      T t = within(f, NODE_MS + 300, () -> null);
      found = found == null ? t : found;
    }
    return found;
  }

  /** The points that the nodes keep, of all leaders, in the order of their times. */
  public List<MetricSample> fetchHistory() {
    List<Future<List<MetricSample>>> all = new ArrayList<>();
    for (String n : nodes) {
      all.add(pool.submit(() -> fetchHistory(n)));
    }
    List<MetricSample> out = new ArrayList<>();
    for (Future<List<MetricSample>> f : all) {
      out.addAll(within(f, NODE_MS + 300, List::of));
    }
    out.sort(Comparator.comparingLong(MetricSample::atMs));
    return out;
  }

  private List<MetricSample> fetchHistory(String node) {
    BoundedHttpGet.Answer a = fetch.get(node, ConsoleCodec.PATH_PREFIX + "history");
    try {
      return a.status() == 200 ? ConsoleCodec.decodeHistory(a.body()) : List.of();
    } catch (InvalidMessageException e) {
      return List.of();
    }
  }

  /** How a league's game stands by the records; throws with the reason where they are not read. */
  public List<String> describeGame(String league, long number) throws InvalidMessageException {
    return records.game(league, number);
  }

  @Override
  public void close() {
    pool.shutdownNow();
  }
}
