package org.mallowroad;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * A model checker that explores every order in which the requests of a few processes reach one
 * store, with faults: lost responses, delayed and duplicated transactions, crashes, and faults that
 * the scenario defines, up to a maximum number of faults per execution.
 *
 * <p>An execution is determined by its sequence of choices and is rerun from the start for each
 * sequence. Two executions with the same store contents, received responses and pending requests
 * continue identically, so only one of them is explored further.
 */
public final class StateSpaceExplorer {
  /** The system under test: creates the processes and checks the store. */
  public interface Scenario {
    /**
     * Creates the processes and the initial store contents; called at the start of each execution.
     */
    void setUp(Execution execution);

    /** Called after each successful transaction. */
    void afterTransaction(Execution execution);

    /** Called when an execution has no choices left. */
    void afterCompletion(Execution execution);
  }

  private record Call(
      Process caller,
      String method,
      String path,
      byte[] body,
      RequestSender.ResponseHandler handler) {
    String description() {
      String bodyText = body == null ? "" : new String(body, StandardCharsets.UTF_8);
      return caller.name + " " + method + " " + path + " " + bodyText;
    }
  }

  private record ScheduledTask(Process owner, long dueMs, long sequence, Runnable task) {}

  /** One execution of the scenario. */
  public static final class Execution {
    /** The contents of the state service. */
    public final InMemoryKeyValueStore store = new InMemoryKeyValueStore();

    /** Observations recorded by the scenario; part of the explored state. */
    public final List<String> observations = new ArrayList<>();

    /**
     * When true, requests of the same process are executed in the order in which they were sent.
     */
    public boolean respondsInCallOrder;

    private final List<Process> processes = new ArrayList<>();
    private final List<Call> pendingCalls = new ArrayList<>();
    private final List<Call> delayedTransactions = new ArrayList<>();
    private final List<ScheduledTask> timers = new ArrayList<>();
    private final TreeMap<String, Runnable> faults = new TreeMap<>();
    private final TreeMap<String, Runnable> events = new TreeMap<>();
    private long nowMs = 1_000;
    private long nextSequence;
    private int injectedFaults;
    private Scenario scenario;

    /** Adds a process. */
    public Process addProcess(String name) {
      Process process = new Process(this, name);
      processes.add(process);
      return process;
    }

    /** Adds an action that may happen once at any time and counts as a fault. */
    public void addFault(String name, Runnable action) {
      faults.put(name, action);
    }

    /** Adds an action that happens once at any time in every execution; it is not a fault. */
    public void addEvent(String name, Runnable action) {
      events.put(name, action);
    }

    /**
     * Always completes the oldest pending request, until there is a pending request whose
     * description contains the given text.
     */
    public void runUntilCallWaits(String part) {
      runQueuedTasks();
      while (pendingCalls.stream().noneMatch(call -> call.description().contains(part))) {
        apply("complete 0");
      }
    }

    /** Fails the execution if the condition does not hold. */
    public void require(boolean condition, String violation) {
      if (!condition) {
        throw new AssertionError(
            violation + "; observations " + observations + "; store " + describeStore());
      }
    }

    private String describeStore() {
      StringBuilder text = new StringBuilder();
      for (String key : store.keys("")) {
        text.append(key)
            .append('@')
            .append(store.version(key))
            .append('=')
            .append(store.value(key));
        text.append(' ');
      }
      return text.toString();
    }

    private void runQueuedTasks() {
      boolean ranTask = true;
      while (ranTask) {
        ranTask = false;
        for (Process process : processes) {
          Runnable task = process.crashed ? null : process.queuedTasks.poll();
          if (task != null) {
            task.run();
            ranTask = true;
          }
        }
      }
    }

