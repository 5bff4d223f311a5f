package org.mallowroad.net;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * The one thread on which everything runs: sockets, timers and the core. The machine is a fraction
 * of a core, so a second thread would only add switches, and one thread needs no locks.
 */
public final class Loop {
  private static final Logger LOG = LoggerFactory.getLogger(Loop.class);

  private final XnioIoThread thread;
  private volatile boolean closed;

  /** Over an I/O thread. */
  public Loop(XnioIoThread thread) {
    this.thread = thread;
  }

  /** A worker with the one thread that a loop runs on, and one for what Undertow dispatches. */
  public static XnioWorker worker(String name) throws IOException {
    return Xnio.getInstance()
        .createWorker(
            OptionMap.builder()
                .set(Options.WORKER_NAME, name)
                .set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.TCP_NODELAY, true)
                .getMap());
  }

  /** The thread. */
  public XnioIoThread thread() {
    return thread;
  }

  /** The steady clock in milliseconds. */
  public long now() {
    return System.nanoTime() / 1_000_000L;
  }

  /** Ends all duties: what asks for a timer from now on gets none. */
  public void close() {
    closed = true;
  }

  /** Runs soon on the loop. */
  public void soon(Runnable task) {
    if (closed) {
      return;
    }
    thread.execute(() -> guarded(task));
  }

  /** Runs once after a delay, unless cancelled. */
  public Timer after(long ms, Runnable task) {
    if (closed) {
      return () -> false;
    }
    XnioExecutor.Key key =
        thread.executeAfter(() -> guarded(task), Math.max(1, ms), TimeUnit.MILLISECONDS);
    return key::remove;
  }

  /** Starts a long-lived duty that runs again and again until it is cancelled. */
  public Timer every(long ms, Runnable task) {
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
    private XnioExecutor.Key key;

    Duty(long ms, Runnable task) {
      this.ms = ms;
      this.task = task;
    }

    void next() {
      if (!over && !closed) {
        key =
            thread.executeAfter(
                () -> {
                  if (!over) {
                    guarded(task);
                    next();
                  }
                },
                ms,
                TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public boolean cancel() {
      over = true;
      return key != null && key.remove();
    }
  }
}
