package org.mallowroad.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Chunk;
import org.mallowroad.core.Job;
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
  private static final long LAZY_MS = 400;

  private final Loop loop;
  private final StateStore state;
  private final Budget writes;
  private final Ledger ledger;
  private final Names zones;
  private final long mark;
  private final int maxOps;
  private final Events events;
  private final List<Runnable> waiters = new ArrayList<>();
  private boolean busy;
  private boolean stopped;
  private Loop.Timer lazy;

  /** What the leader must hear of. */
  interface Events {
    /** The leader's mark failed: another leads. */
    void deposed();

    /** Starts may have become launchable. */
    void committed();

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
    if (!ledger.ending().isEmpty() || anyRecording()) {
      send();
    } else if (!ledger.dirty().isEmpty() && lazy == null) {
      lazy =
          loop.after(
              LAZY_MS,
              () -> {
                lazy = null;
                send();
              });
    }
  }

  private boolean anyRecording() {
    for (Chunk c : ledger.dirty()) {
      for (int t = c.from(); t < c.to(); t++) {
        Attempt a = c.job.live(t);
        if (a != null && a.phase == Attempt.Phase.RECORDING) {
          return true;
        }
      }
    }
    return false;
  }

  /** One chunk as a transaction carries it. */
  private record Written(Chunk chunk, long changes, boolean deleted, List<Attempt> recorded) {}

  private void send() {
    if (busy || stopped) {
      return;
    }
    Txn txn = new Txn().given(Election.LEADER, mark);
    List<Written> written = new ArrayList<>();
    List<Job> ends = new ArrayList<>();
    int bytes = 0;
    for (Job job : ledger.ending()) {
      if (bytes > MAX_BYTES || txn.writes() + 2 + Math.min(job.chunkCount(), maxOps - 2) > maxOps) {
        break;
      }
      String id = job.spec.id();
      txn.given(Records.open(id), job.mark).given(Records.end(id), 0);
      txn.put(Records.end(id), Records.endValue(true, job.spec.tasks(), null));
      txn.delete(Records.open(id));
      ends.add(job);
      bytes += 400;
      for (int i = 0; i < job.chunkCount() && txn.writes() < maxOps; i++) {
        Chunk c = job.chunk(i);
        if (c.mark > 0) {
          txn.given(Records.run(c), c.mark).delete(Records.run(c));
          written.add(new Written(c, c.changes, true, List.of()));
          bytes += 200;
        }
      }
    }
    for (Chunk c : ledger.dirty()) {
      if (txn.writes() >= maxOps || bytes > MAX_BYTES) {
        break;
      }
      if (ends.contains(c.job) || ledger.ending().contains(c.job)) {
        continue;
      }
      boolean over = c.job.withdrawn() || c.job.ended();
      if (over && !c.hasLive()) {
        if (c.mark > 0) {
          txn.given(Records.run(c), c.mark).delete(Records.run(c));
        }
        written.add(new Written(c, c.changes, true, List.of()));
        bytes += 100;
        continue;
      }
      List<Attempt> recorded = new ArrayList<>();
      for (int t = c.from(); t < c.to(); t++) {
        Attempt a = c.job.live(t);
        if (a != null && a.phase == Attempt.Phase.RECORDING) {
          recorded.add(a);
        }
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
    if (written.isEmpty() && ends.isEmpty()) {
      return;
    }
    long wait = writes.waitMs(txn.writes(), loop.now());
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
    writes.force(txn.writes(), loop.now());
    busy = true;
    if (txn.writes() == 0) {
      busy = false;
      applied(written, ends, 0);
      return;
    }
    state.run(
        txn,
        (result, revision, failed) -> {
          if (stopped) {
            return;
          }
          switch (result) {
            case OK -> {
              busy = false;
              applied(written, ends, revision);
              wake();
              events.committed();
              kick();
            }
            case NO -> settle(written, ends, failed);
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

  private void applied(List<Written> written, List<Job> ends, long revision) {
    for (Written w : written) {
      ledger.committed(w.chunk, w.deleted ? 0 : revision, w.changes, w.recorded);
    }
    for (Job j : ends) {
      ledger.ended(j);
      events.ended(j, true);
      tidy(j);
    }
    for (Written w : written) {
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
        ledger.redo(j.chunk(i));
      }
    }
    if (!left) {
      ledger.forget(j);
    }
  }

  /** A condition failed: the marks are read anew, and the next transaction is built from them. */
  private void settle(List<Written> written, List<Job> ends, List<String> failed) {
    if (failed.contains(Election.LEADER)) {
      busy = false;
      events.deposed();
      return;
    }
    LOG.info("event=commit_conflict keys={}", failed);
    List<Consumer<Runnable>> steps = new ArrayList<>();
    for (Written w : written) {
      if (failed.isEmpty() || failed.contains(Records.run(w.chunk))) {
        steps.add(next -> adopt(w.chunk, next));
      }
    }
    List<Job> jobs = new ArrayList<>(ends);
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
            } else {
              ledger.withdraw(j, loop.now());
            }
            events.ended(j, done);
            tidy(j);
          }
          next.run();
        });
  }
}
