package org.mallowroad.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mallowroad.api.Responder;
import org.mallowroad.config.Settings.Member;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.NodeEnvironment;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to the other controllers and receives theirs. A new leader announces its term, so
 * that a deposed leader that cannot reach the state service steps down at once; a node that learns
 * of a committed cancellation notifies the others; and a node that cannot reach the state service
 * relays users' requests. No message is needed for safety: losing one only causes a delay.
 *
 * <p>Peers are numbered by their position in the settings. Confined to the event loop.
 */
public final class PeerMessenger {
  /** The content type of all messages between controllers. */
  static final String AVRO_CONTENT_TYPE = "avro/binary";

  private static final Logger LOG = LoggerFactory.getLogger(PeerMessenger.class);
  private static final String ANNOUNCE_PATH = "/announce";
  private static final String RELAY_PATH = "/relay";
  private static final String CANCELLED_PATH = "/cancelled";
  private static final String OVERLOADED_PATH = "/overloaded";
  private static final String SHARED_ATTEMPT_RECORDS_PATH = "/reads-shared-starts";
  private static final long TIMEOUT_MS = 1_200;
  private static final int CONNECTIONS_PER_PEER = 16;
  private static final int MAX_RESPONSE_BYTES = 128 * 1024;
  private static final int ANNOUNCE_ATTEMPTS = 3;
  private static final long ANNOUNCE_RETRY_MS = 500;
  private static final byte[] NO_BODY = new byte[0];

  private final EventLoop loop;
  private final LogLimiter invalidMessageLogLimiter = LogLimiter.withDefaultLimits();
  private PeerCodec codec;
  private final List<RequestSender> senders = new ArrayList<>();
  private final Listener listener;
  private RelayTransport relayTransport;

  /** The first peer to which the next relayed request is sent, modulo the number of peers. */
  private int firstPeerToTry;

  private long invalidMessages;

  /** Handles the messages of peers. */
  public interface Listener {
    /** Another node announced that it is the leader of a term. */
    void onLeadershipAnnounced(String node, long term);

    /** A peer reported jobs whose cancellation is committed. */
    void onJobsCancelled(List<String> jobs);

    /** The leader of this term has more records to write than the state service accepts. */
    void onLeaderOverloaded(long term);

    /** Serves a user's request that a peer relayed; it is not relayed again. */
    void onRelayedRequest(String method, String path, byte[] body, Responder responder);
  }

  /** Creates a messenger whose peers are the members, in the order of the settings. */
  public PeerMessenger(NodeEnvironment environment, List<Member> members, Listener listener) {
    this.loop = environment.loop();
    this.listener = listener;
    for (Member member : members) {
      senders.add(
          environment.requestSender(
              member.endpoint(), AVRO_CONTENT_TYPE, CONNECTIONS_PER_PEER, MAX_RESPONSE_BYTES));
    }
  }

  /** Sets the relay transport that handles message types unknown to this class. */
  public void setRelayTransport(RelayTransport transport) {
    relayTransport = transport;
  }

  /** Created on first use: loading Avro's classes would slow the start on a fraction of a core. */
  private PeerCodec codec() {
    if (codec == null) {
      codec = new PeerCodec();
    }
    return codec;
  }

  /** The number of messages so far that could not be decoded. */
  public long invalidMessages() {
    return invalidMessages;
  }

  /** The number of peers. */
  public int peerCount() {
    return senders.size();
  }

  /** Announces to all peers that a node is the leader of a term. */
  public void announceLeadership(String node, long term) {
    byte[] message = codec().encode(new PeerCodec.LeadershipAnnouncement(node, term));
    for (RequestSender sender : senders) {
      announceLeadership(sender, message, ANNOUNCE_ATTEMPTS);
    }
  }

