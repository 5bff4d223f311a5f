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
import org.mallowroad.cli.CommandRuns;
import org.mallowroad.cli.Main;

/**
 * Guards against a rename in the code that changes an external name: message fields and values,
 * keys, settings, flags, metrics and log events, which users, operators and other builds depend on.
 * {@code outer-names.txt} lists these names, one per line; each must still be in a string constant
 * of the compiled code or on the command line, or be the name of an enum constant or a record
 * component.
 */
final class OuterNamesGoldenTest {
  private static final GoldenFile NAMES = new GoldenFile("outer-names.txt");

  private static final int CLASS_FILE_MAGIC = 0xCAFEBABE;

  @Test
  void everyExternalNameIsStillInTheCode() throws IOException, URISyntaxException {
    List<String> texts = stringConstants();
    texts.addAll(CommandRuns.help().values());
    texts.addAll(CommandRuns.optionNames());
    String constants = String.join("\n", texts);
    List<String> missing =
        NAMES.text().lines().filter(name -> !containsName(constants, name)).toList();
    assertEquals(List.of(), missing, "external names that are no longer in the code");
  }

  /** Whether the text contains the name as a whole, not as a part of a longer name. */
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
  private static void readStringConstants(DataInputStream classFile, List<String> constants)
      throws IOException {
    assertEquals(CLASS_FILE_MAGIC, classFile.readInt());
    classFile.skipNBytes(4); // minor and major version
    int poolSize = classFile.readUnsignedShort();
    String[] utf8 = new String[poolSize];
    List<Integer> stringIndices = new ArrayList<>();
    for (int i = 1; i < poolSize; i++) {
      int tag = classFile.readUnsignedByte();
      switch (tag) {
        case 1 -> utf8[i] = classFile.readUTF();
        case 8 -> stringIndices.add(classFile.readUnsignedShort());
        case 5, 6 -> { // long and double occupy two entries
          classFile.skipNBytes(8);
          i++;
        }
        case 15 -> classFile.skipNBytes(3);
        case 7, 16, 19, 20 -> classFile.skipNBytes(2);
        default -> classFile.skipNBytes(4);
      }
    }
    stringIndices.forEach(index -> constants.add(utf8[index]));
  }
}
