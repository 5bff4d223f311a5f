package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntList;
import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.BlockNumberRanges;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.core.fold.Game;

/**
 * The games that a submission folds, and blocks of folds as they are stored.
 *
 * <p>A block is stored with the names of members and jobs once each, and its sides as numbers that
 * refer to them (docs/folds.md). Its fields: {@code v} version, {@code m} members, {@code j} jobs,
 * {@code s} sides, {@code c} checksum.
 */
public final class FoldCodec {
  /** The field of a submission that lists its games. */
  public static final String FOLDS = "folds";

  /** The field of an open record that names the blocks in which the games are stored. */
  public static final String BLOCKS = "fold_blocks";

  /** The most games in one submission. */
  public static final int MAX_GAMES = 1_000;

  /** The most members of a game in one submission. */
  public static final int MAX_MEMBERS = 8;

  /** The highest number of a game: bitmaps have 31-bit indices. */
  public static final long MAX_NUMBER = 100_000_000;

  /** The version of the block format that this build reads and writes. */
  static final int VERSION = 1;

  /** The form of a league's name, which is part of a key in the state service. */
  static final Pattern LEAGUE = Pattern.compile("[A-Za-z0-9._-]{1,64}");

  /** The form of a member's name. */
  static final Pattern MEMBER = Pattern.compile("[A-Za-z0-9._-]{1,24}");

  static final int MAX_LEAGUE_LENGTH = 64;
  static final int MAX_MEMBER_LENGTH = 24;
  private static final long MAX_REVISION = 1_000_000;

  /** Flags of a stored side: the result was taken back. */
  private static final int TAKEN_BACK = 1;

  /** The fold's job is done. */
  private static final int SETTLED = 2;

  /** An earlier fold, to which a cancellation returns, follows. */
  private static final int HAS_BASE = 4;

  /** Numbers of a stored side without a base, and with one. */
  private static final int SIDE_LENGTH = 5;

  private static final int SIDE_LENGTH_WITH_BASE = 8;

  private FoldCodec() {}

