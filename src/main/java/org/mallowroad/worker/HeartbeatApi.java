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
  private final LogLimiter invalidMessageLogLimiter = LogLimiter.withDefaultLimits();
  private long invalidMessages;

  /** Handles the heartbeats that this node receives. */
  public interface Handler {
    /** Checks a heartbeat's fencing token: one above this node's own ends its leadership. */
    void onFencingToken(long fencingToken);

    /** Whether this node is the leader. */
    boolean isLeader();

    /** The name of another node that is the leader, or null if none is known. */
    String leaderName();

    /**
     * Relays a heartbeat to the leader and answers the request with the leader's response.
     *
     * @return false if the heartbeat cannot be relayed; the caller then redirects the worker
     */
    boolean relayToLeader(IncomingRequest request, Heartbeat heartbeat, String leader);

    /** Processes a heartbeat on the leader. */
    void onHeartbeat(Heartbeat heartbeat, HeartbeatResponder responder);
  }

  /** Creates the API on the node's event loop. */
  public HeartbeatApi(EventLoop loop, Handler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  /** The number of heartbeats so far that did not follow the protocol. */
  public long invalidMessages() {
    return invalidMessages;
  }

  /** Handles POST /v1/report. */
  public void handle(IncomingRequest request) {
    Heartbeat heartbeat;
    try {
      heartbeat = WorkerCodec.decodeHeartbeat(Json.parseObject(request.body()));
    } catch (InvalidMessageException e) {
      reject(request, e);
      return;
    }
    handler.onFencingToken(heartbeat.fencingToken());
    // Heartbeats are decoded on nodes that do not lead as well: the heartbeats that arrive during
    // an election let the JIT compile the code that the next leader needs (docs/results.md).
    if (handler.isLeader()) {
      handler.onHeartbeat(heartbeat, new HttpResponder(request));
    } else {
      relayOrRedirect(request, heartbeat);
    }
  }

  private void reject(IncomingRequest request, InvalidMessageException e) {
    invalidMessages++;
    if (invalidMessageLogLimiter.tryAcquire(loop.now())) {
      LOG.warn(
          "event=heartbeat_invalid reason=\"{}\" suppressed={}",
          e.getMessage(),
          invalidMessageLogLimiter.suppressedLines());
    }
    JsonResponses.sendError(request, 400, e.getMessage());
  }

  private void relayOrRedirect(IncomingRequest request, Heartbeat heartbeat) {
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
