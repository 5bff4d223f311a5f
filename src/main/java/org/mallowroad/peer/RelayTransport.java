package org.mallowroad.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.core.linkstate.LinkStateTable;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;

/**
 * Exchanges link states with the other controllers, and relays through them what cannot be sent
 * directly: calls to external services, workers' heartbeats and commands to workers.
 *
 * <p>Each message type has its own connection pool, so that hanging messages of one type do not
 * delay the others. Each pool is bounded: a message that finds no free connection was certainly not
 * sent. Peers are numbered by their position in the settings. Confined to the event loop.
 */
public final class RelayTransport implements RelayingRequestSender.CallRelay {
  /** The destination of a relayed call that is sent to a worker's address. */
  static final String WORKER_DESTINATION = "worker";

  private static final String LINK_STATE_PATH = "/row";
  private static final String CALL_PATH = "/forward";
  private static final String HEARTBEAT_PATH = "/carry";
  private static final long LINK_STATE_TIMEOUT_MS = 1_500;
  private static final long HEARTBEAT_TIMEOUT_MS = 3_000;
  private static final long COMMANDS_TIMEOUT_MS = 4_000;

  /** Added to a call's timeout, so that the peer has time to report that the call timed out. */
  private static final long RELAY_OVERHEAD_MS = 300;

  /**
   * The limit of concurrent relayed calls, both those sent to one peer and those served for all.
   */
  private static final int MAX_CALLS = 48;

  private static final int MAX_HEARTBEATS = 96;
  private static final int LINK_STATE_CONNECTIONS = 2;
  private static final int MAX_LINK_STATE_RESPONSE_BYTES = 1024;
  private static final int MAX_HEARTBEAT_RESPONSE_BYTES = 128 * 1024;

  /** The largest response of the state service plus the overhead of its envelope. */
  private static final int MAX_CALL_RESPONSE_BYTES = 640 * 1024;

  private static final byte[] NO_BODY = new byte[0];

  /** The response to a link state whose sender appears to have been replaced by a newer process. */
  private static final int STATUS_SUPERSEDED = 409;

  private final EventLoop loop;
  private final LinkStateTable linkStates;
  private final Listener listener;
  private final List<RequestSender> linkStateSenders = new ArrayList<>();
  private final List<RequestSender> callSenders = new ArrayList<>();
  private final List<RequestSender> heartbeatSenders = new ArrayList<>();

  /** By peer: whether the last link state that was sent to the peer is still unanswered. */
  private final boolean[] linkStateInFlight;

  private LinkCodec codec;
  private int callsBeingServed;

  /** Handles the messages of peers. */
  public interface Listener {
    /**
     * Handles a peer's link state.
     *
     * @return the start time, in wall-clock milliseconds since 1970, of a newer process of that
     *     node, if one is known
     */
    OptionalLong onLinkState(LinkStateAdvertisement linkState);

    /** Makes a peer's call over this node's direct path only, so that relays cannot form loops. */
    void onRelayedCall(
        ExternalService service,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        RequestSender.ResponseHandler handler);

    /** Sends a peer's commands to a worker. */
    void onRelayedCommands(String address, byte[] body, RequestSender.ResponseHandler handler);

    /** Handles a heartbeat that a peer received; the peer passes the response on to the worker. */
    void onRelayedHeartbeat(int peer, byte[] heartbeat, RequestSender.ResponseHandler handler);
  }

  /** Creates a transport whose peers are the members, in the order of the settings. */
  public RelayTransport(
      NodeEnvironment environment,
      List<Member> members,
      LinkStateTable linkStates,
      Listener listener) {
    this.loop = environment.loop();
    this.linkStates = linkStates;
    this.listener = listener;
    this.linkStateInFlight = new boolean[members.size()];
    for (Member member : members) {
      linkStateSenders.add(
          environment.requestSender(
              member.endpoint(),
              PeerMessenger.AVRO_CONTENT_TYPE,
              LINK_STATE_CONNECTIONS,
              MAX_LINK_STATE_RESPONSE_BYTES));
      callSenders.add(
          environment.requestSender(
              member.endpoint(),
              PeerMessenger.AVRO_CONTENT_TYPE,
              MAX_CALLS,
              MAX_CALL_RESPONSE_BYTES));
      heartbeatSenders.add(
          environment.requestSender(
              member.endpoint(),
              PeerMessenger.AVRO_CONTENT_TYPE,
              MAX_HEARTBEATS,
              MAX_HEARTBEAT_RESPONSE_BYTES));
    }
  }

