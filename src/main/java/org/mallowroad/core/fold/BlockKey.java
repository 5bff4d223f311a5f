package org.mallowroad.core.fold;

/**
 * Identifies a block of consecutive games of a league; ordered by league, then by index.
 *
 * @param index number of the block in its league, from 0
 */
public record BlockKey(String league, int index) implements Comparable<BlockKey> {
  @Override
  public int compareTo(BlockKey o) {
    int c = league.compareTo(o.league);
    return c != 0 ? c : Integer.compare(index, o.index);
  }
}
