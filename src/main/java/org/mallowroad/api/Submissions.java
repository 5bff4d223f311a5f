package org.mallowroad.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.mallowroad.api.claim.AcceptanceResult;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.Game;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;

/** Serves submissions: validates them, and answers after the job is recorded. */
final class Submissions {
  /** The service counts as overloaded for this time after it refused a call for its limits. */
  private static final long OVERLOADED_MS = 10_000;

  /** A submission that the state service refused for its limits is sent again after this time. */
  private static final long RETRY_MS = 120;

  private static final int MAX_RETRIES = 4;

  /**
   * The rate of calls of submissions that are sent again, as a part of all calls that this node may
   * make for users. Without a bound an overloaded service would get five calls for each submission.
   */
  private static final double RETRY_SHARE = 0.25;

  /** Calls of submissions that may be sent again at once. */
  private static final double RETRY_BURST = 12;

  /** A value may be as long as the limit less what surrounds it. */
  private static final int ENVELOPE_BYTES = 64;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final JobLookup lookup;
  private final ClaimService claims;
  private final UserApi.LocalJobs jobs;
  private final RateLimiter writes;
  private final RateLimiter fairWrites;
  private final double maxValueBytes;
  private final RateLimiter retries;

  Submissions(
      EventLoop loop,
      KeyValueStore state,
      JobLookup lookup,
      ClaimService claims,
      UserApi.LocalJobs jobs,
      UserApi.Limits limits) {
    this.retries = new RateLimiter(RETRY_SHARE * limits.readsPerSecond(), RETRY_BURST, loop.now());
    this.loop = loop;
    this.state = state;
    this.lookup = lookup;
    this.claims = claims;
    this.jobs = jobs;
    this.writes = limits.writeLimiter();
    this.fairWrites = limits.fairShareWriteLimiter();
    this.maxValueBytes = limits.maxValueKb() * 1024 - ENVELOPE_BYTES;
  }

  /** A valid submission and its open record. */
  private record Parsed(JobSpec spec, List<Game> games, ObjectNode value) {}

  /** Serves POST /v1/jobs. */
  void submit(Responder x, byte[] body) {
    ObjectNode o = null;
    Parsed parsed;
    try {
      o = Json.parseObject(body);
      parsed = parse(o);
    } catch (InvalidMessageException e) {
      reject(x, o, e.getMessage());
      return;
    }
    String id = parsed.spec.id();
    if (lookup.finalOutcome(id) != null) {
      lookup.answer(x, id, () -> JobLookup.answerUnavailable(x));
      return;
    }
    if (!jobs.hasMachineTypes()) {
      x.respond(503, JsonResponses.errorBody("machine types not known yet"), true);
      return;
    }
    Optional<String> impossible = jobs.rejectionReason(parsed.spec);
    if (impossible.isPresent()) {
      // A job that was accepted stays accepted, whatever types and limits say today.
      lookup.answer(x, id, () -> x.respond(422, JsonResponses.errorBody(impossible.get()), false));
      return;
    }
    if (parsed.spec.dependencies() == JobDependencies.NONE && lookup.answersPromptly()) {
      // A repeated submission costs a write even when it fails, and this lookup none. It is left
      // out
      // while lookups wait long, since the submission would wait with it.
      Runnable record = () -> recordJob(x, parsed);
      lookup.answer(x, id, record, record);
    } else {
      recordJob(x, parsed);
    }
  }

  private Parsed parse(ObjectNode o) throws InvalidMessageException {
    JobSpec spec = jobs.validate(o);
    List<Game> games = FoldCodec.decodeGames(o);
    if (spec.dependencies().foldedBlocks().size() > ClaimService.MAX_LEAGUES) {
      throw new InvalidMessageException("folds: at most " + ClaimService.MAX_LEAGUES + " leagues");
    }
    ObjectNode value = JobRecordCodec.encodeOpen(o, loop.wallMs());
    if (!games.isEmpty()) {
      ((ObjectNode) value.get("job"))
          .set(FoldCodec.BLOCKS, FoldCodec.encodeBlockKeys(ClaimService.blockKeys(games)));
    }
    if (Json.toBytes(value).length > maxValueBytes) {
      throw new InvalidMessageException("the submission is too large");
    }
    return new Parsed(spec, games, value);
  }

