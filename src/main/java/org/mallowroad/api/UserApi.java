package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.core.JobSpec;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;

/**
 * Serves users' requests, on any node. Only committed state is returned, and every response about a
 * job that has not ended comes from a read that was made for this request ({@link JobLookup}), so
 * no node returns an older state than another node has returned before.
 */
public final class UserApi {
  private static final String JOBS_PATH = "/v1/jobs";

  /** The conditions that the state service allows for each put or delete of a transaction. */
  private static final int CONDITIONS_PER_OP = 4;

  private final JobLookup lookup;
  private final ClaimService claimService;
  private final Submissions submissions;
  private final CancelRequests cancelRequests;

  /** What this node knows about jobs without reading the state service. */
  public interface LocalJobs {
    /** Validates and decodes a submission without adding its names to the name indices. */
    JobSpec validate(JsonNode submission) throws InvalidMessageException;

    /** Whether the machine types have been loaded. */
    boolean hasMachineTypes();

    /** Acquires an admission for a new job; false if the admission limit is reached. */
    default boolean tryAdmit() {
      return true;
    }

    /** Why the job could never run on any machine type, or empty if it could. */
    Optional<String> rejectionReason(JobSpec spec);

    /** The job's task counts if this node is the leader and has the job in memory, else null. */
    JobProgress progress(String id);
  }

  /**
   * The limits within which users' requests call the state service.
   *
   * @param readLimiter limits the read calls for users
   * @param readsPerSecond the rate of {@code readLimiter}, which is also its burst
   * @param writeLimiter admits all writes to the state service that the leader leaves unused
   * @param fairShareWriteLimiter admits only this node's fair share of those writes
   * @param maxValueKb the maximum size of a value, in KB
   * @param maxConditions the maximum number of conditions in one transaction
   * @param maxCachedOutcomes the maximum number of ended jobs whose outcome is cached
   */
  public record Limits(
      RateLimiter readLimiter,
      double readsPerSecond,
      RateLimiter writeLimiter,
      RateLimiter fairShareWriteLimiter,
      double maxValueKb,
      int maxConditions,
      int maxCachedOutcomes) {}

  /** Creates the API on top of the state service. */
  public UserApi(EventLoop loop, KeyValueStore state, Limits limits, LocalJobs localJobs) {
    ReadQueue readQueue = new ReadQueue(loop, limits.readLimiter());
    this.lookup =
        new JobLookup(
            loop,
            state,
            readQueue,
            limits.readsPerSecond(),
            localJobs,
            limits.maxConditions(),
            limits.maxCachedOutcomes());
    this.claimService =
        new ClaimService(
            loop,
            state,
            limits.writeLimiter(),
            limits.maxConditions() / CONDITIONS_PER_OP,
            limits.maxValueKb(),
            lookup::cachedOutcome);
    this.submissions = new Submissions(loop, state, lookup, claimService, localJobs, limits);
    this.cancelRequests = new CancelRequests(loop, state, lookup, limits.writeLimiter());
  }

  /** The service that accepts jobs with claims; the leader uses it to abandon unfinished claims. */
  public ClaimService claimService() {
    return claimService;
  }

  /** Sets a listener that is called once for each cancellation that this node learns of. */
  public void setCancellationListener(Consumer<String> listener) {
    lookup.setCancellationListener(listener);
  }

  /** Caches the outcome of a job whose end record is committed. */
  public void cacheOutcome(String id, boolean done) {
    lookup.cacheOutcome(id, done);
  }

  /** The number of ended jobs whose outcome is cached. */
  public int cachedOutcomeCount() {
    return lookup.cachedOutcomeCount();
  }

  /** The number of open jobs that are cached. */
  public int cachedOpenJobCount() {
    return lookup.cachedOpenJobCount();
  }

  /** Serves a request whose path and method the router has checked. */
  public void serve(String method, String path, byte[] body, Responder responder) {
    String idAndAction =
        path.length() > JOBS_PATH.length() ? path.substring(JOBS_PATH.length() + 1) : "";
    int slash = idAndAction.indexOf('/');
    if (idAndAction.isEmpty()) {
      submit(responder, body);
    } else if (slash < 0) {
      query(responder, idAndAction);
    } else {
      cancel(responder, idAndAction.substring(0, slash));
    }
  }

  /** Serves POST /v1/jobs. */
  public void submit(Responder responder, byte[] body) {
    submissions.submit(responder, body);
  }

  /** Serves GET /v1/jobs/{id}. */
  public void query(Responder responder, String id) {
    if (JobCodec.ID_PATTERN.matcher(id).matches()) {
      lookup.respondWithState(responder, id, () -> respondNotFound(responder));
    } else {
      respondNotFound(responder);
    }
  }

  /** Serves POST /v1/jobs/{id}/withdraw. */
  public void cancel(Responder responder, String id) {
    if (JobCodec.ID_PATTERN.matcher(id).matches()) {
      cancelRequests.cancel(responder, id);
    } else {
      respondNotFound(responder);
    }
  }

  private static void respondNotFound(Responder responder) {
    responder.respond(404, JsonResponses.errorBody("no such job"), false);
  }
}
