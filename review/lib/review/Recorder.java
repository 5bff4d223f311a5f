package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with seconds since the start. */
final class Recorder {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();
  private final List<String> violations = new ArrayList<>();

  Recorder(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double seconds() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  synchronized void log(String who, String text) {
    out.println(String.format(Locale.ROOT, "%9.3f %-10s %s", seconds(), who, text));
    out.flush();
  }

  /** Logs a line of the test itself, and prints it. */
  void say(String text) {
    log("test", text);
    System.out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
  }

  /** Records that a rule was broken. */
  synchronized void violation(String text) {
    violations.add(text);
    say("RULE BROKEN: " + text);
  }

  synchronized List<String> violations() {
    return new ArrayList<>(violations);
  }

  synchronized void close() {
    out.close();
  }
}
