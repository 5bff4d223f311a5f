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
 * One self-contained page: no script, style, font or picture comes from elsewhere. All that comes
 * from outside is escaped by the template's output format; only plots, which a library drew, are
 * not escaped again.
 */
public final class Report {
  private static final List<String> RANKS = List.of("critical", "urgent", "normal", "idle");

  private Report() {}

  /** A table: its head, and rows of cells; a cell is a text and the key by which it sorts. */
  public record Table(String id, String title, List<String> head, List<List<Cell>> rows) {
    /** For the template. */
    public String getId() {
      return id;
    }

    /** For the template. */
    public String getTitle() {
      return title;
    }

    /** For the template. */
    public List<String> getHead() {
      return head;
    }

    /** For the template. */
    public List<List<Cell>> getRows() {
      return rows;
    }
  }

  /** A cell. */
  public record Cell(String text, String key) {
    /** For the template. */
    public String getText() {
      return text;
    }

    /** For the template. */
    public String getKey() {
      return key;
    }
  }

  /** The page. */
  public static String renderPage(Overview o, List<MetricSample> past) throws IOException {
    Map<String, Object> model = new LinkedHashMap<>();
    model.put(
        "made",
        DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss 'UTC'", Locale.ROOT)
            .format(Instant.ofEpochMilli(o.atMs()).atOffset(ZoneOffset.UTC)));
    model.put("source", o.source());
    model.put("age", o.ageS() < 0 ? "" : DurationFormat.of(o.ageS()));
    model.put("first", o.first());
    model.put("facts", facts(o));
    model.put("tables", tables(o));
    String noPlots = "";
    List<Plots.Plot> plots = List.of();
    if (past.size() < 2) {
      noPlots = "No plots: the leader's console has no past yet (a point is kept every 15 s).";
    } else {
      try {
        System.setProperty("java.awt.headless", "true");
        plots = new Plots(past).all();
      } catch (RuntimeException | LinkageError | InternalError e) {
        // A machine without any font cannot measure text; the tables are worth having all the same.
        noPlots =
            "No plots: this machine has no fonts to draw with (install fontconfig and a font).";
      }
    }
    model.put("plots", plots);
    model.put("noPlots", noPlots);
    Configuration c = new Configuration(Configuration.VERSION_2_3_34);
    c.setClassForTemplateLoading(Report.class, "");
    c.setDefaultEncoding("UTF-8");
    c.setOutputFormat(HTMLOutputFormat.INSTANCE);
    c.setLocale(Locale.ROOT);
    c.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
    c.setLogTemplateExceptions(false);
    StringWriter out = new StringWriter();
    try {
      c.getTemplate("report.ftlh").process(model, out);
    } catch (TemplateException e) {
      throw new IOException(e);
    }
    return out.toString();
  }

  private static List<String> facts(Overview o) {
    List<String> out = new ArrayList<>();
    NodeSnapshot p = o.picture();
    if (p == null) {
      out.add(
          o.recorded().wasRead() ? o.jobs().size() + " open jobs on record" : "open jobs unknown");
      out.add("machines unknown");
      return out;
    }
    NodeSnapshot.Totals t = p.totals();
    out.add(t.jobs() + " open jobs");
    out.add(t.waiting() + " tasks wait");
    out.add(t.starting() + " start");
    out.add(t.running() + " run");
    out.add(t.machines() + " machines, " + t.booting() + " on their way");
    out.add(String.format(Locale.ROOT, "%.2f an hour", t.moneyPerHour()));
    return out;
  }

  private static Cell text(String s) {
    return new Cell(s, s);
  }

  private static Cell number(long n) {
    return new Cell(Long.toString(n), Long.toString(n));
  }

  private static Cell number(double d) {
    return new Cell(String.format(Locale.ROOT, "%.1f", d), Double.toString(d));
  }

  private static Cell age(double s) {
    return new Cell(DurationFormat.of(s), Double.toString(s));
  }

