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

/** Serves submissions: validates them, and responds after the job is recorded. */
final class Submissions {
  /** How long the state service counts as overloaded after it refused a call for its rate limit. */
  private static final long OVERLOAD_WINDOW_MS = 10_000;

  /** The delay before a write that the state service refused for its rate limit is sent again. */
  private static final long RETRY_DELAY_MS = 120;

  private static final int MAX_RETRIES = 4;

  /**
   * The rate of retried submission writes, as a fraction of the read calls that this node may make
   * for users. Without this bound an overloaded state service would get five calls for each
   * submission: the first attempt and {@link #MAX_RETRIES} retries.
   */
  private static final double RETRY_RATE_SHARE = 0.25;

  /** The number of submission writes that may be retried in a burst. */
  private static final double RETRY_BURST = 12;

  /** Part of the maximum value size that is reserved for the JSON that encloses the value. */
  private static final int RECORD_OVERHEAD_BYTES = 64;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final JobLookup lookup;
  private final ClaimService claimService;
  private final UserApi.LocalJobs localJobs;
  private final RateLimiter writeLimiter;
  private final RateLimiter fairShareWriteLimiter;
  private final double maxValueBytes;
  private final RateLimiter retryLimiter;

  Submissions(
      EventLoop loop,
      KeyValueStore state,
      JobLookup lookup,
      ClaimService claimService,
      UserApi.LocalJobs localJobs,
      UserApi.Limits limits) {
    this.retryLimiter =
        new RateLimiter(RETRY_RATE_SHARE * limits.readsPerSecond(), RETRY_BURST, loop.now());
    this.loop = loop;
    this.state = state;
    this.lookup = lookup;
    this.claimService = claimService;
    this.localJobs = localJobs;
    this.writeLimiter = limits.writeLimiter();
    this.fairShareWriteLimiter = limits.fairShareWriteLimiter();
    this.maxValueBytes = limits.maxValueKb() * 1024 - RECORD_OVERHEAD_BYTES;
  }

  /** A valid submission with the open record to be stored for it. */
  private record ParsedSubmission(JobSpec spec, List<Game> games, ObjectNode openRecord) {}

  /** Serves POST /v1/jobs. */
  void submit(Responder responder, byte[] body) {
    ObjectNode submission = null;
    ParsedSubmission parsed;
    try {
      submission = Json.parseObject(body);
      parsed = parse(submission);
    } catch (InvalidMessageException e) {
      reject(responder, submission, e.getMessage());
      return;
    }
    String id = parsed.spec.id();
    if (lookup.cachedOutcome(id) != null) {
      lookup.respondWithState(responder, id, () -> JobLookup.respondUnavailable(responder));
      return;
    }
    if (!localJobs.hasMachineTypes()) {
      responder.respond(503, JsonResponses.errorBody("machine types not known yet"), true);
      return;
    }
    Optional<String> rejection = localJobs.rejectionReason(parsed.spec);
    if (rejection.isPresent()) {
      // A job that was accepted earlier stays accepted, even if it could not run with the current
      // machine types and limits.
      lookup.respondWithState(
          responder,
          id,
          () -> responder.respond(422, JsonResponses.errorBody(rejection.get()), false));
      return;
    }
    if (parsed.spec.dependencies() == JobDependencies.NONE && lookup.canRespondPromptly()) {
      // A repeated submission costs a write even if its conditions fail, while this lookup costs
      // none. It is skipped while lookups are slow, because it would delay the submission.
      Runnable admission = () -> admit(responder, parsed);
      lookup.respondWithState(responder, id, admission, admission);
    } else {
      admit(responder, parsed);
    }
  }

  private ParsedSubmission parse(ObjectNode submission) throws InvalidMessageException {
    JobSpec spec = localJobs.validate(submission);
    List<Game> games = FoldCodec.decodeGames(submission);
    if (spec.dependencies().foldedBlocks().size() > ClaimService.MAX_LEAGUES) {
      throw new InvalidMessageException("folds: at most " + ClaimService.MAX_LEAGUES + " leagues");
    }
    ObjectNode openRecord = JobRecordCodec.encodeOpen(submission, loop.wallMs());
    if (!games.isEmpty()) {
      ((ObjectNode) openRecord.get("job"))
          .set(FoldCodec.BLOCKS, FoldCodec.encodeBlockKeys(ClaimService.blockKeys(games)));
    }
    if (Json.toBytes(openRecord).length > maxValueBytes) {
      throw new InvalidMessageException("the submission is too large");
    }
    return new ParsedSubmission(spec, games, openRecord);
  }