  /** Decodes the games that a submission folds; none without the field. */
  public static List<Game> decodeGames(JsonNode submission) throws InvalidMessageException {
    JsonNode n = submission.get(FOLDS);
    if (n == null || n.isNull()) {
      return List.of();
    }
    if (!n.isArray() || n.isEmpty() || n.size() > MAX_GAMES) {
      throw new InvalidMessageException(
          FOLDS + ": a list of 1 to " + MAX_GAMES + " games is needed");
    }
    List<Game> out = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < n.size(); i++) {
      String at = FOLDS + "[" + i + "].";
      JsonNode g = n.get(i);
      try {
        out.add(game(g, seen));
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException(at + e.getMessage());
      }
    }
    return out;
  }

  private static Game game(JsonNode g, Set<String> seen) throws InvalidMessageException {
    if (!g.isObject()) {
      throw new InvalidMessageException("league: a game with its league is needed");
    }
    String league = Json.requiredString(g, "league", MAX_LEAGUE_LENGTH);
    if (!LEAGUE.matcher(league).matches()) {
      throw new InvalidMessageException(
          "league: letters, digits, dots, dashes and underscores are needed");
    }
    long number = Json.requiredInteger(g, "game", 0, MAX_NUMBER);
    long revision = Json.requiredInteger(g, "revision", 1, MAX_REVISION);
    boolean taken = g.hasNonNull("taken_back") && Json.requiredBoolean(g, "taken_back");
    ArrayNode members = Json.requiredArray(g, "members");
    if (members.isEmpty() || members.size() > MAX_MEMBERS) {
      throw new InvalidMessageException("members: 1 to " + MAX_MEMBERS + " members are needed");
    }
    Set<String> names = new LinkedHashSet<>();
    for (JsonNode m : members) {
      if (!m.isTextual() || !MEMBER.matcher(m.textValue()).matches()) {
        throw new InvalidMessageException(
            "members: names of up to 24 letters, digits, . _ - are needed");
      }
      if (!names.add(m.textValue()) || !seen.add(league + "/" + number + "/" + m.textValue())) {
        throw new InvalidMessageException("members: " + m.textValue() + " has this game twice");
      }
    }
    return new Game(league, number, revision, taken, List.copyOf(names));
  }

  /** Encodes the names of blocks for a record, as ranges of numbers by league. */
  public static ObjectNode encodeBlockKeys(Iterable<BlockKey> keys) {
    List<BlockKey> list = new ArrayList<>();
    keys.forEach(list::add);
    ObjectNode o = Json.object();
    BlockNumberRanges.blockNumbersByLeague(list)
        .forEach((league, numbers) -> o.put(league, BlockNumberRanges.encode(numbers)));
    return o;
  }

  /** Decodes the blocks that a record names; none without the field. */
  public static Map<String, IntList> decodeBlockKeys(JsonNode record)
      throws InvalidMessageException {
    Map<String, IntList> out = new TreeMap<>();
    JsonNode n = record.get(BLOCKS);
    if (n == null || !n.isObject()) {
      return out;
    }
    try {
      for (Map.Entry<String, JsonNode> e : n.properties()) {
        out.put(e.getKey(), BlockNumberRanges.decode(e.getValue().asText(), MAX_GAMES));
      }
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException(BLOCKS + ": " + e.getMessage());
    }
    return out;
  }

  /**
   * Encodes a block for its record. The checksum over names and sides tells a record that somebody
   * changed by hand from one that was written here.
   */
  public static ObjectNode encodeBlock(Block block) {
    Object2IntLinkedOpenHashMap<String> members = new Object2IntLinkedOpenHashMap<>();
    Object2IntLinkedOpenHashMap<String> jobs = new Object2IntLinkedOpenHashMap<>();
    ArrayNode sides = Json.array();
    block
        .sides()
        .forEach(
            (s, f) -> {
              sides.add(s.gameIndex()).add(index(members, s.member()));
              int flags = (f.retracted() ? TAKEN_BACK : 0) | (f.settled() ? SETTLED : 0);
              sides.add(f.revision()).add(flags | (f.base() != null ? HAS_BASE : 0));
              sides.add(index(jobs, f.job()));
              if (f.base() != null) {
                sides.add(f.base().revision()).add(f.base().retracted() ? TAKEN_BACK : 0);
                sides.add(index(jobs, f.base().job()));
              }
            });
    ObjectNode o = Json.object();
    o.put("v", VERSION);
    ArrayNode m = o.putArray("m");
    members.keySet().forEach(m::add);
    ArrayNode j = o.putArray("j");
    jobs.keySet().forEach(j::add);
    o.set("s", sides);
    o.put("c", checksum(o));
    return o;
  }

  private static int index(Object2IntLinkedOpenHashMap<String> of, String name) {
    int known = of.getOrDefault(name, -1);
    if (known < 0) {
      known = of.size();
      of.put(name, known);
    }
    return known;
  }

  private static String checksum(JsonNode o) {
    CRC32C c = new CRC32C();
    for (String f : List.of("m", "j", "s")) {
      c.update(o.path(f).toString().getBytes(StandardCharsets.UTF_8));
    }
    return Long.toHexString(c.getValue());
  }

  /** Decodes a block from its record; an empty one when there is no record. */
  public static Block decodeBlock(JsonNode v) throws InvalidMessageException {
    Block out = new Block();
    if (v == null) {
      return out;
    }
    int version = v.path("v").asInt();
    if (version != VERSION) {
      throw new InvalidMessageException(
          "v: a block of version " + version + ", this build reads " + VERSION);
    }
    if (!checksum(v).equals(v.path("c").asText())) {
      throw new InvalidMessageException("c: the block's checksum is not that of its content");
    }
    JsonNode s = v.path("s");
    try {
      for (int i = 0; i < s.size(); ) {
        Block.Side side =
            new Block.Side(s.get(i).asInt(), v.path("m").get(s.get(i + 1).asInt()).asText());
        int flags = s.get(i + 3).asInt();
        Fold base = null;
        if ((flags & HAS_BASE) != 0) {
          base =
              new Fold(
                  s.get(i + 5).asLong(),
                  (s.get(i + 6).asInt() & TAKEN_BACK) != 0,
                  v.path("j").get(s.get(i + 7).asInt()).asText(),
                  true,
                  null);
        }
        out.set(
            side,
            new Fold(
                s.get(i + 2).asLong(),
                (flags & TAKEN_BACK) != 0,
                v.path("j").get(s.get(i + 4).asInt()).asText(),
                (flags & SETTLED) != 0,
                base));
        i += base == null ? SIDE_LENGTH : SIDE_LENGTH_WITH_BASE;
      }
    } catch (NullPointerException e) {
      // An index that is out of range reads as null.
      throw new InvalidMessageException("s: the block names what it does not have");
    }
    return out;
  }
}
