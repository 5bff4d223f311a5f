package org.mallowroad.controller.dependency;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.longs.LongList;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Claims;
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
 * The leader's part of the fold ledger, none of which anybody waits for: gives up claims with which
 * nobody goes on, writes down what is final so that it need not be asked again, and tells which
 * games are nobody's. Walks the blocks a page at a time with what the budget leaves, and rests
 * where there are none; a takeover begins the walk anew.
 */
public final class FoldMaintenance {
  private static final Logger LOG = LoggerFactory.getLogger(FoldMaintenance.class);

  /** Users try a submission for 60 s; then, and some for clocks, nobody goes on with its claim. */
  static final long STALE_MS = 90_000;

  private static final long SWEEP_MS = 10_000;
  private static final long PAGE_MS = 1_000;
  private static final long REST_MS = 30_000;
  private static final int PAGE = 50;

  /** Jobs asked about in a page; the others are asked at the next walk. */
  private static final int MOST_ASKED = 24;

  /** Writes that must be there to spare: what is final may be written at any time, or never. */
  private static final double SPARE = 8;

  /** Lines about gaps after a walk, and games named in one. */
  private static final int MOST_LINES = 20;

  private static final int MOST_GAMES = 12;

  /** Leagues whose index is kept; beyond, the one looked at longest ago goes. */
  static final int MOST_LEAGUES = 256;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ClaimService claims;
  private final RateLimiter writes;
  private final int maxOps;
  private final long version;
  private final Object2ObjectLinkedOpenHashMap<String, LeagueIndex> leagues =
      new Object2ObjectLinkedOpenHashMap<>();
  private String at;
  private boolean undoing;
  private boolean stopped;

  public FoldMaintenance(
      EventLoop loop,
      KeyValueStore state,
      ClaimService claims,
      RateLimiter writes,
      int maxOps,
      long version) {
    this.loop = loop;
    this.state = state;
    this.claims = claims;
    this.writes = writes;
    this.maxOps = maxOps;
    this.version = version;
  }

  public void begin() {
    loop.after(SWEEP_MS, this::sweep);
    loop.after(PAGE_MS, this::page);
  }

  public void stop() {
    stopped = true;
  }

  /** A league's games as of the newest walk, or null. */
  LeagueIndex league(String name) {
    return leagues.get(name);
  }

  private void sweep() {
    if (stopped) {
      return;
    }
    loop.after(SWEEP_MS, this::sweep);
    if (undoing) {
      return;
    }
    state.listPage(
        RecordKeys.FOLD_INTENTS,
        null,
        PAGE,
        (result, items, revision) -> {
          if (!stopped && result == CallResult.OK) {
            items.stream().filter(i -> stale(i.value())).findFirst().ifPresent(this::undo);
          }
        });
  }

  private boolean stale(JsonNode v) {
    long age = loop.wallMs() - v.path("at").asLong();
    return age > (v.has("undo") ? SWEEP_MS : STALE_MS);
  }

  private void undo(VersionedValue i) {
    String job = i.key().substring(RecordKeys.FOLD_INTENTS.length());
    try {
      undoing = true;
      claims.abandon(
          job,
          i.version(),
          ClaimService.blockKeysOfIntent(i.value()),
          ok -> {
            undoing = false;
            LOG.info("event=claim_given_up job={} whole={}", job, ok);
          });
    } catch (InvalidMessageException e) {
      undoing = false;
      LOG.error("event=record_unreadable key={} reason=\"{}\"", i.key(), e.getMessage());
    }
  }

  private void page() {
    if (stopped) {
      return;
    }
    state.listPage(
        RecordKeys.FOLD_BLOCKS,
        at,
        PAGE,
        (result, items, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK || items.isEmpty()) {
            if (result == CallResult.OK) {
              at = null;
              tell();
            }
            loop.after(REST_MS, this::page);
            return;
          }
          at = items.get(items.size() - 1).key();
          take(items);
        });
  }

  private void take(List<VersionedValue> items) {
    Map<BlockKey, Block> blocks = new LinkedHashMap<>();
    Map<BlockKey, Long> versions = new HashMap<>();
    ArrayDeque<String> asks = new ArrayDeque<>();
    for (VersionedValue i : items) {
      try {
        BlockKey key = RecordKeys.blockOfKey(i.key());
        Block block = FoldCodec.decodeBlock(i.value());
        blocks.put(key, block);
        versions.put(key, i.version());
        for (Fold f : block.sides().values()) {
          if (!f.settled() && asks.size() < MOST_ASKED && !asks.contains(f.job())) {
            asks.add(f.job());
          }
        }
      } catch (InvalidMessageException | NumberFormatException e) {
        LOG.error("event=record_unreadable key={} reason=\"{}\"", i.key(), e.getMessage());
      }
    }
    ask(asks, new HashMap<>(), jobOutcomes -> judged(blocks, versions, jobOutcomes));
  }

  private void ask(
      ArrayDeque<String> jobs,
      Map<String, JobOutcome> jobOutcomes,
      java.util.function.Consumer<Map<String, JobOutcome>> told) {
    String j = jobs.poll();
    if (j == null || stopped) {
      told.accept(jobOutcomes);
      return;
    }
    claims.jobOutcome(
        j,
        jobOutcome -> {
          jobOutcome.ifPresent(outcome -> jobOutcomes.put(j, outcome));
          ask(jobs, jobOutcomes, told);
        });
  }

  private void judged(
      Map<BlockKey, Block> blocks,
      Map<BlockKey, Long> versions,
      Map<String, JobOutcome> jobOutcomes) {
    if (stopped) {
      return;
    }
    Transaction transaction = new Transaction().requireVersion(LeaderElection.LEADER, version);
    blocks.forEach(
        (k, b) -> {
          index(k.league()).take(k.index(), b, jobOutcomes::get);
          Block settled = Claims.settled(b, jobOutcomes::get);
          if (settled != b
              && transaction.writes() < maxOps / 2
              && writes.availablePermits(loop.now()) - transaction.writes() >= SPARE) {
            transaction.requireVersion(RecordKeys.foldBlock(k), versions.get(k));
            if (settled.sides().isEmpty()) {
              transaction.delete(RecordKeys.foldBlock(k));
            } else {
              transaction.put(RecordKeys.foldBlock(k), FoldCodec.encodeBlock(settled));
            }
          }
        });
    loop.after(PAGE_MS, this::page);
    if (transaction.writes() > 0) {
      writes.forceAcquire(transaction.writes(), loop.now());
      // Whatever comes of it: the next walk sees what is left.
      state.compareAndSwap(transaction, (result, revision, failed) -> {});
    }
  }

  private LeagueIndex index(String league) {
    LeagueIndex i = leagues.getAndMoveToLast(league);
    if (i == null) {
      i = new LeagueIndex();
      leagues.putAndMoveToLast(league, i);
      if (leagues.size() > MOST_LEAGUES) {
        leagues.removeFirst();
      }
    }
    return i;
  }

  /** Games that are nobody's, a line a league. */
  private void tell() {
    int lines = 0;
    for (Map.Entry<String, LeagueIndex> e : leagues.entrySet()) {
      long gaps = e.getValue().gapCount();
      if (gaps > 0 && lines++ < MOST_LINES) {
        LongList some = e.getValue().gaps(MOST_GAMES);
        LOG.info(
            "event=gap league={} games={} seen_to={} first={}",
            e.getKey(),
            gaps,
            e.getValue().seenTo(),
            some);
      }
    }
  }
}
