package org.mallowroad.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Methods;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.core.WorkerReport;
import org.mallowroad.net.HttpCaller;
import org.mallowroad.net.Loop;
import org.mallowroad.net.Seldom;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends orders straight to workers, at most one message a worker at a time. */
public final class WorkerClient {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerClient.class);
  private static final long TIMEOUT_MS = 4_000;

  /** A report fits into a request body of the protocol. */
  private static final int MOST_BYTES = 64 * 1024;

  private final Loop loop;
  private final Seldom odd = Seldom.usual();
  private final ByteBufferPool buffers;
  private final int maxWorkers;
  private final Object2ObjectLinkedOpenHashMap<String, HttpCaller> callers =
      new Object2ObjectLinkedOpenHashMap<>();
  private final ObjectOpenHashSet<String> busy = new ObjectOpenHashSet<>();

  /** How a message went. */
  public enum Result {
    /** The worker answered: executed, or refused as a whole. */
    ANSWERED,
    /** The worker certainly did not get it. */
    NOT_SENT,
    /** It may be executed at any later time. */
    UNKNOWN
  }

  /** An answer to direct orders. */
  public interface Sent {
    /** With the worker's report where it sent one, else null. */
    void sent(Result result, WorkerReport report);
  }

  /** Over the loop, with connections kept to at most {@code maxWorkers} workers. */
  public WorkerClient(Loop loop, ByteBufferPool buffers, int maxWorkers) {
    this.maxWorkers = maxWorkers;
    this.loop = loop;
    this.buffers = buffers;
  }

  /** True while a message to the worker is on its way. */
  public boolean busy(String address) {
    return busy.contains(address);
  }

  /** How many workers' connections are kept. */
  public int kept() {
    return callers.size();
  }

  /** Sends a message. */
  public void send(String address, ObjectNode message, Sent sent) {
    HttpCaller caller = callers.getAndMoveToLast(address);
    if (caller == null) {
      int colon = address.lastIndexOf(':');
      int port;
      try {
        port = Integer.parseInt(address.substring(colon + 1));
      } catch (NumberFormatException e) {
        sent.sent(Result.NOT_SENT, null);
        return;
      }
      Endpoint to = new Endpoint(address.substring(0, Math.max(0, colon)), port);
      caller = new HttpCaller(loop, buffers, to, "application/json", 2, MOST_BYTES);
      callers.put(address, caller);
      if (callers.size() > maxWorkers) {
        callers.removeFirst().close();
      }
    }
    busy.add(address);
    caller.call(
        Methods.POST,
        "/orders",
        Json.bytes(message),
        TIMEOUT_MS,
        new HttpCaller.Answer() {
          @Override
          public void answered(int status, byte[] body) {
            busy.remove(address);
            if (status != 200 && status != 409) {
              long left = odd.line(loop.now());
              if (left >= 0) {
                LOG.warn(
                    "event=orders_refused address={} status={} left_out={}", address, status, left);
              }
              sent.sent(status == 400 ? Result.ANSWERED : Result.UNKNOWN, null);
              return;
            }
            WorkerReport r = null;
            try {
              r = WorkerCodec.decode(Json.parseObject(body));
            } catch (BadMessage e) {
              long left = odd.line(loop.now());
              if (left >= 0) {
                LOG.warn("event=report_garbled reason=\"{}\" left_out={}", e.getMessage(), left);
              }
            }
            sent.sent(Result.ANSWERED, r);
          }

          @Override
          public void failed(boolean wasSent) {
            busy.remove(address);
            sent.sent(wasSent ? Result.UNKNOWN : Result.NOT_SENT, null);
          }
        });
  }
}
