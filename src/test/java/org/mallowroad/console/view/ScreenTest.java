package org.mallowroad.console.view;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.console.report.Report;
import org.mallowroad.console.view.NodeView.Standing;
import org.mallowroad.console.view.Screen.Page;
import org.mallowroad.console.view.Screen.Sort;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeStatus;
import org.mallowroad.core.explain.PendingCause;
import org.mallowroad.core.explain.PendingCauseSummary;

/** What people see: within the width, without what a terminal or a browser would obey. */
final class ScreenTest {
  private static final String EVIL = "<script>x\u001b[2J\u202e";

  private static JobLine job(int i, String team, PendingCause r, int waiting, double dueS) {
    return new JobLine(
        "job-" + i,
        team,
        "class",
        2,
        waiting + 1,
        0,
        1,
        0,
        waiting,
        0,
        100 + i,
        dueS != 0,
        dueS,
        false,
        0,
        r == null ? "" : r.name(),
        r == null ? -1 : 10 + i,
        -1,
        "",
        "evidence");
  }

  private static Overview overview(List<JobLine> jobs) {
    NodeSnapshot p =
        new NodeSnapshot(
            NodeSnapshot.FORMAT_VERSION,
            "n0",
            NodeSnapshot.Phase.LEADING,
            3,
            "n0",
            1_000,
            500,
            4,
            0.1,
            true,
            new NodeSnapshot.Totals(jobs.size(), 9, 0, 5, 2, 1, 7, 6, 1.5, 0),
            List.of(new NodeSnapshot.TeamLine(EVIL, 4, 8, 16, 9, 5)),
            jobs,
            0,
            List.of(new NodeSnapshot.ZoneLine("north", 4, 3, true, 12)),
            List.of(
                new NodeSnapshot.MachineLine("north", EVIL, true, 2, 1, 0, 1, 0, 0, 8, 4, 1.5, 30)),
            PendingCauseSummary.summarize(jobs));
    List<NodeView> nodes =
        List.of(
            NodeView.answered("127.0.0.1:1", 3, new NodeStatus(1, "n0", 0, List.of(), 0.2, p)),
            NodeView.failed("127.0.0.1:2", Standing.REFUSING, "refuses connections", 1));
    return Overview.of(nodes, RecordedState.notRead("", ""), 1_000_000);
  }

