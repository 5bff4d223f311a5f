package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import it.unimi.dsi.fastutil.objects.Object2BooleanLinkedOpenHashMap;
import org.mallowroad.core.JobSpec;
import org.mallowroad.net.Budget;
import org.mallowroad.net.Loop;
import org.mallowroad.state.Records;
import org.mallowroad.state.StateStore;
import org.mallowroad.state.StateStore.Result;
import org.mallowroad.state.StateStore.Txn;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;

/**
 * What users ask of any node. Nothing is told before it is committed, and every answer about a job
 * that is not over comes from a current read, so no node is ever behind what another has said.
 */
public final class UserApi {
  private static final int FINALS = 100_000;

  private final Loop loop;
  private final StateStore state;
  private final Budget writes;
  private final Jobs jobs;
  private final double valueKb;

  /** True for done, false for withdrawn: final states never change, so they may be kept. */
  private final Object2BooleanLinkedOpenHashMap<String> finals =
      new Object2BooleanLinkedOpenHashMap<>();

  /** What the node knows besides the state service. */
  public interface Jobs {
    /** Decodes a submission. */
    JobSpec decode(JsonNode submission, long nowMs) throws BadMessage;

    /** True once the machine types are known. */
    boolean ready();

    /** Why the job can never run, or null. */
    String hopeless(JobSpec spec);

    /** Done and running tasks as the leader on this node knows them, or null. */
    int[] counts(String id);
  }

  /** Over the state service. */
  public UserApi(Loop loop, StateStore state, Budget writes, Jobs jobs, double valueKb) {
    this.loop = loop;
    this.state = state;
    this.writes = writes;
    this.jobs = jobs;
    this.valueKb = valueKb;
  }

  /** A job's end became known. */
  public void ended(String id, boolean done) {
    finals.putAndMoveToLast(id, done);
    if (finals.size() > FINALS) {
      finals.removeFirstBoolean();
    }
  }

  /** POST /v1/jobs. */
  public void submit(HttpServerExchange x, byte[] body) {
    ObjectNode o;
    JobSpec spec;
    ObjectNode value;
    try {
      o = Json.parseObject(body);
      spec = jobs.decode(o, System.currentTimeMillis());
      value = Records.openValue(o, System.currentTimeMillis());
      if (Json.bytes(value).length > valueKb * 1024 - 64) {
        throw new BadMessage("the submission is too large");
      }
    } catch (BadMessage e) {
      Reply.error(x, 400, e.getMessage());
      return;
    }
    String id = spec.id();
    if (finals.containsKey(id)) {
      Reply.json(x, 200, status(id, finals.getBoolean(id)));
      return;
    }
    if (!jobs.ready()) {
      Reply.later(x, "machine types not known yet");
      return;
    }
    String never = jobs.hopeless(spec);
    if (never != null) {
      // What was accepted stays accepted, whatever types and limits say today.
      known(x, id, () -> Reply.error(x, 422, never));
      return;
    }
    if (!writes.take(1, loop.now())) {
      x.getResponseHeaders().put(io.undertow.util.Headers.RETRY_AFTER, "1");
      Reply.error(x, 429, "too many submissions");
      return;
    }
    Txn txn =
        new Txn().given(Records.open(id), 0).given(Records.end(id), 0).put(Records.open(id), value);
    state.run(
        txn,
        (result, revision, failed) -> {
          switch (result) {
            case OK -> {
              ObjectNode r = Json.object();
              r.put(Fields.ID, id);
              r.put(Fields.STATE, Fields.QUEUED);
              Reply.json(x, 201, r);
            }
            case NO -> known(x, id, () -> Reply.later(x, "try again"));
            default -> Reply.later(x, "state service not reached");
          }
        });
  }

  /** Answers 200 with the state of a job that is known already, else runs {@code otherwise}. */
  private void known(HttpServerExchange x, String id, Runnable otherwise) {
    read(
        id,
        new Read() {
          @Override
          public void open(JsonNode value, long mark) {
            counts(x, id);
          }

          @Override
          public void over(boolean done) {
            Reply.json(x, 200, status(id, done));
          }

          @Override
          public void unknown() {
            otherwise.run();
          }

          @Override
          public void failed() {
            Reply.later(x, "state service not reached");
          }
        });
  }

  /** GET /v1/jobs/{id}. */
  public void query(HttpServerExchange x, String id) {
    if (!org.mallowroad.wire.JobCodec.ID.matcher(id).matches()) {
      Reply.error(x, 404, "no such job");
      return;
    }
    known(x, id, () -> Reply.error(x, 404, "no such job"));
  }

  /** POST /v1/jobs/{id}/withdraw. */
  public void withdraw(HttpServerExchange x, String id) {
    if (!org.mallowroad.wire.JobCodec.ID.matcher(id).matches()) {
      Reply.error(x, 404, "no such job");
      return;
    }
    withdraw(x, id, 0);
  }

  private void withdraw(HttpServerExchange x, String id, int tries) {
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
            state.run(
                txn,
                (result, revision, failed) -> {
                  if (result == Result.OK) {
                    ended(id, false);
                    Reply.json(x, 200, status(id, false));
                  } else if (result == Result.NO && tries < 2) {
                    withdraw(x, id, tries + 1);
                  } else {
                    Reply.later(x, "state service not reached");
                  }
                });
          }

          @Override
          public void over(boolean done) {
            Reply.json(x, 200, status(id, done));
          }

          @Override
          public void unknown() {
            Reply.error(x, 404, "no such job");
          }

          @Override
          public void failed() {
            Reply.later(x, "state service not reached");
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
    state.get(
        Records.open(id),
        (result, open) -> {
          if (result != Result.OK) {
            read.failed();
            return;
          }
          if (open.value() != null) {
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

  /** An open job's state with its counts: the leader's own, else those of the run records. */
  private void counts(HttpServerExchange x, String id) {
    int[] own = jobs.counts(id);
    if (own != null) {
      Reply.json(x, 200, open(id, own[0], own[1]));
      return;
    }
    state.list(
        Records.RUN + id + "/",
        (result, items, revision) -> {
          int done = 0;
          int running = 0;
          if (result == Result.OK) {
            for (StateStore.Item i : items) {
              done += Records.done(i.value()).cardinality();
              running += i.value().path("live").size();
            }
          }
          Reply.json(x, 200, open(id, done, running));
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