  private static List<Table> tables(Overview o) {
    List<Table> out = new ArrayList<>();
    List<List<Cell>> rows = new ArrayList<>();
    for (ReasonLine r : o.reasons()) {
      rows.add(
          List.of(
              text(r.team()),
              text(r.taskClass()),
              text(Overview.describeReason(r.reason())),
              number(r.jobs()),
              number(r.tasks()),
              age(r.longestS()),
              text(r.exampleJob()),
              text(r.detail())));
    }
    out.add(
        new Table(
            "why",
            "Why tasks wait",
            List.of("team", "class", "why", "jobs", "tasks", "longest", "for example", "evidence"),
            rows));
    rows = new ArrayList<>();
    for (JobLine j : o.jobs()) {
      rows.add(
          List.of(
              text(j.id()),
              text(j.team()),
              text(j.taskClass()),
              new Cell(rank(j.priority()), Integer.toString(j.priority())),
              number(j.tasks()),
              number(j.done()),
              number(j.running()),
              number(j.starting()),
              number(j.waiting()),
              number(j.silent()),
              age(j.ageS()),
              due(j),
              text(j.reason().isEmpty() ? "" : Overview.describeReason(j.reason())),
              text(j.detail())));
    }
    out.add(
        new Table(
            "jobs",
            "Open jobs" + (o.jobsLeftOut() > 0 ? " (" + o.jobsLeftOut() + " left out)" : ""),
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
    if (o.picture() != null) {
      pictured(o.picture(), out);
    }
    rows = new ArrayList<>();
    for (NodeView n : o.nodes()) {
      rows.add(
          List.of(
              text(n.name()),
              text(n.address()),
              text(n.standing().description()),
              number(n.tookMs()),
              n.sight() == null ? text("-") : number(n.sight().loopLateMs()),
              n.sight() == null ? text("-") : age(n.sight().pictureAgeS()),
              text(n.problem()),
              text(n.sight() == null ? "" : String.join(" < ", n.sight().stack()))));
    }
    out.add(
        new Table(
            "nodes",
            "Controllers",
            List.of(
                "node",
                "address",
                "standing",
                "answered ms",
                "loop late ms",
                "picture",
                "problem",
                "where its loop is"),
            rows));
    return out;
  }

  private static void pictured(NodeSnapshot p, List<Table> out) {
    List<List<Cell>> rows = new ArrayList<>();
    for (TeamLine t : p.teams()) {
      rows.add(
          List.of(
              text(t.name()),
              number(t.waiting()),
              number(t.running()),
              number(t.usedCpus()),
              number(t.guaranteeCpus()),
              number(t.limitCpus())));
    }
    out.add(
        new Table(
            "teams",
            "Teams",
            List.of("team", "waiting", "running", "CPUs used", "guaranteed", "limit"),
            rows));
    rows = new ArrayList<>();
    for (MachineLine m : p.machines()) {
      rows.add(
          List.of(
              text(m.zone()),
              text(m.type()),
              text(m.spot() ? "spot" : "ordinary"),
              number(m.machines()),
              number(m.booting()),
              number(m.empty()),
              number(m.silent()),
              number(m.doubted()),
              number(m.leaving()),
              number(m.cpus()),
              number(m.bookedCpus()),
              number(m.moneyPerHour()),
              age(m.refusedForS())));
    }
    out.add(
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
    for (NodeSnapshot.ZoneLine z : p.zones()) {
      rows.add(
          List.of(
              text(z.name()),
              number(z.machines()),
              number(z.silent()),
              text(z.cut() ? "cut off" : ""),
              age(z.cut() ? z.cutForS() : -1)));
    }
    out.add(new Table("zones", "Zones", List.of("zone", "machines", "silent", "", "for"), rows));
  }

  private static String rank(int priority) {
    return priority >= 0 && priority < RANKS.size() ? RANKS.get(priority) : "?";
  }

  private static Cell due(JobLine j) {
    if (!j.hasDue()) {
      return new Cell("-", "1e300");
    }
    String text =
        j.dueS() < 0 ? "late by " + DurationFormat.of(-j.dueS()) : DurationFormat.of(j.dueS());
    return new Cell(text, Double.toString(j.dueS()));
  }
}
