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
 * <p>The key {@link #LEADER_KEY} names the leader and lives on its lease; the key {@link #TERM_KEY}
 * holds the highest fencing token given out and is never deleted. A candidate writes both in one
 * transaction, on the condition that nobody leads and that the term is still the one it read.
 *
 * <p><b>Why at most one leader can write.</b> Every write of a leader requires the version of
 * {@link #LEADER_KEY} that its election wrote. When its lease ends the key is deleted, and when
 * another is elected it gets a new version: either way the condition of the deposed leader's writes
 * fails, whatever that leader believes and however late they arrive.
 *
 * <p><b>Why terms rise.</b> The term is raised in the same transaction as the leader is named, from
 * a version of {@link #TERM_KEY} that is among the conditions, so no two leaders have the same
 * term. Workers refuse commands of a lower fencing token than they have seen.
 *
 * <p>Confined to the event loop.
 */
public final class LeaderElection {
  /** The key that names the leader. */
  public static final String LEADER_KEY = "leader";

  /** The key of the highest fencing token given out. */
  public static final String TERM_KEY = "term";

  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  static final long LEASE_DURATION_MS = 3_000;
  private static final long RENEWAL_INTERVAL_MS = 700;
  static final long RENEWAL_TIMEOUT_MS = 1_000;
  private static final long WATCH_WAIT_MS = 10_000;

  /** Delay of another read of the leader after a read or a watch that failed. */
  private static final long READ_RETRY_MS = 300;

  private static final long WATCH_RETRY_MS = 200;

  /** Bounds of the random delay after which a candidate reads who was elected. */
  private static final int CANDIDATE_JITTER_MS = 200;

  private static final long CANDIDATE_READ_MS = 400;
  private static final long CANDIDATE_READ_AFTER_DELETION_MS = 100;

  /** After resigning a node is no candidate for this long, so that another is elected. */
  private static final long RESIGNATION_BACKOFF_MS = 6_000;

  /**
   * The delay of a candidacy of a node whose previous process ended as leader. This process has
   * loaded nothing yet and its code is cold, and what ended the previous one may end this one there
   * as well.
   */
  private static final long RESTART_DELAY_MS = 400;

  /** Two processes of one name, by mistake, must not depose each other for ever. */
  private static final int MAX_PREDECESSOR_RELEASES = 8;

  /** Where this node stands. */
  private enum State {
    /** Another node leads, or nobody is known to. */
    FOLLOWER,
    /** An election of this node is under way. */
    CANDIDATE,
    /** This node leads as far as it knows. */
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

  /** This node's newest term of leadership, and the leader key's version and lease in it. */
  private long ownTerm;

  private long leaderKeyVersion;
  private long lease;
  private long lastRenewalSentMs;
  private boolean isRenewing;
  private EventLoop.Timer renewalTimer;

  /** The lease of the newest candidacy that may still have been elected; 0: none. */
  private long candidacyLease;

  private long noCandidacyUntilMs = Long.MIN_VALUE;
  private long delayedCandidacyUntilMs = Long.MIN_VALUE;
  private int predecessorReleases;

  /** Told of this node's own leadership. */
  public interface Listener {
    /**
     * This node leads from now on.
     *
     * @param term the first fencing token of its term
     * @param version the version of {@link #LEADER_KEY}, a condition of each of its writes
     */
    void elected(long term, long version);

    /** This node no longer leads. */
    void deposed();
  }

  /**
   * Prepares an election; {@link #start} takes part in it.
   *
   * @param node this node's name
   * @param candidacyDelayMs how long this node lets others be elected first, since they would serve
   *     better; asked at the beginning of each candidacy
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

  /** Takes part from now on. */
  public void start() {
    readLeader();
  }

  /** Name of the leader as last seen, or null. */
  public String leader() {
    return leader;
  }

  /** The term of the leader as last seen; 0 before the first. */
  public long leaderTerm() {
    return leaderTerm;
  }

  /** The highest fencing token seen anywhere. */
  public long highestSeenToken() {
    return Math.max(highestSeenToken, ownTerm);
  }

  /** True while this node leads as far as it knows. */
  public boolean isLeading() {
    return state == State.LEADER;
  }

  /** When the newest renewal of the lease was sent that succeeded, on the steady clock. */
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
          leaderKeyRead(item);
          if (item.version() > 0) {
            watchLeader(item.version());
          } else {
            becomeCandidate();
            readLeaderAfter(CANDIDATE_READ_MS);
          }
        });
  }

  private void readLeaderAfter(long ms) {
    loop.after(ms + random.nextInt(CANDIDATE_JITTER_MS), this::readLeader);
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
              leaderKeyRead(event);
              isAbsent = event.value() == null;
            }
          }
          if (isAbsent) {
            // The others try at the same moment; one transaction wins, the others read its result.
            becomeCandidate();
            readLeaderAfter(CANDIDATE_READ_AFTER_DELETION_MS);
          } else {
            watchLeader(revision);
          }
        });
  }

  private void leaderKeyRead(VersionedValue item) {
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
   * The leadership is held under this node's name and not by this process: by one before it, or by
   * a candidacy of its own that was given up. Nobody acts in it, so its lease is ended and need not
   * be waited for. Ending a lease can only depose; and what the previous process has still on its
   * way fails from then on, since the key that its conditions name is gone.
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
      // By then another leads, and the conditions of this node's transaction fail; or nobody does.
      loop.after(delayMs, candidacy::start);
    } else {
      candidacy.start();
    }
  }

  /** What becomes of this node's candidacy. */
  private final class CandidacyListener implements Candidacy.Listener {
    @Override
    public void transactionSent(long sentLease) {
      candidacyLease = sentLease;
    }

    @Override
    public void elected(Candidacy.Election election) {
      lead(election);
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

  private void lead(Candidacy.Election election) {
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

  /** Gives the leadership up although its lease holds: another node may serve better. */
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
   * Gives the leadership up: a write failed on the version of {@link #LEADER_KEY}, or a higher term
   * was seen.
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
   * Another node announced its term; a node that is cut off from the state service learns of it
   * here first.
   */
  public void leaderAnnounced(String otherNode, long otherTerm) {
    // Tokens of the same term may have been seen; those of a later one say that it is over.
    if (FencingTokens.last(otherTerm) >= highestSeenToken()) {
      tokenSeen(otherTerm);
      if (!isLeading()) {
        leader = otherNode;
        leaderTerm = otherTerm;
      }
    }
  }

  /** A message had this fencing token: one beyond this node's own term ends its leadership. */
  public void tokenSeen(long fencingToken) {
    highestSeenToken = Math.max(highestSeenToken, fencingToken);
    if (isLeading() && fencingToken > FencingTokens.last(ownTerm)) {
      stepDown();
    }
  }
}
