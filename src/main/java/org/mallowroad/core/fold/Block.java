package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.objects.Object2ObjectRBTreeMap;
import java.util.Map;

/** The recorded sides of {@link #GAMES} consecutive games of a league. */
public final class Block {
  /**
   * Games in a block. With two members in each game a block is about 1.3 KB, and a submission of a
   * thousand consecutive games touches 32 blocks; docs/folds.md compares other sizes.
   */
  public static final int GAMES = 32;

  /**
   * A member's side of a game.
   *
   * @param game index of the game in its block, from 0
   */
  public record Side(int game, String member) implements Comparable<Side> {
    @Override
    public int compareTo(Side o) {
      return game != o.game ? Integer.compare(game, o.game) : member.compareTo(o.member);
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
  public static int place(long number) {
    return (int) (number % GAMES);
  }

  /** The number of a game in its league, by its block and its index there. */
  public static long number(int index, int place) {
    return (long) index * GAMES + place;
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
