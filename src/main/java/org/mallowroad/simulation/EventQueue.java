package org.mallowroad.simulation;

import java.util.ArrayDeque;
import java.util.PriorityQueue;

/** Virtual time: events in the order of their time, and of their making where times are equal. */
final class EventQueue {
  private record Event(long atUs, long sequence, Actor owner, int generation, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(sequence, o.sequence);
    }
  }

  /** Something that has events, and can die, stand frozen and begin a new life. */
  static class Actor {
    private int generation;
    private boolean alive = true;
    private boolean frozen;
    private final ArrayDeque<Event> missedEvents = new ArrayDeque<>();

    final boolean isAlive() {
      return alive;
    }

    final boolean isFrozen() {
      return frozen;
    }

    final int generation() {
      return generation;
    }

    /** Its events are void from now on. */
    final void terminate() {
      alive = false;
      generation++;
      frozen = false;
      missedEvents.clear();
    }

    /** Begins anew. */
    final void revive() {
      alive = true;
    }

    /** Its events wait until it goes on; its clock runs. */
    final void freeze() {
      frozen = true;
    }
  }

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long nowUs;
  private long nextSequence;
  private long eventCount;

  /** Microseconds since the beginning. */
  long nowUs() {
    return nowUs;
  }

  /** Milliseconds since the beginning. */
  long nowMs() {
    return nowUs / 1000;
  }

  /** Events so far. */
  long eventCount() {
    return eventCount;
  }

  /** Runs the task after a while, unless its being's life is over by then; null: nobody's. */
  void schedule(long us, Actor of, Runnable task) {
    queue.add(
        new Event(
            this.nowUs + Math.max(0, us),
            nextSequence++,
            of,
            of == null ? 0 : of.generation,
            task));
  }

  /** What a frozen being has missed comes at once, in order. */
  void thaw(Actor b) {
    b.frozen = false;
    Event e;
    while ((e = b.missedEvents.pollFirst()) != null) {
      queue.add(new Event(nowUs, nextSequence++, b, e.generation, e.task));
    }
  }

  /** Runs the next event; false when there is none before the time. */
  boolean runNext(long untilUs) {
    Event e = queue.peek();
    if (e == null || e.atUs > untilUs) {
      nowUs = Math.max(nowUs, untilUs);
      return false;
    }
    queue.poll();
    nowUs = Math.max(nowUs, e.atUs);
    if (e.owner != null && e.owner.generation != e.generation) {
      return true;
    }
    if (e.owner != null && e.owner.frozen) {
      e.owner.missedEvents.add(e);
      return true;
    }
    eventCount++;
    e.task.run();
    return true;
  }
}
