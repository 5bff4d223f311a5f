package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.mallowroad.core.dependency.DependencyCycles;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Claims;
import org.mallowroad.core.fold.Game;
import org.mallowroad.core.fold.JobOutcome;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.LeagueRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.DependencyCodec;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** One acceptance of a job that folds games or waits for something, until its outcome is known. */
final class FoldClaim {
  /** Answers a caller that is left to go on. */
  private interface Got {
    void got(JsonNode value, long version);
  }

  /**
   * Conflicts after which the user is asked to try again: the intent stays, and so does the work.
   */
  static final int MOST_TRIES = 12;

  private static final long CROWDED_MS = 150;

  private final Folding folding;
  private final EventLoop loop;
  private final KeyValueStore state;
  private final RateLimiter writes;
  private final String id;
  private final ObjectNode value;
  private final List<Game> games;
  private final Collection<BlockKey> keys;
  private final String hash;
  private final Folding.Done done;
  private final JobDependencies dependencies;
  private final FoldBlocks blocks;
  private final Map<String, JobOutcome> jobOutcomes = new HashMap<>();

  /** The mark of its intent; 0 while it has none. */
  private long intent;

  private int tries;

  /** Leagues' records as this claim has read them: others forget theirs meanwhile. */
  private final Map<String, Folding.League> mine = new TreeMap<>();

  /** The mark of the order of held jobs; 0: there was none yet. */
  private long order;

  FoldClaim(
      Folding folding,
      String id,
      ObjectNode value,
      List<Game> games,
      JobDependencies dependencies,
      Folding.Done done) {
    this.folding = folding;
    this.loop = folding.loop;
    this.state = folding.state;
    this.writes = folding.writes;
    this.blocks = new FoldBlocks(state, folding.ops);
    this.dependencies = dependencies;
    this.id = id;
    this.value = value;
    this.games = games;
    this.keys = Folding.keys(games);
    this.hash = Folding.hash(games);
    this.done = done;
  }

  private void end(Folding.End end, String reason) {
    folding.over();
    done.done(end, reason);
  }

  private void away() {
    end(Folding.End.AWAY, blocks.wrong() == null ? "state service not reached" : blocks.wrong());
  }

  void begin() {
    readHolds(() -> readLeagues(false, () -> blocks.read(keys, this::decide, this::away)));
  }

  /**
   * Of a held job first: whether it would close a circle. The order's mark is a condition of its
   * acceptance, and each held job changes it: so of two that would close one together the second is
   * judged again, and sees the first.
   */
  private void readHolds(Runnable next) {
    if (!dependencies.isGated()) {
      next.run();
      return;
    }
    get(
        RecordKeys.DEPENDENCY_ORDER,
        (v, version) -> {
          order = version;
          state.list(
              RecordKeys.DEPENDENCIES,
              (result, items, revision) -> {
                if (result != CallResult.OK) {
                  away();
                } else {
                  judge(items, next);
                }
              });
        });
  }

  private void judge(List<VersionedValue> items, Runnable next) {
    Map<String, JobDependencies> held = new HashMap<>();
    for (VersionedValue i : items) {
      try {
        held.put(
            i.key().substring(RecordKeys.DEPENDENCIES.length()),
            DependencyCodec.decodeRecord(i.value()));
      } catch (InvalidMessageException e) {
        end(Folding.End.AWAY, i.key() + " cannot be read: " + e.getMessage());
        return;
      }
    }
    if (held.containsKey(id)) {
      next.run(); // Accepted before: its own record must not look like a circle.
      return;
    }
    Optional<String> through = DependencyCycles.findCycle(id, dependencies, held);
    if (through.isEmpty()) {
      next.run();
      return;
    }
    String reason = "holds: " + id + " would wait for itself, by way of " + through.get();
    if (intent == 0) {
      end(Folding.End.REFUSED, reason);
    } else {
      folding.undo(id, intent, keys, ok -> end(Folding.End.REFUSED, reason));
    }
  }

  /** Which leagues it touches, with the lowest game that it folds in each. */
  private Map<String, Long> lowest() {
    Map<String, Long> out = new TreeMap<>();
    games.forEach(g -> out.merge(g.league(), g.number(), Math::min));
    dependencies.highestRequiredGames().keySet().forEach(l -> out.putIfAbsent(l, Long.MAX_VALUE));
    return out;
  }

  private void readLeagues(boolean anew, Runnable next) {
    ArrayDeque<String> left = new ArrayDeque<>();
    for (String l : lowest().keySet()) {
      Folding.League known = anew ? null : folding.leagues.get(l);
      if (known != null) {
        mine.put(l, known);
      } else if (anew || !mine.containsKey(l)) {
        left.add(l);
      }
    }
    nextLeague(left, next);
  }

