package org.mallowroad.core.fold;

/**
 * Identifies a block of consecutive games of a league; ordered by league, then by index.
 *
 * @param index number of the block in its league, from 0
 */
public record BlockKey(String league, int index) implements Comparable<BlockKey> {
  @Override
  public int compareTo(BlockKey other) {
    int byLeague = league.compareTo(other.league);
    return byLeague != 0 ? byLeague : Integer.compare(index, other.index);
  }
}
