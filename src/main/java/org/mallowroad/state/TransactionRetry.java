package org.mallowroad.state;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore.TransactionListener;

/**
 * Resends a transaction while its response is late and reports the first certain outcome.
 *
 * <p><b>Why sending copies is safe.</b> All copies have the same conditions, which include the
 * versions of all keys that the transaction writes. The copy that is executed first changes those
 * versions, so the conditions of the other copies fail, however late they arrive. A late copy also
 * cannot recreate a record of an ended job: a copy that would create one requires that the job's
 * open record still exists.
 *
 * <p>Confined to the event loop. Each instance handles one transaction.
 */
final class TransactionRetry implements TransactionListener {
  /** Maximum number of copies sent, including the first one. */
  private static final int MAX_COPIES = 3;

  /** Bounds of the time-out for the response to the first copy. */
  private static final long MIN_TIMEOUT_MS = 90;

  private static final long MAX_TIMEOUT_MS = 600;

  private final EventLoop loop;
  private final Consumer<TransactionListener> sendCopy;
  private final BooleanSupplier isRetryAllowed;
  private final Runnable onRetry;
  private final LatencyEstimator latency;
  private final TransactionListener listener;
  private int sentCopies;
  private int outstandingCopies;
  private boolean hasUnknownOutcome;
  private boolean isReported;
  private EventLoop.Timer retryTimer;

  /**
   * Creates the retry state of a transaction; {@link #send} sends the first copy.
   *
   * @param sendCopy sends one copy and reports its outcome
   * @param isRetryAllowed checked before each retry; once it returns false, no further copies are
   *     sent
   * @param onRetry run before each retry
   * @param listener receives the outcome, exactly once
   */
  TransactionRetry(
      EventLoop loop,
      Consumer<TransactionListener> sendCopy,
      BooleanSupplier isRetryAllowed,
      Runnable onRetry,
      LatencyEstimator latency,
      TransactionListener listener) {
    this.loop = loop;
    this.sendCopy = sendCopy;
    this.isRetryAllowed = isRetryAllowed;
    this.onRetry = onRetry;
    this.latency = latency;
    this.listener = listener;
  }

  /** Sends the next copy. The time-out doubles with each copy. */
  void send() {
    sentCopies++;
    outstandingCopies++;
    if (sentCopies < MAX_COPIES) {
      long timeoutMs =
          Math.max(MIN_TIMEOUT_MS, Math.min(MAX_TIMEOUT_MS, latency.retransmissionTimeoutMs()));
      retryTimer = loop.after(timeoutMs << (sentCopies - 1), this::retry);
    }
    sendCopy.accept(this);
  }

  private void retry() {
    if (!isReported && isRetryAllowed.getAsBoolean()) {
      onRetry.run();
      send();
    }
  }

  @Override
  public void onOutcome(CallResult result, long revision, List<String> failedKeys) {
    outstandingCopies--;
    if (isReported) {
      return;
    }
    hasUnknownOutcome |= result == CallResult.UNKNOWN;
    boolean isCertain = result == CallResult.OK || result == CallResult.CONDITION_FAILED;
    if (!isCertain && outstandingCopies > 0) {
      return; // Another copy may still have a certain outcome.
    }
    isReported = true;
    if (retryTimer != null) {
      retryTimer.cancel();
    }
    CallResult uncertainResult = hasUnknownOutcome ? CallResult.UNKNOWN : CallResult.NOT_EXECUTED;
    listener.onOutcome(isCertain ? result : uncertainResult, revision, failedKeys);
  }
}
