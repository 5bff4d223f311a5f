package org.mallowroad.controller.dependency;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;

/**
 * Watches the records of leagues while any gate requires games: lists them once, then watches for
 * changes. After a failed call it pauses and, when started again, begins with the list.
 */
final class LeagueWatch {
  private static final long RETRY_MS = 400;

  /** How long the state service holds a watch call open without changes, in milliseconds. */
  private static final long WATCH_TIMEOUT_MS = 10_000;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier isNeeded;
  private final Consumer<VersionedValue> onRecord;
  private final Runnable onPauseEnded;
  private boolean isRunning;
  private boolean isStopped;

  /**
   * Prepares the watch.
   *
   * @param isNeeded returns false while no gate requires games, which ends the watch
   * @param onRecord called with each league's record, whether listed or changed
   * @param onPauseEnded called after the pause that follows a failure; may start the watch again
   */
  LeagueWatch(
      EventLoop loop,
      KeyValueStore store,
      BooleanSupplier isNeeded,
      Consumer<VersionedValue> onRecord,
      Runnable onPauseEnded) {
    this.loop = loop;
    this.store = store;
    this.isNeeded = isNeeded;
    this.onRecord = onRecord;
    this.onPauseEnded = onPauseEnded;
  }

  void stop() {
    isStopped = true;
  }

  /** Starts the watch, if it is needed and not running. */
  void start() {
    if (isRunning || !isNeeded.getAsBoolean()) {
      return;
    }
    isRunning = true;
    store.list(
        RecordKeys.LEAGUES_PREFIX,
        (result, records, revision) -> {
          if (result == CallResult.OK) {
            records.forEach(onRecord);
            watchChanges(revision);
          } else {
            loop.after(RETRY_MS, this::endPause);
          }
        });
  }

  private void endPause() {
    isRunning = false;
    onPauseEnded.run();
  }

  private void watchChanges(long fromRevision) {
    if (isStopped || !isNeeded.getAsBoolean()) {
      isRunning = false;
      return;
    }
    store.watch(
        RecordKeys.LEAGUES_PREFIX,
        fromRevision,
        WATCH_TIMEOUT_MS,
        (result, changes, revision) -> {
          if (isStopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(RETRY_MS, this::endPause);
            return;
          }
          changes.forEach(onRecord);
          watchChanges(revision);
        });
  }
}
