package org.mallowroad.calendar;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.mallowroad.calendar.CronTable.Entry;

/**
 * Finds the due firings of a table with a heap of the next firing of each entry. A call that finds
 * nothing due looks only at the heap's first element, and a batch examines only the entries that it
 * fires.
 *
 * <p>A decided firing stays decided: the watermark never moves back, even if the wall clock does.
 * The queue continues as if every batch that it returned were applied. A caller that learns that a
 * batch was not applied, or does not know whether it was, must either send the same batch again
 * with the same preconditions, or read the table and its watermark and create a new queue.
 */
public final class FiringQueue {
  /**
   * The firings of one transaction. The transaction writes the jobs and the new watermark, on
   * condition that the old watermark, the table's version and the leader's term are unchanged.
   */
  public record Batch(List<Firing> firings, Position watermark) {}

  /**
   * An entry's next firing.
   *
   * @param selectedForCatchup whether this firing was missed but fires nevertheless under the
   *     entry's catch-up policy, as do all later missed firings of the entry
   */
  private record PendingFiring(Position position, Entry entry, boolean selectedForCatchup) {}

  private final CronTable table;
  private final PriorityQueue<PendingFiring> pendingFirings =
      new PriorityQueue<>(Comparator.comparing((PendingFiring pending) -> pending.position));
  private Position watermark;
  private long examinedEntries;

  /** Creates the queue of a table whose firings are decided up to the watermark. */
  public FiringQueue(CronTable table, Position watermark) {
    this.table = table;
    this.watermark = watermark;
    for (Entry entry : table.entries()) {
      // At the watermark's own instant, the entries whose names sort after the watermark's entry
      // are still undecided.
      boolean isUndecided = entry.name().compareTo(watermark.entry()) > 0;
      addNextFiring(
          entry, isUndecided ? watermark.instant().minusNanos(1) : watermark.instant(), false);
    }
    examinedEntries = 0;
  }

  /** The number of entries examined since the queue was created, as a measure of its cost. */
  long examinedEntries() {
    return examinedEntries;
  }

  /** The instant of the next firing of any entry; empty if no entry fires again. */
  public Optional<Instant> nextDue() {
    return pendingFirings.isEmpty()
        ? Optional.empty()
        : Optional.of(pendingFirings.peek().position.instant());
  }

  /**
   * Removes and returns the due firings, ordered by position, with the watermark up to which all
   * firings are then decided. The watermark of a batch without firings need not be recorded: the
   * same decision follows again from the old watermark.
   *
   * @param now a lower bound of the true time, so that nothing fires early
   * @param maxFirings the most firings to return, as many as fit into one transaction
   */
  public Batch takeDue(Instant now, int maxFirings) {
    if (maxFirings < 1) {
      throw new IllegalArgumentException("maxFirings must be at least 1");
    }
    List<Firing> firings = new ArrayList<>();
    while (!pendingFirings.isEmpty() && !pendingFirings.peek().position.instant().isAfter(now)) {
      if (firings.size() == maxFirings) {
        watermark = firings.get(maxFirings - 1).position();
        return new Batch(firings, watermark);
      }
      PendingFiring pending = pendingFirings.poll();
      examinedEntries++;
      Instant instant = pending.position.instant();
      Entry entry = pending.entry;
      if (!entry.catchup().isMissed(instant, now)) {
        firings.add(new Firing(table.name(), entry.name(), instant));
        addNextFiring(entry, instant, false);
      } else if (pending.selectedForCatchup) {
        firings.add(new Firing(table.name(), entry.name(), instant));
        addNextFiring(entry, instant, true);
      } else {
        Optional<Instant> firstCatchup =
            entry.catchup().firstToFire(entry.schedule(), instant, now);
        if (firstCatchup.isPresent()) {
          pendingFirings.add(
              new PendingFiring(new Position(firstCatchup.get(), entry.name()), entry, true));
        } else {
          addNextFiring(entry, now.minus(entry.catchup().gracePeriod()).minusNanos(1), false);
        }
      }
    }
    // If the clock was set back, the watermark stays, so nothing fires again.
    Position decidedUpToNow = Position.upTo(now);
    watermark = decidedUpToNow.compareTo(watermark) > 0 ? decidedUpToNow : watermark;
    return new Batch(firings, watermark);
  }

  private void addNextFiring(Entry entry, Instant after, boolean selectedForCatchup) {
    entry
        .schedule()
        .next(after)
        .ifPresent(
            instant ->
                pendingFirings.add(
                    new PendingFiring(
                        new Position(instant, entry.name()), entry, selectedForCatchup)));
  }
}
