package org.mallowroad.console.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.mallowroad.core.explain.CountFormat;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeSnapshot.MachineLine;
import org.mallowroad.core.explain.NodeSnapshot.ReasonLine;
import org.mallowroad.core.explain.NodeSnapshot.TeamLine;

/** Draws an overview as lines of text of a given width; without colour, and without I/O. */
public final class Screen {
  /** The least width that is drawn for: a terminal of 80 columns keeps its last one free. */
  public static final int MIN_WIDTH = 79;

  /** What is shown. */
  public enum Page {
    /** Teams, and what of theirs waits by class and reason. */
    QUEUES,
    /** Jobs. */
    JOBS,
    /** Machines by zone and type. */
    MACHINES,
    /** The controllers and the state service. */
    NODES
  }

  /** In which order jobs and reasons stand. */
  public enum Sort {
    /** As the queue has them. */
    QUEUE,
    /** Most waiting tasks first. */
    WAITING,
    /** Longest wait first. */
    LONGEST,
    /** Next deadline first. */
    DUE,
    /** By team. */
    TEAM
  }

  /**
   * The user's choice of what to show.
   *
   * @param filter shows only the lines that contain this text, ignoring case; empty shows all
   * @param pageIndex index, from 0, of the shown part of a list that is longer than the screen
   */
  public record ViewOptions(Page selectedPage, Sort sort, String filter, int pageIndex) {}

  private static final List<String> RANKS = List.of("critical", "urgent", "normal", "idle");

  private final int width;
  private final int height;

  /** For a terminal of a size; a height of 0 draws everything. */
  public Screen(int width, int height) {
    this.width = Math.max(MIN_WIDTH, width);
    this.height = height;
  }

  /** The lines, each as wide as the screen at the most. */
  public List<String> render(Overview o, ViewOptions options) {
    List<String> out = new ArrayList<>(head(o));
    List<String> body =
        switch (options.selectedPage) {
          case QUEUES -> queues(o, options);
          case JOBS -> jobs(o, options);
          case MACHINES -> machines(o, options);
          case NODES -> nodes(o);
        };
    int room = height == 0 ? body.size() : Math.max(1, height - out.size() - 1);
    int pages = Math.max(1, (body.size() - 1 + Math.max(1, room - 1) - 1) / Math.max(1, room - 1));
    int page = Math.min(options.pageIndex, pages - 1);
    if (body.size() <= room) {
      out.addAll(body);
    } else {
      out.add(body.get(0));
      int from = 1 + page * (room - 1);
      out.addAll(body.subList(from, Math.min(body.size(), from + room - 1)));
      out.add(cut("-- page " + (page + 1) + " of " + pages + " --"));
    }
    return out;
  }

  private List<String> head(Overview o) {
    List<String> out = new ArrayList<>();
    StringBuilder nodes = new StringBuilder("mallowroad  ");
    for (NodeView n : o.nodes()) {
      nodes.append(n.name()).append(' ').append(n.standing().description()).append("  ");
    }
    out.add(cut(nodes.toString()));
    out.add(
        cut(
            "from "
                + o.source()
                + (o.ageS() < 0 ? "" : ", " + DurationFormat.of(o.ageS()) + " old")));
    NodeSnapshot p = o.picture();
    if (p != null) {
      NodeSnapshot.Totals t = p.totals();
      out.add(
          cut(
              String.format(
                  Locale.ROOT,
                  "jobs %d  waiting %d  starting %d  running %d  machines %d +%d  %.2f/h  lag %d ms",
                  t.jobs(),
                  t.waiting(),
                  t.starting(),
                  t.running(),
                  t.machines(),
                  t.booting(),
                  t.moneyPerHour(),
                  p.lagMs())));
    } else {
      out.add(
          cut(
              "jobs "
                  + (o.recorded().wasRead() ? o.jobs().size() + " on record" : "unknown")
                  + "  machines unknown"));
    }
    for (String s : o.first().subList(0, Math.min(3, o.first().size()))) {
      out.addAll(wrap("! " + s, 2));
    }
    out.add("");
    return out;
  }

  private List<String> queues(Overview o, ViewOptions options) {
    List<String> out = new ArrayList<>();
    out.add(
        cut(
            String.format(
                "%-10s %-14s %4s %6s %7s  %s",
                "TEAM", "CLASS", "JOBS", "TASKS", "LONGEST", "WHY")));
    List<ReasonLine> lines = new ArrayList<>(o.reasons());
    switch (options.sort) {
      case LONGEST -> lines.sort(Comparator.comparingDouble((ReasonLine r) -> -r.longestS()));
      case TEAM -> lines.sort(Comparator.comparing(ReasonLine::team));
      default -> {} // Most tasks first, as they are.
    }
    for (ReasonLine r : lines) {
      add(
          out,
          options,
          String.format(
              "%-10s %-14s %4d %6d %7s  %s: %s",
              fit(r.team(), 10),
              fit(r.taskClass(), 14),
              r.jobs(),
              r.tasks(),
              DurationFormat.of(r.longestS()),
              Overview.describeReason(r.reason()),
              r.detail()));
    }
    if (o.picture() != null) {
      for (TeamLine t : o.picture().teams()) {
        add(
            out,
            options,
            String.format(
                Locale.ROOT,
                "%-10s %-14s %4s %6d %7s  wait, %d run, CPUs %.0f of %.0f",
                fit(t.name(), 10),
                "all",
                "",
                t.waiting(),
                "",
                t.running(),
                t.usedCpus(),
                t.limitCpus()));
      }
    }
    return out;
  }

