package org.mallowroad.api.claim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Game;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Accepts jobs that fold games, on any node: all of a job's games are claimed with its acceptance,
 * or none (docs/folds.md has the records, each transaction and the proof).
 *
 * <p>A claim names its job; whether the game is folded, claimed or free follows from that job's own
 * records. So a job's end folds all of its games by the one transaction that ends it, and a
 * cancellation releases them, however many there are.
 *
 * <p>What fits into one transaction is accepted by it. A larger claim begins with the record {@code
 * intent/<id>}, claims some blocks at a time on condition of the intent's version, and ends with a
 * transaction that replaces the intent by {@code open/<id>}. Any node that finds the intent may go
 * on with the same submission. One that abandons it changes the intent first, so that no step that
 * is still under way can be applied any more, and then removes the claims.
 */
public final class ClaimService {
  /** The most leagues in one submission: each is a condition of its acceptance. */
  public static final int MAX_LEAGUES = 16;

  /** Acceptances under way at once; a client beyond them is asked to retry. */
  private static final int MAX_ACTIVE = 24;

  private static final int MIN_OPS = 4;

  /** A value may be as long as the limit less what surrounds it. */
  private static final int ENVELOPE_BYTES = 64;

  private final ClaimContext context;
  private final Function<String, JobOutcome> finalOutcomes;
  private final LeagueCache leagues = new LeagueCache();
  private final JobRecordReader jobRecords;
  private final IntentRollback rollback;
  private int active;

  /**
   * Accepts jobs into the state service.
   *
   * @param writes the limit of submissions' writes, for which large claims wait
   * @param maxOps puts and deletes in one transaction
   * @param maxValueKb the longest value of a key
   * @param finalOutcomes the outcome of a job that this node knows to be over, else null
   */
  public ClaimService(
      EventLoop loop,
      KeyValueStore state,
      RateLimiter writes,
      int maxOps,
      double maxValueKb,
      Function<String, JobOutcome> finalOutcomes) {
    this.context =
        new ClaimContext(
            loop, state, writes, Math.max(MIN_OPS, maxOps), maxValueKb * 1024 - ENVELOPE_BYTES);
    this.finalOutcomes = finalOutcomes;
    this.jobRecords = new JobRecordReader(state);
    this.rollback = new IntentRollback(context);
  }

  /**
   * Accepts a job with all games that it folds and all its dependencies.
   *
   * @param value the open record, which names the blocks
   * @param listener called once
   */
  public void accept(
      String id,
      ObjectNode value,
      List<Game> games,
      JobDependencies dependencies,
      Consumer<AcceptanceResult> listener) {
    if (active >= MAX_ACTIVE) {
      listener.accept(
          new AcceptanceResult(AcceptanceResult.Status.UNAVAILABLE, "too many claims under way"));
      return;
    }
    active++;
    Consumer<AcceptanceResult> ended =
        result -> {
          active--;
          listener.accept(result);
        };
    JobAcceptance.Job job = new JobAcceptance.Job(id, value, games, dependencies);
    new JobAcceptance(context, this, leagues, job, ended).start();
  }

  /** The blocks that hold these games, in order. */
  public static Collection<BlockKey> blockKeys(List<Game> games) {
    TreeSet<BlockKey> keys = new TreeSet<>();
    games.forEach(g -> keys.add(g.blockKey()));
    return keys;
  }

  /** The blocks that an intent names, in order. */
  public static Collection<BlockKey> blockKeysOfIntent(JsonNode intent)
      throws InvalidMessageException {
    ObjectNode o = Json.object();
    o.set(FoldCodec.BLOCKS, intent.path("blocks"));
    TreeSet<BlockKey> keys = new TreeSet<>();
    for (Map.Entry<String, IntList> e : FoldCodec.decodeBlockKeys(o).entrySet()) {
      e.getValue().forEach(i -> keys.add(new BlockKey(e.getKey(), i)));
    }
    return keys;
  }

  /** The outcome of a job that this node knows to be over, else null. */
  JobOutcome finalOutcome(String job) {
    return finalOutcomes.apply(job);
  }

  /** Reads what has become of a job; empty when the state service does not answer. */
  public void readJobOutcome(String job, Consumer<Optional<JobOutcome>> listener) {
    JobOutcome known = finalOutcome(job);
    if (known != null) {
      listener.accept(Optional.of(known));
      return;
    }
    jobRecords.read(
        job,
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode value, long version) {
            listener.accept(Optional.of(JobOutcome.OPEN));
          }

          @Override
          public void onEnded(boolean done) {
            listener.accept(Optional.of(done ? JobOutcome.DONE : JobOutcome.CANCELLED));
          }

          @Override
          public void onAbsent() {
            listener.accept(Optional.of(JobOutcome.CLAIMING));
          }

          @Override
          public void onUnavailable() {
            listener.accept(Optional.empty());
          }
        });
  }

  /**
   * Abandons a claim ({@link IntentRollback}).
   *
   * @param version of its intent
   * @param listener whether it is abandoned completely; if not, any node that finds the intent does
   *     it again
   */
  public void abandon(
      String id, long version, Collection<BlockKey> keys, Consumer<Boolean> listener) {
    rollback.abandon(id, version, keys, listener);
  }
}
