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
 * Decodes the games that a submission folds, and encodes and decodes blocks of folds for storage.
 *
 * <p>A stored block contains the name of each member and job once, and its sides as numbers that
 * refer to these names (docs/folds.md). Its fields are {@code v} version, {@code m} members, {@code
 * j} jobs, {@code s} sides and {@code c} checksum.
 */
public final class FoldCodec {
  /** The field of a submission that lists its games. */
  public static final String FOLDS = "folds";

  /** The field of an open record that lists the blocks in which the games are stored. */
  public static final String BLOCKS = "fold_blocks";

  /** The maximum number of games in one submission. */
  public static final int MAX_GAMES = 1_000;

  /** The maximum number of members of a game in one submission. */
  public static final int MAX_MEMBERS = 8;

  /** The highest game number; bitmaps of games have 31-bit indices. */
  public static final long MAX_GAME_NUMBER = 100_000_000;

  /** The version of the block format that this build reads and writes. */
  static final int FORMAT_VERSION = 1;

  /** The format of a league's name, which is part of a key in the state service. */
  static final Pattern LEAGUE_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,64}");

  /** The format of a member's name. */
  static final Pattern MEMBER_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,24}");

  static final int MAX_LEAGUE_LENGTH = 64;
  static final int MAX_MEMBER_LENGTH = 24;
  private static final long MAX_REVISION = 1_000_000;

  /** Flag of a stored side: the result was retracted. */
  private static final int RETRACTED = 1;

  /** Flag of a stored side: the job of the fold is done. */
  private static final int SETTLED = 2;

  /** Flag of a stored side: it is followed by its base, the fold that a cancellation restores. */
  private static final int HAS_BASE = 4;

  /** The count of numbers that store a side without a base. */
  private static final int SIDE_LENGTH = 5;

  /** The count of numbers that store a side with a base. */
  private static final int SIDE_LENGTH_WITH_BASE = 8;

  private FoldCodec() {}

  /** Decodes the games that a submission folds; none if the field is absent. */
  public static List<Game> decodeGames(JsonNode submission) throws InvalidMessageException {
    JsonNode node = submission.get(FOLDS);
    if (node == null || node.isNull()) {
      return List.of();
    }
    if (!node.isArray() || node.isEmpty() || node.size() > MAX_GAMES) {
      throw new InvalidMessageException(
          FOLDS + ": a list of 1 to " + MAX_GAMES + " games is needed");
    }
    List<Game> games = new ArrayList<>();
    Set<String> seenSides = new HashSet<>();
    for (int i = 0; i < node.size(); i++) {
      String path = FOLDS + "[" + i + "].";
      JsonNode gameNode = node.get(i);
      try {
        games.add(decodeGame(gameNode, seenSides));
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException(path + e.getMessage());
      }
    }
    return games;
  }

  private static Game decodeGame(JsonNode node, Set<String> seenSides)
      throws InvalidMessageException {
    if (!node.isObject()) {
      throw new InvalidMessageException("league: a game with its league is needed");
    }
    String league = Json.requiredString(node, "league", MAX_LEAGUE_LENGTH);
    if (!LEAGUE_PATTERN.matcher(league).matches()) {
      throw new InvalidMessageException(
          "league: letters, digits, dots, dashes and underscores are needed");
    }
    long number = Json.requiredInteger(node, "game", 0, MAX_GAME_NUMBER);
    long revision = Json.requiredInteger(node, "revision", 1, MAX_REVISION);
    boolean retracted = node.hasNonNull("taken_back") && Json.requiredBoolean(node, "taken_back");
    ArrayNode members = Json.requiredArray(node, "members");
    if (members.isEmpty() || members.size() > MAX_MEMBERS) {
      throw new InvalidMessageException("members: 1 to " + MAX_MEMBERS + " members are needed");
    }
    Set<String> memberNames = new LinkedHashSet<>();
    for (JsonNode member : members) {
      if (!member.isTextual() || !MEMBER_PATTERN.matcher(member.textValue()).matches()) {
        throw new InvalidMessageException(
            "members: names of up to 24 letters, digits, . _ - are needed");
      }
      if (!memberNames.add(member.textValue())
          || !seenSides.add(league + "/" + number + "/" + member.textValue())) {
        throw new InvalidMessageException(
            "members: " + member.textValue() + " has this game twice");
      }
    }
    return new Game(league, number, revision, retracted, List.copyOf(memberNames));
  }

  /** Encodes block keys for a record, as ranges of block numbers by league. */
  public static ObjectNode encodeBlockKeys(Iterable<BlockKey> keys) {
    List<BlockKey> list = new ArrayList<>();
    keys.forEach(list::add);
    ObjectNode numbersByLeague = Json.object();
    BlockNumberRanges.blockNumbersByLeague(list)
        .forEach(
            (league, numbers) -> numbersByLeague.put(league, BlockNumberRanges.encode(numbers)));
    return numbersByLeague;
  }

  /** Decodes the block numbers that a record lists, by league; none if the field is absent. */
  public static Map<String, IntList> decodeBlockKeys(JsonNode record)
      throws InvalidMessageException {
    Map<String, IntList> numbersByLeague = new TreeMap<>();
    JsonNode node = record.get(BLOCKS);
    if (node == null || !node.isObject()) {
      return numbersByLeague;
    }
    try {
      for (Map.Entry<String, JsonNode> e : node.properties()) {
        numbersByLeague.put(e.getKey(), BlockNumberRanges.decode(e.getValue().asText(), MAX_GAMES));
      }
    } catch (IllegalArgumentException e) {
      throw new InvalidMessageException(BLOCKS + ": " + e.getMessage());
    }
    return numbersByLeague;
  }

  /**
   * Encodes a block for its record. The checksum over names and sides reveals a record that was
   * changed by hand.
   */
  public static ObjectNode encodeBlock(Block block) {
    Object2IntLinkedOpenHashMap<String> members = new Object2IntLinkedOpenHashMap<>();
    Object2IntLinkedOpenHashMap<String> jobs = new Object2IntLinkedOpenHashMap<>();
    ArrayNode sides = Json.array();
    block
        .sides()
        .forEach(
            (side, fold) -> {
              sides.add(side.gameIndex()).add(indexOf(members, side.member()));
              int flags = (fold.retracted() ? RETRACTED : 0) | (fold.settled() ? SETTLED : 0);
              sides.add(fold.revision()).add(flags | (fold.base() != null ? HAS_BASE : 0));
              sides.add(indexOf(jobs, fold.job()));
              if (fold.base() != null) {
                sides.add(fold.base().revision()).add(fold.base().retracted() ? RETRACTED : 0);
                sides.add(indexOf(jobs, fold.base().job()));
              }
            });
    ObjectNode record = Json.object();
    record.put("v", FORMAT_VERSION);
    ArrayNode memberArray = record.putArray("m");
    members.keySet().forEach(memberArray::add);
    ArrayNode jobArray = record.putArray("j");
    jobs.keySet().forEach(jobArray::add);
    record.set("s", sides);
    record.put("c", checksum(record));
    return record;
  }

  private static int indexOf(Object2IntLinkedOpenHashMap<String> indices, String name) {
    int known = indices.getOrDefault(name, -1);
    if (known < 0) {
      known = indices.size();
      indices.put(name, known);
    }
    return known;
  }

  private static String checksum(JsonNode record) {
    CRC32C crc = new CRC32C();
    for (String field : List.of("m", "j", "s")) {
      crc.update(record.path(field).toString().getBytes(StandardCharsets.UTF_8));
    }
    return Long.toHexString(crc.getValue());
  }

  /** Decodes a block from its record; the block is empty if there is no record. */
  public static Block decodeBlock(JsonNode record) throws InvalidMessageException {
    Block block = new Block();
    if (record == null) {
      return block;
    }
    int version = record.path("v").asInt();
    if (version != FORMAT_VERSION) {
      throw new InvalidMessageException(
          "v: block version " + version + " is not supported; this build reads " + FORMAT_VERSION);
    }
    if (!checksum(record).equals(record.path("c").asText())) {
      throw new InvalidMessageException("c: the checksum does not match the content of the block");
    }
    JsonNode sides = record.path("s");
    try {
      for (int i = 0; i < sides.size(); ) {
        Block.Side side =
            new Block.Side(
                sides.get(i).asInt(), record.path("m").get(sides.get(i + 1).asInt()).asText());
        int flags = sides.get(i + 3).asInt();
        Fold base = null;
        if ((flags & HAS_BASE) != 0) {
          base =
              new Fold(
                  sides.get(i + 5).asLong(),
                  (sides.get(i + 6).asInt() & RETRACTED) != 0,
                  record.path("j").get(sides.get(i + 7).asInt()).asText(),
                  true,
                  null);
        }
        block.set(
            side,
            new Fold(
                sides.get(i + 2).asLong(),
                (flags & RETRACTED) != 0,
                record.path("j").get(sides.get(i + 4).asInt()).asText(),
                (flags & SETTLED) != 0,
                base));
        i += base == null ? SIDE_LENGTH : SIDE_LENGTH_WITH_BASE;
      }
    } catch (NullPointerException e) {
      // Reading an index that is out of range returns null.
      throw new InvalidMessageException("s: an index is out of range");
    }
    return block;
  }
}