  private List<String> jobs(Overview o, ViewOptions options) {
    List<String> out = new ArrayList<>();
    String form = "%-11s %-9s %-1s %5s %5s %4s %5s %6s %6s  %s";
    out.add(
        cut(
            String.format(
                form, "JOB", "TEAM", "R", "TASKS", "DONE", "RUN", "WAIT", "AGE", "DUE", "WHY")));
    List<JobLine> lines = new ArrayList<>(o.jobs());
    switch (options.sort) {
      case WAITING -> lines.sort(Comparator.comparingInt((JobLine j) -> -j.waiting()));
      case LONGEST -> lines.sort(Comparator.comparingDouble((JobLine j) -> -j.sinceS()));
      case DUE ->
          lines.sort(
              Comparator.comparingDouble((JobLine j) -> j.hasDue() ? j.dueS() : Double.MAX_VALUE));
      case TEAM -> lines.sort(Comparator.comparing(JobLine::team));
      case QUEUE -> {} // As they are.
    }
    for (JobLine j : lines) {
      add(
          out,
          options,
          String.format(
              form,
              fit(j.id(), 11),
              fit(j.team(), 9),
              rank(j.priority()).substring(0, 1),
              j.tasks(),
              j.done(),
              j.running(),
              j.waiting(),
              DurationFormat.of(j.ageS()),
              !j.hasDue() ? "-" : j.dueS() < 0 ? "late" : DurationFormat.of(j.dueS()),
              why(j)));
    }
    if (o.jobsLeftOut() > 0) {
      out.add(cut("and " + CountFormat.of(o.jobsLeftOut(), "more job")));
    }
    return out;
  }

  private static String why(JobLine j) {
    return j.reason().isEmpty()
        ? ""
        : Overview.describeReason(j.reason())
            + (j.inS() >= 0 ? " (" + DurationFormat.of(j.inS()) + ")" : "")
            + (j.detail().isEmpty() ? "" : ": " + j.detail());
  }

  private static String rank(int priority) {
    return priority >= 0 && priority < RANKS.size() ? RANKS.get(priority) : "?";
  }

  private List<String> machines(Overview o, ViewOptions options) {
    List<String> out = new ArrayList<>();
    out.add(
        cut(
            String.format(
                "%-10s %-12s %-4s %5s %4s %5s %6s %4s %5s %6s %8s",
                "ZONE",
                "TYPE",
                "KIND",
                "THERE",
                "BOOT",
                "EMPTY",
                "SILENT",
                "SLOW",
                "LEAVE",
                "BOOKED",
                "PER HOUR")));
    if (o.picture() == null) {
      out.add("unknown: no leader's picture");
      return out;
    }
    for (MachineLine m : o.picture().machines()) {
      add(
          out,
          options,
          String.format(
              Locale.ROOT,
              "%-10s %-12s %-4s %5d %4d %5d %6d %4d %5d %5.0f%% %8.2f%s",
              fit(m.zone(), 10),
              fit(m.type(), 12),
              m.spot() ? "spot" : "",
              m.machines(),
              m.booting(),
              m.empty(),
              m.silent(),
              m.doubted(),
              m.leaving(),
              m.cpus() > 0 ? 100 * m.bookedCpus() / m.cpus() : 0,
              m.moneyPerHour(),
              m.refusedForS() >= 0 ? " refused for " + DurationFormat.of(m.refusedForS()) : ""));
    }
    for (NodeSnapshot.ZoneLine z : o.picture().zones()) {
      if (z.silent() > 0) {
        add(
            out,
            options,
            String.format(
                "%-10s %d of %d machines silent%s",
                fit(z.name(), 10),
                z.silent(),
                z.machines(),
                z.cut() ? ", cut off for " + DurationFormat.of(z.cutForS()) : ""));
      }
    }
    return out;
  }

