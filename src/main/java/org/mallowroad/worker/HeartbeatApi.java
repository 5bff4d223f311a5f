package org.mallowroad.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.mallowroad.api.Reply;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.IncomingRequest;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers send: the leader answers with orders, the others name the leader. */
public final class HeartbeatApi {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatApi.class);

  private final EventLoop loop;
  private final Reports reports;
  private final LogLimiter garbled = LogLimiter.usual();
  private long wrong;

  /** What the node does with reports. */
  public interface Reports {
    /** A token in a report: a higher one than this node's ends its leadership. */
    void sawToken(long fencingToken);

    /** True while this node leads. */
    boolean leading();

    /** The leader's name, or null. */
    String leader();

    /** Carries a report to the leader by way of this node; false: its worker is sent on. */
    boolean carry(IncomingRequest x, Heartbeat r, String leader);

    /** Answers a report; null means not now. */
    void report(Heartbeat r, Consumer<ObjectNode> reply);
  }

  /** Over the node. */
  public HeartbeatApi(EventLoop loop, Reports reports) {
    this.loop = loop;
    this.reports = reports;
  }

  /** Reports that were not what the protocol says. */
  public long wrong() {
    return wrong;
  }

  /** POST /v1/report. */
  public void report(IncomingRequest x) {
    Heartbeat r;
    try {
      r = WorkerCodec.decodeHeartbeat(Json.parseObject(x.body()));
    } catch (InvalidMessageException e) {
      wrong++;
      long left = garbled.line(loop.now());
      if (left >= 0) {
        LOG.warn("event=report_garbled reason=\"{}\" left_out={}", e.getMessage(), left);
      }
      Reply.error(x, 400, e.getMessage());
      return;
    }
    reports.sawToken(r.fencingToken());
    // Also read where no leader is: while one is sought the reports that come to each node compile
    // the
    // code that the next leader needs (docs/results.md).
    if (!reports.leading()) {
      String leader = reports.leader();
      if (leader == null) {
        notNow(x, "no leader known");
        return;
      }
      if (reports.carry(x, r, leader)) {
        return;
      }
      ObjectNode o = Json.object();
      o.put(Fields.LEADER, leader);
      Reply.json(x, 421, o);
      return;
    }
    reports.report(
        r,
        commands -> {
          if (commands == null) {
            notNow(x, "not now");
          } else {
            Reply.json(x, 200, commands);
          }
        });
  }

  /** Turns a worker away without a hint where to go. */
  public static void notNow(IncomingRequest x, String reason) {
    Reply.later(x, reason);
  }
}
