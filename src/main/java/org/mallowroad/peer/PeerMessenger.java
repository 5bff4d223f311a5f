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
 * that a deposed leader that does not reach the state service steps down at once; a node that
 * learnt of a cancellation tells the others; and a node that does not reach the state service
 * relays users' requests. No message is needed for safety: a lost one only costs time.
 *
 * <p>Peers are numbered by their place in the settings. Confined to the event loop.
 */
public final class PeerMessenger {
  /** The content type of all messages between controllers. */
  static final String AVRO = "avro/binary";

  private static final Logger LOG = LoggerFactory.getLogger(PeerMessenger.class);
  private static final String ANNOUNCE = "/announce";
  private static final String RELAY = "/relay";
  private static final String CANCELLED = "/cancelled";
  private static final String OVERLOADED = "/overloaded";
  private static final String READS_SHARED_STARTS = "/reads-shared-starts";
  private static final long TIMEOUT_MS = 1_200;
  private static final int CONNECTIONS_PER_PEER = 16;
  private static final int MAX_RESPONSE_BYTES = 128 * 1024;
  private static final int ANNOUNCE_ATTEMPTS = 3;
  private static final long ANNOUNCE_RETRY_MS = 500;
  private static final byte[] EMPTY = new byte[0];

  private final EventLoop loop;
  private final LogLimiter invalidMessageLog = LogLimiter.withDefaultLimits();
  private PeerCodec codec;
  private final List<RequestSender> senders = new ArrayList<>();
  private final Listener listener;
  private RelayTransport relayTransport;

  /** Where the next relayed request is sent first, modulo the number of peers. */
  private int firstPeerToTry;

  private long invalidMessages;

  /** What the node does with its peers' messages. */
  public interface Listener {
    /** Another node announces that it leads in a term. */
    void onLeadershipAnnounced(String node, long term);

    /** A peer tells of jobs whose cancellation is committed. */
    void onJobsCancelled(List<String> jobs);

    /** The leader of that term has more to record than the state service accepts. */
    void onLeaderOverloaded(long term);

    /** Serves a user's request that a peer relayed; it is not relayed again. */
    void onRelayedRequest(String method, String path, byte[] body, Responder responder);
  }

  /** Sends to the members in the order of the settings. */
  public PeerMessenger(NodeEnvironment environment, List<Member> members, Listener listener) {
    this.loop = environment.loop();
    this.listener = listener;
    for (Member m : members) {
      senders.add(
          environment.requestSender(m.endpoint(), AVRO, CONNECTIONS_PER_PEER, MAX_RESPONSE_BYTES));
    }
  }

  /** Hands messages of other kinds to a relay transport. */
  public void setRelayTransport(RelayTransport transport) {
    relayTransport = transport;
  }

  /** Created on first use: a start on a fraction of a core must not pay for Avro's classes. */
  private PeerCodec codec() {
    if (codec == null) {
      codec = new PeerCodec();
    }
    return codec;
  }

  /** The number of messages so far that could not be read. */
  public long invalidMessages() {
    return invalidMessages;
  }

  /** The number of peers. */
  public int peerCount() {
    return senders.size();
  }

  /** Announces to all peers that a node leads in a term. */
  public void announceLeadership(String node, long term) {
    byte[] message = codec().encode(new PeerCodec.LeadershipAnnouncement(node, term));
    for (RequestSender sender : senders) {
      announceLeadership(sender, message, ANNOUNCE_ATTEMPTS);
    }
  }

