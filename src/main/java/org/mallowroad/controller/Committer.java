package org.mallowroad.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Chunk;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Ledger;
import org.mallowroad.core.Names;
import org.mallowroad.election.Election;
import org.mallowroad.net.Budget;
import org.mallowroad.net.Loop;
import org.mallowroad.state.Records;
import org.mallowroad.state.StateStore;
import org.mallowroad.state.StateStore.Result;
import org.mallowroad.state.StateStore.Txn;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what the ledger knows into the state service: one transaction at a time, with the mark of
 * {@code leader} and of every written key as conditions. What changes meanwhile shares the next.
 *
 * <p>No response leaves the outcome unknown: the next transaction carries the same marks, so
 * whichever comes first makes the other fail, and a 409 is settled by reading the marks anew.
 */
final class Committer {
  private static final Logger LOG = LoggerFactory.getLogger(Committer.class);
  private static final int MAX_BYTES = 48 * 1024;

  /** An end is told within 3 s, so it may give way to starts for a while. */
  private static final long END_MS = 800;

  /** Ends of idle jobs give way to starts for longer: hundreds may come within a minute. */
  private static final long IDLE_END_MS = 12_000;

  /** Exits wait for company; for longer when many records have some. */
  private static final long LAZY_MS = 400;

  private static final long CROWDED_LAZY_MS = 2_500;

  /** A transaction waits for this many tokens rather than go out small. */
  private static final int LEAST_WRITES = 4;

  private final Loop loop;
  private final StateStore state;
  private final Budget writes;
  private final Ledger ledger;
  private final Names zones;
  private final long mark;
  private final int maxOps;
  private final Events events;
  private final List<Runnable> waiters = new ArrayList<>();
  private final Object2LongLinkedOpenHashMap<String> leftovers =
      new Object2LongLinkedOpenHashMap<>();
  private long commits;
  private long written;
  private boolean busy;
  private boolean stopped;
  private Loop.Timer lazy;

  /** What the leader must hear of. */
  interface Events {
    /** The leader's mark failed: another leads. */
    void deposed();

    /** Starts may have become launchable. */
    void committed();

    /** What a start of a held job must carry along: conditions, and one write at the most. */
    void guard(Job job, Txn txn);

    /** What {@link #guard} added is committed. */
    void guarded(Job job, long revision);

    /** A condition that {@link #guard} added may have failed: settle it, then go on. */
    void reguard(Job job, Runnable next);

    /** A job's end is committed or was found. */
    void ended(Job job, boolean done);
  }

  Committer(
      Loop loop,
      StateStore state,
      Budget writes,
      Ledger ledger,
      Names zones,
      long mark,
      int maxOps,
      Events events) {
    this.loop = loop;
    this.state = state;
    this.writes = writes;
    this.ledger = ledger;
    this.zones = zones;
    this.mark = mark;
    this.maxOps = maxOps;
    this.events = events;
  }

  void stop() {
    stopped = true;
    if (lazy != null) {
      lazy.cancel();
    }
    wake();
  }

  /** Transactions of this term. */
  long commits() {
    return commits;
  }

  /** Puts and deletes of this term. */
  long writes() {
    return written;
  }

  /** Runs the waiter after the next transaction, whatever its outcome. */
  void afterNext(Runnable waiter) {
    waiters.add(waiter);
  }

  private void wake() {
    List<Runnable> all = new ArrayList<>(waiters);
    waiters.clear();
    all.forEach(Runnable::run);
  }

  /** Commits what is urgent now; exits alone wait a little for company. */
  void kick() {
    if (busy || stopped) {
      return;
    }
    if (!ledger.urgent().isEmpty() || !ledger.ending().isEmpty()) {
      send();
    } else if (!ledger.dirty().isEmpty() || !leftovers.isEmpty()) {
      later(LAZY_MS);
    }
  }

  private void later(long ms) {
    if (lazy == null && !stopped) {
      lazy =
          loop.after(
              ms,
              () -> {
                lazy = null;
                send();
              });
    }
  }

  /** A record of a job that is over, which an earlier leader had no time to delete. */
  void leftover(String key, long at) {
    leftovers.put(key, at);
  }

  /** One chunk as a transaction carries it. */
  private record Written(Chunk chunk, long changes, boolean deleted, List<Attempt> recorded) {}

  /** A transaction being filled. */
  private final class Draft {
    private final Txn txn = new Txn().given(Election.LEADER, mark);
    private final List<Written> written = new ArrayList<>();
    private final ObjectOpenHashSet<Chunk> chunks = new ObjectOpenHashSet<>();
    private final List<Job> ends = new ArrayList<>();
    private final List<String> deleted = new ArrayList<>();
    private final ObjectOpenHashSet<Job> guarded = new ObjectOpenHashSet<>();
    private final int most;
    private int bytes;

    Draft(int most) {
      this.most = most;
    }

    boolean full(int more) {
      return txn.writes() + more > most || bytes > MAX_BYTES;
    }

