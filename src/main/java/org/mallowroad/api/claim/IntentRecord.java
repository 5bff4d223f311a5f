package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Game;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.Json;

/** Encodes and reads the intent record of a claim that needs more than one transaction. */
final class IntentRecord {
  private static final String RECORDED_AT = "at";
  private static final String HASH = "hash";
  private static final String BLOCKS = "blocks";
  private static final String ABANDONED = "undo";
  private static final int HASH_BYTES = 16;

  private IntentRecord() {}

  /** Encodes the record of a claim in progress, with the hash of its games. */
  static ObjectNode inProgress(long wallMs, String hash, Collection<BlockKey> keys) {
    ObjectNode record = Json.object();
    record.put(RECORDED_AT, wallMs);
    record.put(HASH, hash);
    record.set(BLOCKS, FoldCodec.encodeBlockKeys(keys));
    return record;
  }

  /** Encodes the record of a claim that is being abandoned. */
  static ObjectNode abandoned(long wallMs, Collection<BlockKey> keys) {
    ObjectNode record = Json.object();
    record.put(RECORDED_AT, wallMs);
    record.put(ABANDONED, true);
    record.set(BLOCKS, FoldCodec.encodeBlockKeys(keys));
    return record;
  }

  /** Whether the record belongs to a claim in progress for games with this hash. */
  static boolean isInProgress(JsonNode record, String hash) {
    return !record.has(ABANDONED) && record.path(HASH).asText().equals(hash);
  }

  /** The hash of a submission's games. */
  static String hashGames(List<Game> games) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (Game game : games) {
        digest.update((game + "\n").getBytes(StandardCharsets.UTF_8));
      }
      return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("SHA-256 is available on every Java platform", e);
    }
  }
}
