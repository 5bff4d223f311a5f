package org.mallowroad.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.mallowroad.net.RequestSender;

/**
 * Models the network between all parties. Each ordered pair of parties has a link that delivers
 * messages in the order in which they were sent. Cuts apply to a message when it is sent.
 */
final class Network {
  /** What a cut does with messages. */
  enum Mode {
    /** Connections are refused; the sender knows that nothing was sent. */
    REFUSE,
    /** Connections are reset; the sender learns it at once, but not whether the message arrived. */
    RESET,
    /** Messages are held without notice; half of the requests, and all answers, arrive later. */
    HOLD,
    /** Messages are lost without notice. */
    LOST,
    /** A quarter of the messages are lost and retransmitted, up to four times. */
    LOSSY
  }

  /** A sender and receiver of messages. */
  static class Party extends EventQueue.Actor {
    final Kind kind;
    final int index;
    final String name;
    final String zone;

    /** While true, messages to this party are lost, but messages from it arrive. */
    boolean inboundLost;

    /** While true, its requests to controllers are lost, but controllers reach it. */
    boolean outboundLost;

    Party(Kind kind, int index, String name, String zone) {
      this.kind = kind;
      this.index = index;
      this.name = name;
      this.zone = zone;
    }

    /** Handles a request; the default implementation never answers. */
    void handleRequest(Party from, String method, String target, byte[] body, Reply reply) {}

    /** Returns whether it accepts requests; a machine without a running process does not. */
    boolean isListening() {
      return isAlive();
    }
  }

  /** The kinds of parties. */
  enum Kind {
    NODE,
    STATE,
    CLOUD,
    WORKER,
    USERS
  }

  /** Sends the answer to a request; called at most once. */
  interface Reply {
    void answer(int status, byte[] body);
  }

  /**
   * Selects the parties at one end of a cut: a null kind or zone, or a negative index, matches all.
   */
  record PartySelector(Kind kind, int index, String zone) {
    boolean matches(Party p) {
      return (kind == null || p.kind == kind)
          && (index < 0 || p.index == index)
          && (zone == null || zone.equals(p.zone));
    }
  }

  /** A cut of the links from one group of parties to another, until it is lifted. */
  private static final class Cut {
    private final PartySelector from;
    private final PartySelector to;
    private final Mode mode;
    private final ArrayDeque<Runnable> heldMessages = new ArrayDeque<>();
    private boolean lifted;

    Cut(PartySelector from, PartySelector to, Mode mode) {
      this.from = from;
      this.to = to;
      this.mode = mode;
    }

    boolean applies(Party sender, Party receiver) {
      // If a zone is cut off from all parties, links inside the zone still work.
      return !lifted
          && from.matches(sender)
          && to.matches(receiver)
          && !(to.kind == null
              && to.zone == null
              && from.zone != null
              && from.zone.equals(receiver.zone))
          && !(from.kind == null
              && from.zone == null
              && to.zone != null
              && to.zone.equals(sender.zone));
    }
  }

  /** Applies to messages lost because of a party's inboundLost or outboundLost flag. */
  private static final Cut SILENT_LOSS = new Cut(null, null, Mode.LOST);

  private static final String DIRECT_COMMANDS_PATH = "/orders";

  /** A process that has stood still has much to do before its new connections are set up. */
  private static final long CONNECT_AFTER_FREEZE_US = 1_000_000;

  private static final long LATENCY_US = 400;
  private static final long RETRANSMISSION_US = 220_000;

  /** A duplicate of a request arrives up to this much later. */
  private static final long DUPLICATE_SPREAD_US = 60_000_000;

  private final EventQueue eventQueue;
  private final SplittableRandom random;
  private final List<Cut> cuts = new ArrayList<>();
  private final Map<Long, Long> lastArrivalUs = new HashMap<>();
  private final Map<Party, Integer> partyIds = new HashMap<>();

  /** If above 0, one in this many delivered requests is delivered a second time. */
  int duplicateOneIn;

  /** If above 0, a copy of one in this many reports reaches a random controller much later. */
  int lateReportOneIn;

  /** If above 0, one in this many transactions is executed late and never answered. */
  int lateWriteOneIn;