    /** Ends that are older than {@code ms}. */
    void addEnds(long ms) {
      for (Job job : ledger.ending()) {
        if (full(job.spec.ties().held() ? 4 : 2)) {
          return;
        }
        long least = ms > 0 && job.spec.priority() >= JobSpec.IDLE ? IDLE_END_MS : ms;
        if (ends.contains(job) || loop.now() - job.allDoneMs() < least) {
          continue;
        }
        String id = job.spec.id();
        txn.given(Records.open(id), job.mark).given(Records.end(id), 0);
        txn.put(Records.end(id), Records.endValue(true, job.spec.tasks(), null));
        txn.delete(Records.open(id));
        if (job.spec.ties().held()) {
          txn.delete(Records.held(id)).delete(Records.release(id));
        }
        ends.add(job);
        bytes += 400;
        for (int i = 0; i < job.chunkCount() && !full(1); i++) {
          Chunk c = job.chunk(i);
          if (c.mark > 0 && chunks.add(c)) {
            txn.given(Records.run(c), c.mark).delete(Records.run(c));
            written.add(new Written(c, c.changes, true, List.of()));
            bytes += 200;
          }
        }
      }
    }

    /**
     * Starts, which somebody waits for, those of idle jobs after the others: hundreds of them may
     * be placed in a second, and in one line with them urgent work waited for its records for 8 s.
     * A quarter is theirs even so, or they would not be served at all while there is other work.
     */
    void addUrgent() {
      int idle = 0;
      for (Chunk c : ledger.urgent()) {
        idle += idle(c) ? 1 : 0;
      }
      addUrgent(false, Math.min(idle, most / 4));
      addUrgent(true, 0);
      addUrgent(false, 0);
    }

    private void addUrgent(boolean idle, int left) {
      for (Chunk c : ledger.urgent()) {
        if (full(1 + left)) {
          return;
        }
        if (idle(c) == idle) {
          add(c);
        }
      }
    }

    private static JobSpec job(Chunk c) {
      return c.job.spec;
    }

    private static boolean idle(Chunk c) {
      return c.job.spec.priority() >= JobSpec.IDLE;
    }

    /** What changed at least {@code ms} ago, as far as {@code spare} writes go. */
    void addLazy(long ms, int spare) {
      int most = txn.writes() + spare;
      for (Chunk c : ledger.dirty()) {
        if (full(1) || txn.writes() >= most) {
          return;
        }
        if (loop.now() - c.dirtySinceMs >= ms || (c.job.finished() && c.mark == 0)) {
          add(c);
        }
      }
      for (Object2LongMap.Entry<String> e : leftovers.object2LongEntrySet()) {
        if (full(1) || txn.writes() >= most) {
          return;
        }
        txn.given(e.getKey(), e.getLongValue()).delete(e.getKey());
        deleted.add(e.getKey());
        bytes += 200;
      }
    }

    private void add(Chunk c) {
      if (ledger.ending().contains(c.job) || !chunks.add(c)) {
        return;
      }
      boolean over = c.job.withdrawn() || c.job.ended();
      if (over && !c.hasLive()) {
        if (c.mark > 0) {
          txn.given(Records.run(c), c.mark).delete(Records.run(c));
        }
        written.add(new Written(c, c.changes, true, List.of()));
        bytes += 100;
        return;
      }
      List<Attempt> recorded = new ArrayList<>();
      for (int t = c.from(); t < c.to(); t++) {
        Attempt a = c.job.live(t);
        if (a != null && a.phase == Attempt.Phase.RECORDING) {
          recorded.add(a);
        }
      }
      if (!recorded.isEmpty() && job(c).ties().held() && !guarded.contains(c.job)) {
        if (full(2)) {
          chunks.remove(c);
          return; // Its release changes with the first start: the next transaction has room.
        }
        events.guard(c.job, txn);
        guarded.add(c.job);
      }
      if (!over) {
        // The job must still be open when a start is recorded.
        txn.given(Records.open(c.job.spec.id()), c.job.mark);
      }
      ObjectNode value = Records.runValue(c, zones);
      txn.given(Records.run(c), c.mark).put(Records.run(c), value);
      written.add(new Written(c, c.changes, false, recorded));
      bytes += Json.text(value).length() + 200;
    }
  }

