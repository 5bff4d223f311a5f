package org.mallowroad.console.ask;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mallowroad.console.view.RecordedState;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;

/**
 * Reads what is on record in the state service: read-only, a bounded number of requests a look, no
 * more than a few a second. The service's limits are the leader's to use, so this stays far below
 * them, and says when it saw a part only.
 */
final class RecordInspector {
  /** Requests for one look. */
  static final int MOST_READS = 24;

  /** Requests a second. */
  private static final double RPS = 10;

  private static final int PAGE = 500;
  private static final int MOST_BYTES = 4 << 20;
  private static final Duration TIMEOUT = Duration.ofMillis(1_500);

  private final String address;
  private final BoundedHttpGet fetch;
  private final RateLimiter budget = new RateLimiter(RPS, RPS, millis());

  RecordInspector(HttpClient http, String address) {
    this.address = address;
    this.fetch = new BoundedHttpGet(http, TIMEOUT, MOST_BYTES);
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  /** One look. */
  RecordedState read() {
    try {
      return new Inspection().read();
    } catch (InvalidMessageException e) {
      return RecordedState.notRead(address, e.getMessage());
    } catch (RuntimeException e) {
      // A record that nobody of ours wrote: a key without its parts, figures that are none.
      return RecordedState.notRead(address, "answers with something else than records");
    }
  }

  /**
   * How a game stands by the records: a line for each side, and its neighbours that are nobody's.
   */
  List<String> game(String league, long number) throws InvalidMessageException {
    Inspection inspection = new Inspection();
    BlockKey key = new BlockKey(league, (int) (number / Block.GAMES_PER_BLOCK));
    Block block = FoldCodec.decodeBlock(inspection.value(RecordKeys.foldBlock(key)));
    List<String> out = new ArrayList<>();
    for (Map.Entry<Block.Side, Fold> e : block.sides().entrySet()) {
      if (e.getKey().gameIndex() == Block.gameIndex(number)) {
        Fold f = e.getValue();
        out.add(
            e.getKey().member()
                + ": revision "
                + f.revision()
                + (f.retracted() ? " (taken back) " : " ")
                + inspection.jobOutcome(f)
                + (f.base() == null
                    ? ""
                    : "; until then revision "
                        + f.base().revision()
                        + " by "
                        + f.base().job()
                        + " counts"));
      }
    }
    if (out.isEmpty()) {
      out.add("nobody has claimed it, or whoever did was withdrawn");
    }
    return out;
  }

  /** A look and what it has used of its budget. */
  private final class Inspection {
    private int reads;
    private boolean partial;
    private final NameIndex teams = new NameIndex();
    private final NameIndex zones = new NameIndex();
    private final NameIndex classes = new NameIndex();
    private final JobCodec codec =
        new JobCodec(teams, zones, new NameIndex(), new NameIndex(), classes);

    RecordedState read() throws InvalidMessageException {
      JsonNode leader = value(LeaderElection.LEADER_KEY);
      JsonNode term = value(LeaderElection.TERM_KEY);
      List<VersionedValue> open = list(RecordKeys.OPEN_JOBS_PREFIX);
      List<VersionedValue> run = list(RecordKeys.ATTEMPT_RECORDS_PREFIX);
      List<VersionedValue> rental = list(RecordKeys.RENTALS_PREFIX);
      Map<String, int[]> of = new LinkedHashMap<>();
      int attempts = 0;
      for (VersionedValue i : run) {
        String id =
            i.key().substring(RecordKeys.ATTEMPT_RECORDS_PREFIX.length(), i.key().lastIndexOf('/'));
        int[] counts = of.computeIfAbsent(id, k -> new int[2]);
        int live = AttemptRecordCodec.unresolvedAttempts(i.value()).size();
        counts[0] += AttemptRecordCodec.doneTasks(i.value()).cardinality();
        counts[1] += live;
        attempts += live;
      }
      List<JobLine> jobs = new ArrayList<>();
      for (VersionedValue i : open) {
        jobs.add(line(i, of));
      }
      return new RecordedState(
          address,
          "",
          partial,
          reads,
          leader == null ? "" : leader.path("node").asText(),
          leader == null ? 0 : leader.path("term").asLong(),
          term == null ? 0 : term.path("n").asLong(),
          jobs,
          attempts,
          rental.size());
    }

    private JobLine line(VersionedValue i, Map<String, int[]> of) throws InvalidMessageException {
      JsonNode job = i.value().path("job");
      teams.intern(job.path(Fields.TEAM).asText());
      JobSpec s = JobRecordCodec.decodeOpen(i.value(), codec);
      int[] counts = of.getOrDefault(s.id(), new int[2]);
      double age = Math.max(0, (System.currentTimeMillis() - s.submittedMs()) / 1000.0);
      return new JobLine(
          s.id(),
          job.path(Fields.TEAM).asText(),
          job.path(Fields.TASK_CLASS).asText(),
          s.priority(),
          s.tasks(),
          counts[0],
          0,
          counts[1],
          Math.max(0, s.tasks() - counts[0] - counts[1]),
          0,
          age,
          s.deadlineS() > 0,
          s.deadlineS() > 0 ? s.deadlineS() - age : 0,
          false,
          0,
          "",
          -1,
          -1,
          "",
          "");
    }

    private String jobOutcome(Fold f) throws InvalidMessageException {
      if (f.settled()) {
        return "folded by " + f.job();
      }
      if (value(RecordKeys.openJob(f.job())) != null) {
        return "claimed by " + f.job() + ", which is not over";
      }
      JsonNode end = value(RecordKeys.endedJob(f.job()));
      if (end == null) {
        return "being claimed by " + f.job() + ", which is not accepted yet";
      }
      boolean done = end.path("end").asText().equals(Fields.DONE);
      return done ? "folded by " + f.job() : "released by " + f.job() + ", which was withdrawn";
    }

    private JsonNode value(String key) throws InvalidMessageException {
      ObjectNode o = ask("/kv/" + key);
      return o == null ? null : o.get(Fields.VALUE);
    }

    private List<VersionedValue> list(String prefix) throws InvalidMessageException {
      List<VersionedValue> out = new ArrayList<>();
      String from = "";
      while (reads < MOST_READS) {
        ObjectNode o =
            ask(
                "/kv?under="
                    + prefix
                    + (from.isEmpty() ? "" : "&from=" + encode(from))
                    + "&limit="
                    + PAGE);
        if (o == null) {
          throw new InvalidMessageException("has no lists: not a state service");
        }
        for (JsonNode n : Json.requiredArray(o, Fields.ITEMS)) {
          from = Json.requiredString(n, Fields.KEY, 400);
          if (!from.startsWith(prefix) || !(n.get(Fields.VALUE) instanceof ObjectNode v)) {
            throw new InvalidMessageException("answers with something else than records");
          }
          out.add(new VersionedValue(from, v, 0));
        }
        if (!o.path(Fields.TRUNCATED).asBoolean() || from.isEmpty()) {
          return out;
        }
      }
      partial = true;
      return out;
    }

    private static String encode(String s) {
      return URLEncoder.encode(s, StandardCharsets.UTF_8);
    }

    /** Null for 404. */
    private ObjectNode ask(String path) throws InvalidMessageException {
      reads++;
      while (!budget.tryAcquire(1, millis())) {
        try {
          Thread.sleep(20);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          throw new InvalidMessageException("was not waited for");
        }
      }
      BoundedHttpGet.Answer a = fetch.get(address, path);
      if (a.status() == 404) {
        return null;
      }
      if (a.status() == 0) {
        throw new InvalidMessageException(a.problem());
      }
      if (a.status() != 200) {
        throw new InvalidMessageException("answers " + a.status());
      }
      try {
        return Json.parseObject(a.body());
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException("answers something that is " + e.getMessage());
      }
    }
  }
}