  /** If above 0, one in this many transactions is executed at once, but its answer is lost. */
  int lostAnswerOneIn;

  /** If above 0, one in this many direct commands is executed late and never answered. */
  int lateCommandOneIn;

  /** If above 0, one in this many responses to reports is delayed; other messages overtake it. */
  int delayedResponseOneIn;

  /** Called with the sender of each direct command, before it is sent. */
  Consumer<Party> directCommandListener = sender -> {};

  /** If above 0, a copy of one in this many reports is stored for {@link #replayReports}. */
  int replayReportOneIn;

  private record ReplayedReport(Party from, byte[] body) {}

  private final ArrayDeque<ReplayedReport> reportsToReplay = new ArrayDeque<>();

  /** Maximum number of stored reports; the oldest are dropped first. */
  private static final int MAX_REPORTS_TO_REPLAY = 200;

  /** Minimum delay of a late transaction or command. */
  private static final long MIN_LATE_US = 2_000_000;

  /** Minimum delay of a delayed response. */
  private static final long MIN_RESPONSE_DELAY_US = 300_000;

  /**
   * With the minimum and the latency less than a worker's timeout of 4 s, so that it is in time.
   */
  private static final long RESPONSE_DELAY_SPREAD_US = 3_500_000;

  private static final long LATE_WRITE_SPREAD_US = 10_000_000;
  private static final long LATE_COMMAND_SPREAD_US = 14_000_000;

  /** Maximum extra delay of a late report copy, which is longer than several leases. */
  private static final long LATE_REPORT_SPREAD_US = 60_000_000;

  Network(EventQueue eventQueue, SplittableRandom random) {
    this.eventQueue = eventQueue;
    this.random = random;
  }

  /**
   * Cuts the links in one direction.
   *
   * @return an action that lifts the cut and sends the held messages in their order
   */
  Runnable cut(PartySelector from, PartySelector to, Mode mode) {
    Cut cut = new Cut(from, to, mode);
    cuts.add(cut);
    return () -> {
      cut.lifted = true;
      cuts.remove(cut);
      Runnable message;
      while ((message = cut.heldMessages.pollFirst()) != null) {
        message.run();
      }
    };
  }

  /** Changes answers of controllers to users, so that tests can simulate a faulty service. */
  interface AnswerFilter {
    byte[] answer(Party from, String target, byte[] body);
  }

  AnswerFilter answerFilter = (from, target, body) -> body;

  private Cut activeCut(Party sender, Party receiver) {
    if (receiver.inboundLost) {
      return SILENT_LOSS;
    }
    for (Cut cut : cuts) {
      if (cut.mode != Mode.LOSSY && cut.applies(sender, receiver)) {
        return cut;
      }
    }
    return null;
  }

  /** Delivers a message after the link's latency and after all earlier messages on the link. */
  private void deliver(Party sender, Party receiver, Runnable arrival) {
    long delayUs =
        LATENCY_US + random.nextLong(LATENCY_US * (inSameZone(sender, receiver) ? 1 : 4));
    for (Cut cut : cuts) {
      if (cut.mode == Mode.LOSSY && cut.applies(sender, receiver) && random.nextInt(4) == 0) {
        delayUs += RETRANSMISSION_US * (1 + random.nextInt(4));
      }
    }
    long link = ((long) partyId(sender) << 32) | partyId(receiver);
    long arrivalUs =
        Math.max(eventQueue.nowUs() + delayUs, lastArrivalUs.getOrDefault(link, 0L) + 1);
    lastArrivalUs.put(link, arrivalUs);
    eventQueue.schedule(arrivalUs - eventQueue.nowUs(), null, arrival);
  }

  private int partyId(Party party) {
    return partyIds.computeIfAbsent(party, x -> partyIds.size());
  }

  private static boolean inSameZone(Party sender, Party receiver) {
    return sender.zone != null && sender.zone.equals(receiver.zone);
  }

