package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2BooleanLinkedOpenHashMap;
import java.util.List;
import java.util.function.Consumer;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.fold.Fate;
import org.mallowroad.core.fold.Game;
import org.mallowroad.core.hold.Ties;
import org.mallowroad.net.Budget;
import org.mallowroad.net.Loop;
import org.mallowroad.state.Records;
import org.mallowroad.state.StateStore;
import org.mallowroad.state.StateStore.Result;
import org.mallowroad.state.StateStore.Txn;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.HoldCodec;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;

/**
 * What users ask of any node. Nothing is told before it is committed, and every answer about a job
 * that is not over comes from a current read, so no node is ever behind what another has said.
 */
public final class UserApi {
  private static final String JOBS = "/v1/jobs";
  private static final long CROWDED_MS = 10_000;

  /** Counts are for display, and may be so old; the protocol allows 3 s. */
  private static final long COUNTED_MS = 2_000;

  /** A submission that the state service refused for its limits is sent again after so long. */
  private static final long AGAIN_MS = 120;

  private static final int MOST_AGAIN = 4;

  /** Submissions that wait to be sent again; more are turned away at once. */
  private static final int MOST_WAITING = 64;

  private final Loop loop;
  private final StateStore state;
  private final Reads reads;
  private final double burst;
  private final Budget writes;
  private final Budget fairWrites;
  private final Jobs jobs;
  private final double valueKb;
  private final int mostEnds;
  private final OpenJobs opens;
  private final Folding folding;
  private int again;
  private Consumer<String> onCancelled = id -> {};

  /** True for done, false for withdrawn: final states never change, so they may be kept. */
  private final Object2BooleanLinkedOpenHashMap<String> finals =
      new Object2BooleanLinkedOpenHashMap<>();

  /** What the node knows besides the state service. */
  public interface Jobs {
    /** Decodes a submission only to judge it. */
    JobSpec check(JsonNode submission) throws BadMessage;

    /** True once the machine types are known. */
    boolean ready();

    /** Why the job can never run, or null. */
    String hopeless(JobSpec spec);

    /** Done and running tasks as the leader on this node knows them, or null. */
    int[] counts(String id);
  }

  /** Over the state service. */
  public UserApi(
      Loop loop,
      StateStore state,
      Budget reads,
      double burst,
      Budget writes,
      Budget fairWrites,
      Jobs jobs,
      double valueKb,
      int mostAtOnce,
      int mostEnds) {
    this.reads = new Reads(loop, reads);
    this.burst = burst;
    this.loop = loop;
    this.state = state;
    this.writes = writes;
    this.fairWrites = fairWrites;
    this.jobs = jobs;
    this.valueKb = valueKb;
    this.mostEnds = mostEnds;
    this.folding = new Folding(loop, state, writes, mostAtOnce / 4, valueKb, this::fate);
    this.opens = new OpenJobs(state, this.reads, mostEnds / 4, mostAtOnce);
  }

  /** Claims of games, which a leader gives up where nobody goes on with them. */
  public Folding folding() {
    return folding;
  }

  private Fate fate(String id) {
    if (!finals.containsKey(id)) {
      return null;
    }
    return finals.getBoolean(id) ? Fate.DONE : Fate.WITHDRAWN;
  }

  /** Told of each cancellation that this node learns of as a fact, for the first time. */
  public void onCancelled(Consumer<String> told) {
    onCancelled = told;
  }

  /**
   * A job's end became known.
   *
   * @return true when it was not known before
   */
  public boolean ended(String id, boolean done) {
    opens.over(id);
    boolean news = !finals.containsKey(id);
    finals.putAndMoveToLast(id, done);
    if (finals.size() > mostEnds) {
      finals.removeFirstBoolean();
    }
    if (news && !done) {
      onCancelled.accept(id);
    }
    return news;
  }

  /** How many ends of jobs are remembered. */
  public int ends() {
    return finals.size();
  }

  /** How many open jobs are remembered. */
  public int opens() {
    return opens.size();
  }

  /** Serves a request whose path and method the door has checked. */
  public void serve(String method, String path, byte[] body, Answerer x) {
    String rest = path.length() > JOBS.length() ? path.substring(JOBS.length() + 1) : "";
    int slash = rest.indexOf('/');
    if (rest.isEmpty()) {
      submit(x, body);
    } else if (slash < 0) {
      query(x, rest);
    } else {
      withdraw(x, rest.substring(0, slash));
    }
  }