  private void announceLeadership(RequestSender sender, byte[] message, int attempts) {
    sender.send(
        "POST",
        ANNOUNCE,
        message,
        TIMEOUT_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void onResponse(int status, byte[] body) {}

          @Override
          public void onFailure(boolean sent) {
            if (attempts > 1) {
              loop.after(
                  ANNOUNCE_RETRY_MS, () -> announceLeadership(sender, message, attempts - 1));
            }
          }
        });
  }

  /** Asks whether a peer's build reads shared start records; an earlier build answers 404. */
  public void checkSharedAttemptRecordSupport(int peer, Consumer<Boolean> result) {
    senders
        .get(peer)
        .send(
            "POST",
            READS_SHARED_STARTS,
            EMPTY,
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] body) {
                result.accept(status == 204);
              }

              @Override
              public void onFailure(boolean sent) {
                result.accept(false);
              }
            });
  }

  /** Tells all peers that the leader is overloaded; the caller repeats it, so it is not retried. */
  public void broadcastOverload(long term) {
    byte[] message = codec().encode(new PeerCodec.OverloadNotice(term));
    for (RequestSender sender : senders) {
      sender.send(
          "POST",
          OVERLOADED,
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

  /** Tells one peer of cancelled jobs; the listener gets whether it need not be told again. */
  public void sendCancelledJobs(int peer, List<String> jobs, Consumer<Boolean> listener) {
    senders
        .get(peer)
        .send(
            "POST",
            CANCELLED,
            codec().encode(new PeerCodec.CancelledJobs(jobs)),
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void onResponse(int status, byte[] body) {
                // An earlier build answers 404 and will never take the message.
                listener.accept(status < 500);
              }

              @Override
              public void onFailure(boolean sent) {
                listener.accept(false);
              }
            });
  }

  /**
   * Relays a user's request to one peer after the other until one serves it.
   *
   * @param failed called when no peer served it
   */
  public void relayToAnyPeer(
      String method, String path, byte[] body, Responder responder, Runnable failed) {
    byte[] message = codec().encode(new PeerCodec.RelayedRequest(method, path, body));
    relayToAnyPeer(message, 0, responder, failed);
  }

  private void relayToAnyPeer(
      byte[] message, int peersTried, Responder responder, Runnable failed) {
    if (peersTried == senders.size()) {
      failed.run();
      return;
    }
    relay(
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
            relayToAnyPeer(message, peersTried + 1, responder, failed);
          }
        });
  }

  /**
   * Relays a user's request to one peer, which is known to reach the state service.
   *
   * @param failed called when it does not answer
   */
  public void relayToPeer(
      int peer, String method, String path, byte[] body, Responder responder, Runnable failed) {
    relay(
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
            failed.run();
          }
        });
  }

  private void relay(int peer, byte[] message, RelayedResponseHandler handler) {
    senders.get(peer).send("POST", RELAY, message, TIMEOUT_MS, handler);
  }

  /** Whether a status says that the request may succeed elsewhere or later. */
  private static boolean isRetriable(int status) {
    return status >= 500 || status == 429;
  }

  /** Decodes the response to a relayed request; an unreadable one counts as none. */
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

  /** Serves a message of a peer; one of an unknown kind is answered 404. */
  public void handleMessage(IncomingRequest request) {
    try {
      switch (request.path()) {
        case ANNOUNCE -> {
          PeerCodec.LeadershipAnnouncement a = codec().decodeAnnouncement(request.body());
          listener.onLeadershipAnnounced(a.node(), a.term());
          answer(request, 204);
        }
        case CANCELLED -> {
          listener.onJobsCancelled(codec().decodeCancelledJobs(request.body()).jobs());
          answer(request, 204);
        }
        case OVERLOADED -> {
          listener.onLeaderOverloaded(codec().decodeOverloadNotice(request.body()).term());
          answer(request, 204);
        }
        case READS_SHARED_STARTS -> answer(request, 204);
        case RELAY -> receiveRelayed(request);
        default -> {
          if (relayTransport == null || !relayTransport.handleMessage(request)) {
            answer(request, 404);
          }
        }
      }
    } catch (InvalidMessageException e) {
      countInvalid(e);
      answer(request, 400);
    }
  }

  private void receiveRelayed(IncomingRequest request) throws InvalidMessageException {
    PeerCodec.RelayedRequest r = codec().decodeRequest(request.body());
    listener.onRelayedRequest(
        r.method(),
        r.path(),
        r.body(),
        (status, body, retryLater) -> {
          byte[] message =
              codec().encode(new PeerCodec.RelayedResponse(status, Json.toBytes(body)));
          request.respond(200, AVRO, message, false);
        });
  }

  private static void answer(IncomingRequest request, int status) {
    request.respond(status, AVRO, EMPTY, false);
  }

  private void countInvalid(InvalidMessageException e) {
    invalidMessages++;
    if (invalidMessageLog.tryAcquire(loop.now())) {
      LOG.warn(
          "event=peer_message_invalid reason=\"{}\" suppressed={}",
          e.getMessage(),
          invalidMessageLog.suppressed());
    }
  }
}
