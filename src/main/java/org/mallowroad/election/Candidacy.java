package org.mallowroad.election;

import java.util.function.LongSupplier;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;

/**
 * One attempt of a node to be elected: a lease, the term, the transaction that writes both, and
 * whatever it takes to learn its outcome. Exactly one of {@link Listener#elected}, {@link
 * Listener#abandoned} and {@link Listener#notElected} is told, once.
 *
 * <p>Confined to the event loop.
 */
final class Candidacy {
  /** Delay of another attempt to learn how one's own election ended. */
  private static final long OUTCOME_RETRY_MS = 200;

  /** An election whose outcome cannot be read for this long is given up. */
  private static final long OUTCOME_TIMEOUT_MS = 2 * LeaderElection.LEASE_DURATION_MS;

  /** A lease that cannot be renewed before leading begins is given up after this time. */
  private static final long CONFIRMATION_TIMEOUT_MS = 10 * LeaderElection.LEASE_DURATION_MS;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String node;
  private final LongSupplier highestSeenToken;
  private final Listener listener;

  /**
   * An election under way, or won.
   *
   * @param leaseSentMs when the newest call was sent that the lease was granted or renewed by
   * @param leaderKeyVersion version of {@link LeaderElection#LEADER_KEY}; 0 while it is not known
   */
  record Election(long lease, long term, long leaseSentMs, long leaderKeyVersion) {
    private Election at(long version) {
      return new Election(lease, term, leaseSentMs, version);
    }

    private Election renewedAt(long sentMs) {
      return new Election(lease, term, sentMs, leaderKeyVersion);
    }
  }

  /** Told what becomes of the candidacy. */
  interface Listener {
    /** From now on the key {@link LeaderElection#LEADER_KEY} may be written with this lease. */
    void transactionSent(long lease);

    /** The node is elected, and its lease held a moment ago. */
    void elected(Election election);

    /** The candidacy ended before its transaction: nothing was written. */
    void abandoned();

    /** The transaction failed, or its leadership is over already. */
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

  /** Asks for a lease, and tries to be elected with it. */
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
          elect(new Election(grantedLease, term, sentMs, 0), item.version());
        });
  }

  private void elect(Election election, long termVersion) {
    LeaderRecord record = new LeaderRecord(node, election.term(), election.lease());
    listener.transactionSent(election.lease());
    Transaction transaction =
        new Transaction()
            .requireVersion(LeaderElection.LEADER_KEY, 0)
            .requireVersion(LeaderElection.TERM_KEY, termVersion)
            .put(LeaderElection.LEADER_KEY, record.encode(), election.lease())
            // The last token of the term's block: the next term is above all of them.
            .put(
                LeaderElection.TERM_KEY,
                LeaderRecord.encodeTerm(FencingTokens.last(election.term())));
    store.compareAndSwap(
        transaction,
        (result, revision, failedKeys) -> {
          switch (result) {
            case OK -> confirm(election.at(revision));
            case UNKNOWN -> readOutcome(election);
            default -> listener.notElected();
          }
        });
  }

  /** An election whose outcome is unknown is settled by reading who leads. */
  private void readOutcome(Election election) {
    store.get(
        LeaderElection.LEADER_KEY,
        (result, item) -> {
          if (result == CallResult.OK) {
            // The lease tells the elections apart: one of the previous process that is executed
            // late has the same name and may have the same term.
            if (LeaderRecord.decode(item.value())
                .equals(new LeaderRecord(node, election.term(), election.lease()))) {
              confirm(election.at(item.version()));
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
   * A node that was paused while it was elected learns of it late: its lease may be over and
   * another elected since. Then the lease is renewed first, and a leadership that is over is never
   * begun.
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
            confirm(election.renewedAt(sentMs));
          } else if (result == CallResult.LEASE_EXPIRED
              || loop.now() - election.leaseSentMs() > CONFIRMATION_TIMEOUT_MS) {
            listener.notElected();
          } else {
            loop.after(OUTCOME_RETRY_MS, () -> confirm(election));
          }
        });
  }
}
