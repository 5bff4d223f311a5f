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
 * Accepts jobs that fold games, on any node. Either all games of a job are claimed together with
 * its acceptance, or none (see docs/folds.md for the records, the transactions and the proof).
 *
 * <p>A claim names its job. Whether the game is folded, claimed or free follows from the records of
 * that job. So the single transaction that ends a job also folds all its games, and the one that
 * cancels it releases them, regardless of their number.
 *
 * <p>A claim that fits into one transaction is accepted by that transaction. A larger claim first
 * writes the record {@code intent/<id>}, then claims the blocks in batches, each on condition that
 * the intent is unchanged, and finally replaces the intent by {@code open/<id>} in one transaction.
 * Any node that finds the intent may continue the same submission. A node that abandons the claim
 * changes the intent first, so that no batch that is still in flight can be applied, and then
 * removes the claims.
 */
public final class ClaimService {
  /** The maximum number of leagues in one submission; each is a condition of its acceptance. */
  public static final int MAX_LEAGUES = 16;

  /** The maximum number of concurrent acceptances; further clients are asked to retry. */
  private static final int MAX_ACTIVE_ACCEPTANCES = 24;

  private static final int MIN_OPS_PER_TRANSACTION = 4;

  /** Part of the maximum value size that is reserved for the JSON that encloses the value. */
  private static final int RECORD_OVERHEAD_BYTES = 64;

  private final ClaimContext context;
  private final Function<String, JobOutcome> knownOutcomes;
  private final LeagueCache leagueCache = new LeagueCache();
  private final JobRecordReader jobRecordReader;
  private final IntentRollback rollback;
  private int activeAcceptances;

  /**
   * Creates a service that records accepted jobs in the state service.
   *
   * @param writeLimiter limits the writes of submissions; claims wait for it
   * @param maxOps the maximum number of puts and deletes in one transaction
   * @param maxValueKb the maximum size of a value, in KB
   * @param knownOutcomes returns the outcome of a job that this node knows to have ended, else null
   */
  public ClaimService(
      EventLoop loop,
      KeyValueStore state,
      RateLimiter writeLimiter,
      int maxOps,
      double maxValueKb,
      Function<String, JobOutcome> knownOutcomes) {
    this.context =
        new ClaimContext(
            loop,
            state,
            writeLimiter,
            Math.max(MIN_OPS_PER_TRANSACTION, maxOps),
            maxValueKb * 1024 - RECORD_OVERHEAD_BYTES);
    this.knownOutcomes = knownOutcomes;
    this.jobRecordReader = new JobRecordReader(state);
    this.rollback = new IntentRollback(context);
  }

  /**
   * Accepts a job with all games that it folds and all its dependencies.
   *
   * @param openRecord the open record, which names the blocks of the games
   * @param listener called once, with the result
   */
  public void accept(
      String id,
      ObjectNode openRecord,
      List<Game> games,
      JobDependencies dependencies,
      Consumer<AcceptanceResult> listener) {
    if (activeAcceptances >= MAX_ACTIVE_ACCEPTANCES) {
      listener.accept(
          new AcceptanceResult(
              AcceptanceResult.Status.UNAVAILABLE, "too many acceptances in progress"));
      return;
    }
    activeAcceptances++;
    Consumer<AcceptanceResult> completion =
        result -> {
          activeAcceptances--;
          listener.accept(result);
        };
    JobAcceptance.Job job = new JobAcceptance.Job(id, openRecord, games, dependencies);
    new JobAcceptance(context, this, leagueCache, job, completion).start();
  }

  /** The keys of the blocks that hold these games, in ascending order. */
  public static Collection<BlockKey> blockKeys(List<Game> games) {
    TreeSet<BlockKey> keys = new TreeSet<>();
    games.forEach(game -> keys.add(game.blockKey()));
    return keys;
  }

  /** The keys of the blocks that an intent names, in ascending order. */
  public static Collection<BlockKey> blockKeysOfIntent(JsonNode intent)
      throws InvalidMessageException {
    ObjectNode blocksField = Json.object();
    blocksField.set(FoldCodec.BLOCKS, intent.path("blocks"));
    TreeSet<BlockKey> keys = new TreeSet<>();
    for (Map.Entry<String, IntList> entry : FoldCodec.decodeBlockKeys(blocksField).entrySet()) {
      entry.getValue().forEach(index -> keys.add(new BlockKey(entry.getKey(), index)));
    }
    return keys;
  }

  /** The outcome of a job that this node knows to have ended, else null. */
  JobOutcome knownOutcome(String job) {
    return knownOutcomes.apply(job);
  }

  /** Reads the outcome of a job; the result is empty if the state service does not answer. */
  public void readJobOutcome(String job, Consumer<Optional<JobOutcome>> listener) {
    JobOutcome known = knownOutcome(job);
    if (known != null) {
      listener.accept(Optional.of(known));
      return;
    }
    jobRecordReader.read(
        job,
        new JobRecordReader.Listener() {
          @Override
          public void onOpen(JsonNode openRecord, long version) {
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
   * Abandons the unfinished claim of a job ({@link IntentRollback}).
   *
   * @param version the version of its intent
   * @param listener receives whether the rollback is complete; if not, any node that finds the
   *     intent may repeat it
   */
  public void abandon(
      String id, long version, Collection<BlockKey> keys, Consumer<Boolean> listener) {
    rollback.abandon(id, version, keys, listener);
  }
}
