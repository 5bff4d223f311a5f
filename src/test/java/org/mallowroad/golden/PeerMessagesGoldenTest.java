package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.apache.avro.Schema;
import org.apache.avro.SchemaNormalization;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.peer.PeerMessages;

/** What controllers say to each other: schemas by their fingerprints, messages by their bytes. */
final class PeerMessagesGoldenTest {
  private static final GoldenFile MESSAGES = new GoldenFile("peer-messages.txt");
  private static final int FORMS = 10;
  private static final int PARTS = 1;

  @Test
  void schemasKeepTheirFingerprints() throws IllegalAccessException {
    Map<String, String> fingerprints = new LinkedHashMap<>();
    for (Schema schema : PeerMessages.schemas()) {
      String fields =
          schema.getFields().stream()
              .map(f -> f.name() + ":" + f.schema().getType().getName())
              .collect(Collectors.joining(" "));
      long fingerprint = SchemaNormalization.parsingFingerprint64(schema);
      fingerprints.put(String.format("%016x", fingerprint), fields);
    }
    assertEquals(FORMS + PARTS, fingerprints.size());
    new GoldenFile("peer-schemas.txt").check(fingerprints);
  }

  @Test
  void messagesAreWrittenByteForByte() {
    Map<String, String> hex = new LinkedHashMap<>();
    PeerMessages.samples().forEach((name, bytes) -> hex.put(name, HexFormat.of().formatHex(bytes)));
    MESSAGES.check(hex);
  }

  @TestFactory
  Iterable<DynamicTest> messagesThatAnEarlierBuildWroteAreReadAndWrittenAgain() {
    return MESSAGES.entries().entrySet().stream()
        .map(
            e ->
                DynamicTest.dynamicTest(
                    e.getKey(),
                    () -> {
                      byte[] golden = HexFormat.of().parseHex(e.getValue());
                      assertArrayEquals(golden, PeerMessages.reencode(e.getKey(), golden));
                    }))
        .toList();
  }
}
