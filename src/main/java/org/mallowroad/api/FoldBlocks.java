package org.mallowroad.api;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** Blocks of games as they are in the state service, with their versions. */
final class FoldBlocks {
  /** Blocks that are read at once. */
  private static final int AT_ONCE = 8;

  private static final int MOST_BYTES = 44 * 1024;

  private final KeyValueStore state;
  private final int ops;
  private final Map<BlockKey, Block> blocks = new TreeMap<>();
  private final Map<BlockKey, Long> versions = new HashMap<>();
  private String wrong;

  /** Of transactions with at most {@code ops} puts and deletes. */
  FoldBlocks(KeyValueStore state, int ops) {
    this.state = state;
    this.ops = ops;
  }

  /** The blocks that were read or written. */
  Map<BlockKey, Block> all() {
    return blocks;
  }

  /** Why a record could not be read, or null. */
  String wrong() {
    return wrong;
  }

  /** Reads some anew; {@code no} when the service does not answer, or a record is not ours. */
  void read(Collection<BlockKey> keys, Runnable next, Runnable no) {
    ArrayDeque<BlockKey> left = new ArrayDeque<>(keys);
    int[] out = new int[1];
    boolean[] over = new boolean[1];
    Runnable[] more = new Runnable[1];
    more[0] =
        () -> {
          while (!over[0] && out[0] < AT_ONCE && !left.isEmpty()) {
            BlockKey k = left.poll();
            out[0]++;
            state.get(
                RecordKeys.foldBlock(k),
                (result, item) -> {
                  out[0]--;
                  if (over[0]) {
                    return;
                  }
                  if (result != CallResult.OK || !take(k, item)) {
                    over[0] = true;
                    no.run();
                  } else {
                    more[0].run();
                  }
                });
          }
          if (!over[0] && out[0] == 0 && left.isEmpty()) {
            over[0] = true;
            next.run();
          }
        };
    more[0].run();
  }

  private boolean take(BlockKey k, VersionedValue item) {
    try {
      blocks.put(k, FoldCodec.decodeBlock(item.value()));
      versions.put(k, item.version());
      return true;
    } catch (InvalidMessageException e) {
      wrong = "block " + RecordKeys.foldBlock(k) + " cannot be read: " + e.getMessage();
      return false;
    }
  }

  /** Writes blocks under their marks. */
  void write(Transaction transaction, Map<BlockKey, Block> some) {
    some.forEach(
        (k, b) -> {
          transaction.requireVersion(RecordKeys.foldBlock(k), versions.get(k));
          if (b.sides().isEmpty()) {
            transaction.delete(RecordKeys.foldBlock(k));
          } else {
            transaction.put(RecordKeys.foldBlock(k), FoldCodec.encodeBlock(b));
          }
        });
  }

  /** They were written with that revision. */
  void written(Map<BlockKey, Block> some, long revision) {
    some.forEach(
        (k, b) -> {
          blocks.put(k, b);
          versions.put(k, b.sides().isEmpty() ? 0 : revision);
        });
  }

  /** As many of the blocks as one transaction takes besides so many other writes. */
  Map<BlockKey, Block> part(Map<BlockKey, Block> all, int others) {
    Map<BlockKey, Block> out = new TreeMap<>();
    int bytes = 0;
    for (Map.Entry<BlockKey, Block> e : all.entrySet()) {
      bytes += Json.text(FoldCodec.encodeBlock(e.getValue())).length() + 150;
      if (!out.isEmpty() && (out.size() + others >= ops || bytes > MOST_BYTES)) {
        break;
      }
      out.put(e.getKey(), e.getValue());
    }
    return out;
  }

  /** Those of the keys whose conditions have failed. */
  List<BlockKey> among(List<String> failed, Collection<BlockKey> keys) {
    List<BlockKey> out = new ArrayList<>();
    keys.forEach(
        k -> {
          if (failed.isEmpty() || failed.contains(RecordKeys.foldBlock(k))) {
            out.add(k);
          }
        });
    return out;
  }
}
