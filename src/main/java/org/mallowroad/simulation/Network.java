package org.mallowroad.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.mallowroad.net.RequestSender;

/**
 * Requests and answers between parties, each over a link of its own direction. Messages of one link
 * keep their order. A cut decides about each message at the moment when it sets out.
 */
final class Network {
  /** What a cut does with messages. */
  enum Mode {
    /** Connections are refused: certainly not sent. */
    REFUSE,
    /** Connections are reset: the sender learns it at once, and cannot know what arrived. */
    RESET,
    /** Nothing is said; what was sent arrives when the cut is over. */
    HOLD,
    /** Nothing is said, and nothing arrives later. */
    LOST,
    /** Now and then a message is lost and sent again. */
    LOSSY
  }

  /** Who can send and receive. */
  static class Party extends EventQueue.Actor {
    final Kind kind;
    final int index;
    final String name;
    final String zone;

    /** True while nothing that is sent to it arrives, though what it sends does. */
    boolean inboundLost;

    /** True while it reaches no controller, though they reach it. */
    boolean outboundLost;

    Party(Kind kind, int index, String name, String zone) {
      this.kind = kind;
      this.index = index;
      this.name = name;
      this.zone = zone;
    }

    /** Takes a request; the default says nothing. */
    void handleRequest(Party from, String method, String target, byte[] body, Reply reply) {}

    /** False where nothing listens although the machine is there. */
    boolean isListening() {
      return isAlive();
    }
  }

  /** Kinds of parties. */
  enum Kind {
    NODE,
    STATE,
    CLOUD,
    WORKER,
    USERS
  }

  /** Gives the one answer to a request. */
  interface Reply {
    void answer(int status, byte[] body);
  }

  /** One end of a cut: all parties of a kind, or one of them, or those of a zone. */
  record PartySelector(Kind kind, int index, String zone) {
    boolean matches(Party p) {
      return (kind == null || p.kind == kind)
          && (index < 0 || p.index == index)
          && (zone == null || zone.equals(p.zone));
    }
  }

  /** Messages from one end to the other fail until it is lifted. */
  private static final class Cut {
    private final PartySelector from;
    private final PartySelector to;
    private final Mode mode;
    private final ArrayDeque<Runnable> held = new ArrayDeque<>();
    private boolean over;

    Cut(PartySelector from, PartySelector to, Mode mode) {
      this.from = from;
      this.to = to;
      this.mode = mode;
    }

    boolean cuts(Party a, Party b) {
      // A zone that is cut from everything goes on inside.
      return !over
          && from.matches(a)
          && to.matches(b)
          && !(to.kind == null && to.zone == null && from.zone != null && from.zone.equals(b.zone))
          && !(from.kind == null && from.zone == null && to.zone != null && to.zone.equals(a.zone));
    }
  }

  /** What a deaf or mute party's messages run into: nothing is said, and nothing held. */
  private static final Cut SILENCE = new Cut(null, null, Mode.LOST);

  private static final long LATENCY_US = 400;
  private static final long AGAIN_US = 220_000;

  /** A copy comes this much later at the most. */
  private static final long COPY_US = 60_000_000;

  private final EventQueue time;
  private final SplittableRandom random;
  private final List<Cut> cuts = new ArrayList<>();
  private final Map<Long, Long> last = new HashMap<>();
  private final Map<Party, Integer> ids = new HashMap<>();

  /** While above 0, one request in so many that was delivered comes once more. */
  int duplicateOneIn;

  /** While above 0, one report in so many comes once more, to any controller, much later. */
  int lateReportOneIn;

  /** While above 0, one transaction in so many is carried out late and never answered. */
  int lateWriteOneIn;

  /** While above 0, one transaction in so many is carried out, and its answer is lost. */
  int lostAnswerOneIn;

  /** While above 0, one direct command in so many is carried out late and never answered. */
  int lateCommandOneIn;

  /** While above 0, a copy of one report in so many is kept for {@link #replayReports}. */
  int replayReportOneIn;

  private record ReplayedReport(Party from, byte[] body) {}

  private final ArrayDeque<ReplayedReport> reportsToReplay = new ArrayDeque<>();