  private void announceLeadership(RequestSender sender, byte[] message, int attemptsLeft) {
    sender.send(
        "POST",
        ANNOUNCE_PATH,
        message,
        TIMEOUT_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {}

          @Override
          public void onFailure(boolean sent) {
            if (attemptsLeft > 1) {
              loop.after(
                  ANNOUNCE_RETRY_MS, () -> announceLeadership(sender, message, attemptsLeft - 1));
            }
          }
        });
  }

  /**
   * Asks a peer whether its build can read shared start records; a build that cannot answers 404.
   */
  public void checkSharedAttemptRecordSupport(int peer, Consumer<Boolean> onResult) {
    senders
        .get(peer)
        .send(
            "POST",
            SHARED_ATTEMPT_RECORDS_PATH,
            NO_BODY,
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] body) {
                onResult.accept(status == 204);
              }

              @Override
              public void onFailure(boolean sent) {
                onResult.accept(false);
              }
            });
  }

  /**
   * Notifies all peers that the leader is overloaded. Failed messages are not retried, since the
   * caller sends the notice repeatedly.
   */
  public void broadcastOverload(long term) {
    byte[] message = codec().encode(new PeerCodec.OverloadNotice(term));
    for (RequestSender sender : senders) {
      sender.send(
          "POST",
          OVERLOADED_PATH,
          message,
          TIMEOUT_MS,
          new RequestSender.ResponseHandler() {
            @Override
            public void onResponse(int status, byte[] body) {}

            @Override
            public void onFailure(boolean sent) {}
          });
    }
  }

  /**
   * Notifies one peer of cancelled jobs.
   *
   * @param onResult gets false if the notice must be sent again
   */
  public void sendCancelledJobs(int peer, List<String> jobs, Consumer<Boolean> onResult) {
    senders
        .get(peer)
        .send(
            "POST",
            CANCELLED_PATH,
            codec().encode(new PeerCodec.CancelledJobs(jobs)),
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] body) {
                // An earlier build answers 404; it does not support the message, so a retry is
                // pointless.
                onResult.accept(status < 500);
              }

              @Override
              public void onFailure(boolean sent) {
                onResult.accept(false);
              }
            });
  }

  /**
   * Relays a user's request to the peers in turn until one serves it.
   *
   * @param onNotServed called when no peer served the request
   */
  public void relayToAnyPeer(
      String method, String path, byte[] body, Responder responder, Runnable onNotServed) {
    byte[] message = codec().encode(new PeerCodec.RelayedRequest(method, path, body));
    relayToAnyPeer(message, 0, responder, onNotServed);
  }

  private void relayToAnyPeer(
      byte[] message, int peersTried, Responder responder, Runnable onNotServed) {
    if (peersTried == senders.size()) {
      onNotServed.run();
      return;
    }
    sendRelayedRequest(
        Math.floorMod(firstPeerToTry, senders.size()),
        message,
        new RelayedResponseHandler() {
          @Override
          void onResponse(PeerCodec.RelayedResponse response) throws InvalidMessageException {
            if (isRetriable(response.status())) {
              onFailure();
            } else {
              responder.respond(response.status(), Json.parseObject(response.body()), false);
            }
          }

          @Override
          void onFailure() {
            firstPeerToTry++;
            relayToAnyPeer(message, peersTried + 1, responder, onNotServed);
          }
        });
  }

  /**
   * Relays a user's request to one peer that is known to reach the state service.
   *
   * @param onNotServed called when the peer does not send a usable response
   */
  public void relayToPeer(
      int peer,
      String method,
      String path,
      byte[] body,
      Responder responder,
      Runnable onNotServed) {
    sendRelayedRequest(
        peer,
        codec().encode(new PeerCodec.RelayedRequest(method, path, body)),
        new RelayedResponseHandler() {
          @Override
          void onResponse(PeerCodec.RelayedResponse response) throws InvalidMessageException {
            responder.respond(
                response.status(),
                Json.parseObject(response.body()),
                isRetriable(response.status()));
          }

          @Override
          void onFailure() {
            onNotServed.run();
          }
        });
  }

  private void sendRelayedRequest(int peer, byte[] message, RelayedResponseHandler handler) {
    senders.get(peer).send("POST", RELAY_PATH, message, TIMEOUT_MS, handler);
  }

  /** Whether the status means that the request may succeed on another node or later. */
  private static boolean isRetriable(int status) {
    return status >= 500 || status == 429;
  }

  /** Decodes the response to a relayed request; a malformed response counts as no response. */
  private abstract class RelayedResponseHandler implements RequestSender.ResponseHandler {
    abstract void onResponse(PeerCodec.RelayedResponse response) throws InvalidMessageException;

    abstract void onFailure();

    @Override
    public final void onResponse(int status, byte[] bytes) {
      try {
        onResponse(codec().decodeResponse(bytes));
      } catch (InvalidMessageException e) {
        countInvalid(e);
        onFailure();
      }
    }

    @Override
    public final void onFailure(boolean sent) {
      onFailure();
    }
  }

  /** Handles a message from a peer; a message of an unknown type is answered with 404. */
  public void handleMessage(IncomingRequest request) {
    try {
      switch (request.path()) {
        case ANNOUNCE_PATH -> {
          PeerCodec.LeadershipAnnouncement announcement =
              codec().decodeAnnouncement(request.body());
          listener.onLeadershipAnnounced(announcement.node(), announcement.term());
          respond(request, 204);
        }
        case CANCELLED_PATH -> {
          listener.onJobsCancelled(codec().decodeCancelledJobs(request.body()).jobs());
          respond(request, 204);
        }
        case OVERLOADED_PATH -> {
          listener.onLeaderOverloaded(codec().decodeOverloadNotice(request.body()).term());
          respond(request, 204);
        }
        case SHARED_ATTEMPT_RECORDS_PATH -> respond(request, 204);
        case RELAY_PATH -> receiveRelayedRequest(request);
        default -> {
          if (relayTransport == null || !relayTransport.handleMessage(request)) {
            respond(request, 404);
          }
        }
      }
    } catch (InvalidMessageException e) {
      countInvalid(e);
      respond(request, 400);
    }
  }

  private void receiveRelayedRequest(IncomingRequest request) throws InvalidMessageException {
    PeerCodec.RelayedRequest relayed = codec().decodeRequest(request.body());
    listener.onRelayedRequest(
        relayed.method(),
        relayed.path(),
        relayed.body(),
        (status, body, retryLater) -> {
          byte[] message =
              codec().encode(new PeerCodec.RelayedResponse(status, Json.toBytes(body)));
          request.respond(200, AVRO_CONTENT_TYPE, message, false);
        });
  }

  private static void respond(IncomingRequest request, int status) {
    request.respond(status, AVRO_CONTENT_TYPE, NO_BODY, false);
  }

  private void countInvalid(InvalidMessageException e) {
    invalidMessages++;
    if (invalidMessageLogLimiter.tryAcquire(loop.now())) {
      LOG.warn(
          "event=peer_message_invalid reason=\"{}\" suppressed={}",
          e.getMessage(),
          invalidMessageLogLimiter.suppressedLines());
    }
  }
}
