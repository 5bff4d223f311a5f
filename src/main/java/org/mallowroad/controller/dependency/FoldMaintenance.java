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
 * logs which games are unclaimed. No request waits for any of it.
 *
 * <p>It passes over the blocks a page at a time, writes with the permits that the write budget has
 * to spare, and pauses between passes. A new leader begins a new pass.
 *
 * <p>Confined to the event loop.
 */
public final class FoldMaintenance {
  private static final Logger LOG = LoggerFactory.getLogger(FoldMaintenance.class);

  /**
   * Age in ms at which a claim counts as abandoned: users repeat a submission for at most 60 s, and
   * the rest allows for differences between clocks.
   */
  static final long ABANDONED_AFTER_MS = 90_000;

  /** Interval between checks for abandoned claims, and age at which a rollback is repeated. */
  private static final long ABANDON_INTERVAL_MS = 10_000;

  /** Interval between pages of a pass. */
  private static final long PAGE_INTERVAL_MS = 1_000;

  /** Pause between passes, or after a page that could not be read. */
  private static final long PASS_INTERVAL_MS = 30_000;

  /** Most records read at once. */
  private static final int PAGE_SIZE = 50;

  /** Most jobs looked up for one page; the others are looked up in the next pass. */
  private static final int MAX_LOOKUPS_PER_PAGE = 24;

  /** Write permits left to others: final outcomes may be recorded at any time, or never. */
  private static final double RESERVED_WRITE_PERMITS = 8;

  /** Most log lines about unclaimed games after a pass. */
  private static final int MAX_LOG_LINES = 20;

  /** Most games named in one log line. */
  private static final int MAX_GAMES_PER_LINE = 12;

  /** Most leagues whose index is kept; beyond, the least recently updated one goes. */
  static final int MAX_LEAGUES = 256;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ClaimService claims;
  private final RateLimiter writes;
  private final int maxTransactionWrites;
  private final long leaderKeyVersion;
  private final Object2ObjectLinkedOpenHashMap<String, LeagueIndex> leagues =
      new Object2ObjectLinkedOpenHashMap<>();

  /** The key after which the next page begins; null at the start of a pass. */
  private String lastKey;

  private boolean abandoning;
  private boolean stopped;

  /**
   * Creates the maintenance of one leader term.
   *
   * @param writes the leader's write budget
   * @param maxTransactionWrites most writes of one transaction that the state service accepts
   * @param leaderKeyVersion version of the leader key, which each write requires: a deposed leader
   *     writes nothing
   */
  public FoldMaintenance(
      EventLoop loop,
      KeyValueStore state,
      ClaimService claims,
      RateLimiter writes,
      int maxTransactionWrites,
      long leaderKeyVersion) {
    this.loop = loop;
    this.state = state;
    this.claims = claims;
    this.writes = writes;
    this.maxTransactionWrites = maxTransactionWrites;
    this.leaderKeyVersion = leaderKeyVersion;
  }

  /** Starts both periodic tasks. */
  public void start() {
    loop.after(ABANDON_INTERVAL_MS, this::abandonClaims);
    loop.after(PAGE_INTERVAL_MS, this::readNextPage);
  }

  /** Stops at the end of the term; calls under way have no further effect. */
  public void stop() {
    stopped = true;
  }

  /** The index of a league as of the newest pass, or null where none is kept. */
  LeagueIndex league(String name) {
    return leagues.get(name);
  }

  /** Abandons the first abandoned claim found; one at a time. */
  private void abandonClaims() {
    if (stopped) {
      return;
    }
    loop.after(ABANDON_INTERVAL_MS, this::abandonClaims);
    if (abandoning) {
      return;
    }
    state.listPage(
        RecordKeys.FOLD_INTENTS_PREFIX,
        null,
        PAGE_SIZE,
        (result, items, revision) -> {
          if (!stopped && result == CallResult.OK) {
            items.stream().filter(i -> isAbandoned(i.value())).findFirst().ifPresent(this::abandon);
          }
        });
  }

  private boolean isAbandoned(JsonNode intent) {
    long ageMs = loop.wallMs() - intent.path("at").asLong();
    return ageMs > (intent.has("undo") ? ABANDON_INTERVAL_MS : ABANDONED_AFTER_MS);
  }

  private void abandon(VersionedValue i) {
    String job = i.key().substring(RecordKeys.FOLD_INTENTS_PREFIX.length());
    try {
      abandoning = true;
      claims.abandon(
          job,
          i.version(),
          ClaimService.blockKeysOfIntent(i.value()),
          ok -> {
            abandoning = false;
            LOG.info("event=claim_abandoned job={} complete={}", job, ok);
          });
    } catch (InvalidMessageException e) {
      abandoning = false;
      LOG.error("event=record_unreadable key={} reason=\"{}\"", i.key(), e.getMessage());
    }
  }

