package org.mallowroad.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends orders straight to workers, at most one message a worker at a time. */
public final class WorkerClient {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerClient.class);
  private static final String ORDERS = "/orders";
  private static final long TIMEOUT_MS = 4_000;

  /** A report fits into a request body of the protocol. */
  private static final int MOST_BYTES = 64 * 1024;

  private final EventLoop loop;
  private final LogLimiter odd = LogLimiter.usual();
  private final NodeEnvironment host;
  private Bypass bypass;
  private final int maxWorkers;
  private final Object2ObjectLinkedOpenHashMap<String, RequestSender> callers =
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
    void sent(Result result, Heartbeat report);
  }

  /** Over the loop, with connections kept to at most {@code maxWorkers} workers. */
  public WorkerClient(NodeEnvironment host, int maxWorkers) {
    this.maxWorkers = maxWorkers;
    this.loop = host.loop();
    this.host = host;
  }

  /** True while a message to the worker is on its way. */
  public boolean busy(String address) {
    return busy.contains(address);
  }

  /** How many workers' connections are kept. */
  public int kept() {
    return callers.size();
  }

  /** Orders go this way to workers that this node does not reach itself. */
  public void bypass(Bypass way) {
    bypass = way;
  }

  /** Another way to workers: through a peer. */
  @FunctionalInterface
  public interface Bypass {
    /** Sends orders to a worker by way of a peer. */
    void commands(int peer, String address, byte[] body, RequestSender.ResponseHandler answer);
  }

  /** The kept connections to a worker, or null when that is no address. */
  private RequestSender caller(String address) {
    RequestSender caller = callers.getAndMoveToLast(address);
    if (caller == null) {
      int colon = address.lastIndexOf(':');
      int port;
      try {
        port = Integer.parseInt(address.substring(colon + 1));
      } catch (NumberFormatException e) {
        return null;
      }
      Endpoint to = new Endpoint(address.substring(0, Math.max(0, colon)), port);
      caller = host.requestSender(to, "application/json", 2, MOST_BYTES);
      callers.put(address, caller);
      if (callers.size() > maxWorkers) {
        callers.removeFirst().close();
      }
    }
    return caller;
  }

  /** Passes a peer's orders on as they are. */
  public void pass(String address, byte[] body, RequestSender.ResponseHandler answer) {
    RequestSender caller = caller(address);
    if (caller == null) {
      answer.failed(false);
    } else {
      caller.call("POST", ORDERS, body, TIMEOUT_MS, answer);
    }
  }

  /**
   * Sends a message.
   *
   * @param via the peer that its report came through, or -1: orders go the way the reports come
   */
  public void send(String address, int via, ObjectNode message, Sent sent) {
    RequestSender.ResponseHandler answer = answer(address, sent);
    if (via >= 0 && bypass != null) {
      busy.add(address);
      bypass.commands(via, address, Json.bytes(message), answer);
      return;
    }
    RequestSender caller = caller(address);
    if (caller == null) {
      sent.sent(Result.NOT_SENT, null);
      return;
    }
    busy.add(address);
    caller.call("POST", ORDERS, Json.bytes(message), TIMEOUT_MS, answer);
  }

  private RequestSender.ResponseHandler answer(String address, Sent sent) {
    return new RequestSender.ResponseHandler() {
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
        Heartbeat r = null;
        try {
          r = WorkerCodec.decodeHeartbeat(Json.parseObject(body));
        } catch (InvalidMessageException e) {
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
    };
  }
}
