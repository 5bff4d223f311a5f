package org.mallowroad.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Virtual time and its scheduled events, which run in the order of their time. Events of the same
 * time run in the order in which they were scheduled.
 */
final class EventQueue {
  /** Where an event of a process comes from. */
  enum Origin {
    /** A timer or a task of the process itself. */
    TIMER,
    /** A request, on a connection that may still have to be accepted. */
    REQUEST,
    /** The answer to a request of the process, on an open connection. */
    RESPONSE
  }

  private record Event(
      long atUs, long sequence, Actor owner, int generation, Origin origin, Runnable task)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atUs != other.atUs
          ? Long.compare(atUs, other.atUs)
          : Long.compare(sequence, other.sequence);
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

    /** Terminates the actor and drops all its scheduled events. */
    final void terminate() {
      alive = false;
      generation++;
      frozen = false;
      missedEvents.clear();
    }

    /** Brings the actor back to life without its earlier events. */
    final void revive() {
      alive = true;
    }

    /** Delays the actor's events until {@link #thaw}, while virtual time goes on. */
    final void freeze() {
      frozen = true;
    }
  }

  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long nowUs;
  private long nextSequence;
  private long eventCount;

  /** Returns the virtual time in microseconds since the start. */
  long nowUs() {
    return nowUs;
  }

  /** Returns the virtual time in milliseconds since the start. */
  long nowMs() {
    return nowUs / 1000;
  }

  /** Returns how many events have run. */
  long eventCount() {
    return eventCount;
  }

  /**
   * Runs a task after a delay in microseconds, unless its owner was terminated by then.
   *
   * @param owner the owner of the event, or null for events that always run
   */
  void schedule(long delayUs, Actor owner, Runnable task) {
    schedule(delayUs, owner, Origin.TIMER, task);
  }

  /** Runs a task like {@link #schedule(long, Actor, Runnable)}, for an event of another origin. */
  void schedule(long delayUs, Actor owner, Origin origin, Runnable task) {
    queue.add(
        new Event(
            this.nowUs + Math.max(0, delayUs),
            nextSequence++,
            owner,
            owner == null ? 0 : owner.generation,
            origin,
            task));
  }

  /** Ends a freeze; the events that the actor missed run now, in their order. */
  void thaw(Actor actor) {
    actor.frozen = false;
    Event event;
    while ((event = actor.missedEvents.pollFirst()) != null) {
      queue.add(
          new Event(nowUs, nextSequence++, actor, event.generation, event.origin, event.task));
    }
  }

  /**
   * Like {@link #thaw}, but the missed events run in random order; every second time, all events of
   * one origin run before those of the next.
   */
  void thawInRandomOrder(Actor actor, SplittableRandom random) {
    List<Event> events = new ArrayList<>(actor.missedEvents);
    actor.missedEvents.clear();
    for (int last = events.size() - 1; last > 0; last--) {
      Collections.swap(events, last, random.nextInt(last + 1));
    }
    if (random.nextBoolean()) {
      int firstOrigin = random.nextInt(Origin.values().length);
      events.sort(
          Comparator.comparingInt(
              event ->
                  Math.floorMod(event.origin.ordinal() - firstOrigin, Origin.values().length)));
    }
    actor.missedEvents.addAll(events);
    thaw(actor);
  }

  /**
   * Runs the next event up to the given time.
   *
   * @return false if there was none; virtual time is then {@code untilUs}
   */
  boolean runNext(long untilUs) {
    Event event = queue.peek();
    if (event == null || event.atUs > untilUs) {
      nowUs = Math.max(nowUs, untilUs);
      return false;
    }
    queue.poll();
    nowUs = Math.max(nowUs, event.atUs);
    if (event.owner != null && event.owner.generation != event.generation) {
      return true;
    }
    if (event.owner != null && event.owner.frozen) {
      event.owner.missedEvents.add(event);
      return true;
    }
    eventCount++;
    event.task.run();
    return true;
  }
}
