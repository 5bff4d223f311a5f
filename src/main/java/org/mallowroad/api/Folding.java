package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntList;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Game;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Accepts jobs that fold games, on any node: all of a job's games are claimed with its acceptance
 * or none (docs/folds.md has the records, each transaction and the proof).
 *
 * <p>A claim names its job; whether it is folded, held or nobody's follows from that job's own
 * records. So a job's end folds all of its games by the one transaction that ends it, and a
 * cancellation releases them, however many there are.
 *
 * <p>What fits is accepted in one transaction. What does not begins with {@code intent/<id>}, under
 * whose mark the blocks are claimed some at a time, and ends with a transaction that replaces the
 * intent by {@code open/<id>}. Whoever finds the intent may go on with the same submission; whoever
 * gives it up changes it first, so that no step that is still under way can be applied any more,
 * and then takes the claims out.
 */
public final class Folding {
  /** How an acceptance went. */
  public enum End {
    /** Recorded, with all claims. */
    ACCEPTED,
    /** The id was accepted before, or is over. */
    KNOWN,
    /** A game is folded by another job: never. */
    REFUSED,
    /** A game is held by a job that is not over, or the claim is being given up: later. */
    WAITS,
    /** The state service is not reached, or others changed the same blocks too often: later. */
    AWAY
  }

  /** Hears of the end of an acceptance. */
  public interface Done {
    /** Called once. */
    void done(End end, String reason);
  }

  /** Leagues in one submission: each is a condition of its acceptance. */
  static final int MOST_LEAGUES = 16;

  /** Acceptances under way at once; more are asked to come again. */
  private static final int MOST_CLAIMS = 24;

  /** Leagues whose record's mark is remembered. */
  private static final int MOST_MARKS = 256;

  final EventLoop loop;
  final KeyValueStore state;
  final RateLimiter writes;
  final int ops;
  final double valueBytes;
  final Function<String, JobOutcome> finals;
  final Object2ObjectLinkedOpenHashMap<String, League> leagues =
      new Object2ObjectLinkedOpenHashMap<>();
  private final FoldIntents intents;
  private int claims;

  /** A league's record: how far holds depend on its games, and its mark (0: there is none). */
  record League(long upTo, long changes, long version) {}

  /**
   * Over the state service.
   *
   * @param writes of submissions: large claims wait for it
   * @param ops puts and deletes in one transaction
   * @param finals what this node knows for certain of a job that is over, else null
   */
  public Folding(
      EventLoop loop,
      KeyValueStore state,
      RateLimiter writes,
      int ops,
      double valueKb,
      Function<String, JobOutcome> finals) {
    this.writes = writes;
    this.loop = loop;
    this.state = state;
    this.ops = Math.max(4, ops);
    this.valueBytes = valueKb * 1024 - 64;
    this.finals = finals;
    this.intents = new FoldIntents(loop, state, this.ops);
  }

  /** Acceptances under way. */
  int claims() {
    return claims;
  }

  /**
   * Accepts a job with all that it folds and waits for.
   *
   * @param value the open record, which names the blocks
   */
  public void accept(
      String id, ObjectNode value, List<Game> games, JobDependencies dependencies, Done done) {
    if (claims >= MOST_CLAIMS) {
      done.done(End.AWAY, "too many claims under way");
      return;
    }
    claims++;
    new FoldClaim(this, id, value, games, dependencies, done).begin();
  }

  /** An acceptance is over. */
  void over() {
    claims--;
  }

  /** A league's record as it was read. */
  void remember(String name, League league) {
    leagues.putAndMoveToLast(name, league);
    if (leagues.size() > MOST_MARKS) {
      leagues.removeFirst();
    }
  }

  /** Which blocks games are in, in order. */
  public static Collection<BlockKey> keys(List<Game> games) {
    TreeSet<BlockKey> keys = new TreeSet<>();
    games.forEach(g -> keys.add(g.block()));
    return keys;
  }

  static String hash(List<Game> games) {
    try {
      MessageDigest d = MessageDigest.getInstance("SHA-256");
      for (Game g : games) {
        d.update((g + "\n").getBytes(StandardCharsets.UTF_8));
      }
      return HexFormat.of().formatHex(d.digest(), 0, 16);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // Each Java platform has it.
    }
  }

  static long fieldsOf(JsonNode v, String field) {
    return v == null ? -1 : v.path(field).asLong(-1);
  }

  /** What has become of a job: null when the state service does not say. */
  public void jobOutcome(String job, Consumer<JobOutcome> told) {
    JobOutcome known = finals.apply(job);
    if (known != null) {
      told.accept(known);
      return;
    }
    // Open, then end: a job moves from the first to the second, so it is never missed.
    state.get(
        RecordKeys.openJob(job),
        (result, open) -> {
          if (result != CallResult.OK) {
            told.accept(null);
          } else if (open.value() != null) {
            told.accept(JobOutcome.OPEN);
          } else {
            state.get(
                RecordKeys.endedJob(job),
                (result2, end) -> {
                  if (result2 != CallResult.OK) {
                    told.accept(null);
                  } else if (end.value() == null) {
                    told.accept(JobOutcome.CLAIMING);
                  } else {
                    boolean is = end.value().path("end").asText().equals(Fields.DONE);
                    told.accept(is ? JobOutcome.DONE : JobOutcome.CANCELLED);
                  }
                });
          }
        });
  }

  /**
   * Gives an intent up ({@link FoldIntents}).
   *
   * @param told whether all of it is done; else whoever finds the intent does it again
   */
  public void undo(String id, long version, Collection<BlockKey> keys, Consumer<Boolean> told) {
    intents.undo(id, version, keys, told);
  }

  /** The blocks that an intent names. */
  public static Collection<BlockKey> keysOf(JsonNode intent) throws InvalidMessageException {
    ObjectNode o = Json.object();
    o.set(FoldCodec.BLOCKS, intent.path("blocks"));
    TreeSet<BlockKey> keys = new TreeSet<>();
    for (Map.Entry<String, IntList> e : FoldCodec.decodeBlockKeys(o).entrySet()) {
      e.getValue().forEach(i -> keys.add(new BlockKey(e.getKey(), i)));
    }
    return keys;
  }
}
