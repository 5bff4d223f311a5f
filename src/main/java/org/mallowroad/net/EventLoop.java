package org.mallowroad.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single-threaded event loop on which all code of a node runs: sockets, timers and the
 * scheduler. A node has a fraction of a core, so a second thread would only add context switches,
 * and with one thread no locks are needed. A process uses {@link XnioEventLoop}; a simulation runs
 * the loops of all its nodes itself, in virtual time.
 */
public abstract class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final long NANOS_PER_MS = 1_000_000L;

  private volatile boolean closed;

  /** Milliseconds of the steady clock. */
  public long now() {
    return nanoTime() / NANOS_PER_MS;
  }

  /** Nanoseconds of the steady clock, for durations below a millisecond. */
  public abstract long nanoTime();

  /** Wall-clock time in milliseconds since 1970; its error is bounded by the settings. */
  public abstract long wallMs();

  /** Queues a task behind those that are queued already. */
  protected abstract void execute(Runnable task);

  /** Runs a task once after a delay of at least a millisecond. */
  protected abstract Timer schedule(long ms, Runnable task);

  /** Stops all repeating tasks and accepts no new tasks or timers. */
  public final void close() {
    closed = true;
  }

  /** Runs a task on the loop, after those that are queued already. */
  public final void submit(Runnable task) {
    if (!closed) {
      execute(() -> runGuarded(task));
    }
  }

  /** Runs a task once after a delay in milliseconds, unless it is cancelled before. */
  public final Timer after(long ms, Runnable task) {
    return closed ? () -> false : schedule(Math.max(1, ms), () -> runGuarded(task));
  }

  /** Runs a task every {@code ms} milliseconds, first after that time, until it is cancelled. */
  public final Timer every(long ms, Runnable task) {
    RepeatingTask repeating = new RepeatingTask(ms, task);
    repeating.scheduleNext();
    return repeating;
  }

  /**
   * The outermost net for failures of tasks: one failed task must not end the process or stop a
   * repeating task. A linkage error is caught too, since it fails one task alone.
   */
  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | LinkageError e) {
      LOG.error("event=task_failed", e);
    }
  }

  /** A scheduled task that can be cancelled. */
  @FunctionalInterface
  public interface Timer {
    /** Cancels the task; false when it has run already. */
    boolean cancel();
  }

  private final class RepeatingTask implements Timer {
    private final long periodMs;
    private final Runnable task;
    private boolean cancelled;
    private Timer timer;

    RepeatingTask(long periodMs, Runnable task) {
      this.periodMs = periodMs;
      this.task = task;
    }

    void scheduleNext() {
      if (!cancelled && !closed) {
        timer = schedule(periodMs, this::run);
      }
    }

    private void run() {
      if (!cancelled) {
        runGuarded(task);
        scheduleNext();
      }
    }

    @Override
    public boolean cancel() {
      cancelled = true;
      return timer != null && timer.cancel();
    }
  }
}
