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
 * A file under {@code src/test/resources/golden} that holds bytes as an earlier build wrote them.
 * The tests compare what this build writes with the file, byte for byte.
 *
 * <p>{@code -Dgolden.regenerate=true} writes the files anew, for a change of a format that is meant
 * to be one. It is off by default, and a run with it shows nothing about compatibility.
 */
final class GoldenFile {
  /** The system property that makes the tests write the files in place of checking them. */
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
    assertTrue(Files.exists(path), "no golden file " + path);
    assertEquals(text(), actual, path.toString());
  }

  /** Fails unless the file holds exactly these entries in this order, a line each. */
  void check(Map<String, String> actual) {
    check(lines(actual));
  }

  /** The whole text. */
  String text() {
    try {
      return Files.readString(path);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The entries of a file that has one a line. */
  Map<String, String> entries() {
    Map<String, String> entries = new LinkedHashMap<>();
    for (String line : text().lines().toList()) {
      int at = line.indexOf(SEPARATOR);
      assertTrue(at > 0, "not an entry: " + line);
      entries.put(line.substring(0, at), line.substring(at + SEPARATOR.length()));
    }
    return entries;
  }

  /** Entries as the lines of a file. */
  static String lines(Map<String, String> entries) {
    List<String> lines = new ArrayList<>();
    entries.forEach((name, value) -> lines.add(name + SEPARATOR + value + "\n"));
    return String.join("", lines);
  }

  /** Bytes of text in UTF-8, as every text of the protocols is. */
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
