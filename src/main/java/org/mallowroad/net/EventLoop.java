package org.mallowroad.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single-threaded event loop on which all code of a node runs: sockets, timers and the
 * scheduler. A node has a fraction of a core, so a second thread would only add context switches,
 * and with one thread no locks are needed. A process uses {@link XnioEventLoop}; a simulation runs
 * the loops of all its nodes in virtual time.
 */
public abstract class EventLoop {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private static final long NANOS_PER_MS = 1_000_000L;

  private volatile boolean closed;

  /** The time of the steady (monotonic) clock in milliseconds. */
  public long now() {
    return nanoTime() / NANOS_PER_MS;
  }

  /** The time of the steady clock in nanoseconds, for durations below a millisecond. */
  public abstract long nanoTime();

  /** The wall-clock time in milliseconds since 1970; the settings bound its error. */
  public abstract long wallMs();

  /** Appends a task to the queue. */
  protected abstract void execute(Runnable task);

  /** Runs a task once after a delay of at least a millisecond. */
  protected abstract Timer schedule(long delayMs, Runnable task);

  /** Stops all repeating tasks and accepts no new tasks or timers. */
  public final void close() {
    closed = true;
  }

  /** Runs a task on the loop, after all tasks that are already queued. */
  public final void submit(Runnable task) {
    if (!closed) {
      execute(() -> runGuarded(task));
    }
  }

  /** Runs a task once after a delay in milliseconds, unless the timer is cancelled. */
  public final Timer after(long delayMs, Runnable task) {
    return closed ? () -> false : schedule(Math.max(1, delayMs), () -> runGuarded(task));
  }

  /**
   * Runs a task every {@code periodMs} milliseconds, the first time after one period, until
   * cancelled.
   */
  public final Timer every(long periodMs, Runnable task) {
    RepeatingTask repeating = new RepeatingTask(periodMs, task);
    repeating.scheduleNext();
    return repeating;
  }

  /**
   * The last resort for failures of tasks: a failed task must not terminate the process or stop a
   * repeating task. Linkage errors are caught as well, since they affect only one task.
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
    /** Cancels the task; returns false if it has already run. */
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
        timer = schedule(periodMs, this::runAndReschedule);
      }
    }

    private void runAndReschedule() {
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
