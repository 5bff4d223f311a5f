package org.mallowroad.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the one leader: key {@code leader} lives on a lease, and the lasting counter {@code term}
 * rises in the same transaction. Whoever writes as leader puts the mark of {@code leader} into the
 * conditions, so a deposed leader's writes fail whatever it believes.
 */
public final class LeaderElection {
  /** The key that names the leader. */
  public static final String LEADER = "leader";

  /** Key of the highest token given out. */
  public static final String TERM = "term";

  /** The field of the leader's record that names its lease. */
  private static final String LEASE = "lease";

  private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
  private static final long LIFE_MS = 3_000;
  private static final long RENEW_MS = 700;
  private static final long RENEW_TIMEOUT_MS = 1_000;
  private static final long WATCH_MS = 10_000;

  /** After it gave the leadership up, a node lets the others have it first. */
  private static final long REST_MS = 6_000;

  /**
   * A node whose process before this one ended as leader lets the others go first for so long: it
   * knows nothing yet, its code is cold, and what ended that one may end this one there as well.
   */
  private static final long YIELD_MS = 400;

  /** Two processes under one name, by mistake, must not depose each other for ever. */
  private static final int MOST_RELEASES = 8;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final String node;
  private final Listener listener;
  private final SplittableRandom random;
  private final LongSupplier handicapMs;

  private String leader;
  private long leaderTerm;
  private long seenTerm;
  private boolean leading;
  private long term;
  private long version;
  private long lease;
  private boolean campaigning;
  private boolean renewing;
  private long renewedMs;
  private long restUntilMs = Long.MIN_VALUE;

  /** The lease of the campaign that is under way; 0: none. */
  private long standing;

  private int releases;
  private long yieldUntilMs = Long.MIN_VALUE;
  private EventLoop.Timer renewal;

  /** Told of this node's own leadership. */
  public interface Listener {
    /** This node leads from now on. */
    void elected(long term, long version);

    /** This node no longer leads. */
    void deposed();
  }

  /**
   * An election among the nodes that share a state service.
   *
   * @param handicapMs how long this node lets others go first, since they would serve better
   */
  public LeaderElection(
      EventLoop loop,
      KeyValueStore state,
      String node,
      long seed,
      LongSupplier handicapMs,
      Listener listener) {
    this.handicapMs = handicapMs;
    this.loop = loop;
    this.state = state;
    this.node = node;
    this.random = new SplittableRandom(seed);
    this.listener = listener;
  }

  /** Begins. */
  public void start() {
    look();
  }

  /** Name of the leader as last seen, or null. */
  public String leader() {
    return leader;
  }

  /** The term of the leader as last seen; 0 before the first. */
  public long leaderTerm() {
    return leaderTerm;
  }

  /** The highest token seen anywhere. */
  public long seenTerm() {
    return Math.max(seenTerm, term);
  }

  /** True while this node leads as far as it knows. */
  public boolean leading() {
    return leading;
  }

  /** When the lease was last renewed (the renewal's sending), on the steady clock. */
  public long renewedMs() {
    return renewedMs;
  }

  private void look() {
    state.get(
        LEADER,
        (result, item) -> {
          if (result != CallResult.OK) {
            loop.after(300, this::look);
            return;
          }
          saw(item.value(), item.version());
          if (item.version() > 0) {
            watch(item.version());
          } else {
            campaign();
            loop.after(400 + random.nextInt(200), this::look);
          }
        });
  }

  private void watch(long from) {
    state.watch(
        LEADER,
        from,
        WATCH_MS,
        (result, events, revision) -> {
          if (result != CallResult.OK) {
            loop.after(200, this::look);
            return;
          }
          boolean absent = false;
          for (VersionedValue e : events) {
            if (e.key().equals(LEADER)) {
              saw(e.value(), e.version());
              absent = e.value() == null;
            }
          }
          if (absent) {
            // The others try at the same moment; one transaction wins, the others read its result.
            campaign();
            loop.after(100 + random.nextInt(200), this::look);
          } else {
            watch(revision);
          }
        });
  }

  private void saw(JsonNode value, long seenMark) {
    if (value == null) {
      leader = null;
      if (leading) {
        LOG.warn("event=lease_lost term={}", term);
        stepDown();
      }
      return;
    }
    if (leading && seenMark > version) {
      stepDown();
    }
    leader = value.path("node").asText();
    leaderTerm = value.path("term").asLong();
    seenTerm = Math.max(seenTerm, leaderTerm);
    if (!leading && leader.equals(node)) {
      predecessor(value.path(LEASE).asLong());
    }
  }

  /**
   * The leadership is held under this node's name and not by this process: by one before it, or by
   * a campaign of its own that was given up. Nobody acts in it, so its lease is ended and need not
   * be waited for. Ending a lease can only depose; and what the process before has still on its way
   * fails from then on, since the key that its conditions name is gone.
   */
  private void predecessor(long of) {
    if (of > 0 && of != standing && releases < MOST_RELEASES) {
      releases++;
      yieldUntilMs = loop.now() + LIFE_MS;
      LOG.info("event=predecessor_released term={} lease={}", leaderTerm, of);
      state.releaseLease(of);
    }
  }

  private void campaign() {
    if (leading || campaigning || loop.now() < restUntilMs) {
      return;
    }
    campaigning = true;
    long wait = handicapMs.getAsLong() + (loop.now() < yieldUntilMs ? YIELD_MS : 0);
    if (wait > 0) {
      // By then another leads, and the conditions of this node's transaction fail; or nobody does.
      loop.after(wait, this::stand);
    } else {
      stand();
    }
  }