  /** Reports that are kept; the oldest go first. */
  private static final int MOST_KEPT = 200;

  /** A late transaction or command comes this much later at least. */
  private static final long LATE_US = 2_000_000;

  private static final long MOST_LATE_WRITE_US = 10_000_000;
  private static final long MOST_LATE_COMMAND_US = 14_000_000;

  /** A late copy of a report comes this much later at the most: several leases. */
  private static final long LATE_REPORT_US = 60_000_000;

  Network(EventQueue time, SplittableRandom random) {
    this.time = time;
    this.random = random;
  }

  /** Cuts a direction; what comes back lifts the cut and lets go what was held, in order. */
  Runnable cut(PartySelector from, PartySelector to, Mode mode) {
    Cut c = new Cut(from, to, mode);
    cuts.add(c);
    return () -> {
      c.over = true;
      cuts.remove(c);
      Runnable r;
      while ((r = c.held.pollFirst()) != null) {
        r.run();
      }
    };
  }

  /** Changes answers of controllers to users; tests of the checker put a faulty service here. */
  interface AnswerFilter {
    byte[] answer(Party from, String target, byte[] body);
  }

  AnswerFilter answerFilter = (from, target, body) -> body;

  private Cut cutting(Party a, Party b) {
    if (b.inboundLost) {
      return SILENCE;
    }
    for (Cut c : cuts) {
      if (c.mode != Mode.LOSSY && c.cuts(a, b)) {
        return c;
      }
    }
    return null;
  }

  /** Delivers in order on the link, after the way's time. */
  private void travel(Party a, Party b, Runnable arrival) {
    long us = LATENCY_US + random.nextLong(LATENCY_US * (same(a, b) ? 1 : 4));
    for (Cut c : cuts) {
      if (c.mode == Mode.LOSSY && c.cuts(a, b) && random.nextInt(4) == 0) {
        us += AGAIN_US * (1 + random.nextInt(4));
      }
    }
    long link = ((long) id(a) << 32) | id(b);
    long at = Math.max(time.nowUs() + us, last.getOrDefault(link, 0L) + 1);
    last.put(link, at);
    time.schedule(at - time.nowUs(), null, arrival);
  }

  private int id(Party p) {
    return ids.computeIfAbsent(p, x -> ids.size());
  }

  private static boolean same(Party a, Party b) {
    return a.zone != null && a.zone.equals(b.zone);
  }

  /** Sends a request; exactly one of the answer's methods is called, on the sender's life. */
  void call(
      Party a,
      Party b,
      String method,
      String target,
      byte[] body,
      long timeoutMs,
      RequestSender.ResponseHandler answer) {
    Call call = new Call(a);
    time.schedule(timeoutMs * 1000, a, () -> call.end(() -> answer.onFailure(true)));
    Runnable arrival =
        () -> {
          if (!b.isListening()) {
            // A process that is gone refuses; a machine that is gone says nothing.
            if (b.kind == Kind.NODE) {
              back(b, a, () -> call.end(() -> answer.onFailure(false)));
            }
            return;
          }
          time.schedule(
              0,
              b,
              () ->
                  b.handleRequest(
                      a,
                      method,
                      target,
                      body,
                      (status, bytes) ->
                          back(
                              b,
                              a,
                              () ->
                                  call.end(
                                      () ->
                                          answer.onResponse(
                                              status,
                                              a.kind == Kind.USERS
                                                  ? answerFilter.answer(b, target, bytes)
                                                  : bytes)))));
        };
    if (lateWriteOneIn > 0 && target.equals("/multi") && random.nextInt(lateWriteOneIn) == 0) {
      // Carried out after newer ones of the same sender, who never hears of it.
      unanswered(a, b, method, target, body, LATE_US + random.nextLong(MOST_LATE_WRITE_US));
      return;
    }
    if (lateCommandOneIn > 0 && target.equals("/orders") && random.nextInt(lateCommandOneIn) == 0) {
      unanswered(a, b, method, target, body, LATE_US + random.nextLong(MOST_LATE_COMMAND_US));
      return;
    }
    if (lostAnswerOneIn > 0 && target.equals("/multi") && random.nextInt(lostAnswerOneIn) == 0) {
      unanswered(a, b, method, target, body, LATENCY_US);
      return;
    }
    if (replayReportOneIn > 0
        && target.equals("/v1/report")
        && a.kind == Kind.WORKER
        && random.nextInt(replayReportOneIn) == 0) {
      reportsToReplay.add(new ReplayedReport(a, body));
      if (reportsToReplay.size() > MOST_KEPT) {
        reportsToReplay.removeFirst();
      }
    }
    if (lateReportOneIn > 0
        && target.equals("/v1/report")
        && a.kind == Kind.WORKER
        && random.nextInt(lateReportOneIn) == 0) {
      lateReport(a, body);
    }
    Cut c = a.outboundLost && b.kind == Kind.NODE ? SILENCE : cutting(a, b);
    if (c == null) {
      travel(a, b, arrival);
      if (duplicateOneIn > 0 && a.kind != Kind.USERS && random.nextInt(duplicateOneIn) == 0) {
        copy(a, b, method, target, body);
      }
      return;
    }
    switch (c.mode) {
      case LOST -> {
        // The caller's own time is all that ends it.
      }
      case REFUSE -> time.schedule(LATENCY_US, a, () -> call.end(() -> answer.onFailure(false)));
      case RESET -> time.schedule(LATENCY_US, a, () -> call.end(() -> answer.onFailure(true)));
      default -> {
        // A connection attempt that is given up does not complete later; one that stood does.
        if (random.nextBoolean()) {
          c.held.add(() -> travel(a, b, arrival));
        }
      }
    }
  }

