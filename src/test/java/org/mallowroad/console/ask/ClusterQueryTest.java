package org.mallowroad.console.ask;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.console.view.NodeView;
import org.mallowroad.console.view.NodeView.Standing;
import org.mallowroad.console.view.Overview;

/** Whoever answers something else than expected, or nothing, is one clear line. */
final class ClusterQueryTest {
  private static HttpServer answering(int status, String body) throws Exception {
    HttpServer s = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    s.createContext(
        "/",
        x -> {
          x.sendResponseHeaders(status, bytes.length);
          x.getResponseBody().write(bytes);
          x.close();
        });
    s.start();
    return s;
  }

  private static String at(HttpServer s) {
    return "127.0.0.1:" + s.getAddress().getPort();
  }

  private record Case(int status, String body, Standing standing, String problem) {}

  @Test
  void nodesThatAnswerOtherwise() throws Exception {
    List<Case> table =
        List.of(
            new Case(404, "", Standing.STRANGE, "answers 404: not a console of this build"),
            new Case(200, "<html>", Standing.STRANGE, "not a valid console response"),
            new Case(200, "null", Standing.STRANGE, "not a valid console response"),
            new Case(200, "{}", Standing.STRANGE, "not a valid console response"),
            new Case(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":1,\"phase\":\"LEADING\",\"totals\":{},\"teams\":[],\"jobs\":[null],\"zones\":[],\"machines\":[],\"reasons\":[]}}",
                Standing.STRANGE,
                "not a valid console response"),
            new Case(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":1,\"phase\":\"LEADING\",\"totals\":{},\"teams\":[],\"jobs\":[{}],\"zones\":[],\"machines\":[],\"reasons\":[]}}",
                Standing.STRANGE,
                "not a valid console response"),
            new Case(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":1,\"phase\":\"LEADING\",\"totals\":{},\"teams\":[],\"jobs\":[{\"id\":\"job-1\"}],\"zones\":[],\"machines\":[],\"reasons\":[]}}",
                Standing.STRANGE,
                "not a valid console response"),
            new Case(
                200,
                "{\"format\":9,\"node\":\"n\",\"stack\":[],\"picture\":{\"format\":9}}",
                Standing.STRANGE,
                "invalid snapshot: format 9, expected 1"),
            new Case(
                200,
                "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":null,\"later\":1}",
                Standing.NO_LEADER,
                "it has only just started"));
    for (Case c : table) {
      HttpServer s = answering(c.status, c.body);
      try (ClusterQuery asker = new ClusterQuery(List.of(at(s)), "")) {
        NodeView n = asker.fetchOverview().nodes().get(0);
        assertEquals(c.standing, n.standing(), c.body);
        assertEquals(c.problem, n.problem(), c.body);
      } finally {
        s.stop(0);
      }
    }
  }

  @Test
  void oneThatHangsAndOneThatRefusesCostTheirTimeOutOnly() throws Exception {
    HttpServer good = answering(200, "{\"format\":1,\"node\":\"n\",\"stack\":[],\"picture\":null}");
    int free;
    try (ServerSocket s = new ServerSocket(0)) {
      free = s.getLocalPort();
    }
    try (ServerSocket hangs = new ServerSocket(0);
        ClusterQuery asker =
            new ClusterQuery(
                List.of(
                    "127.0.0.1:" + hangs.getLocalPort(),
                    "127.0.0.1:" + free,
                    "no-such-host.invalid:7070",
                    at(good)),
                "")) {
      asker.fetchOverview();
      long began = System.nanoTime();
      Overview o = asker.fetchOverview();
      long ms = (System.nanoTime() - began) / 1_000_000;
      assertTrue(ms < 2_000, ms + " ms");
      assertEquals(
          List.of(Standing.HANGING, Standing.REFUSING, Standing.STRANGE, Standing.NO_LEADER),
          o.nodes().stream().map(NodeView::standing).toList());
      assertEquals("no such host", o.nodes().get(2).problem());
    } finally {
      good.stop(0);
    }
  }

  @Test
  void aStateServiceThatAnswersGarbageIsALine() throws Exception {
    String[][] table = {
      {"200", "<?", "answers something that is not JSON"},
      {"500", "{}", "answers 500"},
      {"200", "{\"pairs\":[{\"key\":\"else\"}]}", "answers with something else than records"},
      {
        "200",
        "{\"pairs\":[{\"key\":\"run/x\",\"v\":{}}]}",
        "answers with something else than records"
      },
      {
        "200",
        "{\"pairs\":[{\"key\":\"open/job-1\",\"v\":{\"done\":\"zz\"}}]}",
        "answers with something else than records"
      },
    };
    for (String[] row : table) {
      HttpServer s = answering(Integer.parseInt(row[0]), row[1]);
      try (ClusterQuery asker = new ClusterQuery(List.of("127.0.0.1:1"), at(s))) {
        Overview o = asker.fetchOverview();
        assertEquals(row[2], o.recorded().problem());
        assertTrue(o.first().toString().contains(row[2]), o.first().toString());
      } finally {
        s.stop(0);
      }
    }
  }

  @Test
  void theRecordsAreReadWithinABudget() throws Exception {
    StringBuilder page = new StringBuilder("{\"truncated\":true,\"epoch\":1,\"pairs\":[");
    page.append("{\"key\":\"hire/r-1\",\"v\":{}}]}");
    int[] asked = new int[1];
    HttpServer s = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    s.createContext(
        "/",
        x -> {
          asked[0]++;
          String query = x.getRequestURI().getQuery();
          boolean hires = query != null && query.contains("under=hire/");
          byte[] b =
              (hires ? page.toString() : "{\"pairs\":[],\"truncated\":false}")
                  .getBytes(StandardCharsets.UTF_8);
          x.sendResponseHeaders(query == null ? 404 : 200, b.length);
          x.getResponseBody().write(b);
          x.close();
        });
    s.start();
    try (ClusterQuery asker = new ClusterQuery(List.of("127.0.0.1:1"), at(s))) {
      Overview o = asker.fetchOverview();
      assertTrue(o.recorded().partial(), o.recorded().toString());
      assertEquals(RecordInspector.MOST_READS, o.recorded().reads());
      assertEquals(RecordInspector.MOST_READS, asked[0]);
    } finally {
      s.stop(0);
    }
  }
}
