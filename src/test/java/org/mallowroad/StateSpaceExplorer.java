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
 * Plays every order of the calls that a few processes make to one store, with lost answers, late
 * and repeated transactions, processes that end, and whatever else a scene offers, up to a bound of
 * such troubles. A history is a sequence of choices and is played anew for each; two histories with
 * the same store, the same answers heard and the same calls waiting go on alike, so one of them is
 * enough.
 */
public final class StateSpaceExplorer {
  /** What is played: makes its processes, and judges the store. */
  public interface Scenario {
    /** Sets the stage; called for each history. */
    void setUp(Execution stage);

    /** After each transaction that was carried out. */
    void afterTransaction(Execution stage);

    /** When nothing is left to do. */
    void afterCompletion(Execution stage);
  }

  private record Call(
      Process by, String method, String path, byte[] body, RequestSender.ResponseHandler answer) {
    String text() {
      String b = body == null ? "" : new String(body, StandardCharsets.UTF_8);
      return by.name + " " + method + " " + path + " " + b;
    }
  }

  private record Due(Process by, long ms, long sequence, Runnable task) {}

  /** One history being played. */
  public static final class Execution {
    /** What the state service keeps. */
    public final InMemoryKeyValueStore store = new InMemoryKeyValueStore();

    /** What a scene notes; part of the state. */
    public final List<String> observations = new ArrayList<>();

    /** Calls of one process are answered in their order; those of several in any. */
    public boolean respondsInCallOrder;

    private final List<Process> processes = new ArrayList<>();
    private final List<Call> waiting = new ArrayList<>();
    private final List<Call> late = new ArrayList<>();
    private final List<Due> timers = new ArrayList<>();
    private final TreeMap<String, Runnable> offers = new TreeMap<>();
    private final TreeMap<String, Runnable> events = new TreeMap<>();
    private long now = 1_000;
    private long sequence;
    private int troubles;
    private Scenario scene;

    /** A process of the scene. */
    public Process addProcess(String name) {
      Process p = new Process(this, name);
      processes.add(p);
      return p;
    }

    /** Something that may happen once, at any moment; it counts as a trouble. */
    public void addFault(String name, Runnable what) {
      offers.put(name, what);
    }

    /** Something that happens once, at any moment, in each history; no trouble. */
    public void addEvent(String name, Runnable what) {
      events.put(name, what);
    }

    /** Plays on without a choice until a call waits whose text has this in it. */
    public void runUntilCallWaits(String text) {
      soon();
      while (waiting.stream().noneMatch(x -> x.text().contains(text))) {
        choose("go 0");
      }
    }

    /** Fails the history. */
    public void require(boolean good, String what) {
      if (!good) {
        throw new AssertionError(what + "; notes " + observations + "; store " + keys());
      }
    }

    private String keys() {
      StringBuilder b = new StringBuilder();
      for (String k : store.keys("")) {
        b.append(k).append('@').append(store.version(k)).append('=').append(store.value(k));
        b.append(' ');
      }
      return b.toString();
    }

    private void soon() {
      boolean ran = true;
      while (ran) {
        ran = false;
        for (Process p : processes) {
          Runnable r = p.isCrashed ? null : p.queue.poll();
          if (r != null) {
            r.run();
            ran = true;
          }
        }
      }
    }

    /** What may happen next, without troubles first. */
    private List<String> choices(int most) {
      List<String> out = new ArrayList<>();
      Set<Process> first = new HashSet<>();
      for (int i = 0; i < waiting.size(); i++) {
        if (first.add(waiting.get(i).by) || !respondsInCallOrder) {
          out.add("go " + i);
        }
      }
      if (out.isEmpty() && !timers.isEmpty()) {
        out.add("time");
      }
      if (troubles < most) {
        for (int i = 0; i < waiting.size(); i++) {
          if (waiting.get(i).path.equals("/multi")) {
            out.add("lost " + i);
            out.add("late " + i);
            out.add("twice " + i);
          }
        }
        for (Process p : processes) {
          if (!p.isCrashed && p.mayCrash) {
            out.add("end " + p.name);
          }
        }
        offers.keySet().forEach(o -> out.add("offer " + o));
      }
      for (int i = 0; i < late.size(); i++) {
        out.add("land " + i);
      }
      events.keySet().forEach(e -> out.add("event " + e));
      return out;
    }

    private void choose(String c) {
      String[] w = c.split(" ", 2);
      switch (w[0]) {
        case "go" -> go(waiting.remove(Integer.parseInt(w[1])), true);
        case "lost" -> {
          troubles++;
          go(waiting.remove(Integer.parseInt(w[1])), false);
        }
        case "late" -> {
          troubles++;
          Call x = waiting.remove(Integer.parseInt(w[1]));
          late.add(x);
          x.by.tell(() -> x.answer.failed(true), "none");
        }
        case "twice" -> {
          troubles++;
          Call x = waiting.remove(Integer.parseInt(w[1]));
          late.add(x);
          go(x, true);
        }
        case "land" -> serve(late.remove(Integer.parseInt(w[1])));
        case "end" -> {
          troubles++;
          for (Process p : processes) {
            if (p.name.equals(w[1])) {
              p.isCrashed = true;
            }
          }
          waiting.removeIf(x -> x.by.isCrashed);
          timers.removeIf(t -> t.by.isCrashed);
        }
        case "offer" -> {
          troubles++;
          offers.remove(w[1]).run();
        }
        case "event" -> events.remove(w[1]).run();
        default -> {
          Due first = timers.get(0);
          for (Due d : timers) {
            first =
                d.ms < first.ms || (d.ms == first.ms && d.sequence < first.sequence) ? d : first;
          }
          timers.remove(first);
          now = Math.max(now, first.ms);
          first.task.run();
        }
      }
      soon();
    }

