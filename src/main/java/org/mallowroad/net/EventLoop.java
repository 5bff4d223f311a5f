package org.mallowroad.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread on which everything of a node runs: sockets, timers and the core. The machine is a
 * fraction of a core, so a second thread would only add switches, and one thread needs no locks. A
 * real node's is {@link XnioEventLoop}; a world of failing machines turns all its nodes' loops
 * itself.
 */
public abstract class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  private volatile boolean closed;

  /** The steady clock in milliseconds. */
  public long now() {
    return nanos() / 1_000_000L;
  }

  /** The steady clock in nanoseconds, for what is shorter than a millisecond. */
  public abstract long nanos();

  /** The time of day in milliseconds since 1970, within the bound of the settings. */
  public abstract long wallMs();

  /** Runs soon, after what waits already. */
  protected abstract void execute(Runnable task);

  /** Runs once after a delay of at least a millisecond. */
  protected abstract Timer schedule(long ms, Runnable task);

  /** Ends all duties: what asks for a timer from now on gets none. */
  public final void close() {
    closed = true;
  }

  /** Runs soon on the loop. */
  public final void soon(Runnable task) {
    if (!closed) {
      execute(() -> guarded(task));
    }
  }

  /** Runs once after a delay, unless cancelled. */
  public final Timer after(long ms, Runnable task) {
    return closed ? () -> false : schedule(Math.max(1, ms), () -> guarded(task));
  }

  /** Starts a long-lived duty that runs again and again until it is cancelled. */
  public final Timer every(long ms, Runnable task) {
    Duty d = new Duty(ms, task);
    d.next();
    return d;
  }

  private static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | LinkageError e) {
      // No process ends by itself: a failed duty is logged and runs again at its next turn.
      LOG.error("event=task_failed", e);
    }
  }

  /** Something that can be cancelled. */
  @FunctionalInterface
  public interface Timer {
    /** Cancels; false when it already ran. */
    boolean cancel();
  }

  private final class Duty implements Timer {
    private final long ms;
    private final Runnable task;
    private boolean over;
    private Timer key;

    Duty(long ms, Runnable task) {
      this.ms = ms;
      this.task = task;
    }

    void next() {
      if (!over && !closed) {
        key =
            schedule(
                ms,
                () -> {
                  if (!over) {
                    guarded(task);
                    next();
                  }
                });
      }
    }

    @Override
    public boolean cancel() {
      over = true;
      return key != null && key.cancel();
    }
  }
}
