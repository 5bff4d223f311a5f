package org.mallowroad.controller.dependency;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;

/**
 * Watches the records of leagues while a gate requires games: lists them once, then follows their
 * changes. After a failed call it pauses, and begins with the list when it is started again.
 */
final class LeagueWatch {
  private static final long RETRY_MS = 400;

  /** How long the state service holds a call without changes. */
  private static final long WATCH_MS = 10_000;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final BooleanSupplier isNeeded;
  private final Consumer<VersionedValue> changed;
  private final Runnable paused;
  private boolean running;
  private boolean stopped;

  /**
   * Prepares the watch.
   *
   * @param isNeeded false while no gate requires games: then the watch ends
   * @param changed called with each league's record, listed or changed
   * @param paused called some time after a failure; may start the watch again
   */
  LeagueWatch(
      EventLoop loop,
      KeyValueStore store,
      BooleanSupplier isNeeded,
      Consumer<VersionedValue> changed,
      Runnable paused) {
    this.loop = loop;
    this.store = store;
    this.isNeeded = isNeeded;
    this.changed = changed;
    this.paused = paused;
  }

  void stop() {
    stopped = true;
  }

  /** Starts the watch, if it is needed and not running. */
  void start() {
    if (running || !isNeeded.getAsBoolean()) {
      return;
    }
    running = true;
    store.list(
        RecordKeys.LEAGUES_PREFIX,
        (result, records, revision) -> {
          if (result == CallResult.OK) {
            records.forEach(changed);
            follow(revision);
          } else {
            loop.after(RETRY_MS, this::pause);
          }
        });
  }

  private void pause() {
    running = false;
    paused.run();
  }

  private void follow(long fromRevision) {
    if (stopped || !isNeeded.getAsBoolean()) {
      running = false;
      return;
    }
    store.watch(
        RecordKeys.LEAGUES_PREFIX,
        fromRevision,
        WATCH_MS,
        (result, changes, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(RETRY_MS, this::pause);
            return;
          }
          changes.forEach(changed);
          follow(revision);
        });
  }
}