  private void nextLeague(ArrayDeque<String> left, Runnable next) {
    if (left.isEmpty()) {
      next.run();
      return;
    }
    String l = left.poll();
    get(
        RecordKeys.league(l),
        (v, version) -> {
          Folding.League read =
              new Folding.League(
                  Folding.fieldsOf(v, LeagueRecordCodec.UP_TO),
                  Folding.fieldsOf(v, LeagueRecordCodec.CHANGES),
                  version);
          mine.put(l, read);
          folding.remember(l, read);
          nextLeague(left, next);
        });
  }

  private void get(String key, Got got) {
    state.get(
        key,
        (result, item) -> {
          if (result != CallResult.OK) {
            away();
          } else {
            got.got(item.value(), item.version());
          }
        });
  }

  private void decide() {
    Claims.Outcome o =
        Claims.decide(
            id,
            games,
            blocks.all(),
            j -> jobOutcomes.containsKey(j) ? jobOutcomes.get(j) : folding.finals.apply(j));
    if (o instanceof Claims.Asks a) {
      ask(new ArrayDeque<>(a.jobs()));
    } else if (o instanceof Claims.Granted g) {
      granted(g.blocks());
    } else {
      boolean never = o instanceof Claims.Refused;
      String reason = never ? ((Claims.Refused) o).reason() : ((Claims.Waits) o).reason();
      Runnable say = () -> end(never ? Folding.End.REFUSED : Folding.End.WAITS, reason);
      if (intent == 0) {
        say.run();
      } else {
        // Nobody else may be kept from these games while this one cannot have all of its own.
        folding.undo(id, intent, keys, ok -> say.run());
      }
    }
  }

  private void ask(ArrayDeque<String> jobs) {
    if (jobs.isEmpty()) {
      decide();
      return;
    }
    String job = jobs.poll();
    folding.jobOutcome(
        job,
        jobOutcome -> {
          if (jobOutcome == null) {
            away();
            return;
          }
          jobOutcomes.put(job, jobOutcome);
          ask(jobs);
        });
  }

  private void granted(Map<BlockKey, Block> changed) {
    for (Block b : changed.values()) {
      if (Json.text(FoldCodec.encodeBlock(b)).length() > folding.valueBytes) {
        end(
            Folding.End.REFUSED,
            "folds: the record of these games is full, with too many members' names");
        return;
      }
    }
    int others = 3 + lowest().size();
    if (intent != 0) {
      if (changed.isEmpty()) {
        finish();
      } else {
        step(blocks.part(changed, 0));
      }
    } else if (blocks.part(changed, others).size() == changed.size()) {
      atOnce(changed);
    } else {
      intend();
    }
  }

  private Transaction unknownId() {
    return new Transaction()
        .requireVersion(RecordKeys.openJob(id), 0)
        .requireVersion(RecordKeys.endedJob(id), 0);
  }

  /**
   * Where holds depend on games that this touches, or this depends on games, the league's record
   * changes with it: what was confirmed for a hold under the mark of before is confirmed no more.
   */
  private void touch(Transaction transaction) {
    lowest()
        .forEach(
            (l, game) -> {
              Folding.League known = mine.get(l);
              transaction.requireVersion(RecordKeys.league(l), known.version());
              boolean touches = known.version() > 0 && game <= known.upTo();
              long upTo =
                  Math.max(known.upTo(), dependencies.highestRequiredGames().getOrDefault(l, -1L));
              if (touches || upTo > known.upTo()) {
                long changes = Math.max(0, known.changes()) + (touches ? 1 : 0);
                transaction.put(RecordKeys.league(l), LeagueRecordCodec.encode(upTo, changes));
              }
            });
    if (dependencies.isGated()) {
      transaction.requireVersion(RecordKeys.DEPENDENCY_ORDER, order);
      transaction.put(RecordKeys.DEPENDENCY_ORDER, Json.object().put("by", id));
      transaction.put(RecordKeys.dependencies(id), DependencyCodec.encodeRecord(dependencies));
    }
  }

  private void atOnce(Map<BlockKey, Block> changed) {
    Transaction transaction =
        unknownId().requireVersion(RecordKeys.foldIntent(id), 0).put(RecordKeys.openJob(id), value);
    touch(transaction);
    blocks.write(transaction, changed);
    send(
        transaction,
        revision -> accepted(),
        // An intent was begun by an earlier try, perhaps on another node.
        failed -> refused(failed, this::adopt, changed.keySet()));
  }

