package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.objects.Object2ObjectRBTreeMap;
import java.util.Map;

/** The recorded sides of {@link #GAMES_PER_BLOCK} consecutive games of a league. */
public final class Block {
  /**
   * Games in a block. With two members in each game a block is about 1.3 KB, and a submission of a
   * thousand consecutive games touches 32 blocks; docs/folds.md compares other sizes.
   */
  public static final int GAMES_PER_BLOCK = 32;

  /**
   * A member's side of a game.
   *
   * @param gameIndex index of the game in its block, from 0
   */
  public record Side(int gameIndex, String member) implements Comparable<Side> {
    @Override
    public int compareTo(Side o) {
      return gameIndex != o.gameIndex
          ? Integer.compare(gameIndex, o.gameIndex)
          : member.compareTo(o.member);
    }
  }

  private final Object2ObjectRBTreeMap<Side, Fold> sides = new Object2ObjectRBTreeMap<>();

  /** An empty block. */
  public Block() {}

  private Block(Block o) {
    sides.putAll(o.sides);
  }

  /** An independent copy. */
  public Block copy() {
    return new Block(this);
  }

  /** All recorded sides, ordered by game and member. */
  public Map<Side, Fold> sides() {
    return sides;
  }

  /** The record of a side, or null. */
  public Fold get(Side s) {
    return sides.get(s);
  }

  /** Records a side; null removes it. */
  public void set(Side s, Fold f) {
    if (f == null) {
      sides.remove(s);
    } else {
      sides.put(s, f);
    }
  }

  /** The index of a game in its block. */
  public static int gameIndex(long number) {
    return (int) (number % GAMES_PER_BLOCK);
  }

  /** The number of a game in its league, by its block and its index there. */
  public static long gameNumber(int index, int place) {
    return (long) index * GAMES_PER_BLOCK + place;
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Block b && b.sides.equals(sides);
  }

  @Override
  public int hashCode() {
    return sides.hashCode();
  }
}
