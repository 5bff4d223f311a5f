package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
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

  /** Attempts of several small jobs together ({@code core.SharedAttemptRecord}). */
  public static final String STARTS = "starts/";

  /** Rental requests whose machines are not all accounted for. */
  public static final String HIRE = "hire/";

  /** Claimed and folded sides of a league's consecutive games. */
  public static final String FOLD = "fold/";

  /** Submissions whose games are being claimed, some at a time. */
  public static final String INTENT = "intent/";

  /** Leagues on whose games holds depend. */
  public static final String LEAGUE = "league/";

  /** What held jobs that are not over wait for. */
  public static final String HELD = "held/";

  /** Changes with each held job that is accepted, so that no two close a circle at once. */
  public static final String HOLD_ORDER = "hold-order";

  /** Confirmations under which held jobs start. */
  public static final String RELEASE = "release/";

  /** In a league's record: the highest game that a hold depends on. */
  public static final String UP_TO = "up_to";

  /** In a league's record: how often games up to that one were claimed since. */
  public static final String CHANGES = "changes";

  private Records() {}

  /** Key of a block of games; numbers are padded so that blocks stand in order. */
  public static String fold(BlockKey k) {
    return FOLD + k.league() + "/" + String.format(Locale.ROOT, "%07d", k.index());
  }

  /** The block of a key. */
  public static BlockKey block(String foldKey) {
    int slash = foldKey.lastIndexOf('/');
    return new BlockKey(
        foldKey.substring(FOLD.length(), slash), Integer.parseInt(foldKey.substring(slash + 1)));
  }

  /** Key of a job's intent. */
  public static String intent(String job) {
    return INTENT + job;
  }

  /** Key of what a held job waits for. */
  public static String held(String job) {
    return HELD + job;
  }

  /** Key of a held job's release. */
  public static String release(String job) {
    return RELEASE + job;
  }

  /** Key of a league's record. */
  public static String league(String league) {
    return LEAGUE + league;
  }

  /** True for a key of a league's record. */
  public static boolean isLeague(String key) {
    return key.startsWith(LEAGUE);
  }

  /** A league's record. */
  public static ObjectNode leagueValue(long upTo, long changes) {
    return Json.object().put(UP_TO, upTo).put(CHANGES, changes);
  }

  /** Key of a job's open record. */
  public static String open(String job) {
    return OPEN + job;
  }

  /** Key of a job's end record. */
  public static String end(String job) {
    return END + job;
  }

  /** Key of a chunk. */
  public static String run(AttemptRecord c) {
    return RUN + c.job.spec.id() + "/" + c.index;
  }

  /** Key of a record that small jobs share. */
  public static String starts(SharedAttemptRecord r) {
    return STARTS + r.name;
  }

  /** A record that small jobs share: what a run record has, by job. */
  public static ObjectNode sharedValue(Iterable<AttemptRecord> members, NameIndex zones) {
    ObjectNode o = Json.object();
    for (AttemptRecord c : members) {
      o.set(c.job.spec.id(), runValue(c, zones));
    }
    return o;
  }

  /** What a shared record has of each of its jobs, as run records have it. */
  public static List<Map.Entry<String, JsonNode>> sharedRuns(JsonNode value) {
    List<Map.Entry<String, JsonNode>> out = new ArrayList<>();
    out.addAll(value.properties());
    return out;
  }

  /** An open record. */
  public static ObjectNode openValue(ObjectNode submission, long nowMs) {
    ObjectNode o = Json.object();
    o.put("at", nowMs);
    o.set("job", JobCodec.record(submission));
    return o;
  }

  /** The job of an open record, or of a run record whose job is over. */
  public static JobSpec spec(JsonNode value, JobCodec codec) throws InvalidMessageException {
    JsonNode job = value == null ? null : value.get("job");
    if (job == null || !job.isObject()) {
      throw new InvalidMessageException("job: a job is needed");
    }
    return codec.decode(job, value.path("at").asLong());
  }

  /** An end record: done, or cancelled with the job, whose tasks may still be on machines. */
  public static ObjectNode endValue(boolean done, int tasks, JsonNode openValue) {
    ObjectNode o = Json.object();
    o.put("end", done ? Fields.DONE : Fields.CANCELLED);
    if (done) {
      o.put("tasks", tasks);
    } else {
      o.set("open", openValue);
    }
    return o;
  }

  /**
   * A run record. Attempts stand grouped by machine and session, and what is said of a machine
   * stands once for all machines like it: a record is written with every start, so each byte is
   * paid for often.
   */
  public static ObjectNode runValue(AttemptRecord c, NameIndex zones) {
    ObjectNode o = Json.object();
    BitSet done = new BitSet();
    int high = 0;
    ArrayNode kinds = Json.array();
    ArrayNode live = Json.array();
    Object2ObjectLinkedOpenHashMap<String, ArrayNode> groups =
        new Object2ObjectLinkedOpenHashMap<>();
    Object2IntOpenHashMap<String> kindOf = new Object2IntOpenHashMap<>();
    for (int t = c.firstTask(); t < c.endTask(); t++) {
      if (c.job.isDone(t)) {
        done.set(t - c.firstTask());
      }
      high = Math.max(high, c.job.highestAttemptNumber(t));
      Attempt a = c.job.liveAttempt(t);
      if (a == null) {
        continue;
      }
      String key = a.machine.name + " " + a.incarnation;
      ArrayNode group = groups.get(key);
      if (group == null) {
        Machine m = a.machine;
        String kind = m.type.name() + " " + m.zone + " " + m.spot;
        int k = kindOf.getOrDefault(kind, -1);
        if (k < 0) {
          k = kindOf.size();
          kindOf.put(kind, k);
          kinds.addArray().add(m.type.name()).add(zones.name(m.zone)).add(m.spot);
        }
        group = live.addArray().add(m.name).add(a.incarnation).add(k);
        groups.put(key, group);
      }
      group.add(t).add(a.number);
    }
    if (!done.isEmpty()) {
      o.put("done", HexFormat.of().formatHex(done.toByteArray()));
    }
    o.put("high", high);
    if (!live.isEmpty()) {
      o.set("kinds", kinds);
      o.set("live", live);
    }
    return o;
  }

  /** An unresolved attempt as a run record has it. */
  public record Live(
      int task,
      int number,
      String machine,
      long incarnation,
      String type,
      String zone,
      boolean spot) {}

  /** The unresolved attempts of a run record. */
  public static List<Live> live(JsonNode run) {
    List<Live> out = new ArrayList<>();
    for (JsonNode g : run.path("live")) {
      JsonNode kind = run.path("kinds").path(g.path(2).asInt(-1));
      for (int i = 3; i + 1 < g.size(); i += 2) {
        out.add(
            new Live(
                g.get(i).asInt(),
                g.get(i + 1).asInt(),
                g.get(0).asText(),
                g.get(1).asLong(),
                kind.path(0).asText(),
                kind.path(1).asText(),
                kind.path(2).asBoolean()));
      }
    }
    return out;
  }

  /** The done tasks of a run record. */
  public static BitSet done(JsonNode run) {
    JsonNode n = run.get("done");
    return n == null ? new BitSet() : BitSet.valueOf(HexFormat.of().parseHex(n.asText()));
  }
}
