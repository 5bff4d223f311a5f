package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.longs.LongList;
import java.util.Map;
import java.util.function.Function;
import org.roaringbitmap.RoaringBitmap;

/**
 * What a league's blocks say of its games, kept in memory: bits by game, so that a hundred thousand
 * games are some kilobytes. Nothing is decided by it; it is made from the blocks, and made again.
 */
public final class LeagueIndex {
  /** How a game stands. */
  public enum Standing {
    /** Nobody has named it. */
    MISSING,
    /** Each side of it that was named is released: nobody's. */
    RELEASED,
    /** A side is claimed by a job that is not over. */
    CLAIMED,
    /** All of its named sides are folded. */
    FOLDED
  }

  private final RoaringBitmap folded = new RoaringBitmap();
  private final RoaringBitmap claimed = new RoaringBitmap();
  private final RoaringBitmap released = new RoaringBitmap();

  /** Takes a block anew; what is not in it any more and was there before is released. */
  public void take(int index, Block block, Function<String, JobOutcome> jobOutcomes) {
    int from = index * Block.GAMES;
    RoaringBitmap before = new RoaringBitmap();
    before.add((long) from, (long) from + Block.GAMES);
    RoaringBitmap known = RoaringBitmap.or(RoaringBitmap.or(folded, claimed), released);
    before.and(known);
    folded.remove((long) from, (long) from + Block.GAMES);
    claimed.remove((long) from, (long) from + Block.GAMES);
    released.remove((long) from, (long) from + Block.GAMES);
    for (Map.Entry<Block.Side, Fold> e : block.sides().entrySet()) {
      int game = from + e.getKey().game();
      Fold f = e.getValue();
      JobOutcome jobOutcome = f.settled() ? JobOutcome.DONE : jobOutcomes.apply(f.job());
      if (jobOutcome == JobOutcome.DONE) {
        folded.add(game);
      } else if (jobOutcome == JobOutcome.CANCELLED) {
        (f.base() == null ? released : folded).add(game);
      } else {
        claimed.add(game);
      }
    }
    before.andNot(folded);
    before.andNot(claimed);
    released.or(before);
    // One side that is not folded makes the game not folded.
    folded.andNot(claimed);
    folded.andNot(released);
    released.andNot(claimed);
  }

  /** The highest game that was ever named, or -1. */
  public long seenTo() {
    long top = -1;
    for (RoaringBitmap b : new RoaringBitmap[] {folded, claimed, released}) {
      top = b.isEmpty() ? top : Math.max(top, b.last());
    }
    return top;
  }

  /** How a game stands. */
  public Standing standing(long game) {
    int g = (int) game;
    if (claimed.contains(g)) {
      return Standing.CLAIMED;
    }
    if (released.contains(g)) {
      return Standing.RELEASED;
    }
    return folded.contains(g) ? Standing.FOLDED : Standing.MISSING;
  }

  /** Games below the highest that nobody has, the first {@code most} of them. */
  public LongList gaps(int most) {
    LongList out = new LongArrayList();
    RoaringBitmap held = RoaringBitmap.or(folded, claimed);
    long top = seenTo();
    for (long g = held.isEmpty() ? 0 : held.nextAbsentValue(0);
        g >= 0 && g <= top && out.size() < most;
        g = held.nextAbsentValue((int) g + 1)) {
      out.add(g);
    }
    return out;
  }

  /** How many games are folded. */
  public int folded() {
    return folded.getCardinality();
  }

  /** How many games below the highest nobody has. */
  public long gapCount() {
    return seenTo() + 1 - RoaringBitmap.or(folded, claimed).getCardinality();
  }

  /** Bytes that it takes, about. */
  public long bytes() {
    return folded.getLongSizeInBytes()
        + claimed.getLongSizeInBytes()
        + released.getLongSizeInBytes();
  }
}
