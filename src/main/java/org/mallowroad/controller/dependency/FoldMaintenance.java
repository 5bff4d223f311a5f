package org.mallowroad.controller.dependency;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.longs.LongList;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.ClaimRules;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.core.fold.LeagueIndex;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's background maintenance of the claim records. It abandons claims that no node
 * continues, records final job outcomes in the blocks so that they need not be looked up again, and
 * logs which games are unclaimed. No request waits for this work.
 *
 * <p>It reads the blocks page by page in repeated passes, writes only when the write budget has
 * spare permits, and pauses between passes. A new leader starts a new pass.
 *
 * <p>Confined to the event loop.
 */
public final class FoldMaintenance {
  private static final Logger LOG = LoggerFactory.getLogger(FoldMaintenance.class);

  /**
   * Age in ms at which a claim counts as abandoned: users retry a submission for at most 60 s, and
   * the remaining 30 s allow for clock differences.
   */
  static final long ABANDONED_AFTER_MS = 90_000;

  /**
   * Interval between checks for abandoned claims, and age at which an unfinished rollback is
   * retried.
   */
  private static final long ABANDON_INTERVAL_MS = 10_000;

  /** Interval between pages of a pass. */
  private static final long PAGE_INTERVAL_MS = 1_000;

  /** Pause between passes, or after a page that could not be read. */
  private static final long PASS_INTERVAL_MS = 30_000;

  /** Maximum number of records read in one call. */
  private static final int PAGE_SIZE = 50;

  /** Maximum number of jobs looked up per page; the others are looked up in the next pass. */
  private static final int MAX_LOOKUPS_PER_PAGE = 24;

  /**
   * Write permits reserved for other writes, since recording final outcomes is never urgent or even
   * necessary.
   */
  private static final double RESERVED_WRITE_PERMITS = 8;

  /** Maximum number of log lines about unclaimed games after a pass. */
  private static final int MAX_LOG_LINES = 20;

  /** Maximum number of games listed in one log line. */
  private static final int MAX_GAMES_PER_LINE = 12;

  /** Maximum number of leagues whose index is kept; the least recently updated index is evicted. */
  static final int MAX_LEAGUES = 256;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ClaimService claims;
  private final RateLimiter writeLimiter;
  private final int maxTransactionWrites;
  private final long leaderKeyVersion;
  private final Object2ObjectLinkedOpenHashMap<String, LeagueIndex> leagueIndexes =
      new Object2ObjectLinkedOpenHashMap<>();

  /** The key after which the next page begins; null at the start of a pass. */
  private String lastKey;

  private boolean isAbandoning;
  private boolean isStopped;

  /**
   * Creates the maintenance of one leader term.
   *
   * @param writeLimiter the limiter of the leader's write budget
   * @param maxTransactionWrites maximum number of writes in one transaction
   * @param leaderKeyVersion version of the leader key, which each write requires, so that the
   *     writes of a deposed leader fail
   */
  public FoldMaintenance(
      EventLoop loop,
      KeyValueStore state,
      ClaimService claims,
      RateLimiter writeLimiter,
      int maxTransactionWrites,
      long leaderKeyVersion) {
    this.loop = loop;
    this.state = state;
    this.claims = claims;
    this.writeLimiter = writeLimiter;
    this.maxTransactionWrites = maxTransactionWrites;
    this.leaderKeyVersion = leaderKeyVersion;
  }

  /** Starts both periodic tasks. */
  public void start() {
    loop.after(ABANDON_INTERVAL_MS, this::abandonClaims);
    loop.after(PAGE_INTERVAL_MS, this::readNextBlockPage);
  }

  /** Stops at the end of the term; calls in flight have no further effect. */
  public void stop() {
    isStopped = true;
  }

  /** The index of a league as of the latest pass, or null if none is kept. */
  LeagueIndex league(String name) {
    return leagueIndexes.get(name);
  }

  /** Abandons the first abandoned claim found; at most one abandonment runs at a time. */
  private void abandonClaims() {
    if (isStopped) {
      return;
    }
    loop.after(ABANDON_INTERVAL_MS, this::abandonClaims);
    if (isAbandoning) {
      return;
    }
    state.listPage(
        RecordKeys.FOLD_INTENTS_PREFIX,
        null,
        PAGE_SIZE,
        (result, items, revision) -> {
          if (!isStopped && result == CallResult.OK) {
            items.stream()
                .filter(item -> isAbandoned(item.value()))
                .findFirst()
                .ifPresent(this::abandon);
          }
        });
  }

  private boolean isAbandoned(JsonNode intent) {
    long ageMs = loop.wallMs() - intent.path("at").asLong();
    return ageMs > (intent.has("undo") ? ABANDON_INTERVAL_MS : ABANDONED_AFTER_MS);
  }

  private void abandon(VersionedValue intent) {
    String jobId = intent.key().substring(RecordKeys.FOLD_INTENTS_PREFIX.length());
    try {
      isAbandoning = true;
      claims.abandon(
          jobId,
          intent.version(),
          ClaimService.blockKeysOfIntent(intent.value()),
          isComplete -> {
            isAbandoning = false;
            LOG.info("event=claim_abandoned job={} complete={}", jobId, isComplete);
          });
    } catch (InvalidMessageException e) {
      isAbandoning = false;
      LOG.error("event=record_unreadable key={} reason=\"{}\"", intent.key(), e.getMessage());
    }
  }

