package org.mallowroad.peer;

import com.fasterxml.jackson.databind.node.ObjectNode;
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
 * The other controllers. A new leader announces its term, so that a deposed one that is cut from
 * the state service yields at once; a node that learnt of a cancellation tells the others; and a
 * node cut from the state service passes users' requests on. Nothing here decides anything: a lost
 * message costs time, never a rule.
 */
public final class PeerMessenger {
  /** Form of all messages between controllers. */
  static final String AVRO = "avro/binary";

  private static final Logger LOG = LoggerFactory.getLogger(PeerMessenger.class);
  private static final String ANNOUNCE = "/announce";
  private static final String RELAY = "/relay";
  private static final String CANCELLED = "/cancelled";
  private static final String OVERLOADED = "/overloaded";
  private static final String READS_SHARED_STARTS = "/reads-shared-starts";
  private static final long TIMEOUT_MS = 1_200;

  private final EventLoop loop;
  private final LogLimiter garbled = LogLimiter.usual();
  private PeerCodec codec;
  private final List<RequestSender> callers = new ArrayList<>();
  private final Listener listener;
  private RelayTransport forwarding;
  private int next;
  private long wrong;

  /** What the node does with its peers' messages. */
  public interface Listener {
    /** Another node says that it leads. */
    void announced(String node, long term);

    /** These jobs are cancelled, as a peer knows for a fact. */
    void cancelled(List<String> jobs);

    /** The leader of that term has more to record than the state service takes. */
    void overloaded(long term);

    /** Serves a user's request that a peer passed on; it is not passed on again. */
    void relayed(String method, String path, byte[] body, Responder answerer);
  }

  /** Over the members. */
  public PeerMessenger(NodeEnvironment host, List<Member> members, Listener listener) {
    this.loop = host.loop();
    this.listener = listener;
    for (Member m : members) {
      callers.add(host.requestSender(m.endpoint(), AVRO, 16, 128 * 1024));
    }
  }

  /** Takes what goes round cuts as well. */
  public void forwarding(RelayTransport f) {
    forwarding = f;
  }

  /** Made on first use: a start on a fraction of a core must not pay for Avro's classes. */
  private PeerCodec codec() {
    if (codec == null) {
      codec = new PeerCodec();
    }
    return codec;
  }

  /** Messages that could not be read. */
  public long wrong() {
    return wrong;
  }

  /** Tells all peers who leads. */
  public void announce(String node, long term) {
    byte[] message = codec().encode(new PeerCodec.Announce(node, term));
    for (RequestSender c : callers) {
      announce(c, message, 3);
    }
  }

  private void announce(RequestSender c, byte[] message, int tries) {
    c.call(
        "POST",
        ANNOUNCE,
        message,
        TIMEOUT_MS,
        new RequestSender.ResponseHandler() {
          @Override
          public void answered(int status, byte[] body) {}

          @Override
          public void failed(boolean sent) {
            if (tries > 1) {
              loop.after(500, () -> announce(c, message, tries - 1));
            }
          }
        });
  }

  /** How many peers there are. */
  public int count() {
    return callers.size();
  }

  /** Asks whether a peer's build reads shared records of starts; an earlier one answers 404. */
  public void readsSharedStarts(int peer, Consumer<Boolean> told) {
    callers
        .get(peer)
        .call(
            "POST",
            READS_SHARED_STARTS,
            new byte[0],
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] body) {
                told.accept(status == 204);
              }

