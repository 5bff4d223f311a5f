package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A file under {@code src/test/resources/golden} with the output of an earlier build. The tests
 * compare the output of this build with the file, byte for byte.
 *
 * <p>{@code -Dgolden.regenerate=true} rewrites the files after an intended change of a format. It
 * is off by default, and a run with it does not check compatibility.
 */
final class GoldenFile {
  /** The system property that makes the tests rewrite the files before they check them. */
  static final String REGENERATE = "golden.regenerate";

  private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
  private static final String SEPARATOR = " => ";

  private final Path path;

  GoldenFile(String name) {
    this.path = DIRECTORY.resolve(name);
  }

  /** Fails unless the file holds exactly this text. */
  void check(String actual) {
    if (Boolean.getBoolean(REGENERATE)) {
      write(actual);
    }
    assertTrue(Files.exists(path), "golden file does not exist: " + path);
    assertEquals(text(), actual, path.toString());
  }

  /** Fails unless the file holds exactly these entries in this order, one per line. */
  void check(Map<String, String> actual) {
    check(lines(actual));
  }

  /** The text of the file. */
  String text() {
    try {
      return Files.readString(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The entries of a file with one entry per line. */
  Map<String, String> entries() {
    Map<String, String> entries = new LinkedHashMap<>();
    for (String line : text().lines().toList()) {
      int separatorIndex = line.indexOf(SEPARATOR);
      assertTrue(separatorIndex > 0, "line without the separator of an entry: " + line);
      entries.put(
          line.substring(0, separatorIndex), line.substring(separatorIndex + SEPARATOR.length()));
    }
    return entries;
  }

  /** Formats entries as the lines of a file. */
  static String lines(Map<String, String> entries) {
    List<String> lines = new ArrayList<>();
    entries.forEach((name, value) -> lines.add(name + SEPARATOR + value + "\n"));
    return String.join("", lines);
  }

  /** Decodes UTF-8, the encoding of all texts in the protocols. */
  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private void write(String text) {
    try {
      Files.createDirectories(DIRECTORY);
      Files.writeString(path, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
