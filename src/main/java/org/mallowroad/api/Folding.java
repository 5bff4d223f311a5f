package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntList;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Claims;
import org.mallowroad.core.fold.Fate;
import org.mallowroad.core.fold.Game;
import org.mallowroad.core.hold.Circles;
import org.mallowroad.core.hold.Ties;
import org.mallowroad.net.Budget;
import org.mallowroad.net.Loop;
import org.mallowroad.state.Records;
import org.mallowroad.state.StateStore;
import org.mallowroad.state.StateStore.Result;
import org.mallowroad.state.StateStore.Txn;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.HoldCodec;
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

  /** Answers a caller that is left to go on. */
  private interface Got {
    void got(JsonNode value, long mark);
  }

  /** Blocks that are read at once. */
  private static final int AT_ONCE = 8;

  /**
   * Conflicts after which the user is asked to try again: the intent stays, and so does the work.
   */
  static final int MOST_TRIES = 12;

  /** Leagues in one submission: each is a condition of its acceptance. */
  static final int MOST_LEAGUES = 16;

  private static final int MOST_BYTES = 44 * 1024;
  private static final long AGAIN_MS = 60;
  private static final long CROWDED_MS = 150;

  /** Acceptances under way at once; more are asked to come again. */
  private static final int MOST_CLAIMS = 24;

  /** Leagues whose record's mark is remembered. */
  private static final int MOST_MARKS = 256;

  private static final String UNDO = "undo";

  private final Loop loop;
  private final StateStore state;
  private final Budget writes;
  private final int ops;
  private final double valueBytes;
  private final Function<String, Fate> finals;
  private final Object2ObjectLinkedOpenHashMap<String, League> leagues =
      new Object2ObjectLinkedOpenHashMap<>();
  private int claims;

  /** A league's record: how far holds depend on its games, and its mark (0: there is none). */
  private record League(long upTo, long changes, long mark) {}

  /**
   * Over the state service.
   *
   * @param writes of submissions: large claims wait for it
   * @param ops puts and deletes in one transaction
   * @param finals what this node knows for certain of a job that is over, else null
   */
  public Folding(
      Loop loop,
      StateStore state,
      Budget writes,
      int ops,
      double valueKb,
      Function<String, Fate> finals) {
    this.writes = writes;
    this.loop = loop;
    this.state = state;
    this.ops = Math.max(4, ops);
    this.valueBytes = valueKb * 1024 - 64;
    this.finals = finals;
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
  public void accept(String id, ObjectNode value, List<Game> games, Ties ties, Done done) {
    if (claims >= MOST_CLAIMS) {
      done.done(End.AWAY, "too many claims under way");
      return;
    }
    claims++;
    new Claim(id, value, games, ties, done).begin();
  }

  /** Which blocks games are in, in order. */
  public static Collection<BlockKey> keys(List<Game> games) {
    TreeSet<BlockKey> keys = new TreeSet<>();
    games.forEach(g -> keys.add(g.block()));
    return keys;
  }

  private static String hash(List<Game> games) {
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

  private static long fieldsOf(JsonNode v, String field) {
    return v == null ? -1 : v.path(field).asLong(-1);
  }

  /** Blocks as they are in the state service. */
  private final class Blocks {
    private final Map<BlockKey, Block> blocks = new TreeMap<>();
    private final Map<BlockKey, Long> marks = new HashMap<>();
    private String wrong;

    /** Reads some anew; {@code no} when the service does not answer, or a record is not ours. */
    void read(Collection<BlockKey> keys, Runnable next, Runnable no) {
      ArrayDeque<BlockKey> left = new ArrayDeque<>(keys);
      int[] out = new int[1];
      boolean[] over = new boolean[1];
      Runnable[] more = new Runnable[1];
      more[0] =
          () -> {
            while (!over[0] && out[0] < AT_ONCE && !left.isEmpty()) {
              BlockKey k = left.poll();
              out[0]++;
              state.get(
                  Records.fold(k),
                  (result, item) -> {
                    out[0]--;
                    if (over[0]) {
                      return;
                    }
                    if (result != Result.OK || !take(k, item)) {
                      over[0] = true;
                      no.run();
                    } else {
                      more[0].run();
                    }
                  });
            }
            if (!over[0] && out[0] == 0 && left.isEmpty()) {
              over[0] = true;
              next.run();
            }
          };
      more[0].run();
    }

    private boolean take(BlockKey k, StateStore.Item item) {
      try {
        blocks.put(k, FoldCodec.decode(item.value()));
        marks.put(k, item.mark());
        return true;
      } catch (BadMessage e) {
        wrong = "block " + Records.fold(k) + " cannot be read: " + e.getMessage();
        return false;
      }
    }

    /** Writes blocks under their marks. */
    void write(Txn txn, Map<BlockKey, Block> some) {
      some.forEach(
          (k, b) -> {
            txn.given(Records.fold(k), marks.get(k));
            if (b.sides().isEmpty()) {
              txn.delete(Records.fold(k));
            } else {
              txn.put(Records.fold(k), FoldCodec.encode(b));
            }
          });
    }

    void written(Map<BlockKey, Block> some, long revision) {
      some.forEach(
          (k, b) -> {
            blocks.put(k, b);
            marks.put(k, b.sides().isEmpty() ? 0 : revision);
          });
    }

    /** As many of the blocks as one transaction takes besides so many other writes. */
    Map<BlockKey, Block> part(Map<BlockKey, Block> all, int others) {
      Map<BlockKey, Block> out = new TreeMap<>();
      int bytes = 0;
      for (Map.Entry<BlockKey, Block> e : all.entrySet()) {
        bytes += Json.text(FoldCodec.encode(e.getValue())).length() + 150;
        if (!out.isEmpty() && (out.size() + others >= ops || bytes > MOST_BYTES)) {
          break;
        }
        out.put(e.getKey(), e.getValue());
      }
      return out;
    }

    List<BlockKey> among(List<String> failed, Collection<BlockKey> keys) {
      List<BlockKey> out = new ArrayList<>();
      keys.forEach(
          k -> {
            if (failed.isEmpty() || failed.contains(Records.fold(k))) {
              out.add(k);
            }
          });
      return out;
    }
  }

  /** One acceptance under way. */
  private final class Claim {
    private final String id;
    private final ObjectNode value;
    private final List<Game> games;
    private final Collection<BlockKey> keys;
    private final String hash;
    private final Done done;
    private final Ties ties;
    private final Blocks blocks = new Blocks();
    private final Map<String, Fate> fates = new HashMap<>();

    /** The mark of its intent; 0 while it has none. */
    private long intent;

    private int tries;

    /** Leagues' records as this claim has read them: others forget theirs meanwhile. */
    private final Map<String, League> mine = new TreeMap<>();

    /** The mark of the order of held jobs; 0: there was none yet. */
    private long order;

    Claim(String id, ObjectNode value, List<Game> games, Ties ties, Done done) {
      this.ties = ties;
      this.id = id;
      this.value = value;
      this.games = games;
      this.keys = keys(games);
      this.hash = hash(games);
      this.done = done;
    }

    private void end(End end, String reason) {
      claims--;
      done.done(end, reason);
    }

    private void away() {
      end(End.AWAY, blocks.wrong == null ? "state service not reached" : blocks.wrong);
    }

    void begin() {
      readHolds(() -> readLeagues(false, () -> blocks.read(keys, this::decide, this::away)));
    }

    /**
     * Of a held job first: whether it would close a circle. The order's mark is a condition of its
     * acceptance, and each held job changes it: so of two that would close one together the second
     * is judged again, and sees the first.
     */
    private void readHolds(Runnable next) {
      if (!ties.held()) {
        next.run();
        return;
      }
      get(
          Records.HOLD_ORDER,
          (v, mark) -> {
            order = mark;
            state.list(
                Records.HELD,
                (result, items, revision) -> {
                  if (result != Result.OK) {
                    away();
                  } else {
                    judge(items, next);
                  }
                });
          });
    }

    private void judge(List<StateStore.Item> items, Runnable next) {
      Map<String, Ties> held = new HashMap<>();
      for (StateStore.Item i : items) {
        try {
          held.put(i.key().substring(Records.HELD.length()), HoldCodec.ties(i.value()));
        } catch (BadMessage e) {
          end(End.AWAY, i.key() + " cannot be read: " + e.getMessage());
          return;
        }
      }
      if (held.containsKey(id)) {
        next.run(); // Accepted before: its own record must not look like a circle.
        return;
      }
      String through = Circles.closes(id, ties, held);
      if (through == null) {
        next.run();
        return;
      }
      String reason = "holds: " + id + " would wait for itself, by way of " + through;
      if (intent == 0) {
        end(End.REFUSED, reason);
      } else {
        undo(id, intent, keys, ok -> end(End.REFUSED, reason));
      }
    }

    /** Which leagues it touches, with the lowest game that it folds in each. */
    private Map<String, Long> lowest() {
      Map<String, Long> out = new TreeMap<>();
      games.forEach(g -> out.merge(g.league(), g.number(), Math::min));
      ties.highest().keySet().forEach(l -> out.putIfAbsent(l, Long.MAX_VALUE));
      return out;
    }

    private void readLeagues(boolean anew, Runnable next) {
      ArrayDeque<String> left = new ArrayDeque<>();
      for (String l : lowest().keySet()) {
        League known = anew ? null : leagues.get(l);
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
          Records.league(l),
          (v, mark) -> {
            League read =
                new League(fieldsOf(v, Records.UP_TO), fieldsOf(v, Records.CHANGES), mark);
            mine.put(l, read);
            leagues.putAndMoveToLast(l, read);
            if (leagues.size() > MOST_MARKS) {
              leagues.removeFirst();
            }
            nextLeague(left, next);
          });
    }

    private void get(String key, Got got) {
      state.get(
          key,
          (result, item) -> {
            if (result != Result.OK) {
              away();
            } else {
              got.got(item.value(), item.mark());
            }
          });
    }

    private void decide() {
      Claims.Outcome o =
          Claims.decide(
              id, games, blocks.blocks, j -> fates.containsKey(j) ? fates.get(j) : finals.apply(j));
      if (o instanceof Claims.Asks a) {
        ask(new ArrayDeque<>(a.jobs()));
      } else if (o instanceof Claims.Granted g) {
        granted(g.blocks());
      } else {
        boolean never = o instanceof Claims.Refused;
        String reason = never ? ((Claims.Refused) o).reason() : ((Claims.Waits) o).reason();
        Runnable say = () -> end(never ? End.REFUSED : End.WAITS, reason);
        if (intent == 0) {
          say.run();
        } else {
          // Nobody else may be kept from these games while this one cannot have all of its own.
          undo(id, intent, keys, ok -> say.run());
        }
      }
    }

    private void ask(ArrayDeque<String> jobs) {
      if (jobs.isEmpty()) {
        decide();
        return;
      }
      String job = jobs.poll();
      fate(
          job,
          fate -> {
            if (fate == null) {
              away();
              return;
            }
            fates.put(job, fate);
            ask(jobs);
          });
    }

    private void granted(Map<BlockKey, Block> changed) {
      for (Block b : changed.values()) {
        if (Json.text(FoldCodec.encode(b)).length() > valueBytes) {
          end(
              End.REFUSED,
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

    private Txn unknownId() {
      return new Txn().given(Records.open(id), 0).given(Records.end(id), 0);
    }

    /**
     * Where holds depend on games that this touches, or this depends on games, the league's record
     * changes with it: what was confirmed for a hold under the mark of before is confirmed no more.
     */
    private void touch(Txn txn) {
      lowest()
          .forEach(
              (l, game) -> {
                League known = mine.get(l);
                txn.given(Records.league(l), known.mark);
                boolean touches = known.mark > 0 && game <= known.upTo;
                long upTo = Math.max(known.upTo, ties.highest().getOrDefault(l, -1L));
                if (touches || upTo > known.upTo) {
                  long changes = Math.max(0, known.changes) + (touches ? 1 : 0);
                  txn.put(Records.league(l), Records.leagueValue(upTo, changes));
                }
              });
      if (ties.held()) {
        txn.given(Records.HOLD_ORDER, order);
        txn.put(Records.HOLD_ORDER, Json.object().put("by", id));
        txn.put(Records.held(id), HoldCodec.held(ties));
      }
    }

    private void atOnce(Map<BlockKey, Block> changed) {
      Txn txn = unknownId().given(Records.intent(id), 0).put(Records.open(id), value);
      touch(txn);
      blocks.write(txn, changed);
      send(
          txn,
          revision -> accepted(),
          failed -> {
            if (failed.contains(Records.open(id)) || failed.contains(Records.end(id))) {
              end(End.KNOWN, "");
            } else if (failed.contains(Records.intent(id))) {
              adopt(); // Begun by an earlier try, perhaps on another node.
            } else {
              again(failed, changed.keySet());
            }
          });
    }

    private void accepted() {
      lowest().keySet().forEach(leagues::remove); // Their marks may have changed with this.
      end(End.ACCEPTED, "");
    }

    private void intend() {
      ObjectNode v = Json.object();
      v.put("at", loop.wallMs());
      v.put("hash", hash);
      v.set("blocks", FoldCodec.blocks(keys));
      if (Json.text(v).length() > valueBytes) {
        end(End.REFUSED, "folds: the games are in too many parts of their leagues");
        return;
      }
      send(
          unknownId().given(Records.intent(id), 0).put(Records.intent(id), v),
          revision -> {
            intent = revision;
            decide();
          },
          failed -> {
            if (failed.contains(Records.open(id)) || failed.contains(Records.end(id))) {
              end(End.KNOWN, "");
            } else {
              adopt();
            }
          });
    }

    /** Goes on with the intent that there is, if it is for the same games and not given up. */
    private void adopt() {
      get(
          Records.intent(id),
          (v, mark) -> {
            if (v == null) {
              intent = 0;
              after(() -> blocks.read(keys, this::decide, this::away));
            } else if (v.has(UNDO) || !v.path("hash").asText().equals(hash)) {
              end(End.WAITS, "folds: an earlier claim of this job is being given up");
            } else {
              intent = mark;
              blocks.read(keys, this::decide, this::away);
            }
          });
    }

    private void step(Map<BlockKey, Block> some) {
      Txn txn = new Txn().given(Records.intent(id), intent);
      blocks.write(txn, some);
      send(
          txn,
          revision -> {
            blocks.written(some, revision);
            decide();
          },
          failed -> {
            if (failed.contains(Records.intent(id))) {
              gone();
            } else {
              again(failed, some.keySet());
            }
          });
    }

    private void finish() {
      Txn txn = unknownId().given(Records.intent(id), intent);
      txn.put(Records.open(id), value).delete(Records.intent(id));
      touch(txn);
      send(
          txn,
          revision -> accepted(),
          failed -> {
            if (failed.contains(Records.open(id)) || failed.contains(Records.end(id))) {
              end(End.KNOWN, "");
            } else if (failed.contains(Records.intent(id))) {
              gone();
            } else {
              again(failed, List.of());
            }
          });
    }

    /** Its intent is not what it was: accepted by another try, or given up. */
    private void gone() {
      get(
          Records.intent(id),
          (v, mark) -> {
            if (v == null) {
              end(End.KNOWN, "");
            } else {
              end(End.WAITS, "folds: an earlier claim of this job is being given up");
            }
          });
    }

    /** Others changed what was read: read again, decided again. */
    private void again(List<String> failed, Collection<BlockKey> wrote) {
      boolean league = failed.isEmpty() || failed.stream().anyMatch(Records::isLeague);
      boolean ordered = failed.isEmpty() || failed.contains(Records.HOLD_ORDER);
      List<BlockKey> stale = blocks.among(failed, wrote);
      Runnable reread =
          () -> readLeagues(league, () -> blocks.read(stale, this::decide, this::away));
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
        end(End.AWAY, "others claim the same games at this moment");
      } else {
        loop.after(AGAIN_MS * Math.min(8, tries), next);
      }
    }

    /**
     * Runs a transaction to a known outcome where it can be had: without an answer the same is sent
     * again, and its marks tell whether the first was applied.
     */
    private void send(Txn txn, LongConsumer ok, Consumer<List<String>> no) {
      long wait = writes.waitMs(txn.writes(), loop.now());
      if (wait > 0) {
        loop.after(wait, () -> send(txn, ok, no));
        return;
      }
      writes.force(txn.writes(), loop.now());
      state.run(
          txn,
          (result, revision, failed) -> {
            switch (result) {
              case OK -> ok.accept(revision);
              case NO -> no.accept(failed);
              default -> {
                if (++tries > MOST_TRIES) {
                  away();
                } else {
                  long ms = result == Result.UNKNOWN ? AGAIN_MS : CROWDED_MS;
                  loop.after(ms, () -> send(txn, ok, no));
                }
              }
            }
          });
    }
  }

  /** What has become of a job: null when the state service does not say. */
  public void fate(String job, Consumer<Fate> told) {
    Fate known = finals.apply(job);
    if (known != null) {
      told.accept(known);
      return;
    }
    // Open, then end: a job moves from the first to the second, so it is never missed.
    state.get(
        Records.open(job),
        (result, open) -> {
          if (result != Result.OK) {
            told.accept(null);
          } else if (open.value() != null) {
            told.accept(Fate.OPEN);
          } else {
            state.get(
                Records.end(job),
                (result2, end) -> {
                  if (result2 != Result.OK) {
                    told.accept(null);
                  } else if (end.value() == null) {
                    told.accept(Fate.CLAIMING);
                  } else {
                    boolean is = end.value().path("end").asText().equals(Fields.DONE);
                    told.accept(is ? Fate.DONE : Fate.CANCELLED);
                  }
                });
          }
        });
  }

  /**
   * Gives an intent up: first it is marked, so that no step of the claim applies any more, then its
   * claims are taken out, then it goes. Anybody may do it, also twice at once, also from the
   * middle.
   *
   * @param told whether all of it is done; else whoever finds the intent does it again
   */
  public void undo(String id, long mark, Collection<BlockKey> keys, Consumer<Boolean> told) {
    ObjectNode v = Json.object();
    v.put("at", loop.wallMs());
    v.put(UNDO, true);
    v.set("blocks", FoldCodec.blocks(keys));
    state.run(
        new Txn().given(Records.intent(id), mark).put(Records.intent(id), v),
        (result, revision, failed) -> {
          if (result == Result.OK) {
            takeOut(id, revision, new ArrayDeque<>(keys), told);
          } else {
            told.accept(false);
          }
        });
  }

  private void takeOut(String id, long mark, ArrayDeque<BlockKey> left, Consumer<Boolean> told) {
    if (left.isEmpty()) {
      state.run(
          new Txn().given(Records.intent(id), mark).delete(Records.intent(id)),
          (result, revision, failed) -> told.accept(result == Result.OK));
      return;
    }
    List<BlockKey> some = new ArrayList<>();
    while (!left.isEmpty() && some.size() < ops) {
      some.add(left.poll());
    }
    Blocks b = new Blocks();
    b.read(
        some,
        () -> {
          Map<BlockKey, Block> changed = new TreeMap<>();
          b.blocks.forEach(
              (k, block) -> {
                Block without = Claims.without(block, id);
                if (without != block) {
                  changed.put(k, without);
                }
              });
          if (changed.isEmpty()) {
            takeOut(id, mark, left, told);
            return;
          }
          Map<BlockKey, Block> part = b.part(changed, 0);
          Txn txn = new Txn().given(Records.intent(id), mark);
          b.write(txn, part);
          state.run(
              txn,
              (result, revision, failed) -> {
                if (result == Result.OK
                    || (result == Result.NO && !failed.contains(Records.intent(id)))) {
                  // What is not done, or was changed by others meanwhile, is read once more.
                  some.removeAll(result == Result.OK ? part.keySet() : List.of());
                  left.addAll(some);
                  loop.after(AGAIN_MS, () -> takeOut(id, mark, left, told));
                } else {
                  told.accept(false);
                }
              });
        },
        () -> told.accept(false));
  }

  /** The blocks that an intent names. */
  public static Collection<BlockKey> keysOf(JsonNode intent) throws BadMessage {
    ObjectNode o = Json.object();
    o.set(FoldCodec.BLOCKS, intent.path("blocks"));
    TreeSet<BlockKey> keys = new TreeSet<>();
    for (Map.Entry<String, IntList> e : FoldCodec.blocks(o).entrySet()) {
      e.getValue().forEach(i -> keys.add(new BlockKey(e.getKey(), i)));
    }
    return keys;
  }
}