              @Override
              public void failed(boolean sent) {
                told.accept(false);
              }
            });
  }

  /** Tells all peers that the records lag; what is lost is said again a second later. */
  public void overloaded(long term) {
    byte[] message = codec().encode(new PeerCodec.Overloaded(term));
    for (RequestSender c : callers) {
      c.call(
          "POST",
          OVERLOADED,
          message,
          TIMEOUT_MS,
          new RequestSender.ResponseHandler() {
            @Override
            public void answered(int status, byte[] body) {}

            @Override
            public void failed(boolean sent) {}
          });
    }
  }

  /** Tells one peer that jobs are cancelled; {@code over} says whether it has taken it. */
  public void cancelled(int peer, List<String> jobs, Consumer<Boolean> over) {
    callers
        .get(peer)
        .call(
            "POST",
            CANCELLED,
            codec().encode(new PeerCodec.Cancelled(jobs)),
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] body) {
                // An earlier build's 404 is an answer: it will never take it.
                over.accept(status < 500);
              }

              @Override
              public void failed(boolean sent) {
                over.accept(false);
              }
            });
  }

  /** Passes a user's request on to a peer, then to the next; {@code failed} when none serves it. */
  public void relay(String method, String path, byte[] body, Responder answerer, Runnable failed) {
    relay(codec().encode(new PeerCodec.Relay(method, path, body)), 0, answerer, failed);
  }

  /**
   * Passes a user's request on to one peer, which is known to be better off; {@code failed} when it
   * does not answer.
   */
  public void relayTo(
      int peer, String method, String path, byte[] body, Responder answerer, Runnable failed) {
    callers
        .get(peer)
        .call(
            "POST",
            RELAY,
            codec().encode(new PeerCodec.Relay(method, path, body)),
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] bytes) {
                try {
                  PeerCodec.Relayed r = codec().relayed(bytes);
                  boolean later = r.status() >= 500 || r.status() == 429;
                  answerer.answer(r.status(), Json.parseObject(r.body()), later);
                } catch (InvalidMessageException e) {
                  garbled(e);
                  failed.run();
                }
              }

              @Override
              public void failed(boolean sent) {
                failed.run();
              }
            });
  }

  private void relay(byte[] message, int tried, Responder answerer, Runnable failed) {
    if (tried == callers.size()) {
      failed.run();
      return;
    }
    callers
        .get(Math.floorMod(next, callers.size()))
        .call(
            "POST",
            RELAY,
            message,
            TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] bytes) {
                try {
                  PeerCodec.Relayed r = codec().relayed(bytes);
                  if (r.status() < 500 && r.status() != 429) {
                    answerer.answer(r.status(), Json.parseObject(r.body()), false);
                    return;
                  }
                } catch (InvalidMessageException e) {
                  garbled(e);
                }
                another();
              }

              @Override
              public void failed(boolean sent) {
                another();
              }

              private void another() {
                next++;
                relay(message, tried + 1, answerer, failed);
              }
            });
  }

  /** Takes a peer's message. */
  public void message(IncomingRequest x) {
    try {
      if (x.path().equals(ANNOUNCE)) {
        PeerCodec.Announce a = codec().announce(x.body());
        listener.announced(a.node(), a.term());
        x.answer(204, AVRO, new byte[0], false);
      } else if (x.path().equals(CANCELLED)) {
        listener.cancelled(codec().cancelled(x.body()).jobs());
        x.answer(204, AVRO, new byte[0], false);
      } else if (x.path().equals(OVERLOADED)) {
        listener.overloaded(codec().overloaded(x.body()).term());
        x.answer(204, AVRO, new byte[0], false);
      } else if (x.path().equals(READS_SHARED_STARTS)) {
        x.answer(204, AVRO, new byte[0], false);
      } else if (x.path().equals(RELAY)) {
        PeerCodec.Relay r = codec().relay(x.body());
        listener.relayed(
            r.method(), r.path(), r.body(), (status, body, later) -> answer(x, status, body));
      } else if (forwarding == null || !forwarding.message(x)) {
        x.answer(404, AVRO, new byte[0], false);
      }
    } catch (InvalidMessageException e) {
      garbled(e);
      x.answer(400, AVRO, new byte[0], false);
    }
  }

  private void garbled(InvalidMessageException e) {
    wrong++;
    if (garbled.tryAcquire(loop.now())) {
      LOG.warn(
          "event=peer_message_invalid reason=\"{}\" suppressed={}",
          e.getMessage(),
          garbled.suppressed());
    }
  }

  private void answer(IncomingRequest x, int status, ObjectNode body) {
    x.answer(200, AVRO, codec().encode(new PeerCodec.Relayed(status, Json.bytes(body))), false);
  }
}
