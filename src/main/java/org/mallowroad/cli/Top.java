package org.mallowroad.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jline.terminal.Attributes;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.Display;
import org.jline.utils.InfoCmp.Capability;
import org.jline.utils.NonBlockingReader;
import org.mallowroad.console.ask.ClusterQuery;
import org.mallowroad.console.view.Overview;
import org.mallowroad.console.view.Screen;
import org.mallowroad.console.view.Screen.Page;
import org.mallowroad.console.view.Screen.Sort;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.wire.ConsoleCodec;
import org.mallowroad.wire.JobCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A terminal view of a site that refreshes periodically, by default every second. */
@Command(
    name = "top",
    mixinStandardHelpOptions = true,
    description =
        "Shows queues, jobs, machines and nodes, and why anything waits; its last line has the keys.")
final class Top extends InspectCommands {
  private static final String KEYS =
      "q quit  1 queues 2 jobs 3 machines 4 nodes  s sort  / filter  n p page  j job";

  @Option(names = "--once", description = "Print once and end.")
  private boolean once;

  @Option(names = "--json", description = "Print once, as JSON, and end.")
  private boolean json;

  @Option(
      names = "--show",
      paramLabel = "PAGE",
      description = "First page: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
  private Page show = Page.QUEUES;

  @Option(
      names = "--sort",
      paramLabel = "ORDER",
      description = "Order: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
  private Sort sort = Sort.QUEUE;

  @Option(names = "--filter", paramLabel = "TEXT", description = "Only lines with this text.")
  private String filter = "";

  @Option(
      names = "--every-s",
      paramLabel = "SECONDS",
      description = "Look again after so long (default: ${DEFAULT-VALUE}).")
  private double everyS = 1;

  @Option(names = "--width", paramLabel = "COLUMNS", hidden = true)
  private int width = Screen.MIN_WIDTH;

  private int page;
  private String job = "";
  private String input;
  private char inputTarget;

  /** The default view options of a page: queue order, no filter, first page. */
  static Screen.ViewOptions look(Page show) {
    return new Screen.ViewOptions(show, Sort.QUEUE, "", 0);
  }

  @Override
  int execute(ClusterQuery query) throws IOException {
    if (json || once) {
      Overview overview = query.fetchOverview();
      if (json) {
        System.out.println(new String(ConsoleCodec.encode(overview), StandardCharsets.UTF_8));
      } else {
        print(new Screen(width, 0).render(overview, new Screen.ViewOptions(show, sort, filter, 0)));
      }
      return exitCode(overview);
    }
    try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
      if (terminal.getType().startsWith(Terminal.TYPE_DUMB)) {
        System.err.println("mallowroad: not a terminal; --once prints the same");
        return 2;
      }
      return runInteractively(terminal, query);
    }
  }

  private int runInteractively(Terminal terminal, ClusterQuery query) throws IOException {
    Attributes savedAttributes = terminal.enterRawMode();
    Display display = new Display(terminal, true);
    terminal.puts(Capability.enter_ca_mode);
    terminal.puts(Capability.cursor_invisible);
    try {
      NonBlockingReader keys = terminal.reader();
      Overview overview = query.fetchOverview();
      while (true) {
        draw(terminal, display, overview, query);
        long refreshAtNs = System.nanoTime() + (long) (Math.max(0.2, everyS) * 1e9);
        int key = NonBlockingReader.READ_EXPIRED;
        long remainingMs;
        while (key == NonBlockingReader.READ_EXPIRED
            && (remainingMs = (refreshAtNs - System.nanoTime()) / 1_000_000) > 0) {
          key = keys.read(remainingMs);
        }
        if (key == NonBlockingReader.EOF || (input == null && (key == 'q' || key == 3))) {
          return exitCode(overview);
        }
        if (key == NonBlockingReader.READ_EXPIRED) {
          overview = query.fetchOverview();
        } else {
          handleKey(key);
        }
      }
    } finally {
      terminal.puts(Capability.cursor_visible);
      terminal.puts(Capability.exit_ca_mode);
      terminal.flush();
      terminal.setAttributes(savedAttributes);
    }
  }

  private void draw(Terminal terminal, Display display, Overview overview, ClusterQuery query) {
    Size size = terminal.getSize();
    int rows = Math.max(10, size.getRows());
    int columns = Math.max(Screen.MIN_WIDTH, size.getColumns());
    display.resize(Size.of(columns, rows));
    List<String> lines;
    Screen screen = new Screen(columns - 1, rows - 1);
    if (job.isEmpty()) {
      lines =
          new ArrayList<>(
              screen.render(overview, new Screen.ViewOptions(show, sort, filter, page)));
    } else {
      JobSnapshot snapshot = query.fetchJob(job);
      lines =
          new ArrayList<>(
              snapshot == null
                  ? List.of(job + ": no leader has information about this job (Esc goes back)")
                  : screen.renderJob(snapshot, overview.source()));
      int pageRows = rows - 1;
      page = Math.min(page, (lines.size() - 1) / pageRows);
      lines = new ArrayList<>(lines.subList(page * pageRows, lines.size()));
    }
    while (lines.size() > rows - 1) {
      lines.remove(lines.size() - 1);
    }
    while (lines.size() < rows - 1) {
      lines.add("");
    }
    lines.add(
        input != null
            ? (inputTarget == '/' ? "filter: " : "job: ") + input + "_"
            : filter.isEmpty() && sort == Sort.QUEUE
                ? KEYS
                : "sorted by "
                    + sort.name().toLowerCase(Locale.ROOT)
                    + (filter.isEmpty()
                        ? ""
                        : ", filtered by \"" + filter + "\" (/ and Enter shows all)")
                    + "  "
                    + KEYS);
    List<AttributedString> screenLines = new ArrayList<>();
    for (String line : lines) {
      screenLines.add(
          new AttributedString(
              line.length() > columns - 1 ? line.substring(0, columns - 1) : line));
    }
    display.update(screenLines, -1);
  }

  private void handleKey(int key) {
    if (input != null) {
      editInput(key);
      return;
    }
    switch (key) {
      case '1' -> openPage(Page.QUEUES);
      case '2' -> openPage(Page.JOBS);
      case '3' -> openPage(Page.MACHINES);
      case '4' -> openPage(Page.NODES);
      case 's' -> sort = Sort.values()[(sort.ordinal() + 1) % Sort.values().length];
      case 'n', ' ' -> page++;
      case 'p' -> page = Math.max(0, page - 1);
      case '/', 'j' -> {
        input = "";
        inputTarget = (char) key;
      }
      case 27 -> openPage(show);
      default -> {} // Any other key only redraws.
    }
  }

  private void openPage(Page newPage) {
    show = newPage;
    page = 0;
    job = "";
  }

  private void editInput(int key) {
    if (key == '\r' || key == '\n') {
      if (inputTarget == '/') {
        filter = input.toLowerCase(Locale.ROOT);
        page = 0;
      } else if (JobCodec.ID_PATTERN.matcher(input).matches()) {
        job = input;
        page = 0;
      }
      input = null;
    } else if (key == 27 || key == 3) {
      input = null;
    } else if (key == 127 || key == 8) {
      input = input.isEmpty() ? input : input.substring(0, input.length() - 1);
    } else if (key >= ' ' && input.length() < 60) {
      input += (char) key;
    }
  }
}
