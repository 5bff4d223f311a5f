package org.mallowroad.core.fold;

import java.util.List;

/**
 * A game in a submission: the job is to fold this revision of the game for each of the members.
 *
 * <p>The names of this record and of its components are part of stored data: the record of a claim
 * in progress contains a hash of the games' text form ({@link #toString}).
 *
 * @param number number of the game in its league, from 0
 * @param revision 1 for the original result, incremented by each correction
 * @param taken true when this revision retracts the game, which then counts in no rating
 * @param members the members in whose ratings the game counts, without duplicates
 */
public record Game(String league, long number, long revision, boolean taken, List<String> members) {
  /** Copies the list of members. */
  public Game {
    members = List.copyOf(members);
  }

  /** The key of the block that records the game. */
  public BlockKey blockKey() {
    return new BlockKey(league, (int) (number / Block.GAMES_PER_BLOCK));
  }
}
