package org.mallowroad.core.fold;

import java.util.List;

/**
 * A game as a submission names it: for each of these members, this revision of it is to be folded.
 *
 * @param number its number in the league, from 0
 * @param revision 1, and one more with each correction; a correction counts from its revision on
 * @param taken true when this revision takes the game back: it counts in nobody's rating
 * @param members whose ratings it goes into, each once
 */
public record Game(String league, long number, long revision, boolean taken, List<String> members) {
  /** Bounds the list. */
  public Game {
    members = List.copyOf(members);
  }

  /** The block that it is recorded in. */
  public BlockKey block() {
    return new BlockKey(league, (int) (number / Block.GAMES));
  }
}
