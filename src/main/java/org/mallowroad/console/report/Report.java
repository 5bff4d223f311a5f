package org.mallowroad.console.report;

import freemarker.core.HTMLOutputFormat;
import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.StringWriter;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.mallowroad.console.view.DurationFormat;
import org.mallowroad.console.view.NodeView;
import org.mallowroad.console.view.Overview;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeSnapshot.MachineLine;
import org.mallowroad.core.explain.NodeSnapshot.ReasonLine;
import org.mallowroad.core.explain.NodeSnapshot.TeamLine;

/**
 * Renders a self-contained HTML page, which loads no script, style, font or image from elsewhere.
 * The template's output format escapes all external text. Only the plots are inserted unescaped,
 * because the plotting library has already escaped their text.
 */
public final class Report {
  private static final List<String> PRIORITY_NAMES =
      List.of("critical", "urgent", "normal", "idle");

  private Report() {}

  /** A table with the column names in {@code head}. */
  public record Table(String id, String title, List<String> head, List<List<Cell>> rows) {
    /** Read by the report template. */
    public String getId() {
      return id;
    }

    /** Read by the report template. */
    public String getTitle() {
      return title;
    }

    /** Read by the report template. */
    public List<String> getHead() {
      return head;
    }

    /** Read by the report template. */
    public List<List<Cell>> getRows() {
      return rows;
    }
  }

  /** A table cell: the displayed text and the key by which its column is sorted. */
  public record Cell(String text, String key) {
    /** Read by the report template. */
    public String getText() {
      return text;
    }

    /** Read by the report template. */
    public String getKey() {
      return key;
    }
  }

  /**
   * Renders the page.
   *
   * @param samples the metric samples for the plots
   */
  public static String renderPage(Overview overview, List<MetricSample> samples)
      throws IOException {
    Map<String, Object> model = new LinkedHashMap<>();
    model.put(
        "made",
        DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss 'UTC'", Locale.ROOT)
            .format(Instant.ofEpochMilli(overview.atMs()).atOffset(ZoneOffset.UTC)));
    model.put("source", overview.source());
    model.put("age", overview.ageS() < 0 ? "" : DurationFormat.of(overview.ageS()));
    model.put("first", overview.first());
    model.put("facts", facts(overview));
    model.put("tables", tables(overview));
    String noPlots = "";
    List<Plots.Plot> plots = List.of();
    if (samples.size() < 2) {
      noPlots =
          "No plots: the consoles have fewer than two metric samples yet (one is kept every 15 s).";
    } else {
      try {
        System.setProperty("java.awt.headless", "true");
        plots = new Plots(samples).drawAll();
      } catch (RuntimeException | LinkageError | InternalError e) {
        // Without any font on the machine, the library cannot measure text. The tables make the
        // page
        // useful even without plots.
        noPlots = "No plots: this machine has no fonts (install fontconfig and a font).";
      }
    }
    model.put("plots", plots);
    model.put("noPlots", noPlots);
    Configuration configuration = new Configuration(Configuration.VERSION_2_3_34);
    configuration.setClassForTemplateLoading(Report.class, "");
    configuration.setDefaultEncoding("UTF-8");
    configuration.setOutputFormat(HTMLOutputFormat.INSTANCE);
    configuration.setLocale(Locale.ROOT);
    configuration.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
    configuration.setLogTemplateExceptions(false);
    StringWriter writer = new StringWriter();
    try {
      configuration.getTemplate("report.ftlh").process(model, writer);
    } catch (TemplateException e) {
      throw new IOException(e);
    }
    return writer.toString();
  }

  private static List<String> facts(Overview overview) {
    List<String> lines = new ArrayList<>();
    NodeSnapshot snapshot = overview.picture();
    if (snapshot == null) {
      lines.add(
          overview.recorded().wasRead()
              ? overview.jobs().size() + " open jobs on record"
              : "open jobs unknown");
      lines.add("machines unknown");
      return lines;
    }
    NodeSnapshot.Totals totals = snapshot.totals();
    lines.add(totals.jobs() + " open jobs");
    lines.add(totals.waiting() + " tasks wait");
    lines.add(totals.starting() + " start");
    lines.add(totals.running() + " run");
    lines.add(totals.machines() + " machines, " + totals.booting() + " booting");
    lines.add(String.format(Locale.ROOT, "%.2f per hour", totals.moneyPerHour()));
    return lines;
  }

  private static Cell textCell(String text) {
    return new Cell(text, text);
  }

  private static Cell numberCell(long value) {
    return new Cell(Long.toString(value), Long.toString(value));
  }

  private static Cell numberCell(double value) {
    return new Cell(String.format(Locale.ROOT, "%.1f", value), Double.toString(value));
  }

  private static Cell durationCell(double seconds) {
    return new Cell(DurationFormat.of(seconds), Double.toString(seconds));
  }

