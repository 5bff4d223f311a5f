package org.mallowroad.core.fold;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Whether a job may claim what it wants to fold, by the blocks as they are read and by what has
 * become of the jobs that they name.
 *
 * <p><b>Why this holds whatever happens between reading and writing.</b> The blocks are written
 * under the marks they were read with, so what is decided here is decided about them as they are. A
 * fate enters a decision to grant or to refuse only where it is final (done, cancelled); one that
 * may still change makes the claim wait. So a decision that is right when it is made stays right.
 */
public final class Claims {
  /** What comes of a wish to claim. */
  public sealed interface Outcome permits Granted, Refused, Waits, Asks {}

  /** It may: these blocks are to be written; none when all of it is claimed by this job already. */
  public record Granted(Map<BlockKey, Block> blocks) implements Outcome {}

  /** It never may: a game is folded by another job. */
  public record Refused(String reason) implements Outcome {}

  /** Not now: another job that is not over has a claim. */
  public record Waits(String reason) implements Outcome {}

  /** First it must be known what has become of these jobs. */
  public record Asks(Set<String> jobs) implements Outcome {}

  private final String job;
  private final Map<BlockKey, Block> read;
  private final Function<String, JobOutcome> jobOutcomes;
  private final Map<BlockKey, Block> changed = new TreeMap<>();
  private final Set<String> asks = new TreeSet<>();
  private String refused;
  private String waits;

  private Claims(String job, Map<BlockKey, Block> read, Function<String, JobOutcome> jobOutcomes) {
    this.job = job;
    this.read = read;
    this.jobOutcomes = jobOutcomes;
  }

  /**
   * Decides.
   *
   * @param read a block for each game, as it was read; an empty one where there is no record
   * @param jobOutcomes what is known of a job; null where nobody has asked
   */
  public static Outcome decide(
      String job,
      List<Game> games,
      Map<BlockKey, Block> read,
      Function<String, JobOutcome> jobOutcomes) {
    return new Claims(job, read, jobOutcomes).all(games);
  }

  private Outcome all(List<Game> games) {
    for (Game g : games) {
      for (String m : g.members()) {
        one(g, m);
      }
    }
    if (refused != null) {
      return new Refused(refused);
    }
    if (!asks.isEmpty()) {
      return new Asks(asks);
    }
    return waits != null ? new Waits(waits) : new Granted(changed);
  }

  private void one(Game g, String member) {
    Block.Side side = new Block.Side(Block.place(g.number()), member);
    BlockKey key = g.block();
    Fold now = changed.getOrDefault(key, read.get(key)).get(side);
    if (now != null && now.job().equals(job)) {
      return; // Claimed by an earlier try of the same submission.
    }
    if (now != null && !now.settled()) {
      JobOutcome jobOutcome = jobOutcomes.apply(now.job());
      if (jobOutcome == null) {
        asks.add(now.job());
        return;
      }
      switch (jobOutcome) {
        case DONE -> now = now.asSettled();
        case CANCELLED -> now = now.base();
        default -> {
          waits = "folds: " + name(g, member) + " is held by " + now.job();
          return;
        }
      }
    }
    if (now != null && now.revision() >= g.revision()) {
      refused =
          "folds: "
              + name(g, member)
              + (now.revision() == g.revision()
                  ? " is folded by "
                  : " is folded in revision " + now.revision() + " by ")
              + now.job();
      return;
    }
    changed
        .computeIfAbsent(key, k -> read.get(k).copy())
        .set(side, new Fold(g.revision(), g.taken(), job, false, now));
  }

  private static String name(Game g, String member) {
    return "game " + g.number() + " of " + g.league() + " for " + member;
  }

  /**
   * The block without the job's claims, what they would have replaced being back; the same object
   * when there are none. Only for a job that can never be done any more.
   */
  public static Block without(Block block, String job) {
    return rewritten(block, f -> f.job().equals(job) ? JobOutcome.CANCELLED : null);
  }

  /**
   * The block with all that is final written down: what done jobs claimed is folded, what cancelled
   * ones claimed is gone; the same object when nothing is. What a side means is not changed by it,
   * since it follows from final fates alone: so it may be done at any time, by anybody, or never.
   */
  public static Block settled(Block block, Function<String, JobOutcome> jobOutcomes) {
    return rewritten(block, f -> jobOutcomes.apply(f.job()));
  }

  private static Block rewritten(Block block, Function<Fold, JobOutcome> jobOutcomes) {
    Block out = block;
    for (Map.Entry<Block.Side, Fold> e : List.copyOf(block.sides().entrySet())) {
      Fold f = e.getValue();
      JobOutcome jobOutcome = f.settled() ? null : jobOutcomes.apply(f);
      if (jobOutcome == JobOutcome.DONE || jobOutcome == JobOutcome.CANCELLED) {
        out = out == block ? block.copy() : out;
        out.set(e.getKey(), jobOutcome == JobOutcome.DONE ? f.asSettled() : f.base());
      }
    }
    return out;
  }
}
