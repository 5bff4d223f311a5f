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

/** Renders an overview as lines of text of a given width, without colours and without I/O. */
public final class Screen {
  /** The minimum supported width: an 80-column terminal whose last column stays free. */
  public static final int MIN_WIDTH = 79;

  /** The pages of the terminal view. */
  public enum Page {
    /** The teams, and their waiting tasks by class and reason. */
    QUEUES,
    /** The open jobs. */
    JOBS,
    /** The machines by zone and type. */
    MACHINES,
    /** The controllers and the state service. */
    NODES
  }

  /** The order of the jobs and reasons. */
  public enum Sort {
    /** In queue order. */
    QUEUE,
    /** Most waiting tasks first. */
    WAITING,
    /** Longest wait first. */
    LONGEST,
    /** Earliest deadline first. */
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

  private static final List<String> PRIORITY_NAMES =
      List.of("critical", "urgent", "normal", "idle");

  private final int width;
  private final int height;

  /**
   * Creates a screen.
   *
   * @param width in columns
   * @param height in lines; 0 renders everything without paging
   */
  public Screen(int width, int height) {
    this.width = Math.max(MIN_WIDTH, width);
    this.height = height;
  }

  /** Renders one page; no line is wider than the screen. */
  public List<String> render(Overview overview, ViewOptions options) {
    List<String> lines = new ArrayList<>(renderHeader(overview));
    List<String> content =
        switch (options.selectedPage) {
          case QUEUES -> renderQueues(overview, options);
          case JOBS -> renderJobs(overview, options);
          case MACHINES -> renderMachines(overview, options);
          case NODES -> renderNodes(overview);
        };
    int contentHeight = height == 0 ? content.size() : Math.max(1, height - lines.size() - 1);
    int pages =
        Math.max(
            1,
            (content.size() - 1 + Math.max(1, contentHeight - 1) - 1)
                / Math.max(1, contentHeight - 1));
    int page = Math.min(options.pageIndex, pages - 1);
    if (content.size() <= contentHeight) {
      lines.addAll(content);
    } else {
      lines.add(content.get(0));
      int from = 1 + page * (contentHeight - 1);
      lines.addAll(content.subList(from, Math.min(content.size(), from + contentHeight - 1)));
      lines.add(truncateToWidth("-- page " + (page + 1) + " of " + pages + " --"));
    }
    return lines;
  }

  private List<String> renderHeader(Overview overview) {
    List<String> lines = new ArrayList<>();
    StringBuilder nodes = new StringBuilder("mallowroad  ");
    for (NodeView node : overview.nodes()) {
      nodes.append(node.name()).append(' ').append(node.standing().description()).append("  ");
    }
    lines.add(truncateToWidth(nodes.toString()));
    lines.add(
        truncateToWidth(
            "from "
                + overview.source()
                + (overview.ageS() < 0 ? "" : ", " + DurationFormat.of(overview.ageS()) + " old")));
    NodeSnapshot snapshot = overview.picture();
    if (snapshot != null) {
      NodeSnapshot.Totals totals = snapshot.totals();
      lines.add(
          truncateToWidth(
              String.format(
                  Locale.ROOT,
                  "jobs %d  waiting %d  starting %d  running %d  machines %d +%d  %.2f/h  lag %d ms",
                  totals.jobs(),
                  totals.waiting(),
                  totals.starting(),
                  totals.running(),
                  totals.machines(),
                  totals.booting(),
                  totals.moneyPerHour(),
                  snapshot.lagMs())));
    } else {
      lines.add(
          truncateToWidth(
              "jobs "
                  + (overview.recorded().wasRead()
                      ? overview.jobs().size() + " on record"
                      : "unknown")
                  + "  machines unknown"));
    }
    for (String finding : overview.first().subList(0, Math.min(3, overview.first().size()))) {
      lines.addAll(wrap("! " + finding, 2));
    }
    lines.add("");
    return lines;
  }

