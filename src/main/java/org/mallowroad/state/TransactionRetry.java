package org.mallowroad.state;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore.Ended;
import org.mallowroad.state.KeyValueStore.Result;

/**
 * Sends a transaction again while its answer is late, and gives the first outcome that is known.
 *
 * <p><b>Why copies do no harm.</b> They carry the same conditions: the versions of all keys that
 * are written. Whichever is carried out first changes those versions, and the others fail, however
 * late they come. A record of a job that is over is never written again: a copy that would create
 * such a record has the job's open record among its conditions.
 */
final class TransactionRetry implements Ended {
  /** Copies in all. */
  private static final int MOST_COPIES = 3;

  /** An answer is not taken for late any sooner. */
  private static final long LEAST_MS = 90;

  private static final long MOST_MS = 600;

  private final EventLoop loop;
  private final Consumer<Ended> transaction;
  private final BooleanSupplier mayRepeat;
  private final Runnable onRepeat;
  private final LatencyEstimator latency;
  private final Ended listener;
  private int copies;
  private int open;
  private boolean unknown;
  private boolean over;
  private EventLoop.Timer timer;

  TransactionRetry(
      EventLoop loop,
      Consumer<Ended> transaction,
      BooleanSupplier mayRepeat,
      Runnable onRepeat,
      LatencyEstimator latency,
      Ended listener) {
    this.loop = loop;
    this.transaction = transaction;
    this.mayRepeat = mayRepeat;
    this.onRepeat = onRepeat;
    this.latency = latency;
    this.listener = listener;
  }

  /** Sends the next copy. */
  void send() {
    copies++;
    open++;
    if (copies < MOST_COPIES) {
      long late = Math.max(LEAST_MS, Math.min(MOST_MS, latency.lateMs()));
      timer = loop.after(late << (copies - 1), this::repeat);
    }
    transaction.accept(this);
  }

  private void repeat() {
    if (!over && mayRepeat.getAsBoolean()) {
      onRepeat.run();
      send();
    }
  }

  @Override
  public void ended(Result result, long revision, List<String> failed) {
    open--;
    if (over) {
      return;
    }
    unknown |= result == Result.UNKNOWN;
    boolean known = result == Result.OK || result == Result.NO;
    if (!known && open > 0) {
      return; // Another copy may still bring an answer.
    }
    over = true;
    if (timer != null) {
      timer.cancel();
    }
    listener.ended(known ? result : unknown ? Result.UNKNOWN : Result.NOT_DONE, revision, failed);
  }
}
