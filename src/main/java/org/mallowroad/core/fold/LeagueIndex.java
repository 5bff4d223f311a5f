package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.longs.LongList;
import java.util.Map;
import java.util.function.Function;
import org.roaringbitmap.RoaringBitmap;

/**
 * An in-memory index of the games of one league, built from its blocks: bitmaps by game, so that a
 * hundred thousand games take some kilobytes. It serves reports only and decides nothing; each pass
 * over the blocks updates it.
 */
public final class LeagueIndex {
  /** The state of a game. */
  public enum GameState {
    /** No submission has named it. */
    MISSING,
    /** A side of it that was named is released, and none is claimed. */
    RELEASED,
    /** A side is claimed by a job that is not over. */
    CLAIMED,
    /** All of its named sides are folded. */
    FOLDED
  }

  private final RoaringBitmap folded = new RoaringBitmap();
  private final RoaringBitmap claimed = new RoaringBitmap();
  private final RoaringBitmap released = new RoaringBitmap();

  /** Replaces the state of a block's games; a game that is not in it any more is released. */
  public void update(int index, Block block, Function<String, JobOutcome> jobOutcomes) {
    int from = index * Block.GAMES_PER_BLOCK;
    RoaringBitmap before = new RoaringBitmap();
    before.add((long) from, (long) from + Block.GAMES_PER_BLOCK);
    RoaringBitmap known = RoaringBitmap.or(RoaringBitmap.or(folded, claimed), released);
    before.and(known);
    folded.remove((long) from, (long) from + Block.GAMES_PER_BLOCK);
    claimed.remove((long) from, (long) from + Block.GAMES_PER_BLOCK);
    released.remove((long) from, (long) from + Block.GAMES_PER_BLOCK);
    for (Map.Entry<Block.Side, Fold> e : block.sides().entrySet()) {
      int game = from + e.getKey().gameIndex();
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
  public long highestGame() {
    long top = -1;
    for (RoaringBitmap b : new RoaringBitmap[] {folded, claimed, released}) {
      top = b.isEmpty() ? top : Math.max(top, b.last());
    }
    return top;
  }

  /** The state of a game. */
  public GameState gameState(long game) {
    int g = (int) game;
    if (claimed.contains(g)) {
      return GameState.CLAIMED;
    }
    if (released.contains(g)) {
      return GameState.RELEASED;
    }
    return folded.contains(g) ? GameState.FOLDED : GameState.MISSING;
  }

  /**
   * The first games, at most {@code most}, below the highest that are neither claimed nor folded.
   */
  public LongList unclaimedGames(int most) {
    LongList out = new LongArrayList();
    RoaringBitmap held = RoaringBitmap.or(folded, claimed);
    long top = highestGame();
    for (long g = held.isEmpty() ? 0 : held.nextAbsentValue(0);
        g >= 0 && g <= top && out.size() < most;
        g = held.nextAbsentValue((int) g + 1)) {
      out.add(g);
    }
    return out;
  }

  /** The number of games below the highest that are neither claimed nor folded. */
  public long unclaimedCount() {
    return highestGame() + 1 - RoaringBitmap.or(folded, claimed).getCardinality();
  }

  /** Approximate size of the bitmaps in bytes. */
  public long sizeInBytes() {
    return folded.getLongSizeInBytes()
        + claimed.getLongSizeInBytes()
        + released.getLongSizeInBytes();
  }
}
