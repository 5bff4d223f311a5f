package org.mallowroad.election;

import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.VersionedValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Elects one leader among the controllers that share a state service.
 *
 * <p>The key {@link #LEADER_KEY} names the leader and is attached to the leader's lease; the key
 * {@link #TERM_KEY} holds the highest fencing token issued and is never deleted. A candidate writes
 * both keys in one transaction, on the conditions that there is no leader and that the term has not
 * changed since the candidate read it.
 *
 * <p><b>Why at most one leader can write.</b> Every write of a leader requires the version of
 * {@link #LEADER_KEY} that its election wrote. When the leader's lease ends, the key is deleted;
 * when another node is elected, the key gets a new version. In both cases the condition fails for
 * all writes of the deposed leader, even if that leader still considers itself the leader and
 * however late the writes arrive.
 *
 * <p><b>Why terms increase.</b> The transaction that writes the leader's name also increases the
 * term, and its conditions include the version of {@link #TERM_KEY} that the new term is computed
 * from, so no two leaders have the same term. Workers reject commands whose fencing token is lower
 * than the highest one they have seen.
 *
 * <p>Confined to the event loop.
 */
public final class LeaderElection {
  /** The key whose value names the leader. */
  public static final String LEADER_KEY = "leader";

  /** The key whose value is the highest fencing token issued. */
  public static final String TERM_KEY = "term";

  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  static final long LEASE_DURATION_MS = 3_000;
  private static final long RENEWAL_INTERVAL_MS = 700;
  static final long RENEWAL_TIMEOUT_MS = 1_000;
  private static final long WATCH_WAIT_MS = 10_000;

  /** Delay before the leader key is read again after a failed read. */
  private static final long READ_RETRY_MS = 300;

  private static final long WATCH_RETRY_MS = 200;

  /**
   * Upper bound of the random jitter added to the delay after which a candidate reads who was
   * elected.
   */
  private static final int CANDIDATE_JITTER_MS = 200;

  private static final long CANDIDATE_READ_DELAY_MS = 400;
  private static final long POST_DELETION_READ_DELAY_MS = 100;

  /**
   * How long a node does not become a candidate after resigning, so that another node is elected.
   */
  private static final long RESIGNATION_BACKOFF_MS = 6_000;

  /**
   * Additional candidacy delay of a node whose previous process ended while it was the leader. The
   * new process has not loaded any state and its code is not yet JIT-compiled, and whatever ended
   * the previous process may also end this one once it leads.
   */
  private static final long RESTART_DELAY_MS = 400;

  /**
   * Maximum number of predecessor leases that a process releases. The limit keeps two processes
   * that are misconfigured with the same name from deposing each other forever.
   */
  private static final int MAX_PREDECESSOR_RELEASES = 8;

  /** The role of this node in the election. */
  private enum State {
    /** Another node leads, or no leader is known. */
    FOLLOWER,
    /** A candidacy of this node is in progress. */
    CANDIDATE,
    /** This node is the leader, as far as it knows. */
    LEADER
  }

  private final EventLoop loop;
  private final KeyValueStore store;
  private final String node;
  private final Listener listener;
  private final SplittableRandom random;
  private final LongSupplier candidacyDelayMs;

  private State state = State.FOLLOWER;
  private String leader;
  private long leaderTerm;
  private long highestSeenToken;

  /**
   * The latest term that this node was elected for; the next two fields are the version and the
   * lease of the leader key in that term.
   */
  private long ownTerm;

  private long leaderKeyVersion;
  private long lease;
  private long lastRenewalSentMs;
  private boolean isRenewing;
  private EventLoop.Timer renewalTimer;

  /**
   * The lease of the latest candidacy that may still turn out to be elected; 0 if there is none.
   */
  private long candidacyLease;

  private long noCandidacyUntilMs = Long.MIN_VALUE;
  private long delayedCandidacyUntilMs = Long.MIN_VALUE;
  private int predecessorReleases;

  /** Receives changes of this node's own leadership. */
  public interface Listener {
    /**
     * This node was elected leader.
     *
     * @param term the first fencing token of its term
     * @param leaderKeyVersion the version of {@link #LEADER_KEY}, which all writes of this leader
     *     must have as a condition
     */
    void elected(long term, long leaderKeyVersion);

    /** This node is no longer the leader. */
    void deposed();
  }

  /**
   * Creates this node's participant in the election; {@link #start} begins to participate.
   *
   * @param node this node's name
   * @param candidacyDelayMs delay before this node's candidacy, in milliseconds, so that
   *     better-suited nodes are elected first; evaluated at the beginning of each candidacy
   */
  public LeaderElection(
      EventLoop loop,
      KeyValueStore store,
      String node,
      long seed,
      LongSupplier candidacyDelayMs,
      Listener listener) {
    this.candidacyDelayMs = candidacyDelayMs;
    this.loop = loop;
    this.store = store;
    this.node = node;
    this.random = new SplittableRandom(seed);
    this.listener = listener;
  }

  /** Begins to participate in the election. */
  public void start() {
    readLeader();
  }

  /** Returns the name of the last known leader, or null if there is none. */
  public String leader() {
    return leader;
  }

  /** Returns the term of the last known leader; 0 before the first leader is known. */
  public long leaderTerm() {
    return leaderTerm;
  }

  /** Returns the highest fencing token that this node has seen or been elected with. */
  public long highestSeenToken() {
    return Math.max(highestSeenToken, ownTerm);
  }

  /** Returns whether this node is the leader, as far as it knows. */
  public boolean isLeading() {
    return state == State.LEADER;
  }

  /** Returns when the latest successful lease grant or renewal was sent, on the monotonic clock. */
  public long lastRenewalSentMs() {
    return lastRenewalSentMs;
  }

  private void readLeader() {
    store.get(
        LEADER_KEY,
        (result, item) -> {
          if (result != CallResult.OK) {
            loop.after(READ_RETRY_MS, this::readLeader);
            return;
          }
          applyLeaderKey(item);
          if (item.version() > 0) {
            watchLeader(item.version());
          } else {
            becomeCandidate();
            readLeaderAfter(CANDIDATE_READ_DELAY_MS);
          }
        });
  }

  private void readLeaderAfter(long delayMs) {
    loop.after(delayMs + random.nextInt(CANDIDATE_JITTER_MS), this::readLeader);
  }

  private void watchLeader(long afterRevision) {
    store.watch(
        LEADER_KEY,
        afterRevision,
        WATCH_WAIT_MS,
        (result, events, revision) -> {
          if (result != CallResult.OK) {
            loop.after(WATCH_RETRY_MS, this::readLeader);
            return;
          }
          boolean isAbsent = false;
          for (VersionedValue event : events) {
            if (event.key().equals(LEADER_KEY)) {
              applyLeaderKey(event);
              isAbsent = event.value() == null;
            }
          }
          if (isAbsent) {
            // All followers become candidates at the same time; one transaction succeeds, and the
            // others read its result.
            becomeCandidate();
            readLeaderAfter(POST_DELETION_READ_DELAY_MS);
          } else {
            watchLeader(revision);
          }
        });
  }

  private void applyLeaderKey(VersionedValue item) {
    if (item.value() == null) {
      leader = null;
      if (isLeading()) {
        LOG.warn("event=lease_lost term={}", ownTerm);
        stepDown();
      }
      return;
    }
    if (isLeading() && item.version() > leaderKeyVersion) {
      stepDown();
    }
    LeaderRecord record = LeaderRecord.decode(item.value());
    leader = record.node();
    leaderTerm = record.term();
    highestSeenToken = Math.max(highestSeenToken, leaderTerm);
    if (!isLeading() && leader.equals(node)) {
      releasePredecessor(record.lease());
    }
  }

  /**
   * Releases the lease of a leadership that is held under this node's name but not by this process.
   * It belongs to a previous process or to an abandoned candidacy of this one. No process acts as
   * that leader, so there is no need to wait until the lease expires. This is safe: releasing a
   * lease can only depose a leader, and writes of the previous process that are still in transit
   * fail from then on because the leader key in their conditions no longer exists.
   */
  private void releasePredecessor(long predecessorLease) {
    if (predecessorLease > 0
        && predecessorLease != candidacyLease
        && predecessorReleases < MAX_PREDECESSOR_RELEASES) {
      predecessorReleases++;
      delayedCandidacyUntilMs = loop.now() + LEASE_DURATION_MS;
      LOG.info("event=predecessor_released term={} lease={}", leaderTerm, predecessorLease);
      store.releaseLease(predecessorLease);
    }
  }

  private void becomeCandidate() {
    if (state != State.FOLLOWER || loop.now() < noCandidacyUntilMs) {
      return;
    }
    state = State.CANDIDATE;
    long restartDelayMs = loop.now() < delayedCandidacyUntilMs ? RESTART_DELAY_MS : 0;
    long delayMs = candidacyDelayMs.getAsLong() + restartDelayMs;
    Candidacy candidacy =
        new Candidacy(loop, store, node, () -> highestSeenToken, new CandidacyListener());
    if (delayMs > 0) {
      // If another node is elected during the delay, the conditions of this node's transaction
      // fail.
      loop.after(delayMs, candidacy::start);
    } else {
      candidacy.start();
    }
  }

  /** Handles the outcome of this node's candidacy. */
  private final class CandidacyListener implements Candidacy.Listener {
    @Override
    public void transactionSent(long sentLease) {
      candidacyLease = sentLease;
    }

    @Override
    public void elected(Candidacy.Election election) {
      beginLeadership(election);
    }

    @Override
    public void abandoned() {
      state = State.FOLLOWER;
    }

    @Override
    public void notElected() {
      state = State.FOLLOWER;
      candidacyLease = 0;
    }
  }

  private void beginLeadership(Candidacy.Election election) {
    state = State.LEADER;
    leader = node;
    leaderTerm = election.term();
    ownTerm = election.term();
    leaderKeyVersion = election.leaderKeyVersion();
    lease = election.lease();
    lastRenewalSentMs = election.leaseSentMs();
    LOG.info("event=elected term={}", ownTerm);
    renewalTimer = loop.every(RENEWAL_INTERVAL_MS, this::renew);
    listener.elected(ownTerm, leaderKeyVersion);
  }

  private void renew() {
    if (!isLeading() || isRenewing) {
      return;
    }
    isRenewing = true;
    long sentMs = loop.now();
    long renewedLease = lease;
    store.renewLease(
        renewedLease,
        RENEWAL_TIMEOUT_MS,
        (result, id) -> {
          isRenewing = false;
          if (!isLeading() || renewedLease != lease) {
            return;
          }
          if (result == CallResult.OK) {
            lastRenewalSentMs = sentMs;
          } else if (result == CallResult.LEASE_EXPIRED) {
            LOG.warn("event=lease_expired term={}", ownTerm);
            stepDown();
          }
        });
  }

  /** Gives up the leadership although its lease is valid, because another node may serve better. */
  public void resign() {
    if (!isLeading()) {
      return;
    }
    long resignedLease = lease;
    noCandidacyUntilMs = loop.now() + RESIGNATION_BACKOFF_MS;
    stepDown();
    store.releaseLease(resignedLease);
  }

  /**
   * Gives up the leadership after a write failed because of the version of {@link #LEADER_KEY}, or
   * after a higher term was seen.
   */
  public void stepDown() {
    if (!isLeading()) {
      return;
    }
    state = State.FOLLOWER;
    leader = null;
    renewalTimer.cancel();
    LOG.warn("event=deposed term={}", ownTerm);
    listener.deposed();
  }

  /**
   * Handles another node's announcement of its term. A node that is partitioned from the state
   * service learns of a new leader through such announcements first.
   */
  public void leaderAnnounced(String otherNode, long otherTerm) {
    // Tokens of the announced term may have been seen already; a token of a later term shows that
    // the announced term has ended.
    if (FencingTokens.last(otherTerm) >= highestSeenToken()) {
      tokenSeen(otherTerm);
      if (!isLeading()) {
        leader = otherNode;
        leaderTerm = otherTerm;
      }
    }
  }

  /**
   * Records a fencing token from a message. A token higher than those of this node's own term ends
   * its leadership.
   */
  public void tokenSeen(long fencingToken) {
    highestSeenToken = Math.max(highestSeenToken, fencingToken);
    if (isLeading() && fencingToken > FencingTokens.last(ownTerm)) {
      stepDown();
    }
  }
}
