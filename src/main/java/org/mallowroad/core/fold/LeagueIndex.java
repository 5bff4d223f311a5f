package org.mallowroad.core.fold;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.longs.LongList;
import java.util.Map;
import java.util.function.Function;
import org.roaringbitmap.RoaringBitmap;

/**
 * An in-memory index of the games of one league, built from the league's blocks. It consists of
 * bitmaps over game numbers, so that a hundred thousand games take a few kilobytes. It is used for
 * reports only and for no decision; each pass over the blocks updates it.
 */
public final class LeagueIndex {
  /** The state of a game. */
  public enum GameState {
    /** No submission has named the game. */
    MISSING,
    /** At least one named side of the game is released, and none is claimed. */
    RELEASED,
    /** At least one side of the game is claimed by a job that has not ended. */
    CLAIMED,
    /** All named sides of the game are folded. */
    FOLDED
  }

  private final RoaringBitmap folded = new RoaringBitmap();
  private final RoaringBitmap claimed = new RoaringBitmap();
  private final RoaringBitmap released = new RoaringBitmap();

  /**
   * Updates the state of a block's games. A game that was in the index and is no longer in the
   * block counts as released.
   */
  public void update(int blockIndex, Block block, Function<String, JobOutcome> jobOutcomes) {
    int firstGame = blockIndex * Block.GAMES_PER_BLOCK;
    RoaringBitmap unlisted = new RoaringBitmap();
    unlisted.add((long) firstGame, (long) firstGame + Block.GAMES_PER_BLOCK);
    RoaringBitmap namedBefore = RoaringBitmap.or(RoaringBitmap.or(folded, claimed), released);
    unlisted.and(namedBefore);
    folded.remove((long) firstGame, (long) firstGame + Block.GAMES_PER_BLOCK);
    claimed.remove((long) firstGame, (long) firstGame + Block.GAMES_PER_BLOCK);
    released.remove((long) firstGame, (long) firstGame + Block.GAMES_PER_BLOCK);
    for (Map.Entry<Block.Side, Fold> side : block.sides().entrySet()) {
      int game = firstGame + side.getKey().gameIndex();
      Fold fold = side.getValue();
      JobOutcome jobOutcome = fold.settled() ? JobOutcome.DONE : jobOutcomes.apply(fold.job());
      if (jobOutcome == JobOutcome.DONE) {
        folded.add(game);
      } else if (jobOutcome == JobOutcome.CANCELLED) {
        (fold.base() == null ? released : folded).add(game);
      } else {
        claimed.add(game);
      }
    }
    unlisted.andNot(folded);
    unlisted.andNot(claimed);
    released.or(unlisted);
    // A game is folded only if all of its sides are.
    folded.andNot(claimed);
    folded.andNot(released);
    released.andNot(claimed);
  }

  /** The number of the highest game that was ever named, or -1 when there is none. */
  public long highestGame() {
    long highest = -1;
    for (RoaringBitmap games : new RoaringBitmap[] {folded, claimed, released}) {
      highest = games.isEmpty() ? highest : Math.max(highest, games.last());
    }
    return highest;
  }

  /** The state of a game. */
  public GameState gameState(long game) {
    int gameNumber = (int) game;
    if (claimed.contains(gameNumber)) {
      return GameState.CLAIMED;
    }
    if (released.contains(gameNumber)) {
      return GameState.RELEASED;
    }
    return folded.contains(gameNumber) ? GameState.FOLDED : GameState.MISSING;
  }

  /**
   * The lowest games, at most {@code limit}, that are neither claimed nor folded. Only games up to
   * the highest named one are considered.
   */
  public LongList unclaimedGames(int limit) {
    LongList unclaimed = new LongArrayList();
    RoaringBitmap claimedOrFolded = RoaringBitmap.or(folded, claimed);
    long highest = highestGame();
    for (long game = claimedOrFolded.isEmpty() ? 0 : claimedOrFolded.nextAbsentValue(0);
        game >= 0 && game <= highest && unclaimed.size() < limit;
        game = claimedOrFolded.nextAbsentValue((int) game + 1)) {
      unclaimed.add(game);
    }
    return unclaimed;
  }

  /** The number of games up to the highest named one that are neither claimed nor folded. */
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
