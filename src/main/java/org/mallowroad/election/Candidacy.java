package org.mallowroad.election;

import java.util.function.LongSupplier;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;

/**
 * One attempt of a node to be elected. It obtains a lease, reads the term, sends the transaction
 * that writes the leader key with the lease and increases the term, and determines the outcome of
 * that transaction. It calls exactly one of {@link Listener#elected}, {@link Listener#abandoned}
 * and {@link Listener#notElected}, once.
 *
 * <p>Confined to the event loop.
 */
final class Candidacy {
  /** Delay before the outcome of this node's election is checked again. */
  private static final long OUTCOME_RETRY_MS = 200;

  /** A candidacy whose outcome cannot be read for this long is given up. */
  private static final long OUTCOME_TIMEOUT_MS = 2 * LeaderElection.LEASE_DURATION_MS;

  /**
   * An election whose lease cannot be renewed before the leadership begins is given up after this
   * time.
   */
  private static final long CONFIRMATION_TIMEOUT_MS = 10 * LeaderElection.LEASE_DURATION_MS;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String node;
  private final LongSupplier highestSeenToken;
  private final Listener listener;

  /**
   * The state of an election in progress or won.
   *
   * @param leaseSentMs when the call that last granted or renewed the lease was sent
   * @param leaderKeyVersion version of {@link LeaderElection#LEADER_KEY}; 0 while unknown
   */
  record Election(long lease, long term, long leaseSentMs, long leaderKeyVersion) {
    private Election withLeaderKeyVersion(long newLeaderKeyVersion) {
      return new Election(lease, term, leaseSentMs, newLeaderKeyVersion);
    }

    private Election withLeaseSentMs(long newLeaseSentMs) {
      return new Election(lease, term, newLeaseSentMs, leaderKeyVersion);
    }
  }

  /** Receives the outcome of the candidacy. */
  interface Listener {
    /**
     * The transaction was sent, so from now on it may write {@link LeaderElection#LEADER_KEY} with
     * this lease.
     */
    void transactionSent(long lease);

    /** The node was elected, and its lease was valid when last confirmed. */
    void elected(Election election);

    /** The candidacy ended before its transaction was sent, so nothing was written. */
    void abandoned();

    /**
     * The transaction failed, its outcome could not be determined in time, or the leadership has
     * already ended.
     */
    void notElected();
  }

  Candidacy(
      EventLoop loop,
      KeyValueStore store,
      String node,
      LongSupplier highestSeenToken,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.node = node;
    this.highestSeenToken = highestSeenToken;
    this.listener = listener;
  }

  /** Requests a lease and tries to be elected with it. */
  void start() {
    long sentMs = loop.now();
    store.grantLease(
        LeaderElection.LEASE_DURATION_MS,
        (result, grantedLease) -> {
          if (result == CallResult.OK) {
            readTerm(grantedLease, sentMs);
          } else {
            listener.abandoned();
          }
        });
  }

  private void readTerm(long grantedLease, long sentMs) {
    store.get(
        LeaderElection.TERM_KEY,
        (result, item) -> {
          if (result != CallResult.OK) {
            listener.abandoned();
            return;
          }
          long term =
              Math.max(LeaderRecord.decodeTerm(item.value()), highestSeenToken.getAsLong()) + 1;
          sendTransaction(new Election(grantedLease, term, sentMs, 0), item.version());
        });
  }

  private void sendTransaction(Election election, long termVersion) {
    LeaderRecord record = new LeaderRecord(node, election.term(), election.lease());
    listener.transactionSent(election.lease());
    Transaction transaction =
        new Transaction()
            .requireVersion(LeaderElection.LEADER_KEY, 0)
            .requireVersion(LeaderElection.TERM_KEY, termVersion)
            .put(LeaderElection.LEADER_KEY, record.encode(), election.lease())
            // The last token of the term's block, so that the next term exceeds all of the block.
            .put(
                LeaderElection.TERM_KEY,
                LeaderRecord.encodeTerm(FencingTokens.last(election.term())));
    store.compareAndSwap(
        transaction,
        (result, revision, failedKeys) -> {
          switch (result) {
            case OK -> confirm(election.withLeaderKeyVersion(revision));
            case UNKNOWN -> readOutcome(election);
            default -> listener.notElected();
          }
        });
  }

  /** Determines an unknown outcome of the transaction by reading the leader key. */
  private void readOutcome(Election election) {
    store.get(
        LeaderElection.LEADER_KEY,
        (result, item) -> {
          if (result == CallResult.OK) {
            // The lease distinguishes this election from one of the previous process that is
            // executed late, which has the same name and may have the same term.
            if (LeaderRecord.decode(item.value())
                .equals(new LeaderRecord(node, election.term(), election.lease()))) {
              confirm(election.withLeaderKeyVersion(item.version()));
            } else {
              listener.notElected();
            }
          } else if (loop.now() - election.leaseSentMs() > OUTCOME_TIMEOUT_MS) {
            listener.notElected();
          } else {
            loop.after(OUTCOME_RETRY_MS, () -> readOutcome(election));
          }
        });
  }

  /**
   * Reports the election once the lease is known to be valid. A node that was paused during its
   * election learns of the outcome late, when its lease may have expired and another node may have
   * been elected. The lease is then renewed first, so that a leadership that has already ended
   * never begins.
   */
  private void confirm(Election election) {
    if (loop.now() - election.leaseSentMs() < LeaderElection.LEASE_DURATION_MS) {
      listener.elected(election);
      return;
    }
    long sentMs = loop.now();
    store.renewLease(
        election.lease(),
        LeaderElection.RENEWAL_TIMEOUT_MS,
        (result, renewedLease) -> {
          if (result == CallResult.OK) {
            confirm(election.withLeaseSentMs(sentMs));
          } else if (result == CallResult.LEASE_EXPIRED
              || loop.now() - election.leaseSentMs() > CONFIRMATION_TIMEOUT_MS) {
            listener.notElected();
          } else {
            loop.after(OUTCOME_RETRY_MS, () -> confirm(election));
          }
        });
  }
}