  /**
   * Rejects an invalid submission, unless a job was accepted under its id: then it stays accepted,
   * whatever is sent later. While the state service does not answer whether it was, the response is
   * 503, since a 400 to an accepted job would say that it is lost.
   */
  private void reject(Responder x, ObjectNode o, String reason) {
    Runnable refuse = () -> x.respond(400, JsonResponses.errorBody(reason), false);
    String id = o == null ? "" : o.path(Fields.ID).asText();
    if (JobCodec.ID_PATTERN.matcher(id).matches()) {
      lookup.answer(x, id, refuse);
    } else {
      refuse.run();
    }
  }

  private void recordJob(Responder x, Parsed parsed) {
    if (!jobs.tryAdmit() || !tryAcquireWrite()) {
      x.respond(429, JsonResponses.errorBody("too many submissions"), true);
      return;
    }
    if (parsed.spec.dependencies() == JobDependencies.NONE) {
      accept(x, parsed.spec.id(), parsed.value, 0);
    } else {
      acceptWithClaims(x, parsed);
    }
  }

  /** Accepts a job that folds games or has dependencies; a known job is never refused. */
  private void acceptWithClaims(Responder x, Parsed parsed) {
    String id = parsed.spec.id();
    claims.accept(
        id,
        parsed.value,
        parsed.games,
        parsed.spec.dependencies(),
        result -> answerAcceptance(x, id, result));
  }

  private void answerAcceptance(Responder x, String id, AcceptanceResult result) {
    String reason = result.reason();
    switch (result.status()) {
      case ACCEPTED -> x.respond(201, queued(id), false);
      case DUPLICATE -> lookup.answer(x, id, () -> tryAgain(x));
      case REJECTED ->
          lookup.answer(x, id, () -> x.respond(422, JsonResponses.errorBody(reason), false));
      default -> lookup.answer(x, id, () -> x.respond(503, JsonResponses.errorBody(reason), true));
    }
  }

  private static void tryAgain(Responder x) {
    x.respond(503, JsonResponses.errorBody("try again"), true);
  }

  private static ObjectNode queued(String id) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, Fields.QUEUED);
    return o;
  }

  private void accept(Responder x, String id, ObjectNode value, int retried) {
    long sentMs = loop.now();
    Transaction transaction =
        new Transaction()
            .requireVersion(RecordKeys.openJob(id), 0)
            .requireVersion(RecordKeys.endedJob(id), 0)
            .put(RecordKeys.openJob(id), value);
    // Sent twice when an answer is late: the one that is applied first makes the other fail, and
    // the
    // job that the other finds is this one.
    state.compareAndSwapWithRetry(
        transaction,
        () -> writes.forceAcquire(1, loop.now()),
        (result, revision, failed) -> {
          if (result == CallResult.NOT_EXECUTED
              && state.health().lastThrottledMs() >= sentMs
              && retried < MAX_RETRIES
              && retries.tryAcquire(1, loop.now())) {
            // Refused for the service's limits, which a moment later leave room; a user who is
            // asked
            // to retry does so only after a second.
            loop.after(RETRY_MS, () -> accept(x, id, value, retried + 1));
            return;
          }
          switch (result) {
            case OK -> {
              lookup.opened(id, revision);
              x.respond(201, queued(id), false);
            }
            case CONDITION_FAILED -> lookup.answer(x, id, () -> tryAgain(x));
            default -> JobLookup.answerUnavailable(x);
          }
        });
  }

  /**
   * Takes a write of the state service. When the other nodes are down one node gets all
   * submissions, which must not wait for its fair part of the writes while the rest is unused. So
   * each node may use all that the leader leaves, and keeps to its fair part for a while after the
   * service has refused a call for its limits.
   */
  private boolean tryAcquireWrite() {
    long now = loop.now();
    boolean overloaded = now - state.health().lastThrottledMs() < OVERLOADED_MS;
    return (overloaded ? fairWrites : writes).tryAcquire(1, now);
  }
}
