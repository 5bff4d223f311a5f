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

/**
 * Checks that screens and reports fit their size, and that names chosen by users cannot inject
 * control sequences into the terminal or markup into the HTML page.
 */
final class ScreenTest {
  private static final String HOSTILE_NAME = "<script>x\u001b[2J\u202e";

  private static JobLine job(
      int number, String team, PendingCause cause, int waiting, double dueS) {
    return new JobLine(
        "job-" + number,
        team,
        "class",
        2,
        waiting + 1,
        0,
        1,
        0,
        waiting,
        0,
        100 + number,
        dueS != 0,
        dueS,
        false,
        0,
        cause == null ? "" : cause.name(),
        cause == null ? -1 : 10 + number,
        -1,
        "",
        "evidence");
  }

  private static Overview overview(List<JobLine> jobs) {
    NodeSnapshot snapshot =
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
            List.of(new NodeSnapshot.TeamLine(HOSTILE_NAME, 4, 8, 16, 9, 5)),
            jobs,
            0,
            List.of(new NodeSnapshot.ZoneLine("north", 4, 3, true, 12)),
            List.of(
                new NodeSnapshot.MachineLine(
                    "north", HOSTILE_NAME, true, 2, 1, 0, 1, 0, 0, 8, 4, 1.5, 30)),
            PendingCauseSummary.summarize(jobs));
    List<NodeView> nodes =
        List.of(
            NodeView.answered(
                "127.0.0.1:1", 3, new NodeStatus(1, "n0", 0, List.of(), 0.2, snapshot)),
            NodeView.failed("127.0.0.1:2", Standing.REFUSING, "refuses connections", 1));
    return Overview.of(nodes, RecordedState.notRead("", ""), 1_000_000);
  }

  private static List<JobLine> jobs(int count) {
    List<JobLine> result = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      result.add(
          job(
              i,
              i % 2 == 0 ? HOSTILE_NAME : "b",
              PendingCause.TEAM_LIMIT,
              i,
              i % 3 == 0 ? 500 - i : 0));
    }
    return result;
  }

  @Test
  void everyPageFitsTheScreenAndHasNoControlCharacters() {
    Overview overview = overview(jobs(400));
    for (Page page : Page.values()) {
      for (int width : new int[] {10, 80, 132}) {
        Screen screen = new Screen(width, 24);
        for (int pageIndex : new int[] {0, 3, 9_999}) {
          List<String> lines =
              screen.render(overview, new Screen.ViewOptions(page, Sort.QUEUE, "", pageIndex));
          assertTrue(lines.size() <= 24, page + " has " + lines.size() + " lines");
          for (String line : lines) {
            assertTrue(line.length() <= Math.max(80, width), line);
            assertTrue(line.chars().noneMatch(c -> Character.isISOControl(c) || c == 0x202e), line);
          }
        }
      }
    }
  }

  @Test
  void linesAreSortedFilteredAndPaged() {
    Overview overview = overview(jobs(100));
    Screen screen = new Screen(80, 0);
    assertEquals(
        "job-99",
        firstJob(screen, overview, new Screen.ViewOptions(Page.JOBS, Sort.WAITING, "", 0)));
    assertEquals(
        "job-99",
        firstJob(screen, overview, new Screen.ViewOptions(Page.JOBS, Sort.LONGEST, "", 0)));
    assertEquals(
        "job-99", firstJob(screen, overview, new Screen.ViewOptions(Page.JOBS, Sort.DUE, "", 0)));
    assertEquals(
        "job-0", firstJob(screen, overview, new Screen.ViewOptions(Page.JOBS, Sort.QUEUE, "", 0)));
    List<String> matching =
        screen.render(overview, new Screen.ViewOptions(Page.JOBS, Sort.QUEUE, "JOB-42", 0));
    assertEquals(1, matching.stream().filter(line -> line.startsWith("job-")).count());
    // Each job is on exactly one of the pages.
    Screen pagedScreen = new Screen(80, 24);
    List<String> listedJobs = new ArrayList<>();
    for (int page = 0; page < 30; page++) {
      List<String> lines =
          pagedScreen.render(overview, new Screen.ViewOptions(Page.JOBS, Sort.QUEUE, "", page));
      String lastLine = lines.get(lines.size() - 1);
      lines.stream()
          .filter(line -> line.startsWith("job-"))
          .map(line -> line.split(" ")[0])
          .forEach(listedJobs::add);
      if (lastLine.matches("-- page (\\d+) of \\1 --")) {
        break;
      }
    }
    assertEquals(100, listedJobs.size());
    assertEquals(100, listedJobs.stream().distinct().count());
  }

  private static String firstJob(Screen screen, Overview overview, Screen.ViewOptions options) {
    return screen.render(overview, options).stream()
        .filter(line -> line.startsWith("job-"))
        .findFirst()
        .orElse("")
        .split(" ")[0];
  }

  @Test
  void reportEscapesUserNamesAndLoadsNothingFromTheNetwork() throws Exception {
    Overview overview = overview(jobs(20));
    List<MetricSample> samples = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      NodeSnapshot snapshot = overview.picture();
      MetricSample template = MetricSample.of(snapshot);
      samples.add(
          new MetricSample(
              1_000 + 15_000 * i,
              3,
              10L * i,
              9L * i,
              1.5,
              template.waiting(),
              template.running(),
              template.machines(),
              template.reasons()));
    }
    String page = Report.renderPage(overview, samples);
    assertFalse(page.contains("<script>x"), "the name of a team is not escaped");
    assertTrue(page.contains("&lt;script&gt;x"));
    assertEquals(6, page.split("<svg ", -1).length - 1, "plots");
    assertFalse(
        page.matches("(?s).*(src|href)=\"?(https?:)?//.*"),
        "the page loads something from the network");
    int first = page.indexOf("Look at this first");
    assertTrue(first > page.indexOf("Controllers") && page.indexOf("Zone north") > first);
  }

  @Test
  void findingsAreListedByImportance() {
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

  /**
   * A node of a newer build may report reasons that this build does not know; they must not break
   * the overview.
   */
  @Test
  void unknownReasonOfANewerBuildIsShownByItsName() throws Exception {
    JobLine known = job(1, "a", PendingCause.TEAM_LIMIT, 5, 0);
    JobLine newer =
        new JobLine(
            known.id(),
            known.team(),
            known.taskClass(),
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
    Overview overview = overview(List.of(newer));
    assertTrue(overview.first().toString().contains("moon phase"), overview.first().toString());
    assertTrue(Report.renderPage(overview, List.of()).contains("moon phase"));
  }

  @Test
  void durationsAreFormattedByLength() {
    Object[][] cases = {
      {-1.0, "-"},
      {0.04, "0.0s"},
      {9.94, "9.9s"},
      {9.96, "10s"},
      {59.6, "1m00s"},
      {3599.4, "59m59s"},
      {7505.0, "2h05m"},
    };
    for (Object[] testCase : cases) {
      assertEquals(testCase[1], DurationFormat.of((Double) testCase[0]));
    }
  }
}