  /** POST /v1/jobs. */
  public void submit(Answerer x, byte[] body) {
    ObjectNode o = null;
    JobSpec spec;
    ObjectNode value;
    List<Game> games;
    try {
      o = Json.parseObject(body);
      spec = jobs.check(o);
      games = FoldCodec.games(o);
      if (spec.ties().folds().size() > Folding.MOST_LEAGUES) {
        throw new BadMessage("folds: at most " + Folding.MOST_LEAGUES + " leagues");
      }
      value = Records.openValue(o, loop.wallMs());
      if (!games.isEmpty()) {
        ((ObjectNode) value.get("job"))
            .set(FoldCodec.BLOCKS, FoldCodec.blocks(Folding.keys(games)));
      }
      if (Json.bytes(value).length > valueKb * 1024 - 64) {
        throw new BadMessage("the submission is too large");
      }
    } catch (BadMessage e) {
      malformed(x, o, e.getMessage());
      return;
    }
    String id = spec.id();
    if (finals.containsKey(id)) {
      x.answer(200, status(id, finals.getBoolean(id)), false);
      return;
    }
    if (!jobs.ready()) {
      x.answer(503, Reply.reason("machine types not known yet"), true);
      return;
    }
    String never = jobs.hopeless(spec);
    if (never != null) {
      // What was accepted stays accepted, whatever types and limits say today.
      known(x, id, () -> x.answer(422, Reply.reason(never), false));
      return;
    }
    if (!mayWrite()) {
      x.answer(429, Reply.reason("too many submissions"), true);
      return;
    }
    if (spec.ties() == Ties.NONE) {
      accept(x, id, value, 0);
    } else {
      tied(x, id, value, games, spec.ties());
    }
  }

  /** What was accepted under this id stays accepted, whatever is sent of it later. */
  private void malformed(Answerer x, ObjectNode o, String reason) {
    Runnable refuse = () -> x.answer(400, Reply.reason(reason), false);
    String id = o == null ? "" : o.path(Fields.ID).asText();
    if (JobCodec.ID.matcher(id).matches()) {
      known(x, id, refuse);
    } else {
      refuse.run();
    }
  }

  /** What folds games or waits for something; whatever is said of it, an accepted job is known. */
  private void tied(Answerer x, String id, ObjectNode value, List<Game> games, Ties ties) {
    folding.accept(
        id,
        value,
        games,
        ties,
        (end, reason) -> {
          switch (end) {
            case ACCEPTED -> x.answer(201, queued(id), false);
            case KNOWN -> known(x, id, () -> x.answer(503, Reply.reason("try again"), true));
            case REFUSED -> known(x, id, () -> x.answer(422, Reply.reason(reason), false));
            default -> known(x, id, () -> x.answer(503, Reply.reason(reason), true));
          }
        });
  }

  private static ObjectNode queued(String id) {
    ObjectNode r = Json.object();
    r.put(Fields.ID, id);
    r.put(Fields.STATE, Fields.QUEUED);
    return r;
  }

  private void accept(Answerer x, String id, ObjectNode value, int tries) {
    long sentMs = loop.now();
    Txn txn =
        new Txn().given(Records.open(id), 0).given(Records.end(id), 0).put(Records.open(id), value);
    state.run(
        txn,
        (result, revision, failed) -> {
          if (result == Result.NOT_DONE
              && state.crowdedMs() >= sentMs
              && tries < MOST_AGAIN
              && again < MOST_WAITING) {
            // Refused for the service's limits: a moment later there is room, and a user who is
            // turned away comes back no sooner than after a second.
            again++;
            loop.after(
                AGAIN_MS,
                () -> {
                  again--;
                  accept(x, id, value, tries + 1);
                });
            return;
          }
          switch (result) {
            case OK -> {
              opens.saw(id, revision);
              x.answer(201, queued(id), false);
            }
            case NO -> known(x, id, () -> x.answer(503, Reply.reason("try again"), true));
            default -> x.answer(503, Reply.reason("state service not reached"), true);
          }
        });
  }

  /**
   * After all nodes have been away, one node gets all submissions: they must not wait for its part
   * of the service's writes while the other nodes use nothing. So each may use what the leader
   * leaves, and keeps to its part for a while once the service has refused a call for its limits.
   */
  private boolean mayWrite() {
    long now = loop.now();
    boolean crowded = now - state.crowdedMs() < CROWDED_MS;
    return (crowded ? fairWrites : writes).take(1, now);
  }

  /** Answers 200 with the state of a job that is known already, else runs {@code otherwise}. */
  private void known(Answerer x, String id, Runnable otherwise) {
    OpenJobs.Entry seen = finals.containsKey(id) ? null : opens.get(id);
    if (seen == null) {
      look(x, id, otherwise);
      return;
    }
    opens.ask(
        seen,
        (result, job) -> {
          switch (result) {
            case OK -> counts(x, job);
            case NO -> look(x, id, otherwise);
            default -> x.answer(503, Reply.reason("state service not reached"), true);
          }
        });
  }

