package org.mallowroad.calendar;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.mallowroad.calendar.Table.Entry;

/**
 * What of a table is due, by a heap of its entries' next firings: nothing due costs a look at the
 * first of them, and a batch costs its own firings and no others'.
 *
 * <p>What is decided is decided for ever: the watermark only rises, whatever the wall clock does.
 * An agenda goes on as if each batch it gave were applied. Whoever learns that one was not, or does
 * not know, sends that same one again with the same marks, or reads the table and its watermark and
 * makes a new agenda.
 */
public final class Agenda {
  /**
   * What one transaction fires: it puts the jobs and the new watermark, given the old one, the
   * table's version and the leader's office.
   */
  public record Batch(List<Firing> fire, Position watermark) {}

  /**
   * An entry's next firing.
   *
   * @param chosen it was missed, and is one of those that fire after all, as are those behind it
   */
  private record Next(Position at, Entry entry, boolean chosen) {}

  private final Table table;
  private final PriorityQueue<Next> heap =
      new PriorityQueue<>(Comparator.comparing((Next n) -> n.at));
  private Position watermark;
  private long looked;

  /** Of a table whose firings are decided up to a watermark. */
  public Agenda(Table table, Position watermark) {
    this.table = table;
    this.watermark = watermark;
    for (Entry e : table.entries()) {
      // Of the watermark's own instant the entries behind its name are not decided yet.
      boolean open = e.name().compareTo(watermark.entry()) > 0;
      push(e, open ? watermark.instant().minusNanos(1) : watermark.instant(), false);
    }
    looked = 0;
  }

  /** Entries looked at so far: what it costs, after it was made. */
  long looked() {
    return looked;
  }

  /** When something of it is due next; empty for never. */
  public Optional<Instant> next() {
    return heap.isEmpty() ? Optional.empty() : Optional.of(heap.peek().at.instant());
  }

  /**
   * The firings that are due, in the order of their positions, and up to where all is decided with
   * them. Without any, there is no need to record the watermark: it is decided again from the old
   * one.
   *
   * @param now true time is this at the least, so that nothing fires before its time
   * @param most firings, as many as a transaction takes
   */
  public Batch due(Instant now, int most) {
    if (most < 1) {
      throw new IllegalArgumentException("at least one firing at a time");
    }
    List<Firing> out = new ArrayList<>();
    while (!heap.isEmpty() && !heap.peek().at.instant().isAfter(now)) {
      if (out.size() == most) {
        watermark = out.get(most - 1).position();
        return new Batch(out, watermark);
      }
      Next n = heap.poll();
      looked++;
      Instant at = n.at.instant();
      Entry e = n.entry;
      if (!e.catchup().missed(at, now)) {
        out.add(new Firing(table.name(), e.name(), at));
        push(e, at, false);
      } else if (n.chosen) {
        out.add(new Firing(table.name(), e.name(), at));
        push(e, at, true);
      } else {
        Optional<Instant> first = e.catchup().first(e.schedule(), at, now);
        if (first.isPresent()) {
          heap.add(new Next(new Position(first.get(), e.name()), e, true));
        } else {
          push(e, now.minus(e.catchup().onTime()).minusNanos(1), false);
        }
      }
    }
    // A clock set back fires nothing again, and moves nothing back.
    Position all = Position.upTo(now);
    watermark = all.compareTo(watermark) > 0 ? all : watermark;
    return new Batch(out, watermark);
  }

  private void push(Entry e, Instant after, boolean chosen) {
    e.schedule()
        .next(after)
        .ifPresent(i -> heap.add(new Next(new Position(i, e.name()), e, chosen)));
  }
}
