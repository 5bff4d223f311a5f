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
 * Exchanges link states with the other controllers, and relays through them what cannot go
 * directly: calls to external services, workers' heartbeats and commands to workers.
 *
 * <p>Each kind of message has connections of its own, so that one that hangs holds up none of the
 * others, and each is bounded: a message beyond the bound was certainly not sent. Peers are
 * numbered by their place in the settings. Confined to the event loop.
 */
public final class RelayTransport implements RelayingRequestSender.CallRelay {
  /** The receiver of a relayed call that is for a worker's address. */
  static final String WORKER = "worker";

  private static final String LINK_STATE_PATH = "/row";
  private static final String CALL_PATH = "/forward";
  private static final String HEARTBEAT_PATH = "/carry";
  private static final long LINK_STATE_TIMEOUT_MS = 1_500;
  private static final long HEARTBEAT_TIMEOUT_MS = 3_000;
  private static final long COMMANDS_TIMEOUT_MS = 4_000;

  /** What a peer is given beyond the call's own time-out, to report that there was no answer. */
  private static final long RELAY_OVERHEAD_MS = 300;

  /** Relayed calls at once: sent to one peer, and served for all peers. */
  private static final int MAX_CALLS = 48;

  private static final int MAX_HEARTBEATS = 96;
  private static final int LINK_STATE_CONNECTIONS = 2;
  private static final int MAX_LINK_STATE_RESPONSE_BYTES = 1024;
  private static final int MAX_HEARTBEAT_RESPONSE_BYTES = 128 * 1024;

  /** The largest response of the state service, and what surrounds it. */
  private static final int MAX_CALL_RESPONSE_BYTES = 640 * 1024;

  private static final byte[] EMPTY = new byte[0];

  /** The response to a link state of a process that seems to have been replaced by a newer one. */
  private static final int STATUS_SUPERSEDED = 409;

  private final EventLoop loop;
  private final LinkStateTable links;
  private final Listener listener;
  private final List<RequestSender> linkStateSenders = new ArrayList<>();
  private final List<RequestSender> callSenders = new ArrayList<>();
  private final List<RequestSender> heartbeatSenders = new ArrayList<>();

  /** By peer: whether the last link state sent to it is in flight. */
  private final boolean[] linkStateInFlight;

  private LinkCodec codec;
  private int callsBeingServed;

  /** What the node does with its peers' messages. */
  public interface Listener {
    /**
     * Takes a peer's link state.
     *
     * @return the start time of a newer process of that node, where one is known
     */
    OptionalLong onLinkState(LinkStateAdvertisement linkState);

    /** Makes a peer's call by this node's own direct way only, so that relays form no loops. */
    void onRelayedCall(
        ExternalService to,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        RequestSender.ResponseHandler handler);

    /** Sends a peer's commands to a worker. */
    void onRelayedCommands(String address, byte[] body, RequestSender.ResponseHandler handler);

    /** Serves a heartbeat that arrived at a peer; the worker gets the response. */
    void onRelayedHeartbeat(int peer, byte[] heartbeat, RequestSender.ResponseHandler handler);
  }

  /** Sends to the members in the order of the settings. */
  public RelayTransport(
      NodeEnvironment environment, List<Member> members, LinkStateTable links, Listener listener) {
    this.loop = environment.loop();
    this.links = links;
    this.listener = listener;
    this.linkStateInFlight = new boolean[members.size()];
    for (Member m : members) {
      linkStateSenders.add(
          environment.requestSender(
              m.endpoint(),
              PeerMessenger.AVRO,
              LINK_STATE_CONNECTIONS,
              MAX_LINK_STATE_RESPONSE_BYTES));
      callSenders.add(
          environment.requestSender(
              m.endpoint(), PeerMessenger.AVRO, MAX_CALLS, MAX_CALL_RESPONSE_BYTES));
      heartbeatSenders.add(
          environment.requestSender(
              m.endpoint(), PeerMessenger.AVRO, MAX_HEARTBEATS, MAX_HEARTBEAT_RESPONSE_BYTES));
    }
  }

  /** Created on first use: a start on a fraction of a core must not pay for Avro's classes. */
  private LinkCodec codec() {
    if (codec == null) {
      codec = new LinkCodec();
    }
    return codec;
  }

