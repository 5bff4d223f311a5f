package org.mallowroad.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker as PROTOCOL describes it, for tests that choose when each message arrives: it drops late
 * and fenced responses, executes direct commands whose token and session match, and forgets its
 * tasks when its lease expires. Images are there at once.
 */
final class WorkerStandIn {
  /** The response to a heartbeat, on its way to the worker. */
  record Response(
      long heartbeatSequence, long incarnation, long token, List<WorkerCommand> commands) {}

  /** A direct command, on its way to the worker; it may arrive more than once. */
  record DirectCommand(long token, long incarnation, List<WorkerCommand> commands) {}

  private static final class Task {
    private final WorkerCommand launch;
    private String exitReason;

    Task(WorkerCommand launch) {
      this.launch = launch;
    }

    private Heartbeat.Entry entry() {
      Heartbeat.State state = exitReason == null ? Heartbeat.State.RUNNING : Heartbeat.State.EXITED;
      return new Heartbeat.Entry(launch.job(), launch.task(), launch.attempt(), state, exitReason);
    }
  }

  private static final long NONE = -1;

  /** The lease of the workers of {@link SchedulerFixture}. */
  static final long LEASE_MS = 20_000;

  private final String name;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private long incarnation = 1;
  private long sequence;
  private long token;
  private long sequenceInFlight = NONE;
  private double interruptionNoticeS = NONE;
  private long now = NONE;
  private long inFlightSentMs;
  private long lastAnsweredSentMs;

  WorkerStandIn(String name) {
    this.name = name;
  }

  /** Starts the worker's clock and lease, unless they run already. */
  void startClock(long startMs) {
    if (now == NONE) {
      now = startMs;
      lastAnsweredSentMs = startMs;
    }
  }

  /** Lets time pass until {@code nowMs}; the lease expires if no answer renewed it. */
  void advanceTo(long nowMs) {
    while (nowMs - lastAnsweredSentMs > LEASE_MS) {
      now = lastAnsweredSentMs + LEASE_MS;
      expireLease();
    }
    now = nowMs;
  }

  /** The cloud announces to reclaim the machine. */
  void giveNotice(double noticeS) {
    interruptionNoticeS = noticeS;
  }

  /** Sends the next heartbeat; the response to the one before is given up. */
  Heartbeat sendHeartbeat() {
    Heartbeat heartbeat = nextHeartbeat();
    sequenceInFlight = heartbeat.sequence();
    inFlightSentMs = now;
    return heartbeat;
  }

  /** Receives the response to a heartbeat, and drops it if PROTOCOL says so. */
  void receive(Response response) {
    if (response.heartbeatSequence() != sequenceInFlight
        || response.incarnation() != incarnation
        || response.token() < token) {
      return;
    }
    sequenceInFlight = NONE;
    lastAnsweredSentMs = Math.max(lastAnsweredSentMs, inFlightSentMs);
    token = response.token();
    response.commands().forEach(this::execute);
  }

  /** Receives a direct command and returns the heartbeat in its answer, be it 200 or 409. */
  Heartbeat receive(DirectCommand command) {
    if (accepts(command)) {
      token = command.token();
      command.commands().forEach(this::execute);
    }
    return nextHeartbeat();
  }

  /** True if the direct command would be executed, false if it would be rejected with 409. */
  boolean accepts(DirectCommand command) {
    return command.token() >= token && command.incarnation() == incarnation;
  }

  /** Ends a running task. */
  void exit(WorkerCommand launch, String reason) {
    tasks.get(key(launch)).exitReason = reason;
  }

  /** Expires the lease: all tasks are killed and forgotten, and the next session begins. */
  void expireLease() {
    tasks.clear();
    incarnation++;
    sequenceInFlight = NONE;
    lastAnsweredSentMs = now;
  }

  /** Restarts the machine under its name: it knows nothing of what it knew before. */
  void restart() {
    tasks.clear();
    incarnation = 1;
    sequence = 0;
    token = 0;
    sequenceInFlight = NONE;
  }

  String name() {
    return name;
  }

  /** True while the attempt is listed here, running or exited. */
  boolean remembers(WorkerCommand launch) {
    return tasks.containsKey(key(launch));
  }

  /** True while the attempt runs here. */
  boolean runs(WorkerCommand launch) {
    Task task = tasks.get(key(launch));
    return task != null && task.exitReason == null;
  }

  /** CPUs of the tasks that run here, if each takes the given number. */
  double usedCpus(double cpusPerTask) {
    return cpusPerTask * tasks.values().stream().filter(task -> task.exitReason == null).count();
  }

  private Heartbeat nextHeartbeat() {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    tasks.values().forEach(task -> entries.add(task.entry()));
    return new Heartbeat(
        name,
        "h:1",
        "t4",
        "a",
        false,
        incarnation,
        ++sequence,
        token,
        interruptionNoticeS,
        entries);
  }

  private void execute(WorkerCommand command) {
    Task task = tasks.get(key(command));
    switch (command.kind()) {
      case LAUNCH -> tasks.putIfAbsent(key(command), new Task(command));
      case STOP -> {
        if (task != null && task.exitReason == null) {
          task.exitReason = "stopped";
        }
      }
      case CLEAR -> {
        if (task != null && task.exitReason != null) {
          tasks.remove(key(command));
        }
      }
    }
  }

  private static String key(WorkerCommand command) {
    return Attempt.key(command.job(), command.task(), command.attempt());
  }
}
