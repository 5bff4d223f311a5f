package org.mallowroad.net;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The event loop of a process: one XNIO I/O thread and the system clocks. */
public final class XnioEventLoop extends EventLoop {
  private final XnioIoThread ioThread;

  /** Creates a loop that runs its tasks on an I/O thread. */
  public XnioEventLoop(XnioIoThread thread) {
    this.ioThread = thread;
  }

  /** Creates an XNIO worker with one I/O thread, and one thread for tasks of Undertow. */
  public static XnioWorker createWorker(String name) throws IOException {
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

  /** The I/O thread that runs the loop. */
  public XnioIoThread ioThread() {
    return ioThread;
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  protected void execute(Runnable task) {
    ioThread.execute(task);
  }

  @Override
  protected Timer schedule(long delayMs, Runnable task) {
    XnioExecutor.Key key = ioThread.executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