  /** Sends this node's link state to all peers but those that have not answered the last one. */
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
                links.recordPeerCall(peer, true, sentMs, loop.now());
                if (status == STATUS_SUPERSEDED) {
                  superseded(body);
                }
              }

              @Override
              public void onFailure(boolean sent) {
                linkStateInFlight[peer] = false;
                links.recordPeerCall(peer, false, sentMs, loop.now());
              }
            });
  }

  private void superseded(byte[] body) {
    try {
      links.advanceStartTimePast(codec().decodeNewerProcess(body).startedMs());
    } catch (InvalidMessageException e) {
      // Another build's response: the peer goes on ignoring this process's link states.
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
    byte[] sentBody = body == null ? EMPTY : body;
    relay(
        peer,
        new LinkCodec.RelayedCall(service.name(), method, path, sentBody, timeoutMs),
        handler);
  }

  /** Sends commands to a worker's address through a peer. */
  public void relayCommands(
      int peer, String address, byte[] body, RequestSender.ResponseHandler handler) {
    relay(
        peer,
        new LinkCodec.RelayedCall(WORKER, "POST", address, body, COMMANDS_TIMEOUT_MS),
        handler);
  }

  private void relay(int peer, LinkCodec.RelayedCall call, RequestSender.ResponseHandler handler) {
    callSenders
        .get(peer)
        .send(
            "POST",
            CALL_PATH,
            codec().encode(call),
            call.timeoutMs() + RELAY_OVERHEAD_MS,
            new RelayedResultHandler(peer, handler) {
              @Override
              void rejected(int status) {
                handler.onFailure(mayHaveRelayed(status));
              }

              @Override
              void notAnswered(LinkCodec.Outcome outcome) {
                handler.onFailure(outcome != LinkCodec.Outcome.NOT_SENT);
              }
            });
  }

  /**
   * Whether a peer that answered with an error may have made the call. An earlier build (404), a
   * message it cannot read (400, 413) and too many calls at once (503) did nothing. Any other error
   * may have come after the call was made: taken for unsent, a launch would count as not in flight.
   */
  private static boolean mayHaveRelayed(int status) {
    return status != 400 && status != 404 && status != 413 && status != 503;
  }

  /** Relays a worker's heartbeat to a peer that leads; the worker gets the response. */
  public void relayHeartbeat(
      int peer, String self, byte[] heartbeat, RequestSender.ResponseHandler handler) {
    heartbeatSenders
        .get(peer)
        .send(
            "POST",
            HEARTBEAT_PATH,
            codec().encode(new LinkCodec.RelayedHeartbeat(self, heartbeat)),
            HEARTBEAT_TIMEOUT_MS,
            new RelayedResultHandler(peer, handler) {
              @Override
              void rejected(int status) {
                handler.onFailure(true);
              }

              @Override
              void notAnswered(LinkCodec.Outcome outcome) {
                handler.onFailure(true);
              }
            });
  }

  /** Hands the result of a relayed request on, and records whether the peer was reached. */
  private abstract class RelayedResultHandler implements RequestSender.ResponseHandler {
    private final int peer;
    private final RequestSender.ResponseHandler handler;
    private final long sentMs = loop.now();

    RelayedResultHandler(int peer, RequestSender.ResponseHandler handler) {
      this.peer = peer;
      this.handler = handler;
    }

    /** The peer answered with an error instead of a result. */
    abstract void rejected(int status);

    /** The peer got no answer to the relayed request. */
    abstract void notAnswered(LinkCodec.Outcome outcome);

    @Override
    public final void onResponse(int status, byte[] bytes) {
      links.recordPeerCall(peer, true, sentMs, loop.now());
      if (status != 200) {
        rejected(status);
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
        notAnswered(result.outcome());
      }
    }

    @Override
    public final void onFailure(boolean sent) {
      // Unsent may only mean that too many requests are in flight; link states judge that link.
      if (sent) {
        links.recordPeerCall(peer, false, sentMs, loop.now());
      }
      handler.onFailure(sent);
    }
  }

  /**
   * Serves a peer's message.
   *
   * @return false when the message is of no kind that is known here
   */
  boolean handleMessage(IncomingRequest request) throws InvalidMessageException {
    switch (request.path()) {
      case LINK_STATE_PATH -> receiveLinkState(request);
      case CALL_PATH -> receiveCall(request);
      case HEARTBEAT_PATH -> {
        LinkCodec.RelayedHeartbeat h = codec().decodeHeartbeat(request.body());
        listener.onRelayedHeartbeat(
            links.peerIndex(h.from()), h.heartbeat(), new ResultResponder(request, () -> {}));
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private void receiveLinkState(IncomingRequest request) throws InvalidMessageException {
    OptionalLong newer = listener.onLinkState(codec().decodeLinkState(request.body()));
    if (newer.isPresent()) {
      byte[] body = codec().encode(new LinkCodec.NewerProcess(newer.getAsLong()));
      request.respond(STATUS_SUPERSEDED, PeerMessenger.AVRO, body, false);
    } else {
      request.respond(204, PeerMessenger.AVRO, EMPTY, false);
    }
  }

  private void receiveCall(IncomingRequest request) throws InvalidMessageException {
    LinkCodec.RelayedCall call = codec().decodeCall(request.body());
    if (callsBeingServed >= MAX_CALLS) {
      request.respond(503, PeerMessenger.AVRO, EMPTY, true);
      return;
    }
    // Before it is counted: a message that is refused must not occupy a place for ever.
    ExternalService service = call.to().equals(WORKER) ? null : service(call.to());
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

  private static ExternalService service(String name) throws InvalidMessageException {
    for (ExternalService s : ExternalService.values()) {
      if (s.name().equals(name)) {
        return s;
      }
    }
    throw new InvalidMessageException("no such service");
  }

  /** Sends the result of a relayed request back to the peer. */
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
      respond(sent ? LinkCodec.Outcome.UNKNOWN : LinkCodec.Outcome.NOT_SENT, 0, EMPTY);
    }

    private void respond(LinkCodec.Outcome outcome, int status, byte[] body) {
      beforeResponse.run();
      byte[] message = codec().encode(new LinkCodec.RelayedResult(outcome, status, body));
      request.respond(200, PeerMessenger.AVRO, message, false);
    }
  }
}
