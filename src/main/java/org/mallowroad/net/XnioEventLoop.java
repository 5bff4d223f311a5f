package org.mallowroad.net;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The loop of a real node: one I/O thread of XNIO, the machine's clocks. */
public final class XnioEventLoop extends EventLoop {
  private final XnioIoThread thread;

  /** Over an I/O thread. */
  public XnioEventLoop(XnioIoThread thread) {
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

  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  protected void execute(Runnable task) {
    thread.execute(task);
  }

  @Override
  protected Timer schedule(long ms, Runnable task) {
    XnioExecutor.Key key = thread.executeAfter(task, ms, TimeUnit.MILLISECONDS);
    return key::remove;
  }
}
