package org.mallowroad.simulation;

import java.util.ArrayDeque;
import java.util.PriorityQueue;

/** Virtual time: events in the order of their time, and of their making where times are equal. */
final class EventQueue {
  private record Event(long us, long sequence, Being of, int life, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return us != o.us ? Long.compare(us, o.us) : Long.compare(sequence, o.sequence);
    }
  }

  /** Something that has events, and can die, stand still and begin a new life. */
  static class Being {
    private int life;
    private boolean alive = true;
    private boolean still;
    private final ArrayDeque<Event> missed = new ArrayDeque<>();

    final boolean alive() {
      return alive;
    }

    final boolean still() {
      return still;
    }

    final int life() {
      return life;
    }

    /** Its events are void from now on. */
    final void die() {
      alive = false;
      life++;
      still = false;
      missed.clear();
    }

    /** Begins anew. */
    final void rise() {
      alive = true;
    }

    /** Its events wait until it goes on; its clock runs. */
    final void freeze() {
      still = true;
    }
  }

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long us;
  private long sequence;
  private long events;

  /** Microseconds since the beginning. */
  long us() {
    return us;
  }

  /** Milliseconds since the beginning. */
  long ms() {
    return us / 1000;
  }

  /** Events so far. */
  long events() {
    return events;
  }

  /** Runs the task after a while, unless its being's life is over by then; null: nobody's. */
  void after(long us, Being of, Runnable task) {
    queue.add(new Event(this.us + Math.max(0, us), sequence++, of, of == null ? 0 : of.life, task));
  }

  /** What a frozen being has missed comes at once, in order. */
  void thaw(Being b) {
    b.still = false;
    Event e;
    while ((e = b.missed.pollFirst()) != null) {
      queue.add(new Event(us, sequence++, b, e.life, e.task));
    }
  }

  /** Runs the next event; false when there is none before the time. */
  boolean step(long untilUs) {
    Event e = queue.peek();
    if (e == null || e.us > untilUs) {
      us = Math.max(us, untilUs);
      return false;
    }
    queue.poll();
    us = Math.max(us, e.us);
    if (e.of != null && e.of.life != e.life) {
      return true;
    }
    if (e.of != null && e.of.still) {
      e.of.missed.add(e);
      return true;
    }
    events++;
    e.task.run();
    return true;
  }
}