  private void look(Answerer x, String id, Runnable otherwise) {
    read(
        id,
        new Read() {
          @Override
          public void open(JsonNode value, long mark) {
            counts(x, opens.saw(id, mark));
          }

          @Override
          public void over(boolean done) {
            x.answer(200, status(id, done), false);
          }

          @Override
          public void unknown() {
            otherwise.run();
          }

          @Override
          public void failed() {
            x.answer(503, Reply.reason("state service not reached"), true);
          }
        });
  }

  /** GET /v1/jobs/{id}. */
  public void query(Answerer x, String id) {
    if (!JobCodec.ID.matcher(id).matches()) {
      x.answer(404, Reply.reason("no such job"), false);
      return;
    }
    known(x, id, () -> x.answer(404, Reply.reason("no such job"), false));
  }

  /** POST /v1/jobs/{id}/withdraw. */
  public void withdraw(Answerer x, String id) {
    if (!JobCodec.ID.matcher(id).matches()) {
      x.answer(404, Reply.reason("no such job"), false);
      return;
    }
    withdraw(x, id, 0);
  }

  private void withdraw(Answerer x, String id, int tries) {
    read(
        id,
        new Read() {
          @Override
          public void open(JsonNode value, long mark) {
            writes.force(2, loop.now());
            Txn txn =
                new Txn()
                    .given(Records.open(id), mark)
                    .given(Records.end(id), 0)
                    .put(Records.end(id), Records.endValue(false, 0, value))
                    .delete(Records.open(id));
            if (value.path("job").has(HoldCodec.HOLDS)) {
              txn.delete(Records.held(id)).delete(Records.release(id));
            }
            state.run(
                txn,
                (result, revision, failed) -> {
                  if (result == Result.OK) {
                    ended(id, false);
                    x.answer(200, status(id, false), false);
                  } else if (result == Result.NO && tries < 2) {
                    withdraw(x, id, tries + 1);
                  } else {
                    x.answer(503, Reply.reason("state service not reached"), true);
                  }
                });
          }

          @Override
          public void over(boolean done) {
            x.answer(200, status(id, done), false);
          }

          @Override
          public void unknown() {
            x.answer(404, Reply.reason("no such job"), false);
          }

          @Override
          public void failed() {
            x.answer(503, Reply.reason("state service not reached"), true);
          }
        });
  }

  private interface Read {
    void open(JsonNode value, long mark);

    void over(boolean done);

    void unknown();

    void failed();
  }

  /** Reads open, then end: a job moves from the first to the second, so it is never missed. */
  private void read(String id, Read read) {
    if (finals.containsKey(id)) {
      read.over(finals.getBoolean(id));
      return;
    }
    // Users' reads leave room for the leader's renewals and commits, however many users ask.
    reads.take(2, () -> readNow(id, read), read::failed);
  }

  private void readNow(String id, Read read) {
    state.get(
        Records.open(id),
        (result, open) -> {
          if (result != Result.OK) {
            read.failed();
            return;
          }
          if (open.value() != null) {
            reads.giveBack(); // One call was enough.
            read.open(open.value(), open.mark());
            return;
          }
          state.get(
              Records.end(id),
              (result2, end) -> {
                if (result2 != Result.OK) {
                  read.failed();
                } else if (end.value() == null) {
                  read.unknown();
                } else {
                  boolean done = end.value().path("end").asText().equals(Fields.DONE);
                  ended(id, done);
                  read.over(done);
                }
              });
        });
  }

  private static ObjectNode status(String id, boolean done) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, done ? Fields.DONE : Fields.WITHDRAWN);
    return o;
  }

  /**
   * An open job's state with its counts: the leader's own, else those of the run records. What is
   * remembered of them does where so many ask that a reading each would take what commits and
   * renewals need: the job is open, and its counts are for display.
   */
  private void counts(Answerer x, OpenJobs.Entry job) {
    int[] own = jobs.counts(job.id);
    if (own != null) {
      x.answer(200, open(job.id, own[0], own[1]), false);
      return;
    }
    long now = loop.now();
    if (now - job.countedMs < COUNTED_MS || !reads.spare(burst)) {
      x.answer(200, open(job.id, job.done, job.running), false);
      return;
    }
    state.list(
        Records.RUN + job.id + "/",
        (result, items, revision) -> {
          if (result == Result.OK) {
            job.done = 0;
            job.running = 0;
            job.countedMs = now;
            for (StateStore.Item i : items) {
              job.done += Records.done(i.value()).cardinality();
              job.running += Records.live(i.value()).size();
            }
          }
          x.answer(200, open(job.id, job.done, job.running), false);
        });
  }

  private static ObjectNode open(String id, int done, int running) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, running > 0 ? Fields.RUNNING : Fields.QUEUED);
    o.put(Fields.DONE, done);
    o.put(Fields.RUNNING, running);
    return o;
  }
}
