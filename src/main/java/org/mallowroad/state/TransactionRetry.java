package org.mallowroad.state;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore.TransactionListener;

/**
 * Sends a transaction again while its response is late, and reports the first outcome that is
 * certain.
 *
 * <p><b>Why copies do no harm.</b> They carry the same conditions: the versions of all keys that
 * are written. Whichever is executed first changes those versions, and the others fail, however
 * late they arrive. A record of a job that is over is never written again: a copy that would create
 * such a record has the job's open record among its conditions.
 *
 * <p>Confined to the event loop; for one transaction.
 */
final class TransactionRetry implements TransactionListener {
  /** The first copy and its retries. */
  private static final int MAX_COPIES = 3;

  /** Bounds of the time after which the first response counts as late. */
  private static final long MIN_TIMEOUT_MS = 90;

  private static final long MAX_TIMEOUT_MS = 600;

  private final EventLoop loop;
  private final Consumer<TransactionListener> sendCopy;
  private final BooleanSupplier mayRetry;
  private final Runnable onRetry;
  private final LatencyEstimator latency;
  private final TransactionListener listener;
  private int copies;
  private int outstanding;
  private boolean anyUnknown;
  private boolean reported;
  private EventLoop.Timer timer;

  /**
   * Prepares a transaction.
   *
   * @param sendCopy sends one copy and reports its outcome
   * @param mayRetry asked before each retry; when it says no, no more are sent
   * @param onRetry run before each retry
   * @param listener told the outcome once
   */
  TransactionRetry(
      EventLoop loop,
      Consumer<TransactionListener> sendCopy,
      BooleanSupplier mayRetry,
      Runnable onRetry,
      LatencyEstimator latency,
      TransactionListener listener) {
    this.loop = loop;
    this.sendCopy = sendCopy;
    this.mayRetry = mayRetry;
    this.onRetry = onRetry;
    this.latency = latency;
    this.listener = listener;
  }

  /** Sends the next copy. The time-out doubles with each. */
  void send() {
    copies++;
    outstanding++;
    if (copies < MAX_COPIES) {
      long timeoutMs =
          Math.max(MIN_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, latency.retransmissionTimeoutMs()));
      timer = loop.after(timeoutMs << (copies - 1), this::retry);
    }
    sendCopy.accept(this);
  }

  private void retry() {
    if (!reported && mayRetry.getAsBoolean()) {
      onRetry.run();
      send();
    }
  }

  @Override
  public void onOutcome(CallResult result, long revision, List<String> failedKeys) {
    outstanding--;
    if (reported) {
      return;
    }
    anyUnknown |= result == CallResult.UNKNOWN;
    boolean certain = result == CallResult.OK || result == CallResult.CONDITION_FAILED;
    if (!certain && outstanding > 0) {
      return; // Another copy may still bring a certain outcome.
    }
    reported = true;
    if (timer != null) {
      timer.cancel();
    }
    CallResult uncertain = anyUnknown ? CallResult.UNKNOWN : CallResult.NOT_EXECUTED;
    listener.onOutcome(certain ? result : uncertain, revision, failedKeys);
  }
}