    private void go(Call x, boolean heard) {
      InMemoryKeyValueStore.Answer a = serve(x);
      if (a == null) {
        return; // A watch that has nothing to tell.
      }
      if (heard) {
        byte[] body = Json.toBytes(a.body());
        x.by.tell(
            () -> x.answer.answered(a.status(), body),
            a.status() + new String(body, StandardCharsets.UTF_8));
      } else {
        x.by.tell(() -> x.answer.failed(true), "none");
      }
    }

    private InMemoryKeyValueStore.Answer serve(Call x) {
      try {
        byte[] body = x.body == null ? new byte[0] : x.body;
        InMemoryKeyValueStore.Answer a = store.serve(x.method, x.path, body, now);
        if (x.path.equals("/multi") && a.status() == 200) {
          scene.afterTransaction(this);
        }
        return a;
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }

    private String state() {
      StringBuilder b = new StringBuilder(keys());
      b.append('|')
          .append(observations)
          .append('|')
          .append(troubles)
          .append(offers.keySet())
          .append(events.keySet());
      for (Process p : processes) {
        b.append('|').append(p.name).append(p.isCrashed).append(p.heard);
      }
      waiting.forEach(x -> b.append('|').append(x.text()));
      late.forEach(x -> b.append("|late ").append(x.text()));
      b.append(timers.size());
      return b.toString();
    }
  }

  /** A process: a loop whose timers run when no call waits, and calls that the explorer orders. */
  public static final class Process extends EventLoop implements RequestSender {
    /** True where it may end at any moment. */
    public boolean mayCrash;

    private final Execution stage;
    private final String name;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private long heard = 7;
    private boolean isCrashed;

    private Process(Execution stage, String name) {
      this.stage = stage;
      this.name = name;
    }

    private void tell(Runnable answer, String what) {
      if (!isCrashed) {
        heard = heard * 1_000_003 + what.hashCode();
        queue.add(answer);
      }
    }

    /** True once it has ended. */
    public boolean isCrashed() {
      return isCrashed;
    }

    @Override
    public long nanos() {
      return stage.now * 1_000_000;
    }

    @Override
    public long wallMs() {
      return 1_000_000 + stage.now;
    }

    @Override
    protected void execute(Runnable task) {
      queue.add(task);
    }

    @Override
    protected Timer schedule(long ms, Runnable task) {
      Due d = new Due(this, stage.now + ms, stage.sequence++, task);
      stage.timers.add(d);
      return () -> stage.timers.remove(d);
    }

    @Override
    public void call(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler answer) {
      stage.waiting.add(new Call(this, method, path, body, answer));
    }
  }

  private final Scenario scene;
  private final int troubles;
  private final int most;
  private final Set<String> seen = new HashSet<>();
  private int executions;

  /**
   * Over a scene.
   *
   * @param troubles in one history
   * @param most states; beyond it the exploration has failed to be one
   */
  public StateSpaceExplorer(Scenario scene, int troubles, int most) {
    this.scene = scene;
    this.troubles = troubles;
    this.most = most;
  }

  /** Distinct states seen. */
  public int states() {
    return seen.size();
  }

  /** Histories played to their end. */
  public int executions() {
    return executions;
  }

  /** Plays all; {@code each} gets each end. */
  public void explore(Consumer<Execution> each) {
    ArrayDeque<int[]> left = new ArrayDeque<>();
    left.add(new int[0]);
    int[] prefix;
    while ((prefix = left.pollLast()) != null) {
      Execution s = new Execution();
      s.scene = scene;
      List<String> made = new ArrayList<>();
      try {
        scene.setUp(s);
        s.soon();
        for (int c : prefix) {
          String choice = s.choices(troubles).get(c);
          made.add(choice);
          s.choose(choice);
        }
        int n = s.choices(troubles).size();
        if (n == 0) {
          executions++;
          scene.afterCompletion(s);
          each.accept(s);
          continue;
        }
        if (!seen.add(s.state())) {
          continue;
        }
        if (seen.size() > most) {
          throw new AssertionError("more than " + most + " states");
        }
        for (int i = n - 1; i >= 0; i--) {
          int[] next = Arrays.copyOf(prefix, prefix.length + 1);
          next[prefix.length] = i;
          left.add(next);
        }
      } catch (AssertionError e) {
        throw new AssertionError(e.getMessage() + "; by " + made, e);
      }
    }
  }
}