  private static List<Table> tables(Overview overview) {
    List<Table> result = new ArrayList<>();
    List<List<Cell>> rows = new ArrayList<>();
    for (ReasonLine line : overview.reasons()) {
      rows.add(
          List.of(
              textCell(line.team()),
              textCell(line.taskClass()),
              textCell(Overview.describeReason(line.reason())),
              numberCell(line.jobs()),
              numberCell(line.tasks()),
              durationCell(line.longestS()),
              textCell(line.exampleJob()),
              textCell(line.detail())));
    }
    result.add(
        new Table(
            "why",
            "Why tasks wait",
            List.of("team", "class", "why", "jobs", "tasks", "longest", "for example", "evidence"),
            rows));
    rows = new ArrayList<>();
    for (JobLine job : overview.jobs()) {
      rows.add(
          List.of(
              textCell(job.id()),
              textCell(job.team()),
              textCell(job.taskClass()),
              new Cell(priorityName(job.priority()), Integer.toString(job.priority())),
              numberCell(job.tasks()),
              numberCell(job.done()),
              numberCell(job.running()),
              numberCell(job.starting()),
              numberCell(job.waiting()),
              numberCell(job.silent()),
              durationCell(job.ageS()),
              deadlineCell(job),
              textCell(job.reason().isEmpty() ? "" : Overview.describeReason(job.reason())),
              textCell(job.detail())));
    }
    result.add(
        new Table(
            "jobs",
            "Open jobs"
                + (overview.jobsLeftOut() > 0 ? " (" + overview.jobsLeftOut() + " left out)" : ""),
            List.of(
                "job",
                "team",
                "class",
                "rank",
                "tasks",
                "done",
                "run",
                "start",
                "wait",
                "silent",
                "age",
                "due in",
                "why",
                "evidence"),
            rows));
    if (overview.picture() != null) {
      addSnapshotTables(overview.picture(), result);
    }
    rows = new ArrayList<>();
    for (NodeView node : overview.nodes()) {
      rows.add(
          List.of(
              textCell(node.name()),
              textCell(node.address()),
              textCell(node.standing().description()),
              numberCell(node.tookMs()),
              node.sight() == null ? textCell("-") : numberCell(node.sight().loopLateMs()),
              node.sight() == null ? textCell("-") : durationCell(node.sight().pictureAgeS()),
              textCell(node.problem()),
              textCell(node.sight() == null ? "" : String.join(" < ", node.sight().stack()))));
    }
    result.add(
        new Table(
            "nodes",
            "Controllers",
            List.of(
                "node",
                "address",
                "standing",
                "answered ms",
                "loop latency ms",
                "picture",
                "problem",
                "event loop stack"),
            rows));
    return result;
  }

  private static void addSnapshotTables(NodeSnapshot snapshot, List<Table> result) {
    List<List<Cell>> rows = new ArrayList<>();
    for (TeamLine team : snapshot.teams()) {
      rows.add(
          List.of(
              textCell(team.name()),
              numberCell(team.waiting()),
              numberCell(team.running()),
              numberCell(team.usedCpus()),
              numberCell(team.guaranteeCpus()),
              numberCell(team.limitCpus())));
    }
    result.add(
        new Table(
            "teams",
            "Teams",
            List.of("team", "waiting", "running", "CPUs used", "guaranteed", "limit"),
            rows));
    rows = new ArrayList<>();
    for (MachineLine machine : snapshot.machines()) {
      rows.add(
          List.of(
              textCell(machine.zone()),
              textCell(machine.type()),
              textCell(machine.spot() ? "spot" : "ordinary"),
              numberCell(machine.machines()),
              numberCell(machine.booting()),
              numberCell(machine.empty()),
              numberCell(machine.silent()),
              numberCell(machine.doubted()),
              numberCell(machine.leaving()),
              numberCell(machine.cpus()),
              numberCell(machine.bookedCpus()),
              numberCell(machine.moneyPerHour()),
              durationCell(machine.refusedForS())));
    }
    result.add(
        new Table(
            "machines",
            "Machines",
            List.of(
                "zone",
                "type",
                "kind",
                "there",
                "booting",
                "empty",
                "silent",
                "slow or faulty",
                "leaving",
                "CPUs",
                "booked",
                "money per hour",
                "refused for"),
            rows));
    rows = new ArrayList<>();
    for (NodeSnapshot.ZoneLine zone : snapshot.zones()) {
      rows.add(
          List.of(
              textCell(zone.name()),
              numberCell(zone.machines()),
              numberCell(zone.silent()),
              textCell(zone.cut() ? "cut off" : ""),
              durationCell(zone.cut() ? zone.cutForS() : -1)));
    }
    result.add(new Table("zones", "Zones", List.of("zone", "machines", "silent", "", "for"), rows));
  }

  private static String priorityName(int priority) {
    return priority >= 0 && priority < PRIORITY_NAMES.size() ? PRIORITY_NAMES.get(priority) : "?";
  }

  private static Cell deadlineCell(JobLine job) {
    if (!job.hasDue()) {
      return new Cell("-", "1e300");
    }
    String text =
        job.dueS() < 0
            ? "late by " + DurationFormat.of(-job.dueS())
            : DurationFormat.of(job.dueS());
    return new Cell(text, Double.toString(job.dueS()));
  }
}
