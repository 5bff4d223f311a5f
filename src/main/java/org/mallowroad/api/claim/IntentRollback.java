package org.mallowroad.api.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.ClaimRules;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;

/**
 * Rolls back claims that were begun and will not be finished. First it marks the intent as
 * abandoned, so that no further transaction of the claim can be applied; then it removes the claims
 * from the blocks; then it deletes the intent. Several nodes may do this at the same time, and any
 * node may continue when another one has stopped.
 */
final class IntentRollback {
  private final ClaimContext context;

  IntentRollback(ClaimContext context) {
    this.context = context;
  }

  /**
   * Abandons the unfinished claim of a job.
   *
   * @param version the version of its intent
   * @param listener receives whether the rollback is complete; if not, any node that finds the
   *     intent may repeat it
   */
  void abandon(String id, long version, Collection<BlockKey> keys, Consumer<Boolean> listener) {
    context
        .state()
        .compareAndSwap(
            new Transaction()
                .requireVersion(RecordKeys.foldIntent(id), version)
                .put(
                    RecordKeys.foldIntent(id),
                    IntentRecord.abandoned(context.loop().wallMs(), keys)),
            (result, revision, failedConditions) -> {
              if (result == CallResult.OK) {
                removeClaims(id, revision, new ArrayDeque<>(keys), listener);
              } else {
                listener.accept(false);
              }
            });
  }

  private void removeClaims(
      String id, long version, ArrayDeque<BlockKey> remaining, Consumer<Boolean> listener) {
    if (remaining.isEmpty()) {
      context
          .state()
          .compareAndSwap(
              new Transaction()
                  .requireVersion(RecordKeys.foldIntent(id), version)
                  .delete(RecordKeys.foldIntent(id)),
              (result, revision, failedConditions) -> listener.accept(result == CallResult.OK));
      return;
    }
    List<BlockKey> batch = new ArrayList<>();
    while (!remaining.isEmpty() && batch.size() < context.maxOps()) {
      batch.add(remaining.poll());
    }
    ClaimedBlocks blocks = new ClaimedBlocks(context);
    blocks.read(
        batch,
        () -> removeFromBatch(id, version, blocks, batch, remaining, listener),
        () -> listener.accept(false));
  }

  private void removeFromBatch(
      String id,
      long version,
      ClaimedBlocks blocks,
      List<BlockKey> batch,
      ArrayDeque<BlockKey> remaining,
      Consumer<Boolean> listener) {
    Map<BlockKey, Block> changed = new TreeMap<>();
    blocks
        .blocks()
        .forEach(
            (key, block) -> {
              Block unclaimed = ClaimRules.withoutClaimsOf(block, id);
              if (unclaimed != block) {
                changed.put(key, unclaimed);
              }
            });
    if (changed.isEmpty()) {
      removeClaims(id, version, remaining, listener);
      return;
    }
    Map<BlockKey, Block> writtenBlocks = blocks.firstBatch(changed, 0);
    Transaction transaction = new Transaction().requireVersion(RecordKeys.foldIntent(id), version);
    blocks.addTo(transaction, writtenBlocks);
    context
        .state()
        .compareAndSwap(
            transaction,
            (result, revision, failedConditions) -> {
              if (result == CallResult.OK
                  || (result == CallResult.CONDITION_FAILED
                      && !failedConditions.contains(RecordKeys.foldIntent(id)))) {
                // Blocks that are not written yet, or were changed by other jobs meanwhile, are
                // read again.
                batch.removeAll(result == CallResult.OK ? writtenBlocks.keySet() : List.of());
                remaining.addAll(batch);
                context
                    .loop()
                    .after(
                        ClaimContext.CONFLICT_RETRY_DELAY_MS,
                        () -> removeClaims(id, version, remaining, listener));
              } else {
                listener.accept(false);
              }
            });
  }
}
