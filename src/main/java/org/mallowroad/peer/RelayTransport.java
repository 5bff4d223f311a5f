package org.mallowroad.peer;

import java.util.ArrayList;
import java.util.List;
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
 * What goes round cuts, by way of the other controllers: rows about links, calls to outside
 * parties, workers' reports, orders to workers. Each kind has connections of its own, so that one
 * that hangs holds up none of the others, and each is bounded: what is beyond the bound was
 * certainly not sent.
 */
public final class RelayTransport implements RelayedCaller.Ways {
  private static final String ROW = "/row";
  private static final String FORWARD = "/forward";
  private static final String CARRY = "/carry";
  private static final String WORKER = "worker";
  private static final long ROW_TIMEOUT_MS = 1_500;
  private static final long CARRY_TIMEOUT_MS = 3_000;
  private static final long ORDERS_TIMEOUT_MS = 4_000;

  /** What a peer is given beyond the call's own time, to say that there was no answer. */
  private static final long GRACE_MS = 300;

  private static final int MOST_CALLS = 48;
  private static final int MOST_CARRIED = 96;

  /** The largest answer of the state service, with room. */
  private static final int MOST_ANSWER = 640 * 1024;

  private static final byte[] NOTHING = new byte[0];

  /** The answer to a row of a process that seems to be an earlier one. */
  private static final int OUTRUN = 409;

  private final EventLoop loop;
  private final LinkStateTable links;
  private final Listener listener;
  private final List<RequestSender> rows = new ArrayList<>();
  private final List<RequestSender> calls = new ArrayList<>();
  private final List<RequestSender> reports = new ArrayList<>();
  private final boolean[] rowOut;
  private LinkCodec codec;
  private int serving;

  /** What the node does with its peers' messages. */
  public interface Listener {
    /** A peer's row; the answer is 0, or the beginning of a later process of that node. */
    long row(LinkStateAdvertisement row);

    /** Sends a peer's call on, by this node's own direct way only: so detours make no loops. */
    void forward(
        ExternalService to,
        String method,
        String path,
        byte[] body,
        long timeoutMs,
        RequestSender.ResponseHandler answer);

    /** Sends a peer's orders to a worker. */
    void commands(String address, byte[] body, RequestSender.ResponseHandler answer);

    /** A report that came to a peer; the answer is what the worker is to get. */
    void carried(int peer, byte[] report, RequestSender.ResponseHandler answer);
  }

  /** Over the members, whose order gives them their indices. */
  public RelayTransport(
      NodeEnvironment host, List<Member> members, LinkStateTable links, Listener listener) {
    this.loop = host.loop();
    this.links = links;
    this.listener = listener;
    this.rowOut = new boolean[members.size()];
    for (Member m : members) {
      rows.add(host.requestSender(m.endpoint(), PeerMessenger.AVRO, 2, 1024));
      calls.add(host.requestSender(m.endpoint(), PeerMessenger.AVRO, MOST_CALLS, MOST_ANSWER));
      reports.add(host.requestSender(m.endpoint(), PeerMessenger.AVRO, MOST_CARRIED, 128 * 1024));
    }
  }

  /** Made on first use: a start on a fraction of a core must not pay for Avro's classes. */
  private LinkCodec codec() {
    if (codec == null) {
      codec = new LinkCodec();
    }
    return codec;
  }

  /** Tells all peers this node's row; one that has not answered the last one is left out. */
  public void tell(LinkStateAdvertisement row) {
    byte[] message = codec().encode(row);
    for (int p = 0; p < rows.size(); p++) {
      if (!rowOut[p]) {
        rowOut[p] = true;
        int peer = p;
        long sentMs = loop.now();
        rows.get(p)
            .call(
                "POST",
                ROW,
                message,
                ROW_TIMEOUT_MS,
                new RequestSender.ResponseHandler() {
                  @Override
                  public void answered(int status, byte[] body) {
                    rowOut[peer] = false;
                    links.recordPeerCall(peer, true, sentMs, loop.now());
                    if (status == OUTRUN) {
                      outrun(body);
                    }
                  }

                  @Override
                  public void failed(boolean sent) {
                    rowOut[peer] = false;
                    links.recordPeerCall(peer, false, sentMs, loop.now());
                  }
                });
      }
    }
  }

  private void outrun(byte[] body) {
    try {
      links.supersede(codec().later(body).began());
    } catch (InvalidMessageException e) {
      // Another build's word: rows of this process are then left out there, as before.
    }
  }

  @Override
  public void forward(
      int peer,
      ExternalService party,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      RequestSender.ResponseHandler answer) {
    send(peer, party.name(), method, path, body, timeoutMs, answer);
  }

  /** Sends orders to a worker by way of a peer. */
  public void commands(
      int peer, String address, byte[] body, RequestSender.ResponseHandler answer) {
    send(peer, WORKER, "POST", address, body, ORDERS_TIMEOUT_MS, answer);
  }

