package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.HexFormat;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Chunk;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.Names;
import org.mallowroad.wire.BadMessage;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;

/** What stands under which key in the state service. */
public final class Records {
  /** Accepted jobs that are not over. */
  public static final String OPEN = "open/";

  /** Jobs that are over, for ever. */
  public static final String END = "end/";

  /** Attempts and done tasks of a part of a job's tasks. */
  public static final String RUN = "run/";

  /** Rental requests whose machines are not all accounted for. */
  public static final String HIRE = "hire/";

  private Records() {}

  /** Key of a job's open record. */
  public static String open(String job) {
    return OPEN + job;
  }

  /** Key of a job's end record. */
  public static String end(String job) {
    return END + job;
  }

  /** Key of a chunk. */
  public static String run(Chunk c) {
    return RUN + c.job.spec.id() + "/" + c.index;
  }

  /** An open record. */
  public static ObjectNode openValue(ObjectNode submission, long nowMs) {
    ObjectNode o = Json.object();
    o.put("at", nowMs);
    o.set("job", JobCodec.record(submission));
    return o;
  }

  /** The job of an open record, or of a run record whose job is over. */
  public static JobSpec spec(JsonNode value, JobCodec codec) throws BadMessage {
    JsonNode job = value == null ? null : value.get("job");
    if (job == null || !job.isObject()) {
      throw new BadMessage("job: a job is needed");
    }
    return codec.decode(job, value.path("at").asLong());
  }

  /** An end record: done, or withdrawn with the job, whose tasks may still be on machines. */
  public static ObjectNode endValue(boolean done, int tasks, JsonNode openValue) {
    ObjectNode o = Json.object();
    o.put("end", done ? Fields.DONE : Fields.WITHDRAWN);
    if (done) {
      o.put("tasks", tasks);
    } else {
      o.set("open", openValue);
    }
    return o;
  }

  /** A run record. */
  public static ObjectNode runValue(Chunk c, Names zones) {
    ObjectNode o = Json.object();
    BitSet done = new BitSet();
    int high = 0;
    ObjectNode machines = Json.object();
    ArrayNode live = Json.array();
    for (int t = c.from(); t < c.to(); t++) {
      if (c.job.isDone(t)) {
        done.set(t - c.from());
      }
      high = Math.max(high, c.job.number(t));
      Attempt a = c.job.live(t);
      if (a != null) {
        live.addArray().add(t).add(a.number).add(a.machine.name).add(a.session);
        Machine m = a.machine;
        if (!machines.has(m.name)) {
          machines.putArray(m.name).add(m.type.name()).add(zones.name(m.zone)).add(m.spot);
        }
      }
    }
    if (!done.isEmpty()) {
      o.put("done", HexFormat.of().formatHex(done.toByteArray()));
    }
    o.put("high", high);
    if (!live.isEmpty()) {
      o.set("machines", machines);
      o.set("live", live);
    }
    return o;
  }

  /** The done tasks of a run record. */
  public static BitSet done(JsonNode run) {
    JsonNode n = run.get("done");
    return n == null ? new BitSet() : BitSet.valueOf(HexFormat.of().parseHex(n.asText()));
  }
}