  /** A condition failed: the job is known, its intent is another one, or others wrote. */
  private void refused(List<String> failed, Runnable intentChanged, Collection<BlockKey> wrote) {
    if (failed.contains(RecordKeys.openJob(id)) || failed.contains(RecordKeys.endedJob(id))) {
      end(Folding.End.KNOWN, "");
    } else if (failed.contains(RecordKeys.foldIntent(id))) {
      intentChanged.run();
    } else {
      again(failed, wrote);
    }
  }

  private void accepted() {
    lowest().keySet().forEach(folding.leagues::remove); // Their marks may have changed with this.
    end(Folding.End.ACCEPTED, "");
  }

  private void intend() {
    ObjectNode v = Json.object();
    v.put("at", loop.wallMs());
    v.put("hash", hash);
    v.set("blocks", FoldCodec.encodeBlockKeys(keys));
    if (Json.text(v).length() > folding.valueBytes) {
      end(Folding.End.REFUSED, "folds: the games are in too many parts of their leagues");
      return;
    }
    send(
        unknownId().requireVersion(RecordKeys.foldIntent(id), 0).put(RecordKeys.foldIntent(id), v),
        revision -> {
          intent = revision;
          decide();
        },
        failed -> {
          if (failed.contains(RecordKeys.openJob(id)) || failed.contains(RecordKeys.endedJob(id))) {
            end(Folding.End.KNOWN, "");
          } else {
            adopt();
          }
        });
  }

  /** Goes on with the intent that there is, if it is for the same games and not given up. */
  private void adopt() {
    get(
        RecordKeys.foldIntent(id),
        (v, version) -> {
          if (v == null) {
            intent = 0;
            after(() -> blocks.read(keys, this::decide, this::away));
          } else if (v.has(FoldIntents.UNDO) || !v.path("hash").asText().equals(hash)) {
            end(Folding.End.WAITS, "folds: an earlier claim of this job is being given up");
          } else {
            intent = version;
            blocks.read(keys, this::decide, this::away);
          }
        });
  }

  private void step(Map<BlockKey, Block> some) {
    Transaction transaction = new Transaction().requireVersion(RecordKeys.foldIntent(id), intent);
    blocks.write(transaction, some);
    send(
        transaction,
        revision -> {
          blocks.written(some, revision);
          decide();
        },
        failed -> refused(failed, this::gone, some.keySet()));
  }

  private void finish() {
    Transaction transaction = unknownId().requireVersion(RecordKeys.foldIntent(id), intent);
    transaction.put(RecordKeys.openJob(id), value).delete(RecordKeys.foldIntent(id));
    touch(transaction);
    send(transaction, revision -> accepted(), failed -> refused(failed, this::gone, List.of()));
  }

  /** Its intent is not what it was: accepted by another try, or given up. */
  private void gone() {
    get(
        RecordKeys.foldIntent(id),
        (v, version) -> {
          if (v == null) {
            end(Folding.End.KNOWN, "");
          } else {
            end(Folding.End.WAITS, "folds: an earlier claim of this job is being given up");
          }
        });
  }

  /** Others changed what was read: read again, decided again. */
  private void again(List<String> failed, Collection<BlockKey> wrote) {
    boolean league = failed.isEmpty() || failed.stream().anyMatch(RecordKeys::isLeague);
    boolean ordered = failed.isEmpty() || failed.contains(RecordKeys.DEPENDENCY_ORDER);
    List<BlockKey> stale = blocks.among(failed, wrote);
    Runnable reread = () -> readLeagues(league, () -> blocks.read(stale, this::decide, this::away));
    after(
        () -> {
          if (ordered) {
            readHolds(reread);
          } else {
            reread.run();
          }
        });
  }

  /** Retries end, and do not come one upon the other. */
  private void after(Runnable next) {
    if (++tries > MOST_TRIES) {
      end(Folding.End.AWAY, "others claim the same games at this moment");
    } else {
      loop.after(FoldIntents.RETRY_MS * Math.min(8, tries), next);
    }
  }

  /**
   * Runs a transaction to a known outcome where it can be had: without an answer the same is sent
   * again, and its marks tell whether the first was applied.
   */
  private void send(Transaction transaction, LongConsumer ok, Consumer<List<String>> no) {
    long wait = writes.millisUntilAvailable(transaction.writes(), loop.now());
    if (wait > 0) {
      loop.after(wait, () -> send(transaction, ok, no));
      return;
    }
    writes.forceAcquire(transaction.writes(), loop.now());
    state.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          switch (result) {
            case OK -> ok.accept(revision);
            case CONDITION_FAILED -> no.accept(failed);
            default -> {
              if (++tries > MOST_TRIES) {
                away();
              } else {
                long ms = result == CallResult.UNKNOWN ? FoldIntents.RETRY_MS : CROWDED_MS;
                loop.after(ms, () -> send(transaction, ok, no));
              }
            }
          }
        });
  }
}
