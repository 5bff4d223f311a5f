package org.mallowroad.worker;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.List;
import org.mallowroad.config.Settings.Endpoint;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands to workers' own addresses, without waiting for their next heartbeat. The caller
 * must send at most one message at a time to each worker ({@link #hasMessageInFlight}).
 */
public final class WorkerClient {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerClient.class);
  private static final String COMMANDS_PATH = "/orders";
  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final long TIMEOUT_MS = 4_000;
  private static final int CONNECTIONS_PER_WORKER = 2;

  /** The largest response. A response is a heartbeat, so this is the protocol's body limit. */
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  private static final int STATUS_EXECUTED = 200;
  private static final int STATUS_MALFORMED = 400;

  /** The worker rejects the whole message because of its fencing token or incarnation. */
  private static final int STATUS_FENCED = 409;

  private final EventLoop loop;
  private final LogLimiter responseLogLimiter = LogLimiter.withDefaultLimits();
  private final NodeEnvironment environment;
  private CommandRelay commandRelay;
  private final int maxWorkers;

  /** Senders by worker address, the most recently used last. */
  private final Object2ObjectLinkedOpenHashMap<String, RequestSender> senders =
      new Object2ObjectLinkedOpenHashMap<>();

  private final ObjectOpenHashSet<String> busyAddresses = new ObjectOpenHashSet<>();

  /** What is known about the delivery of a message. */
  public enum DeliveryResult {
    /** The worker responded: it executed the commands or rejected all of them. */
    ANSWERED,
    /** The message never left this process, so no duplicate of it can arrive either. */
    NOT_SENT,
    /** The worker may have received the message, and may execute it at any later time. */
    UNKNOWN
  }

  /** Receives the outcome of a message; called once, on the event loop. */
  @FunctionalInterface
  public interface DeliveryListener {
    /**
     * Called when the outcome is known.
     *
     * @param heartbeat the worker's state after the commands; null if the worker sent none
     */
    void onDeliveryResult(DeliveryResult delivery, Heartbeat heartbeat);
  }

  /** Relays commands to workers through another controller. */
  @FunctionalInterface
  public interface CommandRelay {
    /** Sends encoded commands to a worker through a peer. */
    void relayCommands(
        int peer, String address, byte[] body, RequestSender.ResponseHandler handler);
  }

  /** Keeps connections to the {@code maxWorkers} workers that were used most recently. */
  public WorkerClient(NodeEnvironment environment, int maxWorkers) {
    this.maxWorkers = maxWorkers;
    this.loop = environment.loop();
    this.environment = environment;
  }

  /** Whether a message to the worker is in flight. */
  public boolean hasMessageInFlight(String address) {
    return busyAddresses.contains(address);
  }

  /** The number of workers to which connections are kept open. */
  public int connectedWorkers() {
    return senders.size();
  }

  /** Sets the relay to workers whose heartbeats arrive through a peer. */
  public void setRelay(CommandRelay newRelay) {
    commandRelay = newRelay;
  }

  /** Returns the sender to a worker, or null if the address is malformed. */
  private RequestSender senderFor(String address) {
    RequestSender sender = senders.getAndMoveToLast(address);
    if (sender == null) {
      int colon = address.lastIndexOf(':');
      int port;
      try {
        port = Integer.parseInt(address.substring(colon + 1));
      } catch (NumberFormatException e) {
        return null;
      }
      Endpoint endpoint = new Endpoint(address.substring(0, Math.max(0, colon)), port);
      sender =
          environment.requestSender(
              endpoint, JSON_CONTENT_TYPE, CONNECTIONS_PER_WORKER, MAX_RESPONSE_BYTES);
      senders.put(address, sender);
      if (senders.size() > maxWorkers) {
        senders.removeFirst().close();
      }
    }
    return sender;
  }

  /** Sends a peer's encoded commands unchanged over this node's own connection to the worker. */
  public void sendRelayed(String address, byte[] body, RequestSender.ResponseHandler handler) {
    RequestSender sender = senderFor(address);
    if (sender == null) {
      handler.onFailure(false);
    } else {
      sender.send("POST", COMMANDS_PATH, body, TIMEOUT_MS, handler);
    }
  }

  /**
   * Sends commands to one incarnation of a worker.
   *
   * @param relayPeer the peer that relayed the worker's last heartbeat, through which the commands
   *     are sent as well; negative if the heartbeat arrived directly
   */
  public void send(
      String address,
      int relayPeer,
      long fencingToken,
      long incarnation,
      List<WorkerCommand> commands,
      DeliveryListener listener) {
    boolean relayed = relayPeer >= 0 && commandRelay != null;
    RequestSender.ResponseHandler handler = new DeliveryTracker(address, relayed, listener);
    byte[] body =
        Json.toBytes(WorkerCodec.encodeDirectCommands(fencingToken, incarnation, commands));
    if (relayed) {
      busyAddresses.add(address);
      commandRelay.relayCommands(relayPeer, address, body, handler);
      return;
    }
    RequestSender sender = senderFor(address);
    if (sender == null) {
      listener.onDeliveryResult(DeliveryResult.NOT_SENT, null);
      return;
    }
    busyAddresses.add(address);
    sender.send("POST", COMMANDS_PATH, body, TIMEOUT_MS, handler);
  }

  /** Derives the delivery result of one message from its response. */
  private final class DeliveryTracker implements RequestSender.ResponseHandler {
    private final String address;
    private final boolean relayed;
    private final DeliveryListener listener;

    DeliveryTracker(String address, boolean relayed, DeliveryListener listener) {
      this.address = address;
      this.relayed = relayed;
      this.listener = listener;
    }

    @Override
    public void onResponse(int status, byte[] body) {
      busyAddresses.remove(address);
      if (status == STATUS_EXECUTED || status == STATUS_FENCED) {
        listener.onDeliveryResult(DeliveryResult.ANSWERED, decodeHeartbeatOrNull(body));
        return;
      }
      if (responseLogLimiter.tryAcquire(loop.now())) {
        LOG.warn(
            "event=commands_rejected address={} status={} suppressed={}",
            address,
            status,
            responseLogLimiter.suppressedLines());
      }
      listener.onDeliveryResult(
          status == STATUS_MALFORMED ? DeliveryResult.ANSWERED : DeliveryResult.UNKNOWN, null);
    }

    @Override
    public void onFailure(boolean sent) {
      busyAddresses.remove(address);
      // A peer that refused to relay a message may still receive a duplicate of it and relay that.
      boolean mayArrive = sent || relayed;
      listener.onDeliveryResult(mayArrive ? DeliveryResult.UNKNOWN : DeliveryResult.NOT_SENT, null);
    }

    private Heartbeat decodeHeartbeatOrNull(byte[] body) {
      try {
        return WorkerCodec.decodeHeartbeat(Json.parseObject(body));
      } catch (InvalidMessageException e) {
        if (responseLogLimiter.tryAcquire(loop.now())) {
          LOG.warn(
              "event=heartbeat_invalid reason=\"{}\" suppressed={}",
              e.getMessage(),
              responseLogLimiter.suppressedLines());
        }
        return null;
      }
    }
  }
}