  /** The controllers, to which late copies of reports go. */
  List<? extends Party> controllers = List.of();

  private void lateReport(Party from, byte[] body) {
    Party to = controllers.get(random.nextInt(controllers.size()));
    time.schedule(
        2_000_000 + random.nextLong(LATE_REPORT_US),
        null,
        () -> {
          if (to.isListening()) {
            time.schedule(
                0, to, () -> to.handleRequest(from, "POST", "/v1/report", body, (s, x) -> {}));
          }
        });
  }

  /** Delivers a request after a while; its sender never gets an answer. */
  private void unanswered(
      Party a, Party b, String method, String target, byte[] body, long afterUs) {
    time.schedule(
        afterUs,
        null,
        () -> {
          if (b.isListening()) {
            time.schedule(
                0, b, () -> b.handleRequest(a, method, target, body, (status, bytes) -> {}));
          }
        });
  }

  /**
   * Delivers the kept reports to every controller.
   *
   * @return how many there were
   */
  int replayReports() {
    int count = reportsToReplay.size();
    ReplayedReport report;
    while ((report = reportsToReplay.pollFirst()) != null) {
      for (Party to : controllers) {
        long us = LATENCY_US + random.nextLong(COPY_SPREAD_US);
        unanswered(report.from, to, "POST", "/v1/report", report.body, us);
      }
    }
    return count;
  }

  /** Within so long all kept reports arrive. */
  private static final long COPY_SPREAD_US = 200_000;

  /** The same request once more; nobody waits for its answer. */
  private void copy(Party a, Party b, String method, String target, byte[] body) {
    Runnable lands =
        () -> {
          if (b.isListening()) {
            time.schedule(
                0, b, () -> b.handleRequest(a, method, target, body, (status, bytes) -> {}));
          }
        };
    time.schedule(LATENCY_US + random.nextLong(COPY_US), null, lands);
  }

  /** An answer on its way; one that is cut off by a reset leaves the asker without any. */
  private void back(Party b, Party a, Runnable arrival) {
    Cut c = cutting(b, a);
    int life = a.generation();
    Runnable lands =
        () -> {
          if (a.generation() == life) {
            time.schedule(0, a, arrival);
          }
        };
    if (c == null) {
      travel(b, a, lands);
    } else if (c.mode == Mode.HOLD) {
      c.held.add(() -> travel(b, a, lands));
    }
  }

  private static final class Call {
    private final Party of;
    private final int life;
    private boolean over;

    Call(Party of) {
      this.of = of;
      this.life = of.generation();
    }

    void end(Runnable last) {
      if (!over && of.generation() == life) {
        over = true;
        last.run();
      }
    }
  }
}
