package org.mallowroad.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.mallowroad.api.JsonResponses;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves workers' heartbeats. The leader responds with commands; any other node relays the
 * heartbeat to the leader or redirects the worker to it.
 */
public final class HeartbeatApi {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatApi.class);

  private final EventLoop loop;
  private final Handler handler;
  private final LogLimiter invalidMessageLog = LogLimiter.withDefaultLimits();
  private long invalidMessages;

  /** What the node does with heartbeats. */
  public interface Handler {
    /** Sees a heartbeat's fencing token: one above this node's own ends its leadership. */
    void onFencingToken(long fencingToken);

    /** Whether this node is the leader. */
    boolean isLeader();

    /** The name of another node that leads, or null when none is known. */
    String leaderName();

    /**
     * Relays a heartbeat to the leader and answers the request with the leader's response.
     *
     * @return false when the request is left to be redirected to the leader
     */
    boolean relayToLeader(IncomingRequest request, Heartbeat heartbeat, String leader);

    /** Processes a heartbeat on the leader. */
    void onHeartbeat(Heartbeat heartbeat, HeartbeatResponder responder);
  }

  /** Serves heartbeats on the node's event loop. */
  public HeartbeatApi(EventLoop loop, Handler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  /** The number of heartbeats so far that did not follow the protocol. */
  public long invalidMessages() {
    return invalidMessages;
  }

  /** Serves POST /v1/report. */
  public void handle(IncomingRequest request) {
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.decodeHeartbeat(Json.parseObject(request.body()));
    } catch (InvalidMessageException e) {
      reject(request, e);
      return;
    }
    handler.onFencingToken(heartbeat.fencingToken());
    // Decoded on the other nodes too: during an election the heartbeats that arrive at each node
    // compile the code that the next leader needs (docs/results.md).
    if (handler.isLeader()) {
      handler.onHeartbeat(heartbeat, new HttpResponder(request));
    } else {
      redirect(request, heartbeat);
    }
  }

  private void reject(IncomingRequest request, InvalidMessageException e) {
    invalidMessages++;
    if (invalidMessageLog.tryAcquire(loop.now())) {
      LOG.warn(
          "event=heartbeat_invalid reason=\"{}\" suppressed={}",
          e.getMessage(),
          invalidMessageLog.suppressed());
    }
    JsonResponses.sendError(request, 400, e.getMessage());
  }

  private void redirect(IncomingRequest request, Heartbeat heartbeat) {
    String leader = handler.leaderName();
    if (leader == null) {
      JsonResponses.sendRetryLater(request, "no leader known");
      return;
    }
    if (handler.relayToLeader(request, heartbeat, leader)) {
      return;
    }
    ObjectNode body = Json.object();
    body.put(Fields.LEADER, leader);
    JsonResponses.send(request, 421, body);
  }

  private record HttpResponder(IncomingRequest request) implements HeartbeatResponder {
    @Override
    public void respond(long fencingToken, List<WorkerCommand> commands) {
      JsonResponses.send(request, 200, WorkerCodec.encodeCommands(fencingToken, commands));
    }

    @Override
    public void retryLater() {
      JsonResponses.sendRetryLater(request, "not now");
    }
  }
}