    /** The possible next steps: requests or else a timer, then faults, delayed requests, events. */
    private List<String> choices(int maxFaults) {
      List<String> choices = new ArrayList<>();
      Set<Process> callersSeen = new HashSet<>();
      for (int index = 0; index < pendingCalls.size(); index++) {
        if (callersSeen.add(pendingCalls.get(index).caller) || !respondsInCallOrder) {
          choices.add("complete " + index);
        }
      }
      if (choices.isEmpty() && !timers.isEmpty()) {
        choices.add("fire-timer");
      }
      if (injectedFaults < maxFaults) {
        for (int index = 0; index < pendingCalls.size(); index++) {
          if (pendingCalls.get(index).path.equals("/multi")) {
            choices.add("lose-response " + index);
            choices.add("delay " + index);
            choices.add("duplicate " + index);
          }
        }
        for (Process process : processes) {
          if (!process.crashed && process.mayCrash) {
            choices.add("crash " + process.name);
          }
        }
        faults.keySet().forEach(fault -> choices.add("fault " + fault));
      }
      for (int index = 0; index < delayedTransactions.size(); index++) {
        choices.add("execute-delayed " + index);
      }
      events.keySet().forEach(event -> choices.add("event " + event));
      return choices;
    }

    private void apply(String choice) {
      String[] parts = choice.split(" ", 2);
      switch (parts[0]) {
        case "complete" -> complete(pendingCalls.remove(Integer.parseInt(parts[1])), true);
        case "lose-response" -> {
          injectedFaults++;
          complete(pendingCalls.remove(Integer.parseInt(parts[1])), false);
        }
        case "delay" -> {
          injectedFaults++;
          Call call = pendingCalls.remove(Integer.parseInt(parts[1]));
          delayedTransactions.add(call);
          call.caller.enqueueResponse(() -> call.handler.onFailure(true), "none");
        }
        case "duplicate" -> {
          injectedFaults++;
          Call call = pendingCalls.remove(Integer.parseInt(parts[1]));
          delayedTransactions.add(call);
          complete(call, true);
        }
        case "execute-delayed" ->
            applyToStore(delayedTransactions.remove(Integer.parseInt(parts[1])));
        case "crash" -> {
          injectedFaults++;
          for (Process process : processes) {
            if (process.name.equals(parts[1])) {
              process.crashed = true;
            }
          }
          pendingCalls.removeIf(call -> call.caller.crashed);
          timers.removeIf(timer -> timer.owner.crashed);
        }
        case "fault" -> {
          injectedFaults++;
          faults.remove(parts[1]).run();
        }
        case "event" -> events.remove(parts[1]).run();
        default -> {
          ScheduledTask first = timers.get(0);
          for (ScheduledTask timer : timers) {
            first =
                timer.dueMs < first.dueMs
                        || (timer.dueMs == first.dueMs && timer.sequence < first.sequence)
                    ? timer
                    : first;
          }
          timers.remove(first);
          nowMs = Math.max(nowMs, first.dueMs);
          first.task.run();
        }
      }
      runQueuedTasks();
    }

    private void complete(Call call, boolean responseDelivered) {
      InMemoryKeyValueStore.Response response = applyToStore(call);
      if (response == null) {
        return; // A watch without changes.
      }
      if (responseDelivered) {
        byte[] body = Json.toBytes(response.body());
        call.caller.enqueueResponse(
            () -> call.handler.onResponse(response.status(), body),
            response.status() + new String(body, StandardCharsets.UTF_8));
      } else {
        call.caller.enqueueResponse(() -> call.handler.onFailure(true), "none");
      }
    }

    private InMemoryKeyValueStore.Response applyToStore(Call call) {
      try {
        byte[] body = call.body == null ? new byte[0] : call.body;
        InMemoryKeyValueStore.Response response = store.serve(call.method, call.path, body, nowMs);
        if (call.path.equals("/multi") && response.status() == 200) {
          scenario.afterTransaction(this);
        }
        return response;
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }

    private String describeState() {
      StringBuilder text = new StringBuilder(describeStore());
      text.append('|')
          .append(observations)
          .append('|')
          .append(injectedFaults)
          .append(faults.keySet())
          .append(events.keySet());
      for (Process process : processes) {
        text.append('|')
            .append(process.name)
            .append(process.crashed)
            .append(process.responseDigest);
      }
      pendingCalls.forEach(call -> text.append('|').append(call.description()));
      delayedTransactions.forEach(call -> text.append("|delayed ").append(call.description()));
      text.append(timers.size());
      return text.toString();
    }
  }

