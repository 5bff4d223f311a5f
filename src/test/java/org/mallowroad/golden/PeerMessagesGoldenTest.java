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

/**
 * Compares the fingerprints of the peer schemas and the bytes of peer messages with golden files.
 */
final class PeerMessagesGoldenTest {
  private static final GoldenFile MESSAGES = new GoldenFile("peer-messages.txt");
  private static final int MESSAGE_SCHEMAS = 10;
  private static final int NESTED_SCHEMAS = 1;

  @Test
  void schemaFingerprintsMatchTheGoldenFile() throws IllegalAccessException {
    Map<String, String> fingerprints = new LinkedHashMap<>();
    for (Schema schema : PeerMessages.schemas()) {
      String fields =
          schema.getFields().stream()
              .map(field -> field.name() + ":" + field.schema().getType().getName())
              .collect(Collectors.joining(" "));
      long fingerprint = SchemaNormalization.parsingFingerprint64(schema);
      fingerprints.put(String.format("%016x", fingerprint), fields);
    }
    assertEquals(MESSAGE_SCHEMAS + NESTED_SCHEMAS, fingerprints.size());
    new GoldenFile("peer-schemas.txt").check(fingerprints);
  }

  @Test
  void messagesMatchTheGoldenFileByteForByte() {
    Map<String, String> hex = new LinkedHashMap<>();
    PeerMessages.samples().forEach((name, bytes) -> hex.put(name, HexFormat.of().formatHex(bytes)));
    MESSAGES.check(hex);
  }

  @TestFactory
  Iterable<DynamicTest> messagesOfAnEarlierBuildAreDecodedAndReencodedUnchanged() {
    return MESSAGES.entries().entrySet().stream()
        .map(
            entry ->
                DynamicTest.dynamicTest(
                    entry.getKey(),
                    () -> {
                      byte[] golden = HexFormat.of().parseHex(entry.getValue());
                      assertArrayEquals(golden, PeerMessages.reencode(entry.getKey(), golden));
                    }))
        .toList();
  }
}