  private void send() {
    if (busy || stopped) {
      return;
    }
    long now = loop.now();
    double ready = writes.ready(now);
    int least = Math.min(LEAST_WRITES, maxOps);
    // As large as the budget allows now: what waits for more tokens would hold up what need not.
    Draft d = new Draft((int) Math.max(least, Math.min(maxOps, ready)));
    d.addEnds(END_MS);
    d.addUrgent();
    d.addEnds(0);
    boolean crowded = ledger.dirty().size() > maxOps;
    boolean idle = ledger.urgent().isEmpty() && ledger.ending().isEmpty();
    // Exits leave half of the bucket to the starts to come.
    int spare = idle ? Math.max(least, (int) (ready - maxOps / 2.0)) : (int) (ready - maxOps / 2.0);
    d.addLazy(crowded ? CROWDED_LAZY_MS : LAZY_MS, Math.max(0, spare - d.txn.writes()));
    if (d.written.isEmpty() && d.ends.isEmpty() && d.deleted.isEmpty()) {
      if (!ledger.dirty().isEmpty() || !leftovers.isEmpty()) {
        later(LAZY_MS);
      }
      return;
    }
    if (d.txn.writes() == 0) {
      applied(d, 0);
      kick();
      return;
    }
    long wait = writes.waitMs(d.txn.writes(), now);
    if (wait > 0) {
      busy = true;
      loop.after(
          wait,
          () -> {
            busy = false;
            send();
          });
      return;
    }
    writes.force(d.txn.writes(), now);
    commits++;
    written += d.txn.writes();
    busy = true;
    state.run(
        d.txn,
        (result, revision, failed) -> {
          if (stopped) {
            return;
          }
          switch (result) {
            case OK -> {
              busy = false;
              applied(d, revision);
              wake();
              events.committed();
              kick();
            }
            case NO -> settle(d, failed);
            default -> {
              LOG.warn("event=commit_failed result={}", result);
              loop.after(
                  result == Result.UNKNOWN ? 50 : 300,
                  () -> {
                    busy = false;
                    send();
                  });
            }
          }
        });
  }

  private void applied(Draft d, long revision) {
    long now = loop.now();
    for (Written w : d.written) {
      ledger.committed(w.chunk, w.deleted ? 0 : revision, w.changes, w.recorded, now);
    }
    d.deleted.forEach(leftovers::removeLong);
    d.guarded.forEach(j -> events.guarded(j, revision));
    for (Job j : d.ends) {
      ledger.ended(j);
      events.ended(j, true);
      tidy(j);
    }
    for (Written w : d.written) {
      tidy(w.chunk.job);
    }
  }

  /** Forgets a job once nothing of it is left; what records remain are deleted first. */
  private void tidy(Job j) {
    if (!j.finished()) {
      return;
    }
    boolean left = false;
    for (int i = 0; i < j.chunkCount(); i++) {
      if (j.chunk(i).mark > 0) {
        left = true;
        ledger.redo(j.chunk(i), loop.now());
      }
    }
    if (!left) {
      ledger.forget(j);
    }
  }

  /** A condition failed: the marks are read anew, and the next transaction is built from them. */
  private void settle(Draft d, List<String> failed) {
    List<Written> written = d.written;
    if (failed.contains(Election.LEADER)) {
      busy = false;
      events.deposed();
      return;
    }
    LOG.info("event=commit_conflict keys={}", failed);
    // Somebody else deleted or changed it: it is left to the next takeover.
    d.deleted.forEach(leftovers::removeLong);
    List<Consumer<Runnable>> steps = new ArrayList<>();
    for (Written w : written) {
      if (failed.isEmpty() || failed.contains(Records.run(w.chunk))) {
        steps.add(next -> adopt(w.chunk, next));
      }
    }
    List<Job> jobs = new ArrayList<>(d.ends);
    for (Written w : written) {
      if (!jobs.contains(w.chunk.job)) {
        jobs.add(w.chunk.job);
      }
    }
    for (Job j : jobs) {
      String id = j.spec.id();
      if (failed.isEmpty()
          || failed.contains(Records.open(id))
          || failed.contains(Records.end(id))) {
        steps.add(next -> reread(j, next));
      }
    }
    for (Job j : d.guarded) {
      if (failed.isEmpty()
          || failed.contains(Records.release(j.spec.id()))
          || failed.stream().anyMatch(Records::isLeague)) {
        steps.add(next -> events.reguard(j, next));
      }
    }
    run(steps, 0);
  }

  private void run(List<Consumer<Runnable>> steps, int i) {
    if (stopped) {
      return;
    }
    if (i == steps.size()) {
      busy = false;
      wake();
      send();
    } else {
      steps.get(i).accept(() -> run(steps, i + 1));
    }
  }

  private void adopt(Chunk c, Runnable next) {
    state.get(
        Records.run(c),
        (result, item) -> {
          if (result == Result.OK) {
            c.mark = item.mark();
            next.run();
          } else if (!stopped) {
            loop.after(300, () -> adopt(c, next));
          }
        });
  }

  /** Reads how a job ended, if it did. */
  void reread(Job j, Runnable next) {
    state.get(
        Records.end(j.spec.id()),
        (result, item) -> {
          if (stopped) {
            return;
          }
          if (result != Result.OK) {
            loop.after(300, () -> reread(j, next));
            return;
          }
          if (item.value() != null) {
            boolean done = item.value().path("end").asText().equals("done");
            if (done) {
              ledger.ended(j);
              events.ended(j, true);
              tidy(j);
            } else {
              cancelled(j);
            }
          }
          next.run();
        });
  }

  /** It is a fact that the job was cancelled, whoever says so; told once or more. */
  void cancelled(Job j) {
    ledger.withdraw(j, loop.now());
    events.ended(j, false);
    tidy(j);
  }
}
