package org.mallowroad.core.fold;

/** Names a block: consecutive games of a league. */
public record BlockKey(String league, int index) implements Comparable<BlockKey> {
  @Override
  public int compareTo(BlockKey o) {
    int c = league.compareTo(o.league);
    return c != 0 ? c : Integer.compare(index, o.index);
  }
}