  private List<String> nodes(Overview o) {
    List<String> out = new ArrayList<>();
    out.add(
        cut(
            String.format(
                "%-10s %-21s %-15s %8s %7s  %s",
                "NODE", "ADDRESS", "STANDING", "ANSWERED", "LATE", "")));
    for (NodeView n : o.nodes()) {
      out.add(
          cut(
              String.format(
                  "%-10s %-21s %-15s %5d ms %7s  %s",
                  fit(n.name(), 10),
                  fit(n.address(), 21),
                  n.standing().description(),
                  n.tookMs(),
                  n.sight() == null ? "-" : n.sight().loopLateMs() + " ms",
                  n.problem())));
      if (n.sight() != null) {
        for (String f : n.sight().stack()) {
          out.add(cut("    at " + f));
        }
      }
    }
    RecordedState r = o.recorded();
    if (!r.address().isEmpty()) {
      out.add(
          cut(
              "state service "
                  + r.address()
                  + ": "
                  + (r.wasRead()
                      ? "leader "
                          + (r.leader().isEmpty() ? "none" : r.leader())
                          + ", term "
                          + r.term()
                          + ", "
                          + r.jobs().size()
                          + " open jobs, "
                          + r.attempts()
                          + " attempts, "
                          + r.hires()
                          + " rents, "
                          + r.reads()
                          + " reads"
                          + (r.partial() ? ", a part only" : "")
                      : r.problem())));
    }
    return out;
  }

  /** One job: its reason, and where its tasks are. */
  public List<String> renderJob(JobSnapshot p, String source) {
    List<String> out = new ArrayList<>();
    JobLine j = p.job();
    out.add(
        cut(
            String.format(
                "%s  team %s  class %s  %s%s",
                j.id(),
                j.team(),
                j.taskClass(),
                rank(j.priority()),
                j.guaranteed() ? "  within the guarantee" : "")));
    out.add(
        cut(
            String.format(
                "%d tasks: %d done, %d running, %d starting, %d waiting, %d on silent machines",
                j.tasks(), j.done(), j.running(), j.starting(), j.waiting(), j.silent())));
    out.add(
        cut(
            "submitted "
                + DurationFormat.of(j.ageS())
                + " ago"
                + (!j.hasDue()
                    ? ""
                    : j.dueS() < 0
                        ? ", late by " + DurationFormat.of(-j.dueS())
                        : ", due in " + DurationFormat.of(j.dueS()))
                + (j.failures() > 0
                    ? ", " + CountFormat.of(j.failures(), "failure") + " in a row"
                    : "")));
    if (j.reason().isEmpty()) {
      out.add("nothing of it waits");
    } else {
      out.addAll(
          wrap(
              "why: "
                  + Overview.describeReason(j.reason())
                  + ", for "
                  + DurationFormat.of(j.sinceS()),
              5));
      out.addAll(wrap("     " + j.detail(), 5));
      if (j.inS() >= 0) {
        out.add("     over, or due, in " + DurationFormat.of(j.inS()));
      }
      if (!p.remedy().isEmpty()) {
        out.addAll(wrap("goes on when " + p.remedy(), 5));
      }
    }
    out.addAll(wrap("from " + source, 5));
    if (!p.tasks().isEmpty()) {
      out.add(
          cut(
              String.format(
                  "%6s %4s %-10s %-14s %-12s %-10s %7s",
                  "TASK", "TRY", "STATE", "MACHINE", "TYPE", "ZONE", "FOR")));
    }
    for (JobSnapshot.TaskLine t : p.tasks()) {
      out.add(
          cut(
              String.format(
                  "%6d %4d %-10s %-14s %-12s %-10s %7s%s%s",
                  t.task(),
                  t.attempt(),
                  t.phase(),
                  fit(t.machine(), 14),
                  fit(t.type(), 12),
                  fit(t.zone(), 10),
                  DurationFormat.of(t.ageS()),
                  t.silent() ? " silent" : "",
                  t.stopping() ? " stopping" : "")));
    }
    if (p.leftOut() > 0) {
      out.add("and " + p.leftOut() + " more attempts");
    }
    return out;
  }

  private void add(List<String> out, ViewOptions options, String line) {
    if (options.filter.isEmpty()
        || line.toLowerCase(Locale.ROOT).contains(options.filter.toLowerCase(Locale.ROOT))) {
      out.add(cut(line));
    }
  }

  private String cut(String s) {
    String p = sanitize(s);
    return p.length() <= width ? p : p.substring(0, width - 1) + "~";
  }

  /** Whole words over several lines, those after the first set in. */
  private List<String> wrap(String s, int indent) {
    List<String> out = new ArrayList<>();
    String rest = sanitize(s);
    while (rest.length() > width) {
      int at = rest.lastIndexOf(' ', width);
      if (at <= indent) {
        at = width;
      }
      out.add(rest.substring(0, at));
      rest = " ".repeat(indent) + rest.substring(at).strip();
    }
    out.add(rest);
    return out;
  }

  private static String fit(String s, int n) {
    return s.length() <= n ? s : s.substring(0, n - 1) + "~";
  }

  /**
   * Without anything that a terminal would obey: names are the users', and a name may hold control
   * characters, escapes or marks that turn the direction of writing.
   */
  public static String sanitize(String s) {
    StringBuilder b = new StringBuilder(s.length());
    s.codePoints()
        .forEach(
            c -> {
              int type = Character.getType(c);
              boolean shown =
                  !Character.isISOControl(c)
                      && type != Character.FORMAT
                      && type != Character.SURROGATE
                      && type != Character.LINE_SEPARATOR
                      && type != Character.PARAGRAPH_SEPARATOR;
              b.appendCodePoint(shown ? c : '?');
            });
    return b.toString();
  }
}
