package org.mallowroad.core.fold;

import java.util.List;

/**
 * A game as a submission names it: this revision of it is to be folded for each of the members.
 *
 * <p>The text form of this record, with its name and those of its components, is hashed into the
 * stored intent to claim games. Renaming one of them makes a claim that an earlier build began look
 * like another claim.
 *
 * @param number its number in the league, from 0
 * @param revision 1 for the game itself, and one more with each correction
 * @param taken true when this revision retracts the game, which then counts in no rating
 * @param members the members whose ratings the game counts in, each once
 */
public record Game(String league, long number, long revision, boolean taken, List<String> members) {
  /** Copies the list. */
  public Game {
    members = List.copyOf(members);
  }

  /** The key of the block that records the game. */
  public BlockKey blockKey() {
    return new BlockKey(league, (int) (number / Block.GAMES_PER_BLOCK));
  }
}
