package org.mallowroad.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Claims;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.Json;

/** Gives intents up: claims of games that were begun and will not be finished. */
final class FoldIntents {
  /** The field of an intent that is being given up. */
  static final String UNDO = "undo";

  /** A conflict is tried again so much later. */
  static final long RETRY_MS = 60;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final int ops;

  FoldIntents(EventLoop loop, KeyValueStore state, int ops) {
    this.loop = loop;
    this.state = state;
    this.ops = ops;
  }

  /**
   * Gives an intent up: first it is marked, so that no step of the claim applies any more, then its
   * claims are taken out, then it goes. Anybody may do it, also twice at once, also from the
   * middle.
   *
   * @param told whether all of it is done; else whoever finds the intent does it again
   */
  void undo(String id, long version, Collection<BlockKey> keys, Consumer<Boolean> told) {
    ObjectNode v = Json.object();
    v.put("at", loop.wallMs());
    v.put(UNDO, true);
    v.set("blocks", FoldCodec.encodeBlockKeys(keys));
    state.compareAndSwap(
        new Transaction()
            .requireVersion(RecordKeys.foldIntent(id), version)
            .put(RecordKeys.foldIntent(id), v),
        (result, revision, failed) -> {
          if (result == CallResult.OK) {
            takeOut(id, revision, new ArrayDeque<>(keys), told);
          } else {
            told.accept(false);
          }
        });
  }

  private void takeOut(String id, long version, ArrayDeque<BlockKey> left, Consumer<Boolean> told) {
    if (left.isEmpty()) {
      state.compareAndSwap(
          new Transaction()
              .requireVersion(RecordKeys.foldIntent(id), version)
              .delete(RecordKeys.foldIntent(id)),
          (result, revision, failed) -> told.accept(result == CallResult.OK));
      return;
    }
    List<BlockKey> some = new ArrayList<>();
    while (!left.isEmpty() && some.size() < ops) {
      some.add(left.poll());
    }
    FoldBlocks b = new FoldBlocks(state, ops);
    b.read(
        some,
        () -> {
          Map<BlockKey, Block> changed = new TreeMap<>();
          b.all()
              .forEach(
                  (k, block) -> {
                    Block without = Claims.without(block, id);
                    if (without != block) {
                      changed.put(k, without);
                    }
                  });
          if (changed.isEmpty()) {
            takeOut(id, version, left, told);
            return;
          }
          Map<BlockKey, Block> part = b.part(changed, 0);
          Transaction transaction =
              new Transaction().requireVersion(RecordKeys.foldIntent(id), version);
          b.write(transaction, part);
          state.compareAndSwap(
              transaction,
              (result, revision, failed) -> {
                if (result == CallResult.OK
                    || (result == CallResult.CONDITION_FAILED
                        && !failed.contains(RecordKeys.foldIntent(id)))) {
                  // What is not done, or was changed by others meanwhile, is read once more.
                  some.removeAll(result == CallResult.OK ? part.keySet() : List.of());
                  left.addAll(some);
                  loop.after(RETRY_MS, () -> takeOut(id, version, left, told));
                } else {
                  told.accept(false);
                }
              });
        },
        () -> told.accept(false));
  }
}