  /**
   * Rejects an invalid submission, unless a job was accepted under its id earlier: that job stays
   * accepted, whatever is submitted later. If the state service does not answer whether there is
   * such a job, the response is 503, because 400 would tell the owner of an accepted job that the
   * job is lost.
   */
  private void reject(Responder responder, ObjectNode submission, String reason) {
    Runnable respondInvalid = () -> responder.respond(400, JsonResponses.errorBody(reason), false);
    String id = submission == null ? "" : submission.path(Fields.ID).asText();
    if (JobCodec.ID_PATTERN.matcher(id).matches()) {
      lookup.respondWithState(responder, id, respondInvalid);
    } else {
      respondInvalid.run();
    }
  }

  /** Accepts the job if the admission control and the write limit allow it, else responds 429. */
  private void admit(Responder responder, ParsedSubmission parsed) {
    if (!localJobs.tryAdmit() || !tryAcquireWrite()) {
      responder.respond(429, JsonResponses.errorBody("too many submissions"), true);
      return;
    }
    if (parsed.spec.dependencies() == JobDependencies.NONE) {
      accept(responder, parsed.spec.id(), parsed.openRecord, 0);
    } else {
      acceptWithClaims(responder, parsed);
    }
  }

  /**
   * Accepts a job that folds games or has dependencies. If the job is already known, the response
   * is its state and never an error.
   */
  private void acceptWithClaims(Responder responder, ParsedSubmission parsed) {
    String id = parsed.spec.id();
    claimService.accept(
        id,
        parsed.openRecord,
        parsed.games,
        parsed.spec.dependencies(),
        result -> respondToAcceptance(responder, id, result));
  }

  private void respondToAcceptance(Responder responder, String id, AcceptanceResult result) {
    String reason = result.reason();
    switch (result.status()) {
      case ACCEPTED -> responder.respond(201, queuedBody(id), false);
      case DUPLICATE -> lookup.respondWithState(responder, id, () -> respondTryAgain(responder));
      case REJECTED ->
          lookup.respondWithState(
              responder, id, () -> responder.respond(422, JsonResponses.errorBody(reason), false));
      default ->
          lookup.respondWithState(
              responder, id, () -> responder.respond(503, JsonResponses.errorBody(reason), true));
    }
  }

  private static void respondTryAgain(Responder responder) {
    responder.respond(503, JsonResponses.errorBody("try again"), true);
  }

  private static ObjectNode queuedBody(String id) {
    ObjectNode body = Json.object();
    body.put(Fields.ID, id);
    body.put(Fields.STATE, Fields.QUEUED);
    return body;
  }

  private void accept(Responder responder, String id, ObjectNode openRecord, int retriesUsed) {
    long sentMs = loop.now();
    Transaction transaction =
        new Transaction()
            .requireVersion(RecordKeys.openJob(id), 0)
            .requireVersion(RecordKeys.endedJob(id), 0)
            .put(RecordKeys.openJob(id), openRecord);
    // The transaction is sent again if the response is late. The copy that is applied first makes
    // the others fail, and the job that they find is this job.
    state.compareAndSwapWithRetry(
        transaction,
        () -> writeLimiter.forceAcquire(1, loop.now()),
        (result, revision, failedConditions) -> {
          if (result == CallResult.NOT_EXECUTED
              && state.health().lastThrottledMs() >= sentMs
              && retriesUsed < MAX_RETRIES
              && retryLimiter.tryAcquire(1, loop.now())) {
            // The state service refused the write for its rate limit, which soon allows another
            // one. A user who is asked to retry would do so only after one second.
            loop.after(RETRY_DELAY_MS, () -> accept(responder, id, openRecord, retriesUsed + 1));
            return;
          }
          switch (result) {
            case OK -> {
              lookup.cacheOpenJob(id, revision);
              responder.respond(201, queuedBody(id), false);
            }
            case CONDITION_FAILED ->
                lookup.respondWithState(responder, id, () -> respondTryAgain(responder));
            default -> JobLookup.respondUnavailable(responder);
          }
        });
  }

  /**
   * Acquires one write to the state service. When the other nodes are down, one node gets all
   * submissions, which must not be limited to the node's fair share while the rest of the writes is
   * unused. So each node may use all writes that the leader leaves, and is limited to its fair
   * share only for {@link #OVERLOAD_WINDOW_MS} after the service has refused a call for its rate
   * limit.
   */
  private boolean tryAcquireWrite() {
    long nowMs = loop.now();
    boolean isOverloaded = nowMs - state.health().lastThrottledMs() < OVERLOAD_WINDOW_MS;
    return (isOverloaded ? fairShareWriteLimiter : writeLimiter).tryAcquire(1, nowMs);
  }
}
