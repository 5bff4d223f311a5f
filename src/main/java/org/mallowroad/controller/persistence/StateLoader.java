package org.mallowroad.controller.persistence;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.core.cancellation.CancellationView;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.RecordedAttempt;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.InvalidMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the records that a term begins with into its ledger, a few in a turn of the loop, and from
 * then on follows open jobs, which any node may record or cancel.
 */
public final class StateLoader {
  private static final Logger LOG = LoggerFactory.getLogger(StateLoader.class);

  /**
   * How long a watch of open jobs waits: the view of cancellations is as old as its newest watch
   * that was answered ({@link CancellationView}), so that this much of an outage is lost to the
   * workers. A call each second and a half is one in a hundred of the smallest deployment's.
   */
  private static final long WATCH_MS = 1_500;

  /** Open jobs, runs, shared starts and rents. */
  private static final int LISTS = 4;

  /** Ends that a takeover reads at once: a few, beside the leader's other calls. */
  private static final int ENDS_AT_ONCE = 4;

  private static final long RETRY_MS = 200;

  /** Records that a takeover takes in one turn of the loop. */
  private static final int TURN = 24;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final RecordDecodingContext decodingContext;
  private final SchedulerState schedulerState;
  private final WriteBehindCommitter committer;
  private final CancellationView view;
  private final Listener listener;
  private boolean stopped;

  /** What the leader must hear of. */
  public interface Listener {
    /** All records are read: so many of runs, and these of rental requests. */
    void taken(int count, List<VersionedValue> rental);

    /** An open job is in the ledger; told once or more. */
    void opened(Job job);

    /** A job was accepted, here or elsewhere. */
    void accepted();

    /** A job that was not about to end is over: cancelled, here or elsewhere. */
    void cancelled();

    /** There may be something to place or to stop. */
    void changed();
  }

  /** A loader of one term. */
  public StateLoader(
      EventLoop loop,
      KeyValueStore state,
      RecordDecodingContext decodingContext,
      SchedulerState schedulerState,
      WriteBehindCommitter committer,
      CancellationView view,
      Listener listener) {
    this.loop = loop;
    this.state = state;
    this.decodingContext = decodingContext;
    this.schedulerState = schedulerState;
    this.committer = committer;
    this.view = view;
    this.listener = listener;
  }

  /** Reads nothing more. */
  public void stop() {
    stopped = true;
  }

  /** Reads what there is, until it is whole. */
  public void begin() {
    if (stopped) {
      return;
    }
    if (decodingContext.machineTypes().isEmpty()) {
      loop.after(100, this::begin);
      return;
    }
    // At once: only this term writes run and hire, and what changes in open is followed from the
    // revision of its list.
    Takeover t = new Takeover();
    state.list(RecordKeys.OPEN_JOBS, (r, items, revision) -> t.open(r, items, revision));
    state.list(RecordKeys.ATTEMPTS, (r, items, revision) -> t.run(r, items));
    state.list(RecordKeys.SHARED_ATTEMPTS, (r, items, revision) -> t.shared(r, items));
    state.list(RecordKeys.RENTALS, (r, items, revision) -> t.rental(r, items));
  }

  /** What a takeover reads, until it is complete. */
  private final class Takeover {
    private final long sentMs = loop.now();
    private List<VersionedValue> open;
    private List<VersionedValue> run;
    private List<VersionedValue> shared;
    private List<VersionedValue> rental;
    private long revision;
    private int lists;
    private boolean failed;

    void open(CallResult r, List<VersionedValue> items, long at) {
      open = items;
      revision = at;
      read(r);
    }

    void run(CallResult r, List<VersionedValue> items) {
      run = items;
      read(r);
    }

    void shared(CallResult r, List<VersionedValue> items) {
      shared = items;
      read(r);
    }

    void rental(CallResult r, List<VersionedValue> items) {
      rental = items;
      read(r);
    }

    private void read(CallResult r) {
      failed |= r != CallResult.OK;
      if (++lists < LISTS || stopped) {
        return;
      }
      if (failed) {
        loop.after(200, StateLoader.this::begin);
      } else {
        accept(0);
      }
    }

    /** A few records a turn: lease renewals and answers to workers and users go first. */
    private void accept(int from) {
      if (stopped) {
        return;
      }
      int to = Math.min(open.size(), from + TURN);
      open.subList(from, to).forEach(StateLoader.this::opened);
      if (to < open.size()) {
        loop.soon(() -> accept(to));
      } else {
        restoreOver(open, run, shared, () -> restore(0));
      }
    }

