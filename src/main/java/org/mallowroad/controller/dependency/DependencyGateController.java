package org.mallowroad.controller.dependency;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.api.Folding;
import org.mallowroad.core.Job;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.dependency.DependencyGates;
import org.mallowroad.core.dependency.DependencyGates.Hold;
import org.mallowroad.core.dependency.JobDependencies.RequiredGames;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.LeagueRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens held jobs: reads what one waits for in the shared record, and records a release under the
 * marks of all that may still change (docs/holds.md has the proof).
 *
 * <p>Ends of jobs never change, so those that were read or committed as done need no condition.
 * What may change is which games are claimed: each acceptance that claims a game up to the highest
 * that a hold depends on changes the league's record in the same transaction. So the mark of that
 * record, read before the blocks and compared with the release, says that nothing was claimed in
 * between; and compared once more with the first start, that nothing was claimed since.
 *
 * <p>One hold is confirmed at a time, and only when something that it waits for has changed.
 */
public final class DependencyGateController {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGateController.class);
  private static final long AGAIN_MS = 400;
  private static final long WATCH_MS = 10_000;

  /** Blocks read at once: some 70 KB. */
  private static final int PAGE = 50;

  /** What a hold waits for is told in so many characters. */
  private static final int MOST_TEXT = 300;

  /** So many things that it waits for are named. */
  private static final int MOST_NAMED = 5;

  private static final String PRINTED = "printed";
  private static final String LEAGUES = "leagues";
  private static final String CHANGES = "changes";
  private static final String SUPERSEDED = "superseded";

  private final EventLoop loop;
  private final KeyValueStore state;
  private final SchedulerState schedulerState;
  private final Folding folding;
  private final long version;
  private final Runnable changed;
  private final Runnable deposed;
  private final DependencyGates holds = new DependencyGates();
  private boolean confirming;
  private boolean read;
  private boolean following;
  private boolean stopped;

  public DependencyGateController(
      EventLoop loop,
      KeyValueStore state,
      SchedulerState schedulerState,
      Folding folding,
      long version,
      Runnable changed,
      Runnable deposed) {
    this.loop = loop;
    this.state = state;
    this.schedulerState = schedulerState;
    this.folding = folding;
    this.version = version;
    this.changed = changed;
    this.deposed = deposed;
  }

  public void stop() {
    stopped = true;
  }

  /** Held jobs of this term. */
  DependencyGates holds() {
    return holds;
  }

  /** An open job became known; held ones wait until their release is known. */
  public void opened(Job job) {
    if (job.spec.dependencies().isGated()) {
      holds.add(job.spec.id(), job.spec.dependencies());
      if (read) {
        look();
      }
    }
  }

  /** All open jobs are known: the releases that earlier leaders recorded are read. */
  public void begin() {
    state.list(
        RecordKeys.RELEASES,
        (result, items, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(AGAIN_MS, this::begin);
            return;
          }
          for (VersionedValue i : items) {
            Hold h = holds.get(i.key().substring(RecordKeys.RELEASES.length()));
            if (h != null) {
              adopt(h, i.value(), i.version());
            }
          }
          read = true;
          look();
          changed.run();
        });
  }

  /** Takes a release as it is recorded. */
  private void adopt(Hold h, JsonNode v, long at) {
    h.version = at;
    h.leagues.clear();
    if (v == null) {
      h.state = DependencyGates.State.CLOSED;
      return;
    }
    v.path(LEAGUES).properties().forEach(e -> h.leagues.put(e.getKey(), e.getValue().asLong()));
    h.changes.clear();
    v.path(CHANGES).properties().forEach(e -> h.changes.put(e.getKey(), e.getValue().asLong()));
    h.superseded = v.path(SUPERSEDED).asBoolean();
    h.state =
        v.path(PRINTED).asBoolean() ? DependencyGates.State.PRINTED : DependencyGates.State.OPEN;
    Job job = schedulerState.job(h.job);
    if (job != null) {
      schedulerState.release(job, loop.now());
    }
  }

  /** A job's end is committed, or was found. */
  public void ended(Job job, boolean done) {
    holds.remove(job.spec.id());
    holds.ended(job.spec.id(), done, job.spec.dependencies().foldedLeagues());
    look();
  }

  /** Confirms what is worth it, one after the other. */
  private void look() {
    if (confirming || stopped || !read) {
      return;
    }
    Hold h = holds.next();
    if (h == null) {
      follow();
      return;
    }
    confirming = true;
    new Confirmation(h).begin();
  }

  /** Changes of leagues' records: whom they concern is looked at again. */
  private void follow() {
    if (following || holds.leagues().isEmpty()) {
      return;
    }
    following = true;
    state.list(
        RecordKeys.LEAGUES,
        (result, items, revision) -> {
          if (result == CallResult.OK) {
            items.forEach(this::saw);
            follow(revision);
          } else {
            loop.after(AGAIN_MS, this::unfollow);
          }
        });
  }

  private void unfollow() {
    following = false;
    look();
  }

  private void follow(long from) {
    if (stopped || holds.leagues().isEmpty()) {
      following = false;
      return;
    }
    state.watch(
        RecordKeys.LEAGUES,
        from,
        WATCH_MS,
        (result, events, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(AGAIN_MS, this::unfollow);
            return;
          }
          events.forEach(this::saw);
          follow(revision);
        });
  }

  /**
   * A league's record as it is now: what was printed before the newest claim in it is superseded.
   * The claim may be of a game that only another hold names; a hold that names a higher one is
   * none.
   */
  private void saw(VersionedValue i) {
    String league = i.key().substring(RecordKeys.LEAGUES.length());
    long changes = i.value() == null ? 0 : i.value().path(LeagueRecordCodec.CHANGES).asLong();
    for (Hold h : List.copyOf(holds.all())) {
      Long known = h.changes.get(league);
      if (h.state == DependencyGates.State.PRINTED
          && known != null
          && changes > known
          && !h.superseded) {
        supersede(h, league);
      }
    }
    holds.league(league);
    look();
  }

  /** It was printed by a version that is not the newest any more: said once, and recorded. */
  private void supersede(Hold h, String league) {
    h.superseded = true;
    LOG.warn("event=print_superseded job={} league={} version={}", h.job, league, h.leagues);
    put(
        h,
        true,
        (result, revision, failed) -> {
          if (result == CallResult.OK) {
            h.version = revision;
          }
        });
  }

  private ObjectNode value(Hold h, boolean printed) {
    ObjectNode v = Json.object();
    ObjectNode l = v.putObject(LEAGUES);
    h.leagues.forEach(l::put);
    ObjectNode c = v.putObject(CHANGES);
    h.changes.forEach(c::put);
    if (printed) {
      v.put(PRINTED, true);
    }
    if (h.superseded) {
      v.put(SUPERSEDED, true);
    }
    return v;
  }

  private void put(Hold h, boolean printed, KeyValueStore.TransactionListener ended) {
    state.compareAndSwap(
        new Transaction()
            .requireVersion(LeaderElection.LEADER, version)
            .requireVersion(RecordKeys.release(h.job), h.version)
            .put(RecordKeys.release(h.job), value(h, printed)),
        ended);
  }

  /** Adds to a start's transaction what makes it void once the hold is closed again. */
  public void guard(Job job, Transaction transaction) {
    Hold h = holds.get(job.spec.id());
    if (h == null || h.state == DependencyGates.State.CLOSED) {
      // Not to be met: such a job is held. A condition that cannot be true keeps it so.
      transaction.requireVersion(RecordKeys.release(job.spec.id()), Long.MAX_VALUE);
      return;
    }
    transaction.requireVersion(RecordKeys.release(h.job), h.version);
    if (h.state == DependencyGates.State.OPEN) {
      h.leagues.forEach((l, m) -> transaction.requireVersion(RecordKeys.league(l), m));
      transaction.put(RecordKeys.release(h.job), value(h, true));
    }
  }

  /** Starts were recorded under the release: from now on it cannot be called back. */
  public void guarded(Job job, long revision) {
    Hold h = holds.get(job.spec.id());
    if (h != null && h.state == DependencyGates.State.OPEN) {
      h.state = DependencyGates.State.PRINTED;
      h.version = revision;
      LOG.info("event=print_began job={} version={}", h.job, h.leagues);
    }
  }

  /** A start failed under the release: it is read again, and confirmed anew if need be. */
  public void reguard(Job job, Runnable next) {
    Hold h = holds.get(job.spec.id());
    if (h == null) {
      schedulerState.hold(job, loop.now());
      next.run();
      return;
    }
    state.get(
        RecordKeys.release(h.job),
        (result, item) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(AGAIN_MS, () -> reguard(job, next));
            return;
          }
          adopt(h, item.value(), item.version());
          if (h.state != DependencyGates.State.PRINTED) {
            LOG.info("event=hold_closed job={}", h.job);
            h.state = DependencyGates.State.CLOSED;
            schedulerState.hold(job, loop.now());
            holds.touch(h);
            loop.soon(this::look);
          }
          next.run();
        });
  }

  /** One hold being confirmed. */
  private final class Confirmation {
    private final Hold hold;
    private final Map<String, Long> versions = new LinkedHashMap<>();
    private final Map<String, Long> changes = new LinkedHashMap<>();
    private final Map<String, JobOutcome> jobOutcomes = new HashMap<>();
    private final StringBuilder waits = new StringBuilder();
    private int waitsFor;

    Confirmation(Hold hold) {
      this.hold = hold;
    }

    void begin() {
      jobs(new ArrayDeque<>(hold.left()));
    }

    private void waitsFor(String what) {
      if (waitsFor++ < MOST_NAMED && waits.length() < MOST_TEXT) {
        waits.append(waits.length() > 0 ? "; " : "").append(what);
      }
    }

    /** Not read to its end: once more, a little later. */
    private void again() {
      holds.touch(hold);
      loop.after(AGAIN_MS, this::over);
    }

    private void over() {
      confirming = false;
      look();
    }

    private void jobs(ArrayDeque<String> left) {
      if (stopped) {
        return;
      }
      String j = left.poll();
      if (j == null) {
        leagues(new ArrayDeque<>(hold.dependencies.highestRequiredGames().keySet()));
        return;
      }
      if (schedulerState.job(j) != null
          && !schedulerState.job(j).isEnded()
          && !schedulerState.job(j).isCancelled()) {
        waitsFor(j + (schedulerState.job(j).isHeld() ? " is held itself" : " is not done"));
        jobs(left);
        return;
      }
      state.get(
          RecordKeys.endedJob(j),
          (result, item) -> {
            if (result != CallResult.OK) {
              again();
              return;
            }
            if (item.value() == null) {
              waitsFor(j + " is not accepted yet, as far as is known");
            } else if (item.value().path("end").asText().equals(Fields.DONE)) {
              hold.done(j);
            } else {
              waitsFor(j + " was withdrawn: this can only be withdrawn as well");
            }
            jobs(left);
          });
    }

    /** The leagues' records first: what changes while the blocks are read changes these. */
    private void leagues(ArrayDeque<String> left) {
      if (stopped) {
        return;
      }
      String l = left.poll();
      if (l == null) {
        games(new ArrayDeque<>(hold.dependencies.requiredGames()));
        return;
      }
      state.get(
          RecordKeys.league(l),
          (result, item) -> {
            if (result != CallResult.OK) {
              again();
            } else {
              versions.put(l, item.version());
              long n =
                  item.value() == null ? 0 : item.value().path(LeagueRecordCodec.CHANGES).asLong();
              changes.put(l, n);
              leagues(left);
            }
          });
    }

    private void games(ArrayDeque<RequiredGames> left) {
      // What waits for jobs need not read a league.
      RequiredGames g = waitsFor > 0 ? null : left.poll();
      if (g == null) {
        decide();
      } else {
        page(g, left, null, 0);
      }
    }

    /** The blocks of a league in order, up to the one with the last game. */
    private void page(RequiredGames g, ArrayDeque<RequiredGames> left, String from, long expected) {
      state.listPage(
          RecordKeys.FOLD_BLOCKS + g.league() + "/",
          from,
          PAGE,
          (result, items, revision) -> {
            if (stopped) {
              return;
            }
            if (result != CallResult.OK) {
              again();
              return;
            }
            blocks(g, left, items, 0, expected);
          });
    }

    private void blocks(
        RequiredGames g,
        ArrayDeque<RequiredGames> left,
        List<VersionedValue> items,
        int i,
        long expected) {
      int last = (int) (g.upTo() / Block.GAMES);
      if (i == items.size() || waitsFor >= MOST_NAMED) {
        boolean more = i > 0 && items.size() == PAGE && expected <= g.upTo() && waitsFor == 0;
        if (more) {
          page(g, left, items.get(items.size() - 1).key(), expected);
          return;
        }
        if (g.member() == null && expected <= g.upTo() && waitsFor < MOST_NAMED) {
          waitsFor("game " + expected + " of " + g.league() + " and what follows is nobody's");
        }
        games(left);
        return;
      }
      BlockKey key = RecordKeys.blockOfKey(items.get(i).key());
      if (key.index() > last) {
        blocks(g, left, items.subList(0, i), i, expected);
        return;
      }
      Block block;
      try {
        block = FoldCodec.decodeBlock(items.get(i).value());
      } catch (InvalidMessageException e) {
        waitsFor(items.get(i).key() + " cannot be read: " + e.getMessage());
        games(left);
        return;
      }
      ArrayDeque<String> asks = new ArrayDeque<>();
      for (Fold f : block.sides().values()) {
        if (!f.settled() && !jobOutcomes.containsKey(f.job()) && !asks.contains(f.job())) {
          asks.add(f.job());
        }
      }
      ask(asks, () -> blocks(g, left, items, i + 1, judge(g, key, block, expected)));
    }

    private void ask(ArrayDeque<String> jobs, Runnable next) {
      String j = jobs.poll();
      if (j == null) {
        next.run();
        return;
      }
      folding.jobOutcome(
          j,
          jobOutcome -> {
            if (jobOutcome == null) {
              again();
            } else {
              jobOutcomes.put(j, jobOutcome);
              ask(jobs, next);
            }
          });
    }

    /** Judges a block; returns the first game that no block before or in it has. */
    private long judge(RequiredGames g, BlockKey key, Block block, long expected) {
      long from = Block.number(key.index(), 0);
      long next = expected;
      if (g.member() == null && next < from) {
        waitsFor("game " + next + " of " + g.league() + " is nobody's");
      }
      next = Math.max(next, from);
      for (Map.Entry<Block.Side, Fold> e : block.sides().entrySet()) {
        long number = Block.number(key.index(), e.getKey().game());
        if (number > g.upTo()) {
          break;
        }
        if (g.member() != null && !g.member().equals(e.getKey().member())) {
          continue;
        }
        if (g.member() == null && number > next) {
          waitsFor("game " + next + " of " + g.league() + " is nobody's");
        }
        next = Math.max(next, number + 1);
        Fold f = e.getValue();
        JobOutcome jobOutcome = f.settled() ? JobOutcome.DONE : jobOutcomes.get(f.job());
        String game = "game " + number + " of " + g.league() + " for " + e.getKey().member();
        if (jobOutcome == JobOutcome.CANCELLED && f.base() == null) {
          waitsFor(game + " was released by " + f.job());
        } else if (jobOutcome == JobOutcome.OPEN) {
          waitsFor(game + " is not folded yet by " + f.job());
        } else if (jobOutcome == JobOutcome.CLAIMING && f.base() == null) {
          // A correction whose claim is not accepted yet leaves what counts as it is; when it is
          // accepted the league's record changes.
          waitsFor(game + " is being claimed by " + f.job());
        }
      }
      return next;
    }

    private void decide() {
      Job job = schedulerState.job(hold.job);
      if (job == null || stopped) {
        over();
        return;
      }
      if (waitsFor > 0) {
        int more = waitsFor - MOST_NAMED;
        hold.waitsFor = waits + (more > 0 ? "; and " + more + " more" : "");
        job.holdReason = hold.waitsFor;
        over();
        return;
      }
      hold.leagues.clear();
      hold.leagues.putAll(versions);
      hold.changes.clear();
      hold.changes.putAll(changes);
      Transaction transaction =
          new Transaction()
              .requireVersion(LeaderElection.LEADER, version)
              .requireVersion(RecordKeys.openJob(hold.job), job.version)
              .requireVersion(RecordKeys.release(hold.job), hold.version);
      versions.forEach((l, m) -> transaction.requireVersion(RecordKeys.league(l), m));
      transaction.put(RecordKeys.release(hold.job), value(hold, false));
      state.compareAndSwap(
          transaction,
          (result, revision, failed) -> {
            if (stopped) {
              return;
            }
            if (result == CallResult.OK) {
              hold.version = revision;
              hold.state = DependencyGates.State.OPEN;
              hold.waitsFor = "";
              schedulerState.release(job, loop.now());
              LOG.info("event=hold_opened job={} version={}", hold.job, hold.leagues);
              over();
              changed.run();
            } else if (result == CallResult.CONDITION_FAILED
                && failed.contains(LeaderElection.LEADER)) {
              deposed.run();
            } else if (result == CallResult.CONDITION_FAILED
                && failed.contains(RecordKeys.release(hold.job))) {
              // One of ours without an answer was applied after all: taken as it is recorded.
              reguard(job, this::over);
            } else {
              again();
            }
          });
    }
  }
}
