package org.mallowroad.console.ask;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.console.view.NodeView;
import org.mallowroad.console.view.NodeView.Standing;
import org.mallowroad.console.view.Overview;

/**
 * Checks that nodes and state services that return invalid responses, or none, are reported as one
 * clear problem each instead of failing or delaying the whole query.
 */
final class ClusterQueryTest {
  private static HttpServer startServer(int status, String body) throws Exception {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(status, bytes.length);
          exchange.getResponseBody().write(bytes);
          exchange.close();
        });
    server.start();
    return server;
  }

  private static String addressOf(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** A socket that refuses connections and keeps its port from every other process. */
  private static Socket boundSocket() throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress("127.0.0.1", 0));
    return socket;
  }

  private record TestCase(int status, String body, Standing standing, String problem) {}

  @Test
  void invalidNodeAnswersAreReportedAsOneClearProblem() throws Exception {
    List<TestCase> cases =
        List.of(
            new TestCase(
                404, "", Standing.STRANGE, "returned HTTP status 404: not a console of this build"),
            new TestCase(200, "<html>", Standing.STRANGE, "not a valid console response"),
            new TestCase(200, "null", Standing.STRANGE, "not a valid console response"),
            new TestCase(200, "{}", Standing.STRANGE, "not a valid console response"),
            new TestCase(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":1,\"phase\":\"LEADING\",\"totals\":{},\"teams\":[],\"jobs\":[null],\"zones\":[],\"machines\":[],\"reasons\":[]}}",
                Standing.STRANGE,
                "not a valid console response"),
            new TestCase(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":1,\"phase\":\"LEADING\",\"totals\":{},\"teams\":[],\"jobs\":[{}],\"zones\":[],\"machines\":[],\"reasons\":[]}}",
                Standing.STRANGE,
                "not a valid console response"),
            new TestCase(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":1,\"phase\":\"LEADING\",\"totals\":{},\"teams\":[],\"jobs\":[{\"id\":\"job-1\"}],\"zones\":[],\"machines\":[],\"reasons\":[]}}",
                Standing.STRANGE,
                "not a valid console response"),
            new TestCase(
                200,
                "{\"format\":9,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":9}}",
                Standing.STRANGE,
                "invalid snapshot: format 9, expected 1"),
            new TestCase(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":null,\"later\":1}",
                Standing.NO_LEADER,
                "it has just started and has no snapshot yet"));
    for (TestCase testCase : cases) {
      HttpServer server = startServer(testCase.status, testCase.body);
      try (ClusterQuery clusterQuery = new ClusterQuery(List.of(addressOf(server)), "")) {
        NodeView view = clusterQuery.fetchOverview().nodes().get(0);
        assertEquals(testCase.standing, view.standing(), testCase.body);
        assertEquals(testCase.problem, view.problem(), testCase.body);
      } finally {
        server.stop(0);
      }
    }
  }

  @Test
  void unresponsiveNodesDelayTheOverviewByAtMostTheirTimeout() throws Exception {
    HttpServer responsive =
        startServer(200, "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":null}");
    try (ServerSocket hanging = new ServerSocket(0);
        Socket notListening = boundSocket();
        ClusterQuery clusterQuery =
            new ClusterQuery(
                List.of(
                    "127.0.0.1:" + hanging.getLocalPort(),
                    "127.0.0.1:" + notListening.getLocalPort(),
                    "no-such-host.invalid:7070",
                    addressOf(responsive)),
                "")) {
      clusterQuery.fetchOverview();
      long startNs = System.nanoTime();
      Overview overview = clusterQuery.fetchOverview();
      long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
      assertTrue(elapsedMs < 2_000, elapsedMs + " ms");
      assertEquals(
          List.of(Standing.HANGING, Standing.REFUSING, Standing.STRANGE, Standing.NO_LEADER),
          overview.nodes().stream().map(NodeView::standing).toList());
      assertEquals("no such host", overview.nodes().get(2).problem());
    } finally {
      responsive.stop(0);
    }
  }

  @Test
  void invalidStateServiceAnswersAreReportedAsOneClearProblem() throws Exception {
    String[][] cases = {
      {"200", "<?", "returned a response that is not JSON"},
      {"500", "{}", "returned HTTP status 500"},
      {"200", "{\"pairs\":[{\"key\":\"else\"}]}", "returned something other than valid records"},
      {
        "200",
        "{\"pairs\":[{\"key\":\"run/x\",\"v\":{}}]}",
        "returned something other than valid records"
      },
      {
        "200",
        "{\"pairs\":[{\"key\":\"open/job-1\",\"v\":{\"done\":\"zz\"}}]}",
        "returned something other than valid records"
      },
    };
    for (String[] testCase : cases) {
      HttpServer server = startServer(Integer.parseInt(testCase[0]), testCase[1]);
      try (ClusterQuery clusterQuery =
          new ClusterQuery(List.of("127.0.0.1:1"), addressOf(server))) {
        Overview overview = clusterQuery.fetchOverview();
        assertEquals(testCase[2], overview.recorded().problem());
        assertTrue(overview.first().toString().contains(testCase[2]), overview.first().toString());
      } finally {
        server.stop(0);
      }
    }
  }

  @Test
  void recordsAreReadWithinTheRequestLimit() throws Exception {
    StringBuilder page = new StringBuilder("{\"truncated\":true,\"epoch\":1,\"pairs\":[");
    page.append("{\"key\":\"hire/r-1\",\"v\":{}}]}");
    int[] requestCount = new int[1];
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    server.createContext(
        "/",
        exchange -> {
          requestCount[0]++;
          String query = exchange.getRequestURI().getQuery();
          boolean readsRentals = query != null && query.contains("under=hire/");
          byte[] responseBody =
              (readsRentals ? page.toString() : "{\"pairs\":[],\"truncated\":false}")
                  .getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(query == null ? 404 : 200, responseBody.length);
          exchange.getResponseBody().write(responseBody);
          exchange.close();
        });
    server.start();
    try (ClusterQuery clusterQuery = new ClusterQuery(List.of("127.0.0.1:1"), addressOf(server))) {
      Overview overview = clusterQuery.fetchOverview();
      assertTrue(overview.recorded().partial(), overview.recorded().toString());
      assertEquals(RecordInspector.MAX_READS, overview.recorded().reads());
      assertEquals(RecordInspector.MAX_READS, requestCount[0]);
    } finally {
      server.stop(0);
    }
  }
}