    private void restore(int from) {
      if (stopped) {
        return;
      }
      int to = Math.min(run.size(), from + TURN);
      for (VersionedValue i : run.subList(from, to)) {
        Job job = schedulerState.job(jobOf(i.key()));
        if (job != null) {
          restoreRun(job, i);
        }
      }
      if (to < run.size()) {
        loop.soon(() -> restore(to));
      } else {
        restoreShared(0);
      }
    }

    private void restoreShared(int from) {
      if (stopped) {
        return;
      }
      int to = Math.min(shared.size(), from + TURN);
      shared.subList(from, to).forEach(StateLoader.this::restoreShared);
      if (to < shared.size()) {
        loop.soon(() -> restoreShared(to));
        return;
      }
      for (Job j : schedulerState.jobs()) {
        schedulerState.finishRestore(j, loop.now());
      }
      // Of jobs that are over as well: restoreOver has read how each of them ended.
      view.beginReading(sentMs).markApplied();
      listener.taken(run.size() + shared.size(), rental);
      follow(revision);
    }
  }

  /** Attempts of cancelled jobs still count: their specs stand in the end records. */
  private void restoreOver(
      List<VersionedValue> open,
      List<VersionedValue> run,
      List<VersionedValue> shared,
      Runnable next) {
    ObjectOpenHashSet<String> known = new ObjectOpenHashSet<>();
    open.forEach(i -> known.add(i.key().substring(RecordKeys.OPEN_JOBS.length())));
    ObjectLinkedOpenHashSet<String> over = new ObjectLinkedOpenHashSet<>();
    run.forEach(i -> over.add(jobOf(i.key())));
    shared.forEach(
        i -> AttemptRecordCodec.membersOfShared(i.value()).forEach(e -> over.add(e.getKey())));
    over.removeAll(known);
    ObjectOpenHashSet<String> done = new ObjectOpenHashSet<>();
    Runnable read =
        () -> {
          for (VersionedValue i : run) {
            if (done.contains(jobOf(i.key()))) {
              committer.deleteObsoleteRecord(i.key(), i.version());
            }
          }
          next.run();
        };
    new EndReader(new ArrayDeque<>(over), done, read).begin();
  }

  /** Reads how jobs ended, a few at a time. */
  private final class EndReader {
    private final ArrayDeque<String> ids;
    private final ObjectOpenHashSet<String> done;
    private final Runnable next;
    private int out;

    EndReader(ArrayDeque<String> ids, ObjectOpenHashSet<String> done, Runnable next) {
      this.ids = ids;
      this.done = done;
      this.next = next;
    }

    void begin() {
      if (ids.isEmpty()) {
        next.run();
      }
      for (int i = 0; i < ENDS_AT_ONCE && !ids.isEmpty(); i++) {
        out++;
        read(ids.poll());
      }
    }

    private void read(String id) {
      state.get(
          RecordKeys.endedJob(id),
          (result, item) -> {
            if (stopped) {
              return;
            }
            if (result != CallResult.OK) {
              loop.after(RETRY_MS, () -> read(id));
              return;
            }
            take(id, item);
            if (!ids.isEmpty()) {
              read(ids.poll());
            } else if (--out == 0) {
              next.run();
            }
          });
    }

    private void take(String id, VersionedValue item) {
      try {
        JsonNode v = item.value();
        if (v != null && !v.has("open")) {
          done.add(id);
        } else if (v != null) {
          JobSpec spec = JobRecordCodec.decodeOpen(v.get("open"), decodingContext.codec());
          if (spec.team() >= 0) {
            schedulerState.cancel(schedulerState.accept(spec, 0, 0, loop.now()), loop.now());
          }
        }
      } catch (InvalidMessageException e) {
        LOG.error("event=record_unreadable key={} reason=\"{}\"", item.key(), e.getMessage());
      }
    }
  }

  private static String jobOf(String runKey) {
    return runKey.substring(RecordKeys.ATTEMPTS.length(), runKey.lastIndexOf('/'));
  }

  private void restoreRun(Job job, VersionedValue i) {
    int index = Integer.parseInt(i.key().substring(i.key().lastIndexOf('/') + 1));
    if (index < job.attemptRecordCount()) {
      restoreChunk(job.attemptRecord(index), i.version(), i.value(), i.key());
    }
  }

