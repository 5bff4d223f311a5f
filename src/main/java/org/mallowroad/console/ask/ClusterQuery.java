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
 * Queries a cluster: all nodes and the state service concurrently, so that one that hangs delays
 * the result only by its own timeout. While a leader answers, the state service is queried only
 * occasionally.
 */
public final class ClusterQuery implements AutoCloseable {
  /** The timeout of a request to a node, after which the node counts as hanging. */
  private static final long NODE_TIMEOUT_MS = 1_000;

  /** The timeout for reading the records, including waits for the request rate limit. */
  private static final long RECORDS_TIMEOUT_MS = 3_500;

  /** While a leader answers, the records are read again only after this time. */
  private static final long RECORDS_REFRESH_MS = 10_000;

  private static final int MAX_RESPONSE_BYTES = 8 << 20;
  private static final int MAX_NODES = 64;

  private final List<String> nodes;
  private final RecordInspector recordInspector;
  private final String stateAddress;
  private final BoundedHttpGet httpGet;
  private final ExecutorService executor;
  private RecordedState recordedState;
  private long recordsReadNs;

  /**
   * Creates the query of a cluster.
   *
   * @param nodes the addresses of the nodes' consoles; at most 64 are queried
   * @param stateAddress the address of the state service, or empty to not query it
   */
  public ClusterQuery(List<String> nodes, String stateAddress) {
    this.nodes = List.copyOf(nodes.subList(0, Math.min(MAX_NODES, nodes.size())));
    this.stateAddress = stateAddress;
    this.executor =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "cluster-query");
              thread.setDaemon(true);
              return thread;
            });
    HttpClient http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(NODE_TIMEOUT_MS))
            .executor(executor)
            .build();
    this.httpGet = new BoundedHttpGet(http, Duration.ofMillis(NODE_TIMEOUT_MS), MAX_RESPONSE_BYTES);
    this.recordInspector = new RecordInspector(http, stateAddress);
    this.recordedState = RecordedState.notRead("", "");
  }

  /** Queries the nodes and, if needed, the state service. */
  public Overview fetchOverview() {
    List<Future<NodeView>> pendingViews = new ArrayList<>();
    for (String node : nodes) {
      pendingViews.add(executor.submit(() -> fetchNodeView(node)));
    }
    // The first query reads the records concurrently with the nodes; later ones read them only if
    // needed.
    Future<RecordedState> pendingRecords = recordsReadNs == 0 ? submitRecordsRead() : null;
    List<NodeView> views = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      String node = nodes.get(i);
      views.add(
          await(
              pendingViews.get(i),
              NODE_TIMEOUT_MS + 300,
              () ->
                  NodeView.failed(
                      node, Standing.HANGING, "does not answer in time", NODE_TIMEOUT_MS)));
    }
    if (recordsReadNs == 0) {
      // The first requests of this process are slow, so a node that timed out is queried once more
      // before it counts as hanging.
      for (int i = 0; i < views.size(); i++) {
        if (views.get(i).standing() == Standing.HANGING) {
          String node = nodes.get(i);
          NodeView firstView = views.get(i);
          views.set(
              i,
              await(
                  executor.submit(() -> fetchNodeView(node)),
                  NODE_TIMEOUT_MS + 300,
                  () -> firstView));
        }
      }
    }
    boolean hasLeader = views.stream().anyMatch(view -> view.standing() == Standing.LEADING);
    long recordsAgeMs = (System.nanoTime() - recordsReadNs) / 1_000_000;
    if (pendingRecords == null && (!hasLeader || recordsAgeMs > RECORDS_REFRESH_MS)) {
      pendingRecords = submitRecordsRead();
    }
    if (pendingRecords != null) {
      recordedState =
          await(
              pendingRecords,
              RECORDS_TIMEOUT_MS,
              () -> RecordedState.notRead(stateAddress, "does not answer in time"));
      recordsReadNs = System.nanoTime();
    }
    return Overview.of(views, recordedState, System.currentTimeMillis());
  }

  private Future<RecordedState> submitRecordsRead() {
    return executor.submit(
        () -> stateAddress.isEmpty() ? RecordedState.notRead("", "") : recordInspector.read());
  }

  private static <T> T await(Future<T> future, long timeoutMs, Supplier<T> fallback) {
    try {
      return future.get(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      future.cancel(true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
    return fallback.get();
  }

  private NodeView fetchNodeView(String address) {
    long startNs = System.nanoTime();
    BoundedHttpGet.Response response = httpGet.get(address, ConsoleCodec.PATH_PREFIX + "picture");
    long tookMs = (System.nanoTime() - startNs) / 1_000_000;
    if (response.status() == 0) {
      Standing standing =
          switch (response.failure()) {
            case REFUSED -> Standing.REFUSING;
            case NO_RESPONSE -> Standing.HANGING;
            default -> Standing.STRANGE;
          };
      return NodeView.failed(address, standing, response.problem(), tookMs);
    }
    if (response.status() != 200) {
      return NodeView.failed(
          address,
          Standing.STRANGE,
          "returned HTTP status " + response.status() + ": not a console of this build",
          tookMs);
    }
    try {
      return NodeView.answered(address, tookMs, ConsoleCodec.decodeStatus(response.body()));
    } catch (InvalidMessageException e) {
      return NodeView.failed(address, Standing.STRANGE, e.getMessage(), tookMs);
    }
  }

  /** Fetches a job from the first node that knows the job; returns null if none does. */
  public JobSnapshot fetchJob(String id) {
    return firstAnswer(
        node -> {
          BoundedHttpGet.Response response =
              httpGet.get(node, ConsoleCodec.PATH_PREFIX + "jobs/" + id);
          try {
            return response.status() == 200 ? ConsoleCodec.decodeJob(response.body()) : null;
          } catch (InvalidMessageException e) {
            return null;
          }
        });
  }

  private <T> T firstAnswer(Function<String, T> request) {
    List<Future<T>> pending = new ArrayList<>();
    for (String node : nodes) {
      pending.add(executor.submit(() -> request.apply(node)));
    }
    T found = null;
    for (Future<T> future : pending) {
      T answer = await(future, NODE_TIMEOUT_MS + 300, () -> null);
      found = found == null ? answer : found;
    }
    return found;
  }

  /** Fetches the samples that the nodes kept while each was the leader, ordered by time. */
  public List<MetricSample> fetchHistory() {
    List<Future<List<MetricSample>>> pending = new ArrayList<>();
    for (String address : nodes) {
      pending.add(executor.submit(() -> fetchHistory(address)));
    }
    List<MetricSample> samples = new ArrayList<>();
    for (Future<List<MetricSample>> future : pending) {
      samples.addAll(await(future, NODE_TIMEOUT_MS + 300, List::of));
    }
    samples.sort(Comparator.comparingLong(MetricSample::atMs));
    return samples;
  }

  private List<MetricSample> fetchHistory(String node) {
    BoundedHttpGet.Response response = httpGet.get(node, ConsoleCodec.PATH_PREFIX + "history");
    try {
      return response.status() == 200 ? ConsoleCodec.decodeHistory(response.body()) : List.of();
    } catch (InvalidMessageException e) {
      return List.of();
    }
  }

  /**
   * Describes the claims on a league's game by the records.
   *
   * @throws InvalidMessageException with the reason if the records cannot be read
   */
  public List<String> describeGame(String league, long number) throws InvalidMessageException {
    return recordInspector.describeGame(league, number);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