  private List<String> renderQueues(Overview overview, ViewOptions options) {
    List<String> result = new ArrayList<>();
    result.add(
        truncateToWidth(
            String.format(
                "%-10s %-14s %4s %6s %7s  %s",
                "TEAM", "CLASS", "JOBS", "TASKS", "LONGEST", "WHY")));
    List<ReasonLine> lines = new ArrayList<>(overview.reasons());
    switch (options.sort) {
      case LONGEST -> lines.sort(Comparator.comparingDouble((ReasonLine line) -> -line.longestS()));
      case TEAM -> lines.sort(Comparator.comparing(ReasonLine::team));
      default -> {} // The reasons are already sorted by number of tasks, most tasks first.
    }
    for (ReasonLine line : lines) {
      addIfMatching(
          result,
          options,
          String.format(
              "%-10s %-14s %4d %6d %7s  %s: %s",
              truncate(line.team(), 10),
              truncate(line.taskClass(), 14),
              line.jobs(),
              line.tasks(),
              DurationFormat.of(line.longestS()),
              Overview.describeReason(line.reason()),
              line.detail()));
    }
    if (overview.picture() != null) {
      for (TeamLine team : overview.picture().teams()) {
        addIfMatching(
            result,
            options,
            String.format(
                Locale.ROOT,
                "%-10s %-14s %4s %6d %7s  wait, %d run, CPUs %.0f of %.0f",
                truncate(team.name(), 10),
                "all",
                "",
                team.waiting(),
                "",
                team.running(),
                team.usedCpus(),
                team.limitCpus()));
      }
    }
    return result;
  }

  private List<String> renderJobs(Overview overview, ViewOptions options) {
    List<String> result = new ArrayList<>();
    String format = "%-11s %-9s %-1s %5s %5s %4s %5s %6s %6s  %s";
    result.add(
        truncateToWidth(
            String.format(
                format, "JOB", "TEAM", "R", "TASKS", "DONE", "RUN", "WAIT", "AGE", "DUE", "WHY")));
    List<JobLine> lines = new ArrayList<>(overview.jobs());
    switch (options.sort) {
      case WAITING -> lines.sort(Comparator.comparingInt((JobLine job) -> -job.waiting()));
      case LONGEST -> lines.sort(Comparator.comparingDouble((JobLine job) -> -job.sinceS()));
      case DUE ->
          lines.sort(
              Comparator.comparingDouble(
                  (JobLine job) -> job.hasDue() ? job.dueS() : Double.MAX_VALUE));
      case TEAM -> lines.sort(Comparator.comparing(JobLine::team));
      case QUEUE -> {} // The jobs are already in queue order.
    }
    for (JobLine job : lines) {
      addIfMatching(
          result,
          options,
          String.format(
              format,
              truncate(job.id(), 11),
              truncate(job.team(), 9),
              priorityName(job.priority()).substring(0, 1),
              job.tasks(),
              job.done(),
              job.running(),
              job.waiting(),
              DurationFormat.of(job.ageS()),
              !job.hasDue() ? "-" : job.dueS() < 0 ? "late" : DurationFormat.of(job.dueS()),
              formatReason(job)));
    }
    if (overview.jobsLeftOut() > 0) {
      result.add(truncateToWidth("and " + CountFormat.of(overview.jobsLeftOut(), "more job")));
    }
    return result;
  }

  private static String formatReason(JobLine job) {
    return job.reason().isEmpty()
        ? ""
        : Overview.describeReason(job.reason())
            + (job.inS() >= 0 ? " (" + DurationFormat.of(job.inS()) + ")" : "")
            + (job.detail().isEmpty() ? "" : ": " + job.detail());
  }

  private static String priorityName(int priority) {
    return priority >= 0 && priority < PRIORITY_NAMES.size() ? PRIORITY_NAMES.get(priority) : "?";
  }