  /**
   * A simulated process. The explorer orders its requests; timers fire only when no process has a
   * pending request.
   */
  public static final class Process extends EventLoop implements RequestSender {
    /** When true, the process may crash at any time; this counts as a fault. */
    public boolean mayCrash;

    private final Execution execution;
    private final String name;
    private final ArrayDeque<Runnable> queuedTasks = new ArrayDeque<>();
    private long responseDigest = 7;
    private boolean crashed;

    private Process(Execution execution, String name) {
      this.execution = execution;
      this.name = name;
    }

    private void enqueueResponse(Runnable task, String content) {
      if (!crashed) {
        responseDigest = responseDigest * 1_000_003 + content.hashCode();
        queuedTasks.add(task);
      }
    }

    /** True once the process has crashed. */
    public boolean isCrashed() {
      return crashed;
    }

    @Override
    public long nanoTime() {
      return execution.nowMs * 1_000_000;
    }

    @Override
    public long wallMs() {
      return 1_000_000 + execution.nowMs;
    }

    @Override
    protected void execute(Runnable task) {
      queuedTasks.add(task);
    }

    @Override
    protected Timer schedule(long delayMs, Runnable task) {
      ScheduledTask timer =
          new ScheduledTask(this, execution.nowMs + delayMs, execution.nextSequence++, task);
      execution.timers.add(timer);
      return () -> execution.timers.remove(timer);
    }

    @Override
    public void send(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      execution.pendingCalls.add(new Call(this, method, path, body, handler));
    }
  }

  private final Scenario scenario;
  private final int maxFaults;
  private final int maxStates;
  private final Set<String> visitedStates = new HashSet<>();
  private int executions;

  /**
   * Creates an explorer of a scenario.
   *
   * @param maxFaults maximum number of faults in an execution
   * @param maxStates the exploration fails when it reaches more states than this
   */
  public StateSpaceExplorer(Scenario scenario, int maxFaults, int maxStates) {
    this.scenario = scenario;
    this.maxFaults = maxFaults;
    this.maxStates = maxStates;
  }

  /** Number of distinct states reached. */
  public int states() {
    return visitedStates.size();
  }

  /** Number of executions that were completed. */
  public int executions() {
    return executions;
  }

  /** Explores all executions; {@code onCompletion} receives each completed one. */
  public void explore(Consumer<Execution> onCompletion) {
    ArrayDeque<int[]> unexplored = new ArrayDeque<>();
    unexplored.add(new int[0]);
    int[] prefix;
    while ((prefix = unexplored.pollLast()) != null) {
      Execution execution = new Execution();
      execution.scenario = scenario;
      List<String> choices = new ArrayList<>();
      try {
        scenario.setUp(execution);
        execution.runQueuedTasks();
        for (int choiceIndex : prefix) {
          String choice = execution.choices(maxFaults).get(choiceIndex);
          choices.add(choice);
          execution.apply(choice);
        }
        int choiceCount = execution.choices(maxFaults).size();
        if (choiceCount == 0) {
          executions++;
          scenario.afterCompletion(execution);
          onCompletion.accept(execution);
          continue;
        }
        if (!visitedStates.add(execution.describeState())) {
          continue;
        }
        if (visitedStates.size() > maxStates) {
          throw new AssertionError("more than " + maxStates + " states");
        }
        for (int index = choiceCount - 1; index >= 0; index--) {
          int[] next = Arrays.copyOf(prefix, prefix.length + 1);
          next[prefix.length] = index;
          unexplored.add(next);
        }
      } catch (AssertionError e) {
        throw new AssertionError(e.getMessage() + "; choices " + choices, e);
      }
    }
  }
}