  /**
   * Sends a request. Exactly one method of the handler is called, unless the sender's process ends
   * before.
   */
  void call(
      Party sender,
      Party receiver,
      String method,
      String target,
      byte[] body,
      long timeoutMs,
      RequestSender.ResponseHandler responseHandler) {
    if (target.equals(DIRECT_COMMANDS_PATH)) {
      directCommandListener.accept(sender);
    }
    if (sender.isFrozen()) {
      // The process stopped before this call; it connects and sends once it runs again.
      eventQueue.schedule(
          0,
          sender,
          () ->
              eventQueue.schedule(
                  random.nextLong(CONNECT_AFTER_FREEZE_US),
                  sender,
                  () -> call(sender, receiver, method, target, body, timeoutMs, responseHandler)));
      return;
    }
    Call call = new Call(sender);
    eventQueue.schedule(
        timeoutMs * 1000, sender, () -> call.complete(() -> responseHandler.onFailure(true)));
    Runnable arrival =
        () -> {
          if (!receiver.isListening()) {
            // The host of an ended controller refuses connections; a lost machine does not answer.
            if (receiver.kind == Kind.NODE) {
              sendAnswer(
                  target,
                  receiver,
                  sender,
                  () -> call.complete(() -> responseHandler.onFailure(false)));
            }
            return;
          }
          eventQueue.schedule(
              0,
              receiver,
              EventQueue.Origin.REQUEST,
              () ->
                  receiver.handleRequest(
                      sender,
                      method,
                      target,
                      body,
                      (status, bytes) ->
                          sendAnswer(
                              target,
                              receiver,
                              sender,
                              () ->
                                  call.complete(
                                      () ->
                                          responseHandler.onResponse(
                                              status,
                                              sender.kind == Kind.USERS
                                                  ? answerFilter.answer(receiver, target, bytes)
                                                  : bytes)))));
        };
    if (lateWriteOneIn > 0 && target.equals("/multi") && random.nextInt(lateWriteOneIn) == 0) {
      // Executed after newer transactions of the same sender, which gets no answer.
      deliverWithoutAnswer(
          sender,
          receiver,
          method,
          target,
          body,
          MIN_LATE_US + random.nextLong(LATE_WRITE_SPREAD_US));
      return;
    }
    if (lateCommandOneIn > 0
        && target.equals(DIRECT_COMMANDS_PATH)
        && random.nextInt(lateCommandOneIn) == 0) {
      deliverWithoutAnswer(
          sender,
          receiver,
          method,
          target,
          body,
          MIN_LATE_US + random.nextLong(LATE_COMMAND_SPREAD_US));
      return;
    }
    if (lostAnswerOneIn > 0 && target.equals("/multi") && random.nextInt(lostAnswerOneIn) == 0) {
      deliverWithoutAnswer(sender, receiver, method, target, body, LATENCY_US);
      return;
    }
    if (replayReportOneIn > 0
        && target.equals("/v1/report")
        && sender.kind == Kind.WORKER
        && random.nextInt(replayReportOneIn) == 0) {
      reportsToReplay.add(new ReplayedReport(sender, body));
      if (reportsToReplay.size() > MAX_REPORTS_TO_REPLAY) {
        reportsToReplay.removeFirst();
      }
    }
    if (lateReportOneIn > 0
        && target.equals("/v1/report")
        && sender.kind == Kind.WORKER
        && random.nextInt(lateReportOneIn) == 0) {
      scheduleLateReport(sender, body);
    }
    Cut cut =
        sender.outboundLost && receiver.kind == Kind.NODE
            ? SILENT_LOSS
            : activeCut(sender, receiver);
    if (cut == null) {
      deliver(sender, receiver, arrival);
      if (duplicateOneIn > 0 && sender.kind != Kind.USERS && random.nextInt(duplicateOneIn) == 0) {
        scheduleDuplicate(sender, receiver, method, target, body);
      }
      return;
    }
    switch (cut.mode) {
      case LOST -> {
        // The call ends with its timeout.
      }
      case REFUSE ->
          eventQueue.schedule(
              LATENCY_US, sender, () -> call.complete(() -> responseHandler.onFailure(false)));
      case RESET ->
          eventQueue.schedule(
              LATENCY_US, sender, () -> call.complete(() -> responseHandler.onFailure(true)));
      default -> {
        // Half of the requests are sent on open connections and arrive after the cut. The others
        // are connection attempts that the sender gives up, and never arrive.
        if (random.nextBoolean()) {
          cut.heldMessages.add(() -> deliver(sender, receiver, arrival));
        }
      }
    }
  }

