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
 * Reads the scheduler's records from the state service without changing them. The number of
 * requests for one result and the request rate are bounded: the rate limits of the state service
 * are meant for the leader, so the inspector stays far below them. The result says if it covers
 * only a part of the records.
 */
final class RecordInspector {
  /** The number of requests for one result after which no further list pages are read. */
  static final int MAX_READS = 24;

  private static final double REQUESTS_PER_SECOND = 10;

  private static final int PAGE_SIZE = 500;
  private static final int MAX_RESPONSE_BYTES = 4 << 20;
  private static final Duration TIMEOUT = Duration.ofMillis(1_500);

  private final String address;
  private final BoundedHttpGet httpGet;
  private final RateLimiter rateLimiter =
      new RateLimiter(REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, nowMs());

  RecordInspector(HttpClient http, String address) {
    this.address = address;
    this.httpGet = new BoundedHttpGet(http, TIMEOUT, MAX_RESPONSE_BYTES);
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Reads the leadership, the open jobs, the attempts and the rental requests. */
  RecordedState read() {
    try {
      return new Inspection().readRecords();
    } catch (InvalidMessageException e) {
      return RecordedState.notRead(address, e.getMessage());
    } catch (RuntimeException e) {
      // The scheduler wrote no such record: for example, a part of the key is missing or a value is
      // not a number.
      return RecordedState.notRead(address, "returned something other than valid records");
    }
  }

  /**
   * Describes the claims on a game by the records: one line for each side that claims it, or a
   * single line if there is none.
   */
  List<String> describeGame(String league, long number) throws InvalidMessageException {
    Inspection inspection = new Inspection();
    BlockKey key = new BlockKey(league, (int) (number / Block.GAMES_PER_BLOCK));
    Block block = FoldCodec.decodeBlock(inspection.readValue(RecordKeys.foldBlock(key)));
    List<String> lines = new ArrayList<>();
    for (Map.Entry<Block.Side, Fold> side : block.sides().entrySet()) {
      if (side.getKey().gameIndex() == Block.gameIndex(number)) {
        Fold fold = side.getValue();
        lines.add(
            side.getKey().member()
                + ": revision "
                + fold.revision()
                + (fold.retracted() ? " (retracted) " : " ")
                + inspection.describeOutcome(fold)
                + (fold.base() == null
                    ? ""
                    : "; until then, revision "
                        + fold.base().revision()
                        + " by "
                        + fold.base().job()
                        + " is valid"));
      }
    }
    if (lines.isEmpty()) {
      lines.add("nobody has claimed it, or the job that claimed it was withdrawn");
    }
    return lines;
  }

  /** Reads the records for one result and counts the requests. */
  private final class Inspection {
    private int reads;
    private boolean partial;
    private final NameIndex teams = new NameIndex();
    private final NameIndex zones = new NameIndex();
    private final NameIndex classes = new NameIndex();
    private final JobCodec codec =
        new JobCodec(teams, zones, new NameIndex(), new NameIndex(), classes);

    RecordedState readRecords() throws InvalidMessageException {
      JsonNode leader = readValue(LeaderElection.LEADER_KEY);
      JsonNode term = readValue(LeaderElection.TERM_KEY);
      List<VersionedValue> openJobs = readAll(RecordKeys.OPEN_JOBS_PREFIX);
      List<VersionedValue> attemptRecords = readAll(RecordKeys.ATTEMPT_RECORDS_PREFIX);
      List<VersionedValue> rentalRequests = readAll(RecordKeys.RENTALS_PREFIX);
      Map<String, int[]> countsByJob = new LinkedHashMap<>();
      int attempts = 0;
      for (VersionedValue item : attemptRecords) {
        String jobId =
            item.key()
                .substring(RecordKeys.ATTEMPT_RECORDS_PREFIX.length(), item.key().lastIndexOf('/'));
        int[] counts = countsByJob.computeIfAbsent(jobId, k -> new int[2]);
        int unresolved = AttemptRecordCodec.unresolvedAttempts(item.value()).size();
        counts[0] += AttemptRecordCodec.doneTasks(item.value()).cardinality();
        counts[1] += unresolved;
        attempts += unresolved;
      }
      List<JobLine> jobs = new ArrayList<>();
      for (VersionedValue item : openJobs) {
        jobs.add(decodeOpenJob(item, countsByJob));
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
          rentalRequests.size());
    }

    private JobLine decodeOpenJob(VersionedValue item, Map<String, int[]> countsByJob)
        throws InvalidMessageException {
      JsonNode job = item.value().path("job");
      teams.intern(job.path(Fields.TEAM).asText());
      JobSpec spec = JobRecordCodec.decodeOpen(item.value(), codec);
      int[] counts = countsByJob.getOrDefault(spec.id(), new int[2]);
      double ageS = Math.max(0, (System.currentTimeMillis() - spec.submittedMs()) / 1000.0);
      return new JobLine(
          spec.id(),
          job.path(Fields.TEAM).asText(),
          job.path(Fields.TASK_CLASS).asText(),
          spec.priority(),
          spec.tasks(),
          counts[0],
          0,
          counts[1],
          Math.max(0, spec.tasks() - counts[0] - counts[1]),
          0,
          ageS,
          spec.deadlineS() > 0,
          spec.deadlineS() > 0 ? spec.deadlineS() - ageS : 0,
          false,
          0,
          "",
          -1,
          -1,
          "",
          "");
    }

    private String describeOutcome(Fold fold) throws InvalidMessageException {
      if (fold.settled()) {
        return "folded by " + fold.job();
      }
      if (readValue(RecordKeys.openJob(fold.job())) != null) {
        return "claimed by " + fold.job() + ", which has not ended";
      }
      JsonNode endRecord = readValue(RecordKeys.endedJob(fold.job()));
      if (endRecord == null) {
        return "being claimed by " + fold.job() + ", which is not accepted yet";
      }
      boolean done = endRecord.path("end").asText().equals(Fields.DONE);
      return done
          ? "folded by " + fold.job()
          : "released by " + fold.job() + ", which was withdrawn";
    }

    private JsonNode readValue(String key) throws InvalidMessageException {
      ObjectNode response = sendRequest("/kv/" + key);
      return response == null ? null : response.get(Fields.VALUE);
    }

    private List<VersionedValue> readAll(String prefix) throws InvalidMessageException {
      List<VersionedValue> items = new ArrayList<>();
      String lastKey = "";
      while (reads < MAX_READS) {
        ObjectNode response =
            sendRequest(
                "/kv?under="
                    + prefix
                    + (lastKey.isEmpty() ? "" : "&from=" + urlEncode(lastKey))
                    + "&limit="
                    + PAGE_SIZE);
        if (response == null) {
          throw new InvalidMessageException("does not support lists: not a state service");
        }
        for (JsonNode item : Json.requiredArray(response, Fields.ITEMS)) {
          lastKey = Json.requiredString(item, Fields.KEY, 400);
          if (!lastKey.startsWith(prefix)
              || !(item.get(Fields.VALUE) instanceof ObjectNode value)) {
            throw new InvalidMessageException("returned something other than valid records");
          }
          items.add(new VersionedValue(lastKey, value, 0));
        }
        if (!response.path(Fields.TRUNCATED).asBoolean() || lastKey.isEmpty()) {
          return items;
        }
      }
      partial = true;
      return items;
    }

    private static String urlEncode(String text) {
      return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /** Sends a request within the rate limit; returns null for status 404. */
    private ObjectNode sendRequest(String path) throws InvalidMessageException {
      reads++;
      while (!rateLimiter.tryAcquire(1, nowMs())) {
        try {
          Thread.sleep(20);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          throw new InvalidMessageException("the request was interrupted");
        }
      }
      BoundedHttpGet.Response response = httpGet.get(address, path);
      if (response.status() == 404) {
        return null;
      }
      if (response.status() == 0) {
        throw new InvalidMessageException(response.problem());
      }
      if (response.status() != 200) {
        throw new InvalidMessageException("returned HTTP status " + response.status());
      }
      try {
        return Json.parseObject(response.body());
      } catch (InvalidMessageException e) {
        throw new InvalidMessageException("returned a response that is " + e.getMessage());
      }
    }
  }
}
