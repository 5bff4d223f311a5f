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

/** A terminal view of a site, looked at again every second or so. */
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
  private String typing;
  private char typingFor;

  /** A look at one page as it comes. */
  static Screen.ViewOptions look(Page show) {
    return new Screen.ViewOptions(show, Sort.QUEUE, "", 0);
  }

  @Override
  int look(ClusterQuery asker) throws IOException {
    if (json || once) {
      Overview o = asker.fetchOverview();
      if (json) {
        System.out.println(new String(ConsoleCodec.encode(o), StandardCharsets.UTF_8));
      } else {
        print(new Screen(width, 0).render(o, new Screen.ViewOptions(show, sort, filter, 0)));
      }
      return code(o);
    }
    try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
      if (terminal.getType().startsWith(Terminal.TYPE_DUMB)) {
        System.err.println("mallowroad: not a terminal; --once prints the same");
        return 2;
      }
      return run(terminal, asker);
    }
  }

  private int run(Terminal terminal, ClusterQuery asker) throws IOException {
    Attributes before = terminal.enterRawMode();
    Display display = new Display(terminal, true);
    terminal.puts(Capability.enter_ca_mode);
    terminal.puts(Capability.cursor_invisible);
    try {
      NonBlockingReader keys = terminal.reader();
      Overview o = asker.fetchOverview();
      while (true) {
        draw(terminal, display, o, asker);
        long until = System.nanoTime() + (long) (Math.max(0.2, everyS) * 1e9);
        int key = NonBlockingReader.READ_EXPIRED;
        long left;
        while (key == NonBlockingReader.READ_EXPIRED
            && (left = (until - System.nanoTime()) / 1_000_000) > 0) {
          key = keys.read(left);
        }
        if (key == NonBlockingReader.EOF || (typing == null && (key == 'q' || key == 3))) {
          return code(o);
        }
        if (key == NonBlockingReader.READ_EXPIRED) {
          o = asker.fetchOverview();
        } else {
          press(key);
        }
      }
    } finally {
      terminal.puts(Capability.cursor_visible);
      terminal.puts(Capability.exit_ca_mode);
      terminal.flush();
      terminal.setAttributes(before);
    }
  }

  private void draw(Terminal terminal, Display display, Overview o, ClusterQuery asker) {
    Size size = terminal.getSize();
    int rows = Math.max(10, size.getRows());
    int columns = Math.max(Screen.MIN_WIDTH, size.getColumns());
    display.resize(Size.of(columns, rows));
    List<String> lines;
    Screen screen = new Screen(columns - 1, rows - 1);
    if (job.isEmpty()) {
      lines = new ArrayList<>(screen.render(o, new Screen.ViewOptions(show, sort, filter, page)));
    } else {
      JobSnapshot p = asker.fetchJob(job);
      lines =
          new ArrayList<>(
              p == null
                  ? List.of(job + ": no leader says anything of it (Esc goes back)")
                  : screen.renderJob(p, o.source()));
      int room = rows - 1;
      page = Math.min(page, (lines.size() - 1) / room);
      lines = new ArrayList<>(lines.subList(page * room, lines.size()));
    }
    while (lines.size() > rows - 1) {
      lines.remove(lines.size() - 1);
    }
    while (lines.size() < rows - 1) {
      lines.add("");
    }
    lines.add(
        typing != null
            ? (typingFor == '/' ? "filter: " : "job: ") + typing + "_"
            : filter.isEmpty() && sort == Sort.QUEUE
                ? KEYS
                : "by "
                    + sort.name().toLowerCase(Locale.ROOT)
                    + (filter.isEmpty() ? "" : ", with \"" + filter + "\" (/ and Enter: all)")
                    + "  "
                    + KEYS);
    List<AttributedString> out = new ArrayList<>();
    for (String l : lines) {
      out.add(new AttributedString(l.length() > columns - 1 ? l.substring(0, columns - 1) : l));
    }
    display.update(out, -1);
  }

  private void press(int key) {
    if (typing != null) {
      type(key);
      return;
    }
    switch (key) {
      case '1' -> open(Page.QUEUES);
      case '2' -> open(Page.JOBS);
      case '3' -> open(Page.MACHINES);
      case '4' -> open(Page.NODES);
      case 's' -> sort = Sort.values()[(sort.ordinal() + 1) % Sort.values().length];
      case 'n', ' ' -> page++;
      case 'p' -> page = Math.max(0, page - 1);
      case '/', 'j' -> {
        typing = "";
        typingFor = (char) key;
      }
      case 27 -> open(show);
      default -> {} // Any other key draws anew.
    }
  }

  private void open(Page p) {
    show = p;
    page = 0;
    job = "";
  }

  private void type(int key) {
    if (key == '\r' || key == '\n') {
      if (typingFor == '/') {
        filter = typing.toLowerCase(Locale.ROOT);
        page = 0;
      } else if (JobCodec.ID_PATTERN.matcher(typing).matches()) {
        job = typing;
        page = 0;
      }
      typing = null;
    } else if (key == 27 || key == 3) {
      typing = null;
    } else if (key == 127 || key == 8) {
      typing = typing.isEmpty() ? typing : typing.substring(0, typing.length() - 1);
    } else if (key >= ' ' && typing.length() < 60) {
      typing += (char) key;
    }
  }
}