  /** The controllers, which receive late and replayed reports. */
  List<? extends Party> controllers = List.of();

  private void scheduleLateReport(Party from, byte[] body) {
    Party receiver = controllers.get(random.nextInt(controllers.size()));
    eventQueue.schedule(
        2_000_000 + random.nextLong(LATE_REPORT_SPREAD_US),
        null,
        () -> {
          if (receiver.isListening()) {
            eventQueue.schedule(
                0,
                receiver,
                () -> receiver.handleRequest(from, "POST", "/v1/report", body, (s, x) -> {}));
          }
        });
  }

  /** Delivers a request after a delay; the sender never gets an answer. */
  private void deliverWithoutAnswer(
      Party sender, Party receiver, String method, String target, byte[] body, long delayUs) {
    eventQueue.schedule(
        delayUs,
        null,
        () -> {
          if (receiver.isListening()) {
            eventQueue.schedule(
                0,
                receiver,
                () -> receiver.handleRequest(sender, method, target, body, (status, bytes) -> {}));
          }
        });
  }

  /**
   * Delivers the stored reports to every controller.
   *
   * @return the number of stored reports
   */
  int replayReports() {
    int count = reportsToReplay.size();
    ReplayedReport report;
    while ((report = reportsToReplay.pollFirst()) != null) {
      for (Party receiver : controllers) {
        long delayUs = LATENCY_US + random.nextLong(REPLAY_SPREAD_US);
        deliverWithoutAnswer(report.from, receiver, "POST", "/v1/report", report.body, delayUs);
      }
    }
    return count;
  }

  /** Time in which all replayed reports arrive. */
  private static final long REPLAY_SPREAD_US = 200_000;

  /** Delivers a request a second time, up to a minute later; its answer is dropped. */
  private void scheduleDuplicate(
      Party sender, Party receiver, String method, String target, byte[] body) {
    Runnable delivery =
        () -> {
          if (receiver.isListening()) {
            eventQueue.schedule(
                0,
                receiver,
                () -> receiver.handleRequest(sender, method, target, body, (status, bytes) -> {}));
          }
        };
    eventQueue.schedule(LATENCY_US + random.nextLong(DUPLICATE_SPREAD_US), null, delivery);
  }

  /** Sends an answer, after a delay if it is a response to a report and one of those to delay. */
  private void sendAnswer(String target, Party responder, Party caller, Runnable arrival) {
    if (delayedResponseOneIn > 0
        && target.equals("/v1/report")
        && caller.kind == Kind.WORKER
        && random.nextInt(delayedResponseOneIn) == 0) {
      eventQueue.schedule(
          MIN_RESPONSE_DELAY_US + random.nextLong(RESPONSE_DELAY_SPREAD_US),
          null,
          () -> sendAnswer(responder, caller, arrival));
    } else {
      sendAnswer(responder, caller, arrival);
    }
  }

  /**
   * Sends an answer. A cut in mode {@link Mode#HOLD} delays it; any other cut except {@link
   * Mode#LOSSY} loses it, and the call ends with its timeout.
   */
  private void sendAnswer(Party responder, Party caller, Runnable arrival) {
    Cut cut = activeCut(responder, caller);
    int generation = caller.generation();
    Runnable delivery =
        () -> {
          if (caller.generation() == generation) {
            eventQueue.schedule(0, caller, EventQueue.Origin.RESPONSE, arrival);
          }
        };
    if (cut == null) {
      deliver(responder, caller, delivery);
    } else if (cut.mode == Mode.HOLD) {
      cut.heldMessages.add(() -> deliver(responder, caller, delivery));
    }
  }

  /** A call that completes at most once and only while its caller's process lives. */
  private static final class Call {
    private final Party caller;
    private final int generation;
    private boolean completed;

    Call(Party caller) {
      this.caller = caller;
      this.generation = caller.generation();
    }

    void complete(Runnable callback) {
      if (!completed && caller.generation() == generation) {
        completed = true;
        callback.run();
      }
    }
  }
}