  private static List<JobLine> many(int n) {
    List<JobLine> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(
          job(i, i % 2 == 0 ? EVIL : "b", PendingCause.TEAM_LIMIT, i, i % 3 == 0 ? 500 - i : 0));
    }
    return out;
  }

  @Test
  void everyPageKeepsToItsWidthAndHeightAndObeysNobody() {
    Overview o = overview(many(400));
    for (Page page : Page.values()) {
      for (int width : new int[] {10, 80, 132}) {
        Screen s = new Screen(width, 24);
        for (int at : new int[] {0, 3, 9_999}) {
          List<String> lines = s.render(o, new Screen.ViewOptions(page, Sort.QUEUE, "", at));
          assertTrue(lines.size() <= 24, page + " has " + lines.size() + " lines");
          for (String l : lines) {
            assertTrue(l.length() <= Math.max(80, width), l);
            assertTrue(l.chars().noneMatch(c -> Character.isISOControl(c) || c == 0x202e), l);
          }
        }
      }
    }
  }

  @Test
  void linesAreSortedFilteredAndPaged() {
    Overview o = overview(many(100));
    Screen s = new Screen(80, 0);
    assertEquals("job-99", firstJob(s, o, new Screen.ViewOptions(Page.JOBS, Sort.WAITING, "", 0)));
    assertEquals("job-99", firstJob(s, o, new Screen.ViewOptions(Page.JOBS, Sort.LONGEST, "", 0)));
    assertEquals("job-99", firstJob(s, o, new Screen.ViewOptions(Page.JOBS, Sort.DUE, "", 0)));
    assertEquals("job-0", firstJob(s, o, new Screen.ViewOptions(Page.JOBS, Sort.QUEUE, "", 0)));
    List<String> found = s.render(o, new Screen.ViewOptions(Page.JOBS, Sort.QUEUE, "JOB-42", 0));
    assertEquals(1, found.stream().filter(l -> l.startsWith("job-")).count());
    // Each job stands on exactly one of the pages.
    Screen small = new Screen(80, 24);
    List<String> seen = new ArrayList<>();
    for (int page = 0; page < 30; page++) {
      List<String> lines = small.render(o, new Screen.ViewOptions(Page.JOBS, Sort.QUEUE, "", page));
      String last = lines.get(lines.size() - 1);
      lines.stream().filter(l -> l.startsWith("job-")).map(l -> l.split(" ")[0]).forEach(seen::add);
      if (last.matches("-- page (\\d+) of \\1 --")) {
        break;
      }
    }
    assertEquals(100, seen.size());
    assertEquals(100, seen.stream().distinct().count());
  }

  private static String firstJob(Screen s, Overview o, Screen.ViewOptions look) {
    return s.render(o, look).stream()
        .filter(l -> l.startsWith("job-"))
        .findFirst()
        .orElse("")
        .split(" ")[0];
  }

  @Test
  void thePageHoldsNothingOfTheUsersThatABrowserObeys() throws Exception {
    Overview o = overview(many(20));
    List<MetricSample> past = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      NodeSnapshot p = o.picture();
      MetricSample s = MetricSample.of(p);
      past.add(
          new MetricSample(
              1_000 + 15_000 * i,
              3,
              10L * i,
              9L * i,
              1.5,
              s.waiting(),
              s.running(),
              s.machines(),
              s.reasons()));
    }
    String page = Report.renderPage(o, past);
    assertFalse(page.contains("<script>x"), "a team's name is not escaped");
    assertTrue(page.contains("&lt;script&gt;x"));
    assertEquals(6, page.split("<svg ", -1).length - 1, "plots");
    assertFalse(page.matches("(?s).*(src|href)=\"?(https?:)?//.*"), "asks for a network");
    int first = page.indexOf("Look at this first");
    assertTrue(first > page.indexOf("Controllers") && page.indexOf("Zone north") > first);
  }

  @Test
  void whatComesFirstIsWhatStandsInMostPeoplesWay() {
    List<JobLine> jobs =
        List.of(
            job(1, "a", PendingCause.TEAM_LIMIT, 5, 0),
            job(2, "b", PendingCause.CLOUD_REFUSES, 50, -30),
            job(3, "b", null, 0, 0));
    List<String> first = overview(jobs).first();
    assertTrue(first.get(0).startsWith("Zone north is cut off: 3 of 4 machines"), first.toString());
    assertTrue(first.get(1).startsWith("1 job is past the deadline, job-2"), first.toString());
    assertTrue(first.get(2).startsWith("50 tasks of b"), first.toString());
    assertTrue(first.get(3).startsWith("5 tasks of a"), first.toString());
    assertTrue(first.get(4).startsWith("Node 127.0.0.1:2 is refusing"), first.toString());
  }

  /** A node of a newer build may have reasons that this one does not know. */
  @Test
  void aReasonOfAnotherBuildIsShownByItsName() throws Exception {
    JobLine l = job(1, "a", PendingCause.TEAM_LIMIT, 5, 0);
    JobLine newer =
        new JobLine(
            l.id(),
            l.team(),
            l.taskClass(),
            2,
            6,
            0,
            1,
            0,
            5,
            0,
            100,
            false,
            0,
            false,
            0,
            "MOON_PHASE",
            10,
            -1,
            "",
            "evidence");
    Overview o = overview(List.of(newer));
    assertTrue(o.first().toString().contains("moon phase"), o.first().toString());
    assertTrue(Report.renderPage(o, List.of()).contains("moon phase"));
  }

  @Test
  void ages() {
    Object[][] table = {
      {-1.0, "-"},
      {0.04, "0.0s"},
      {9.94, "9.9s"},
      {9.96, "10s"},
      {59.6, "1m00s"},
      {3599.4, "59m59s"},
      {7505.0, "2h05m"},
    };
    for (Object[] row : table) {
      assertEquals(row[1], DurationFormat.of((Double) row[0]));
    }
  }
}
