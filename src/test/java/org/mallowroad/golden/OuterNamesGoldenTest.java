package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.mallowroad.cli.CommandRunner;
import org.mallowroad.cli.Main;

/**
 * Names that leave the process: message fields and values, keys, settings, flags, metrics and log
 * events. A rename in the code must not change them, since users, operators and other builds read
 * them. {@code outer-names.txt} lists them, one a line; each must still be in a string constant of
 * the compiled code or on the command line, or be the name of an enum constant or a record
 * component.
 */
final class OuterNamesGoldenTest {
  private static final GoldenFile NAMES = new GoldenFile("outer-names.txt");

  private static final int CLASS_FILE_MAGIC = 0xCAFEBABE;

  @Test
  void everyOuterNameIsStillInTheCode() throws IOException, URISyntaxException {
    List<String> texts = stringConstants();
    texts.addAll(CommandRunner.helpTexts().values());
    texts.addAll(CommandRunner.optionNames());
    String constants = String.join("\n", texts);
    List<String> lost =
        NAMES.text().lines().filter(name -> !containsName(constants, name)).toList();
    assertEquals(List.of(), lost, "names that left the code");
  }

  /** True when the name stands in the text with no character of a longer name beside it. */
  private static boolean containsName(String text, String name) {
    return Pattern.compile("(?<![\\w.-])" + Pattern.quote(name) + "(?![\\w-])")
        .matcher(text)
        .find();
  }

  /**
   * All string constants of the compiled classes. They include the names of enum constants and of
   * record components, which the compiler writes as strings.
   */
  private static List<String> stringConstants() throws IOException, URISyntaxException {
    Path classes = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    List<String> constants = new ArrayList<>();
    try (Stream<Path> files = Files.walk(classes)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".class")).toList()) {
        try (DataInputStream in = new DataInputStream(Files.newInputStream(file))) {
          readStringConstants(in, constants);
        }
      }
    }
    return constants;
  }

  /** Reads the constant pool of a class file (JVM specification, 4.4). */
  private static void readStringConstants(DataInputStream in, List<String> constants)
      throws IOException {
    assertEquals(CLASS_FILE_MAGIC, in.readInt());
    in.skipNBytes(4); // minor and major version
    int size = in.readUnsignedShort();
    String[] utf8 = new String[size];
    List<Integer> strings = new ArrayList<>();
    for (int i = 1; i < size; i++) {
      int tag = in.readUnsignedByte();
      switch (tag) {
        case 1 -> utf8[i] = in.readUTF();
        case 8 -> strings.add(in.readUnsignedShort());
        case 5, 6 -> { // long and double take two entries
          in.skipNBytes(8);
          i++;
        }
        case 15 -> in.skipNBytes(3);
        case 7, 16, 19, 20 -> in.skipNBytes(2);
        default -> in.skipNBytes(4);
      }
    }
    strings.forEach(index -> constants.add(utf8[index]));
  }
}