  private void stand() {
    long sent = loop.now();
    state.grantLease(
        LIFE_MS,
        (result, id) -> {
          if (result != CallResult.OK) {
            campaigning = false;
            return;
          }
          state.get(
              TERM,
              (got, item) -> {
                if (got != CallResult.OK) {
                  campaigning = false;
                  return;
                }
                long last = item.value() == null ? 0 : item.value().path("n").asLong();
                run(id, Math.max(last, seenTerm) + 1, item, sent);
              });
        });
  }

  private void run(long id, long newTerm, VersionedValue before, long sent) {
    ObjectNode who = org.mallowroad.wire.Json.object();
    who.put("node", node);
    who.put("term", newTerm);
    // The name alone would not tell this process from the one before it.
    who.put(LEASE, id);
    ObjectNode count = org.mallowroad.wire.Json.object();
    // The last token of the term's block: the next term is above all of them, whoever reads this.
    count.put("n", FencingTokens.last(newTerm));
    standing = id;
    Transaction transaction =
        new Transaction()
            .requireVersion(LEADER, 0)
            .requireVersion(TERM, before.version())
            .put(LEADER, who, id)
            .put(TERM, count);
    state.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          if (result == CallResult.OK) {
            confirm(newTerm, revision, id, sent);
          } else if (result == CallResult.UNKNOWN) {
            settle(id, newTerm, sent);
          } else {
            over();
          }
        });
  }

  /** The campaign is over without a leadership. */
  private void over() {
    campaigning = false;
    standing = 0;
  }

  /** An election whose outcome is unknown is settled by reading who leads. */
  private void settle(long id, long newTerm, long sent) {
    state.get(
        LEADER,
        (result, item) -> {
          if (result != CallResult.OK) {
            if (loop.now() - sent > 2 * LIFE_MS) {
              over();
            } else {
              loop.after(200, () -> settle(id, newTerm, sent));
            }
            return;
          }
          if (item.value() != null
              && item.value().path("node").asText().equals(node)
              && item.value().path("term").asLong() == newTerm
              && item.value().path(LEASE).asLong() == id) {
            // By the lease: a transaction of the process before, applied late, has the same name
            // and may have the same term.
            confirm(newTerm, item.version(), id, sent);
          } else {
            over();
          }
        });
  }

  /**
   * A node that stood still while it was elected reads of it late: its lease may be over and
   * another elected since. Then the lease is asked for first, and a leadership that is over is
   * never begun.
   */
  private void confirm(long newTerm, long newVersion, long id, long sent) {
    if (loop.now() - sent < LIFE_MS) {
      campaigning = false;
      elected(newTerm, newVersion, id, sent);
      return;
    }
    long again = loop.now();
    state.renewLease(
        id,
        RENEW_TIMEOUT_MS,
        (result, lease) -> {
          if (result == CallResult.OK) {
            confirm(newTerm, newVersion, id, again);
          } else if (result == CallResult.LEASE_EXPIRED || loop.now() - sent > 10 * LIFE_MS) {
            over();
          } else {
            loop.after(200, () -> confirm(newTerm, newVersion, id, sent));
          }
        });
  }

  private void elected(long newTerm, long newVersion, long id, long sent) {
    if (leading) {
      return;
    }
    leading = true;
    leader = node;
    leaderTerm = newTerm;
    term = newTerm;
    version = newVersion;
    lease = id;
    renewedMs = sent;
    LOG.info("event=elected term={}", term);
    renewal = loop.every(RENEW_MS, this::renew);
    listener.elected(term, version);
  }

  private void renew() {
    if (!leading || renewing) {
      return;
    }
    renewing = true;
    long sent = loop.now();
    long of = lease;
    state.renewLease(
        of,
        RENEW_TIMEOUT_MS,
        (result, id) -> {
          renewing = false;
          if (!leading || of != lease) {
            return;
          }
          if (result == CallResult.OK) {
            renewedMs = sent;
          } else if (result == CallResult.LEASE_EXPIRED) {
            LOG.warn("event=lease_over term={}", term);
            stepDown();
          }
        });
  }

  /** Gives the leadership up although its lease holds: another node may serve better. */
  public void resign() {
    if (!leading) {
      return;
    }
    long of = lease;
    restUntilMs = loop.now() + REST_MS;
    stepDown();
    state.releaseLease(of);
  }

  /** Gives the leadership up: a write failed on the leader's mark, or a higher term showed. */
  public void stepDown() {
    if (!leading) {
      return;
    }
    leading = false;
    leader = null;
    renewal.cancel();
    LOG.warn("event=deposed term={}", term);
    listener.deposed();
  }

  /** Another node made its term known: a node cut from the state service hears it here first. */
  public void announced(String other, long otherTerm) {
    // Tokens of the same term may have been seen; those of a later one say that it is over.
    if (FencingTokens.last(otherTerm) >= seenTerm()) {
      sawTerm(otherTerm);
      if (!leading) {
        leader = other;
        leaderTerm = otherTerm;
      }
    }
  }

  /** A token was seen in a message: one beyond this node's own term ends its leadership. */
  public void sawTerm(long other) {
    seenTerm = Math.max(seenTerm, other);
    if (leading && other > FencingTokens.last(term)) {
      stepDown();
    }
  }
}