  /** Created on first use: loading Avro's classes would slow the start on a fraction of a core. */
  private LinkCodec codec() {
    if (codec == null) {
      codec = new LinkCodec();
    }
    return codec;
  }

  /** Sends this node's link state to all peers that have answered the previous one. */
  public void broadcastLinkState(LinkStateAdvertisement linkState) {
    byte[] message = codec().encode(linkState);
    for (int peer = 0; peer < linkStateSenders.size(); peer++) {
      if (!linkStateInFlight[peer]) {
        sendLinkState(peer, message);
      }
    }
  }

  private void sendLinkState(int peer, byte[] message) {
    linkStateInFlight[peer] = true;
    long sentMs = loop.now();
    linkStateSenders
        .get(peer)
        .send(
            "POST",
            LINK_STATE_PATH,
            message,
            LINK_STATE_TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] body) {
                linkStateInFlight[peer] = false;
                linkStates.recordPeerCall(peer, true, sentMs, loop.now());
                if (status == STATUS_SUPERSEDED) {
                  handleSuperseded(body);
                }
              }

              @Override
              public void onFailure(boolean sent) {
                linkStateInFlight[peer] = false;
                linkStates.recordPeerCall(peer, false, sentMs, loop.now());
              }
            });
  }

  private void handleSuperseded(byte[] body) {
    try {
      linkStates.advanceStartTimePast(codec().decodeNewerProcess(body).startedMs());
    } catch (InvalidMessageException e) {
      // The response of another build: the peer continues to ignore this process's link states.
    }
  }

  @Override
  public void relayCall(
      int peer,
      ExternalService service,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      RequestSender.ResponseHandler handler) {
    byte[] sentBody = body == null ? NO_BODY : body;
    sendRelayedCall(
        peer,
        new LinkCodec.RelayedCall(service.name(), method, path, sentBody, timeoutMs),
        handler);
  }

  /** Sends commands to a worker's address through a peer. */
  public void relayCommands(
      int peer, String address, byte[] body, RequestSender.ResponseHandler handler) {
    sendRelayedCall(
        peer,
        new LinkCodec.RelayedCall(WORKER_DESTINATION, "POST", address, body, COMMANDS_TIMEOUT_MS),
        handler);
  }

  private void sendRelayedCall(
      int peer, LinkCodec.RelayedCall call, RequestSender.ResponseHandler handler) {
    callSenders
        .get(peer)
        .send(
            "POST",
            CALL_PATH,
            codec().encode(call),
            call.timeoutMs() + RELAY_OVERHEAD_MS,
            new RelayedResultHandler(peer, handler) {
              @Override
              void onErrorStatus(int status) {
                handler.onFailure(mayHaveExecuted(status));
              }

              @Override
              void onNoAnswer(LinkCodec.Outcome outcome) {
                handler.onFailure(outcome != LinkCodec.Outcome.NOT_SENT);
              }
            });
  }

  /**
   * Whether a peer that answered with an error status may have made the call. It has not if its
   * build does not know relayed calls (404), it cannot read the message (400, 413) or it serves too
   * many calls already (503). Any other error may have occurred after the call was made; if such a
   * call counted as unsent, a launch that may be in flight would count as not in flight.
   */
  private static boolean mayHaveExecuted(int status) {
    return status != 400 && status != 404 && status != 413 && status != 503;
  }

  /** Relays a worker's heartbeat to the peer that is the leader; the handler gets its response. */
  public void relayHeartbeat(
      int peer, String ownNode, byte[] heartbeat, RequestSender.ResponseHandler handler) {
    heartbeatSenders
        .get(peer)
        .send(
            "POST",
            HEARTBEAT_PATH,
            codec().encode(new LinkCodec.RelayedHeartbeat(ownNode, heartbeat)),
            HEARTBEAT_TIMEOUT_MS,
            new RelayedResultHandler(peer, handler) {
              @Override
              void onErrorStatus(int status) {
                handler.onFailure(true);
              }

              @Override
              void onNoAnswer(LinkCodec.Outcome outcome) {
                handler.onFailure(true);
              }
            });
  }

  /** Passes on the result of a relayed request and records whether the peer was reached. */
  private abstract class RelayedResultHandler implements RequestSender.ResponseHandler {
    private final int peer;
    private final RequestSender.ResponseHandler handler;
    private final long sentMs = loop.now();

    RelayedResultHandler(int peer, RequestSender.ResponseHandler handler) {
      this.peer = peer;
      this.handler = handler;
    }

    /** The peer answered with an error status instead of a result. */
    abstract void onErrorStatus(int status);

    /** The peer got no response to the relayed request. */
    abstract void onNoAnswer(LinkCodec.Outcome outcome);

    @Override
    public final void onResponse(int status, byte[] bytes) {
      linkStates.recordPeerCall(peer, true, sentMs, loop.now());
      if (status != 200) {
        onErrorStatus(status);
        return;
      }
      LinkCodec.RelayedResult result;
      try {
        result = codec().decodeResult(bytes);
      } catch (InvalidMessageException e) {
        handler.onFailure(true);
        return;
      }
      if (result.outcome() == LinkCodec.Outcome.ANSWERED) {
        handler.onResponse(result.status(), result.body());
      } else {
        onNoAnswer(result.outcome());
      }
    }

    @Override
    public final void onFailure(boolean sent) {
      // A request may be unsent only because too many are in flight, which says nothing about the
      // link. The exchange of link states detects whether the peer is reachable.
      if (sent) {
        linkStates.recordPeerCall(peer, false, sentMs, loop.now());
      }
      handler.onFailure(sent);
    }
  }

  /**
   * Handles a peer's message.
   *
   * @return false if the message type is unknown
   */
  boolean handleMessage(IncomingRequest request) throws InvalidMessageException {
    switch (request.path()) {
      case LINK_STATE_PATH -> receiveLinkState(request);
      case CALL_PATH -> receiveCall(request);
      case HEARTBEAT_PATH -> {
        LinkCodec.RelayedHeartbeat relayed = codec().decodeHeartbeat(request.body());
        listener.onRelayedHeartbeat(
            linkStates.peerIndex(relayed.fromNode()),
            relayed.heartbeat(),
            new ResultResponder(request, () -> {}));
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private void receiveLinkState(IncomingRequest request) throws InvalidMessageException {
    OptionalLong newerStartMs = listener.onLinkState(codec().decodeLinkState(request.body()));
    if (newerStartMs.isPresent()) {
      byte[] body = codec().encode(new LinkCodec.NewerProcess(newerStartMs.getAsLong()));
      request.respond(STATUS_SUPERSEDED, PeerMessenger.AVRO_CONTENT_TYPE, body, false);
    } else {
      request.respond(204, PeerMessenger.AVRO_CONTENT_TYPE, NO_BODY, false);
    }
  }

  private void receiveCall(IncomingRequest request) throws InvalidMessageException {
    LinkCodec.RelayedCall call = codec().decodeCall(request.body());
    if (callsBeingServed >= MAX_CALLS) {
      request.respond(503, PeerMessenger.AVRO_CONTENT_TYPE, NO_BODY, true);
      return;
    }
    // Parsed before the call is counted: a rejected call would never be subtracted from the count.
    ExternalService service =
        call.destination().equals(WORKER_DESTINATION) ? null : parseService(call.destination());
    callsBeingServed++;
    ResultResponder responder = new ResultResponder(request, () -> callsBeingServed--);
    if (service == null) {
      listener.onRelayedCommands(call.path(), call.body(), responder);
    } else {
      byte[] body = call.body().length == 0 ? null : call.body();
      listener.onRelayedCall(
          service, call.method(), call.path(), body, call.timeoutMs(), responder);
    }
  }

  private static ExternalService parseService(String name) throws InvalidMessageException {
    for (ExternalService service : ExternalService.values()) {
      if (service.name().equals(name)) {
        return service;
      }
    }
    throw new InvalidMessageException("unknown external service");
  }

  /** Sends the result of a relayed request to the peer that relayed it. */
  private final class ResultResponder implements RequestSender.ResponseHandler {
    private final IncomingRequest request;
    private final Runnable beforeResponse;

    ResultResponder(IncomingRequest request, Runnable beforeResponse) {
      this.request = request;
      this.beforeResponse = beforeResponse;
    }

    @Override
    public void onResponse(int status, byte[] body) {
      respond(LinkCodec.Outcome.ANSWERED, status, body);
    }

    @Override
    public void onFailure(boolean sent) {
      respond(sent ? LinkCodec.Outcome.UNKNOWN : LinkCodec.Outcome.NOT_SENT, 0, NO_BODY);
    }

    private void respond(LinkCodec.Outcome outcome, int status, byte[] body) {
      beforeResponse.run();
      byte[] message = codec().encode(new LinkCodec.RelayedResult(outcome, status, body));
      request.respond(200, PeerMessenger.AVRO_CONTENT_TYPE, message, false);
    }
  }
}
