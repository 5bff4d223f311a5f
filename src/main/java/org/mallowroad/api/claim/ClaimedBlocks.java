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

/** The blocks that one claim has read from the state service, with their versions. */
final class ClaimedBlocks {
  private static final int MAX_CONCURRENT_READS = 8;

  /** The maximum size of the blocks in one transaction, below the service's limit for a request. */
  private static final int MAX_TRANSACTION_BYTES = 44 * 1024;

  /** The size that a transaction needs for each block besides its value. */
  private static final int BLOCK_OVERHEAD_BYTES = 150;

  private final KeyValueStore state;
  private final int maxOps;
  private final Map<BlockKey, Block> blocks = new TreeMap<>();
  private final Map<BlockKey, Long> versions = new HashMap<>();
  private String decodingError;

  ClaimedBlocks(ClaimContext context) {
    this.state = context.state();
    this.maxOps = context.maxOps();
  }

  /** The blocks as last read or written. */
  Map<BlockKey, Block> blocks() {
    return blocks;
  }

  /** The record that could not be decoded and the reason, or null. */
  String decodingError() {
    return decodingError;
  }

  /**
   * Reads blocks from the state service, also those that were read before.
   *
   * @param onDone called when all blocks are read
   * @param onFailed called if the service does not answer or a record cannot be decoded
   */
  void read(Collection<BlockKey> keys, Runnable onDone, Runnable onFailed) {
    new BatchRead(keys, onDone, onFailed).readMore();
  }

  private final class BatchRead {
    private final ArrayDeque<BlockKey> remaining;
    private final Runnable onDone;
    private final Runnable onFailed;
    private int readsInFlight;
    private boolean hasEnded;

    BatchRead(Collection<BlockKey> keys, Runnable onDone, Runnable onFailed) {
      this.remaining = new ArrayDeque<>(keys);
      this.onDone = onDone;
      this.onFailed = onFailed;
    }

    void readMore() {
      while (!hasEnded && readsInFlight < MAX_CONCURRENT_READS && !remaining.isEmpty()) {
        BlockKey key = remaining.poll();
        readsInFlight++;
        state.get(RecordKeys.foldBlock(key), (result, item) -> onBlockRead(key, result, item));
      }
      if (!hasEnded && readsInFlight == 0 && remaining.isEmpty()) {
        hasEnded = true;
        onDone.run();
      }
    }

    private void onBlockRead(BlockKey key, CallResult result, VersionedValue item) {
      readsInFlight--;
      if (hasEnded) {
        return;
      }
      if (result != CallResult.OK || !decode(key, item)) {
        hasEnded = true;
        onFailed.run();
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
      decodingError = "block " + RecordKeys.foldBlock(key) + " cannot be read: " + e.getMessage();
      return false;
    }
  }

  /** Adds changed blocks to a transaction, on condition that their versions are those read. */
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

  /** Stores changed blocks after they were committed at this revision. */
  void applyCommitted(Map<BlockKey, Block> changed, long revision) {
    changed.forEach(
        (key, block) -> {
          blocks.put(key, block);
          versions.put(key, block.sides().isEmpty() ? 0 : revision);
        });
  }

  /** As many of the changed blocks as fit into one transaction beside the other operations. */
  Map<BlockKey, Block> firstBatch(Map<BlockKey, Block> changed, int otherOps) {
    Map<BlockKey, Block> batch = new TreeMap<>();
    int bytes = 0;
    for (Map.Entry<BlockKey, Block> entry : changed.entrySet()) {
      bytes += Json.toText(FoldCodec.encodeBlock(entry.getValue())).length() + BLOCK_OVERHEAD_BYTES;
      if (!batch.isEmpty()
          && (batch.size() + otherOps >= maxOps || bytes > MAX_TRANSACTION_BYTES)) {
        break;
      }
      batch.put(entry.getKey(), entry.getValue());
    }
    return batch;
  }

  /** The keys whose conditions failed; all keys if the service did not report any condition. */
  static List<BlockKey> failedKeys(List<String> failedConditions, Collection<BlockKey> keys) {
    List<BlockKey> failed = new ArrayList<>();
    keys.forEach(
        key -> {
          if (failedConditions.isEmpty() || failedConditions.contains(RecordKeys.foldBlock(key))) {
            failed.add(key);
          }
        });
    return failed;
  }
}