  /** Reads the next page of blocks. */
  private void readNextBlockPage() {
    if (isStopped) {
      return;
    }
    state.listPage(
        RecordKeys.FOLD_BLOCKS_PREFIX,
        lastKey,
        PAGE_SIZE,
        (result, items, revision) -> {
          if (isStopped) {
            return;
          }
          if (result != CallResult.OK || items.isEmpty()) {
            if (result == CallResult.OK) {
              lastKey = null;
              logUnclaimedGames();
            }
            loop.after(PASS_INTERVAL_MS, this::readNextBlockPage);
            return;
          }
          lastKey = items.get(items.size() - 1).key();
          resolveOutcomes(items);
        });
  }

  /** Looks up the outcomes of the jobs that a page's blocks refer to, then processes the blocks. */
  private void resolveOutcomes(List<VersionedValue> items) {
    Map<BlockKey, Block> blocks = new LinkedHashMap<>();
    Map<BlockKey, Long> versions = new HashMap<>();
    ArrayDeque<String> jobs = new ArrayDeque<>();
    for (VersionedValue item : items) {
      try {
        BlockKey key = RecordKeys.blockOfFoldBlockKey(item.key());
        Block block = FoldCodec.decodeBlock(item.value());
        blocks.put(key, block);
        versions.put(key, item.version());
        for (Fold fold : block.sides().values()) {
          if (!fold.settled() && jobs.size() < MAX_LOOKUPS_PER_PAGE && !jobs.contains(fold.job())) {
            jobs.add(fold.job());
          }
        }
      } catch (InvalidMessageException | NumberFormatException e) {
        LOG.error("event=record_unreadable key={} reason=\"{}\"", item.key(), e.getMessage());
      }
    }
    lookUpOutcomes(
        jobs, new HashMap<>(), jobOutcomes -> processBlocks(blocks, versions, jobOutcomes));
  }

  /** Looks up the outcomes of jobs one after another; outcomes that cannot be read are omitted. */
  private void lookUpOutcomes(
      ArrayDeque<String> jobs,
      Map<String, JobOutcome> jobOutcomes,
      Consumer<Map<String, JobOutcome>> onResolved) {
    String jobId = jobs.poll();
    if (jobId == null || isStopped) {
      onResolved.accept(jobOutcomes);
      return;
    }
    claims.readJobOutcome(
        jobId,
        jobOutcome -> {
          jobOutcome.ifPresent(outcome -> jobOutcomes.put(jobId, outcome));
          lookUpOutcomes(jobs, jobOutcomes, onResolved);
        });
  }

  /** Updates the indexes and records final outcomes as far as the write budget allows. */
  private void processBlocks(
      Map<BlockKey, Block> blocks,
      Map<BlockKey, Long> versions,
      Map<String, JobOutcome> jobOutcomes) {
    if (isStopped) {
      return;
    }
    Transaction transaction =
        new Transaction().requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion);
    blocks.forEach(
        (key, block) -> {
          leagueIndex(key.league()).update(key.index(), block, jobOutcomes::get);
          Block settledBlock = ClaimRules.withFinalOutcomes(block, jobOutcomes::get);
          if (settledBlock != block
              && transaction.writeCount() < maxTransactionWrites / 2
              && writeLimiter.availablePermits(loop.now()) - transaction.writeCount()
                  >= RESERVED_WRITE_PERMITS) {
            transaction.requireVersion(RecordKeys.foldBlock(key), versions.get(key));
            if (settledBlock.sides().isEmpty()) {
              transaction.delete(RecordKeys.foldBlock(key));
            } else {
              transaction.put(RecordKeys.foldBlock(key), FoldCodec.encodeBlock(settledBlock));
            }
          }
        });
    loop.after(PAGE_INTERVAL_MS, this::readNextBlockPage);
    if (transaction.writeCount() > 0) {
      writeLimiter.forceAcquire(transaction.writeCount(), loop.now());
      // The result is ignored: the next pass retries what failed.
      state.compareAndSwap(transaction, (result, revision, failed) -> {});
    }
  }

  /** The league's index, created if there is none. */
  private LeagueIndex leagueIndex(String league) {
    LeagueIndex index = leagueIndexes.getAndMoveToLast(league);
    if (index == null) {
      index = new LeagueIndex();
      leagueIndexes.putAndMoveToLast(league, index);
      if (leagueIndexes.size() > MAX_LEAGUES) {
        leagueIndexes.removeFirst();
      }
    }
    return index;
  }

  /** Logs the unclaimed games, one line for each league. */
  private void logUnclaimedGames() {
    int lines = 0;
    for (Map.Entry<String, LeagueIndex> entry : leagueIndexes.entrySet()) {
      long unclaimed = entry.getValue().unclaimedCount();
      if (unclaimed > 0 && lines++ < MAX_LOG_LINES) {
        LongList firstGames = entry.getValue().unclaimedGames(MAX_GAMES_PER_LINE);
        LOG.info(
            "event=games_unclaimed league={} games={} highest={} first={}",
            entry.getKey(),
            unclaimed,
            entry.getValue().highestGame(),
            firstGames);
      }
    }
  }
}