  private List<String> renderMachines(Overview overview, ViewOptions options) {
    List<String> lines = new ArrayList<>();
    lines.add(
        truncateToWidth(
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
    if (overview.picture() == null) {
      lines.add("unknown: there is no snapshot of a leader");
      return lines;
    }
    for (MachineLine machine : overview.picture().machines()) {
      addIfMatching(
          lines,
          options,
          String.format(
              Locale.ROOT,
              "%-10s %-12s %-4s %5d %4d %5d %6d %4d %5d %5.0f%% %8.2f%s",
              truncate(machine.zone(), 10),
              truncate(machine.type(), 12),
              machine.spot() ? "spot" : "",
              machine.machines(),
              machine.booting(),
              machine.empty(),
              machine.silent(),
              machine.doubted(),
              machine.leaving(),
              machine.cpus() > 0 ? 100 * machine.bookedCpus() / machine.cpus() : 0,
              machine.moneyPerHour(),
              machine.refusedForS() >= 0
                  ? " refused for " + DurationFormat.of(machine.refusedForS())
                  : ""));
    }
    for (NodeSnapshot.ZoneLine zone : overview.picture().zones()) {
      if (zone.silent() > 0) {
        addIfMatching(
            lines,
            options,
            String.format(
                "%-10s %d of %d machines silent%s",
                truncate(zone.name(), 10),
                zone.silent(),
                zone.machines(),
                zone.cut() ? ", cut off for " + DurationFormat.of(zone.cutForS()) : ""));
      }
    }
    return lines;
  }

  private List<String> renderNodes(Overview overview) {
    List<String> lines = new ArrayList<>();
    lines.add(
        truncateToWidth(
            String.format(
                "%-10s %-21s %-15s %8s %7s  %s",
                "NODE", "ADDRESS", "STANDING", "ANSWERED", "LATE", "")));
    for (NodeView node : overview.nodes()) {
      lines.add(
          truncateToWidth(
              String.format(
                  "%-10s %-21s %-15s %5d ms %7s  %s",
                  truncate(node.name(), 10),
                  truncate(node.address(), 21),
                  node.standing().description(),
                  node.tookMs(),
                  node.sight() == null ? "-" : node.sight().loopLateMs() + " ms",
                  node.problem())));
      if (node.sight() != null) {
        for (String frame : node.sight().stack()) {
          lines.add(truncateToWidth("    at " + frame));
        }
      }
    }
    RecordedState recorded = overview.recorded();
    if (!recorded.address().isEmpty()) {
      lines.add(
          truncateToWidth(
              "state service "
                  + recorded.address()
                  + ": "
                  + (recorded.wasRead()
                      ? "leader "
                          + (recorded.leader().isEmpty() ? "none" : recorded.leader())
                          + ", term "
                          + recorded.term()
                          + ", "
                          + recorded.jobs().size()
                          + " open jobs, "
                          + recorded.attempts()
                          + " attempts, "
                          + recorded.hires()
                          + " rents, "
                          + recorded.reads()
                          + " reads"
                          + (recorded.partial() ? ", incomplete" : "")
                      : recorded.problem())));
    }
    return lines;
  }

  /** Renders one job: why it waits, and where its tasks are. */
  public List<String> renderJob(JobSnapshot snapshot, String source) {
    List<String> lines = new ArrayList<>();
    JobLine job = snapshot.job();
    lines.add(
        truncateToWidth(
            String.format(
                "%s  team %s  class %s  %s%s",
                job.id(),
                job.team(),
                job.taskClass(),
                priorityName(job.priority()),
                job.guaranteed() ? "  within the guarantee" : "")));
    lines.add(
        truncateToWidth(
            String.format(
                "%d tasks: %d done, %d running, %d starting, %d waiting, %d on silent machines",
                job.tasks(),
                job.done(),
                job.running(),
                job.starting(),
                job.waiting(),
                job.silent())));
    lines.add(
        truncateToWidth(
            "submitted "
                + DurationFormat.of(job.ageS())
                + " ago"
                + (!job.hasDue()
                    ? ""
                    : job.dueS() < 0
                        ? ", late by " + DurationFormat.of(-job.dueS())
                        : ", due in " + DurationFormat.of(job.dueS()))
                + (job.failures() > 0
                    ? ", " + CountFormat.of(job.failures(), "failure") + " in a row"
                    : "")));
    if (job.reason().isEmpty()) {
      lines.add("no task waits");
    } else {
      lines.addAll(
          wrap(
              "why: "
                  + Overview.describeReason(job.reason())
                  + ", for "
                  + DurationFormat.of(job.sinceS()),
              5));
      lines.addAll(wrap("     " + job.detail(), 5));
      if (job.inS() >= 0) {
        lines.add("     ends or is due in " + DurationFormat.of(job.inS()));
      }
      if (!snapshot.remedy().isEmpty()) {
        lines.addAll(wrap("continues when " + snapshot.remedy(), 5));
      }
    }
    lines.addAll(wrap("from " + source, 5));
    if (!snapshot.tasks().isEmpty()) {
      lines.add(
          truncateToWidth(
              String.format(
                  "%6s %4s %-10s %-14s %-12s %-10s %7s",
                  "TASK", "TRY", "STATE", "MACHINE", "TYPE", "ZONE", "FOR")));
    }
    for (JobSnapshot.TaskLine task : snapshot.tasks()) {
      lines.add(
          truncateToWidth(
              String.format(
                  "%6d %4d %-10s %-14s %-12s %-10s %7s%s%s",
                  task.task(),
                  task.attempt(),
                  task.phase(),
                  truncate(task.machine(), 14),
                  truncate(task.type(), 12),
                  truncate(task.zone(), 10),
                  DurationFormat.of(task.ageS()),
                  task.silent() ? " silent" : "",
                  task.stopping() ? " stopping" : "")));
    }
    if (snapshot.leftOut() > 0) {
      lines.add("and " + snapshot.leftOut() + " more attempts");
    }
    return lines;
  }

  private void addIfMatching(List<String> lines, ViewOptions options, String line) {
    if (options.filter.isEmpty()
        || line.toLowerCase(Locale.ROOT).contains(options.filter.toLowerCase(Locale.ROOT))) {
      lines.add(truncateToWidth(line));
    }
  }

  private String truncateToWidth(String text) {
    String sanitized = sanitize(text);
    return sanitized.length() <= width ? sanitized : sanitized.substring(0, width - 1) + "~";
  }

  /** Wraps a text at word boundaries; all lines after the first are indented. */
  private List<String> wrap(String text, int indent) {
    List<String> lines = new ArrayList<>();
    String rest = sanitize(text);
    while (rest.length() > width) {
      int breakAt = rest.lastIndexOf(' ', width);
      if (breakAt <= indent) {
        breakAt = width;
      }
      lines.add(rest.substring(0, breakAt));
      rest = " ".repeat(indent) + rest.substring(breakAt).strip();
    }
    lines.add(rest);
    return lines;
  }

  private static String truncate(String text, int maxLength) {
    return text.length() <= maxLength ? text : text.substring(0, maxLength - 1) + "~";
  }

  /**
   * Replaces every character that a terminal could interpret with a question mark. Users choose the
   * names, which may contain control characters, escape sequences or marks that change the writing
   * direction.
   */
  public static String sanitize(String text) {
    StringBuilder result = new StringBuilder(text.length());
    text.codePoints()
        .forEach(
            codePoint -> {
              int type = Character.getType(codePoint);
              boolean isPrintable =
                  !Character.isISOControl(codePoint)
                      && type != Character.FORMAT
                      && type != Character.SURROGATE
                      && type != Character.LINE_SEPARATOR
                      && type != Character.PARAGRAPH_SEPARATOR;
              result.appendCodePoint(isPrintable ? codePoint : '?');
            });
    return result.toString();
  }
}