  /** Jobs that are done stay listed until the record is written again: they are left out. */
  private void restoreShared(VersionedValue i) {
    SharedAttemptRecord r =
        schedulerState
            .sharedAttemptRecords()
            .restore(i.key().substring(RecordKeys.SHARED_ATTEMPTS.length()), i.version());
    for (Map.Entry<String, JsonNode> run : AttemptRecordCodec.membersOfShared(i.value())) {
      Job job = schedulerState.job(run.getKey());
      if (job != null && job.attemptRecordCount() == 1) {
        schedulerState.sharedAttemptRecords().restoreMember(r, job.attemptRecord(0));
        restoreChunk(job.attemptRecord(0), 0, run.getValue(), i.key());
      }
    }
  }

  private void restoreChunk(AttemptRecord c, long version, JsonNode v, String key) {
    Job job = c.job;
    schedulerState.restoreRecord(
        c, version, AttemptRecordCodec.doneTasks(v), AttemptRecordCodec.highestAttemptNumber(v));
    for (RecordedAttempt a : AttemptRecordCodec.unresolvedAttempts(v)) {
      MachineType type = decodingContext.type(a.type());
      int zone = decodingContext.zones().find(a.zone());
      if (type == null || zone < 0) {
        LOG.error("event=record_unreadable key={} machine={}", key, a.machine());
        continue;
      }
      Machine m = schedulerState.registerMachine(a.machine(), type, zone, a.spot(), loop.now());
      schedulerState.restoreAttempt(job, a.task(), a.number(), m, a.incarnation(), loop.now());
    }
    if (job.isCancelled()) {
      schedulerState.markForRewrite(c, loop.now());
    }
  }

  private void opened(VersionedValue i) {
    try {
      JobSpec spec = JobRecordCodec.decodeOpen(i.value(), decodingContext.codec());
      if (spec.team() < 0) {
        LOG.error("event=team_unknown job={}", spec.id());
        return;
      }
      listener.opened(
          schedulerState.accept(spec, i.version(), loop.wallMs() - spec.submittedMs(), loop.now()));
    } catch (InvalidMessageException e) {
      LOG.error("event=record_unreadable key={} reason=\"{}\"", i.key(), e.getMessage());
    }
  }

  private void follow(long from) {
    if (stopped) {
      return;
    }
    long sentMs = loop.now();
    state.watch(
        RecordKeys.OPEN_JOBS,
        from,
        WATCH_MS,
        (result, events, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(200, this::relist);
            return;
          }
          CancellationView.Reading reading = view.beginReading(sentMs);
          for (VersionedValue e : events) {
            if (e.value() != null) {
              listener.accepted();
              opened(e);
            } else {
              closed(e.key().substring(RecordKeys.OPEN_JOBS.length()), reading);
            }
          }
          reading.markApplied();
          if (!events.isEmpty()) {
            listener.changed();
          }
          follow(revision);
        });
  }

  /** The view is no newer than how the job ended: until that is read, nothing of it is stopped. */
  private void closed(String id, CancellationView.Reading reading) {
    Job job = schedulerState.job(id);
    if (job != null && !job.isCancelled() && !schedulerState.jobsToComplete().contains(job)) {
      listener.cancelled();
      reading.awaitAnother();
      committer.readJobEnd(
          job,
          () -> {
            reading.markApplied();
            listener.changed();
          });
    }
  }

  private void relist() {
    if (stopped) {
      return;
    }
    long sentMs = loop.now();
    state.list(
        RecordKeys.OPEN_JOBS,
        (result, open, revision) -> {
          if (stopped) {
            return;
          }
          if (result != CallResult.OK) {
            loop.after(300, this::relist);
            return;
          }
          CancellationView.Reading reading = view.beginReading(sentMs);
          ObjectOpenHashSet<String> ids = new ObjectOpenHashSet<>();
          for (VersionedValue i : open) {
            String id = i.key().substring(RecordKeys.OPEN_JOBS.length());
            ids.add(id);
            if (schedulerState.job(id) == null) {
              opened(i); // Records of open jobs never change: the others need not be read again.
            }
          }
          for (Job j : new ArrayList<>(schedulerState.jobs())) {
            if (!ids.contains(j.spec.id())) {
              closed(j.spec.id(), reading);
            }
          }
          reading.markApplied();
          listener.changed();
          follow(revision);
        });
  }
}
