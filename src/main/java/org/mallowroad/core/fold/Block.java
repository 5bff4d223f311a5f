package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.objects.Object2ObjectRBTreeMap;
import java.util.Map;

/**
 * The recorded sides of {@link #GAMES_PER_BLOCK} consecutive games of a league, stored together.
 */
public final class Block {
  /**
   * Number of games per block. With two members in each game a block takes about 1.3 KB, and a
   * submission of a thousand consecutive games touches 32 blocks. docs/folds.md compares other
   * sizes.
   */
  public static final int GAMES_PER_BLOCK = 32;

  /**
   * One member's side of one game, ordered by game and then by member.
   *
   * @param gameIndex index of the game in its block, from 0
   */
  public record Side(int gameIndex, String member) implements Comparable<Side> {
    @Override
    public int compareTo(Side other) {
      return gameIndex != other.gameIndex
          ? Integer.compare(gameIndex, other.gameIndex)
          : member.compareTo(other.member);
    }
  }

  private final Object2ObjectRBTreeMap<Side, Fold> sides = new Object2ObjectRBTreeMap<>();

  /** Creates a block without any recorded side. */
  public Block() {}

  private Block(Block other) {
    sides.putAll(other.sides);
  }

  /** Returns an independent copy. */
  public Block copy() {
    return new Block(this);
  }

  /** All recorded sides, ordered by game and member. */
  public Map<Side, Fold> sides() {
    return sides;
  }

  /** The record of a side, or null when there is none. */
  public Fold get(Side side) {
    return sides.get(side);
  }

  /** Sets the record of a side; null removes it. */
  public void set(Side side, Fold fold) {
    if (fold == null) {
      sides.remove(side);
    } else {
      sides.put(side, fold);
    }
  }

  /** The index of a game in its block, given its number in the league. */
  public static int gameIndex(long gameNumber) {
    return (int) (gameNumber % GAMES_PER_BLOCK);
  }

  /** The number of a game in its league, given the index of its block and its index there. */
  public static long gameNumber(int blockIndex, int gameIndex) {
    return (long) blockIndex * GAMES_PER_BLOCK + gameIndex;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Block otherBlock && otherBlock.sides.equals(sides);
  }

  @Override
  public int hashCode() {
    return sides.hashCode();
  }
}