  /** Reads the next page of blocks. */
  private void readNextPage() {
    if (stopped) {
      return;
    }
    state.listPage(
        RecordKeys.FOLD_BLOCKS_PREFIX,
        lastKey,
        PAGE_SIZE,
        (result, items, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK || items.isEmpty()) {
            if (result == CallResult.OK) {
              lastKey = null;
              logUnclaimedGames();
            }
            loop.after(PASS_INTERVAL_MS, this::readNextPage);
            return;
          }
          lastKey = items.get(items.size() - 1).key();
          resolveOutcomes(items);
        });
  }

  /** Looks up the jobs that a page's blocks name, then processes the blocks. */
  private void resolveOutcomes(List<VersionedValue> items) {
    Map<BlockKey, Block> blocks = new LinkedHashMap<>();
    Map<BlockKey, Long> versions = new HashMap<>();
    ArrayDeque<String> jobs = new ArrayDeque<>();
    for (VersionedValue i : items) {
      try {
        BlockKey key = RecordKeys.blockOfFoldBlockKey(i.key());
        Block block = FoldCodec.decodeBlock(i.value());
        blocks.put(key, block);
        versions.put(key, i.version());
        for (Fold f : block.sides().values()) {
          if (!f.settled() && jobs.size() < MAX_LOOKUPS_PER_PAGE && !jobs.contains(f.job())) {
            jobs.add(f.job());
          }
        }
      } catch (InvalidMessageException | NumberFormatException e) {
        LOG.error("event=record_unreadable key={} reason=\"{}\"", i.key(), e.getMessage());
      }
    }
    lookUpOutcomes(
        jobs, new HashMap<>(), jobOutcomes -> processBlocks(blocks, versions, jobOutcomes));
  }

  /** Looks up the outcomes of jobs one after another; those that cannot be read are left out. */
  private void lookUpOutcomes(
      ArrayDeque<String> jobs,
      Map<String, JobOutcome> jobOutcomes,
      Consumer<Map<String, JobOutcome>> onResolved) {
    String job = jobs.poll();
    if (job == null || stopped) {
      onResolved.accept(jobOutcomes);
      return;
    }
    claims.readJobOutcome(
        job,
        jobOutcome -> {
          jobOutcome.ifPresent(outcome -> jobOutcomes.put(job, outcome));
          lookUpOutcomes(jobs, jobOutcomes, onResolved);
        });
  }

  /** Updates the indexes and records final outcomes as far as the write budget allows. */
  private void processBlocks(
      Map<BlockKey, Block> blocks,
      Map<BlockKey, Long> versions,
      Map<String, JobOutcome> jobOutcomes) {
    if (stopped) {
      return;
    }
    Transaction transaction =
        new Transaction().requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion);
    blocks.forEach(
        (k, b) -> {
          leagueIndex(k.league()).update(k.index(), b, jobOutcomes::get);
          Block settled = ClaimRules.withFinalOutcomes(b, jobOutcomes::get);
          if (settled != b
              && transaction.writeCount() < maxTransactionWrites / 2
              && writes.availablePermits(loop.now()) - transaction.writeCount()
                  >= RESERVED_WRITE_PERMITS) {
            transaction.requireVersion(RecordKeys.foldBlock(k), versions.get(k));
            if (settled.sides().isEmpty()) {
              transaction.delete(RecordKeys.foldBlock(k));
            } else {
              transaction.put(RecordKeys.foldBlock(k), FoldCodec.encodeBlock(settled));
            }
          }
        });
    loop.after(PAGE_INTERVAL_MS, this::readNextPage);
    if (transaction.writeCount() > 0) {
      writes.forceAcquire(transaction.writeCount(), loop.now());
      // The result does not matter: the next pass finds what is left.
      state.compareAndSwap(transaction, (result, revision, failed) -> {});
    }
  }

  /** The league's index, created where there is none. */
  private LeagueIndex leagueIndex(String league) {
    LeagueIndex i = leagues.getAndMoveToLast(league);
    if (i == null) {
      i = new LeagueIndex();
      leagues.putAndMoveToLast(league, i);
      if (leagues.size() > MAX_LEAGUES) {
        leagues.removeFirst();
      }
    }
    return i;
  }

  /** Logs the unclaimed games, one line for each league. */
  private void logUnclaimedGames() {
    int lines = 0;
    for (Map.Entry<String, LeagueIndex> e : leagues.entrySet()) {
      long unclaimed = e.getValue().unclaimedCount();
      if (unclaimed > 0 && lines++ < MAX_LOG_LINES) {
        LongList firstGames = e.getValue().unclaimedGames(MAX_GAMES_PER_LINE);
        LOG.info(
            "event=games_unclaimed league={} games={} highest={} first={}",
            e.getKey(),
            unclaimed,
            e.getValue().highestGame(),
            firstGames);
      }
    }
  }
}