  private void send(
      int peer,
      String to,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      RequestSender.ResponseHandler answer) {
    byte[] message =
        codec()
            .encode(
                new LinkCodec.Forward(to, method, path, body == null ? NOTHING : body, timeoutMs));
    long sentMs = loop.now();
    calls
        .get(peer)
        .call(
            "POST",
            FORWARD,
            message,
            timeoutMs + GRACE_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] bytes) {
                links.recordPeerCall(peer, true, sentMs, loop.now());
                LinkCodec.Forwarded f;
                try {
                  if (status != 200) {
                    // An earlier build (404), a message it cannot read, too much at once: it did
                    // nothing. Anything else may have come after the call was sent on, and taken
                    // for unsent a launch would count as not in flight.
                    answer.failed(status != 400 && status != 404 && status != 413 && status != 503);
                    return;
                  }
                  f = codec().forwarded(bytes);
                } catch (InvalidMessageException e) {
                  answer.failed(true);
                  return;
                }
                if (f.outcome() == LinkCodec.ANSWERED) {
                  answer.answered(f.status(), f.body());
                } else {
                  answer.failed(f.outcome() != LinkCodec.NOT_SENT);
                }
              }

              @Override
              public void failed(boolean sent) {
                // Unsent may mean that too many calls are out already; rows judge that link.
                if (sent) {
                  links.recordPeerCall(peer, false, sentMs, loop.now());
                }
                answer.failed(sent);
              }
            });
  }

  /** Takes a worker's report to a peer that leads; the answer is what the worker is to get. */
  public void carry(int peer, String self, byte[] report, RequestSender.ResponseHandler answer) {
    long sentMs = loop.now();
    reports
        .get(peer)
        .call(
            "POST",
            CARRY,
            codec().encode(new LinkCodec.Carry(self, report)),
            CARRY_TIMEOUT_MS,
            new RequestSender.ResponseHandler() {
              @Override
              public void answered(int status, byte[] body) {
                links.recordPeerCall(peer, true, sentMs, loop.now());
                try {
                  if (status == 200) {
                    LinkCodec.Forwarded f = codec().forwarded(body);
                    if (f.outcome() == LinkCodec.ANSWERED) {
                      answer.answered(f.status(), f.body());
                      return;
                    }
                  }
                } catch (InvalidMessageException e) {
                  // Counts as no answer.
                }
                answer.failed(true);
              }

              @Override
              public void failed(boolean sent) {
                if (sent) {
                  links.recordPeerCall(peer, false, sentMs, loop.now());
                }
                answer.failed(sent);
              }
            });
  }

  /** Takes a peer's message; false when it is of no kind that is known here. */
  boolean message(IncomingRequest x) throws InvalidMessageException {
    switch (x.path()) {
      case ROW -> {
        long later = listener.row(codec().row(x.body()));
        if (later == 0) {
          x.answer(204, PeerMessenger.AVRO, NOTHING, false);
        } else {
          x.answer(OUTRUN, PeerMessenger.AVRO, codec().encode(new LinkCodec.Later(later)), false);
        }
      }
      case FORWARD -> {
        LinkCodec.Forward f = codec().forward(x.body());
        if (serving >= MOST_CALLS) {
          x.answer(503, PeerMessenger.AVRO, NOTHING, true);
          return true;
        }
        // Before it is counted: a message that is refused must not take a place for ever.
        ExternalService to = f.to().equals(WORKER) ? null : party(f.to());
        serving++;
        RequestSender.ResponseHandler back = back(x, () -> serving--);
        if (to == null) {
          listener.commands(f.path(), f.body(), back);
        } else {
          byte[] body = f.body().length == 0 ? null : f.body();
          listener.forward(to, f.method(), f.path(), body, f.timeoutMs(), back);
        }
      }
      case CARRY -> {
        LinkCodec.Carry c = codec().carry(x.body());
        listener.carried(links.peerIndex(c.from()), c.report(), back(x, () -> {}));
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private static ExternalService party(String name) throws InvalidMessageException {
    for (ExternalService o : ExternalService.values()) {
      if (o.name().equals(name)) {
        return o;
      }
    }
    throw new InvalidMessageException("no such party");
  }

  private RequestSender.ResponseHandler back(IncomingRequest x, Runnable first) {
    return new RequestSender.ResponseHandler() {
      @Override
      public void answered(int status, byte[] body) {
        say(LinkCodec.ANSWERED, status, body);
      }

      @Override
      public void failed(boolean sent) {
        say(sent ? LinkCodec.UNKNOWN : LinkCodec.NOT_SENT, 0, NOTHING);
      }

      private void say(int outcome, int status, byte[] body) {
        first.run();
        x.answer(
            200,
            PeerMessenger.AVRO,
            codec().encode(new LinkCodec.Forwarded(outcome, status, body)),
            false);
      }
    };
  }
}
