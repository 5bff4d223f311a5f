package org.mallowroad.api.claim;

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

/** Blocks of games as one claim has read them from the state service, with their versions. */
final class ClaimedBlocks {
  private static final int MAX_CONCURRENT_READS = 8;

  /** The bound of the blocks in one transaction, below the service's bound of a request. */
  private static final int MAX_TRANSACTION_BYTES = 44 * 1024;

  /** What surrounds a block in a transaction. */
  private static final int OVERHEAD_BYTES = 150;

  private final KeyValueStore state;
  private final int maxOps;
  private final Map<BlockKey, Block> blocks = new TreeMap<>();
  private final Map<BlockKey, Long> versions = new HashMap<>();
  private String unreadable;

  ClaimedBlocks(ClaimContext context) {
    this.state = context.state();
    this.maxOps = context.maxOps();
  }

  /** The blocks that were read or written. */
  Map<BlockKey, Block> all() {
    return blocks;
  }

  /** Which record could not be decoded and why, or null. */
  String unreadable() {
    return unreadable;
  }

  /**
   * Reads some blocks anew.
   *
   * @param done called when all are read
   * @param failed called when the service does not answer or a record cannot be decoded
   */
  void read(Collection<BlockKey> keys, Runnable done, Runnable failed) {
    new BatchRead(keys, done, failed).readMore();
  }

  private final class BatchRead {
    private final ArrayDeque<BlockKey> remaining;
    private final Runnable done;
    private final Runnable failed;
    private int inFlight;
    private boolean ended;

    BatchRead(Collection<BlockKey> keys, Runnable done, Runnable failed) {
      this.remaining = new ArrayDeque<>(keys);
      this.done = done;
      this.failed = failed;
    }

    void readMore() {
      while (!ended && inFlight < MAX_CONCURRENT_READS && !remaining.isEmpty()) {
        BlockKey key = remaining.poll();
        inFlight++;
        state.get(RecordKeys.foldBlock(key), (result, item) -> received(key, result, item));
      }
      if (!ended && inFlight == 0 && remaining.isEmpty()) {
        ended = true;
        done.run();
      }
    }

    private void received(BlockKey key, CallResult result, VersionedValue item) {
      inFlight--;
      if (ended) {
        return;
      }
      if (result != CallResult.OK || !decode(key, item)) {
        ended = true;
        failed.run();
      } else {
        readMore();
      }
    }
  }

  private boolean decode(BlockKey key, VersionedValue item) {
    try {
      blocks.put(key, FoldCodec.decodeBlock(item.value()));
      versions.put(key, item.version());
      return true;
    } catch (InvalidMessageException e) {
      unreadable = "block " + RecordKeys.foldBlock(key) + " cannot be read: " + e.getMessage();
      return false;
    }
  }

  /** Adds changed blocks to a transaction, on condition that they are as they were read. */
  void addTo(Transaction transaction, Map<BlockKey, Block> changed) {
    changed.forEach(
        (key, block) -> {
          transaction.requireVersion(RecordKeys.foldBlock(key), versions.get(key));
          if (block.sides().isEmpty()) {
            transaction.delete(RecordKeys.foldBlock(key));
          } else {
            transaction.put(RecordKeys.foldBlock(key), FoldCodec.encodeBlock(block));
          }
        });
  }

  /** Takes changed blocks over after they were committed with that revision. */
  void committed(Map<BlockKey, Block> changed, long revision) {
    changed.forEach(
        (key, block) -> {
          blocks.put(key, block);
          versions.put(key, block.sides().isEmpty() ? 0 : revision);
        });
  }

  /** The first of the changed blocks, as many as fit into a transaction with other operations. */
  Map<BlockKey, Block> firstTransaction(Map<BlockKey, Block> changed, int otherOps) {
    Map<BlockKey, Block> out = new TreeMap<>();
    int bytes = 0;
    for (Map.Entry<BlockKey, Block> e : changed.entrySet()) {
      bytes += Json.toText(FoldCodec.encodeBlock(e.getValue())).length() + OVERHEAD_BYTES;
      if (!out.isEmpty() && (out.size() + otherOps >= maxOps || bytes > MAX_TRANSACTION_BYTES)) {
        break;
      }
      out.put(e.getKey(), e.getValue());
    }
    return out;
  }

  /** Those of the keys whose conditions failed; all when the service named no condition. */
  static List<BlockKey> failedKeys(List<String> failedConditions, Collection<BlockKey> keys) {
    List<BlockKey> out = new ArrayList<>();
    keys.forEach(
        key -> {
          if (failedConditions.isEmpty() || failedConditions.contains(RecordKeys.foldBlock(key))) {
            out.add(key);
          }
        });
    return out;
  }
}
