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
 * Serves users' requests, on any node. Nothing is told before it is committed, and every answer
 * about a job that is not over comes from a read that is made for the question ({@link JobLookup}),
 * so no node is ever behind what another has said.
 */
public final class UserApi {
  private static final String JOBS = "/v1/jobs";

  /** The state service allows so many conditions for each put or delete of a transaction. */
  private static final int CONDITIONS_PER_OP = 4;

  private final JobLookup lookup;
  private final ClaimService claimService;
  private final Submissions submissions;
  private final CancelRequests cancelRequests;

  /** What the node knows besides the state service. */
  public interface LocalJobs {
    /** Validates and decodes a submission, without giving its names indices. */
    JobSpec validate(JsonNode submission) throws InvalidMessageException;

    /** Whether the machine types are known. */
    boolean hasMachineTypes();

    /** Takes one admission for a job that is not known yet; false when none is left now. */
    default boolean tryAdmit() {
      return true;
    }

    /** Why the job can never run on any machine type, or empty. */
    Optional<String> rejectionReason(JobSpec spec);

    /** The job's tasks as the leader on this node knows them, or null. */
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

  /** Serves users' requests from the state service. */
  public UserApi(EventLoop loop, KeyValueStore state, Limits limits, LocalJobs jobs) {
    ReadQueue reads = new ReadQueue(loop, limits.readLimiter());
    this.lookup =
        new JobLookup(
            loop,
            state,
            reads,
            limits.readsPerSecond(),
            jobs,
            limits.maxConditions(),
            limits.maxCachedOutcomes());
    this.claimService =
        new ClaimService(
            loop,
            state,
            limits.writeLimiter(),
            limits.maxConditions() / CONDITIONS_PER_OP,
            limits.maxValueKb(),
            lookup::finalOutcome);
    this.submissions = new Submissions(loop, state, lookup, claimService, jobs, limits);
    this.cancelRequests = new CancelRequests(loop, state, lookup, limits.writeLimiter());
  }

  /** The acceptance of jobs with claims; a leader abandons claims that are not finished. */
  public ClaimService claimService() {
    return claimService;
  }

  /** Sets the listener of cancellations, called once for each that this node learns of. */
  public void setCancellationListener(Consumer<String> listener) {
    lookup.onCancelled(listener);
  }

  /** Remembers a job's end, which is committed. */
  public void cacheOutcome(String id, boolean done) {
    lookup.ended(id, done);
  }

  /** The number of jobs whose end is remembered. */
  public int cachedOutcomeCount() {
    return lookup.rememberedEnds();
  }

  /** The number of open jobs that are remembered. */
  public int cachedOpenJobCount() {
    return lookup.rememberedOpenJobs();
  }

  /** Serves a request whose path and method the router has checked. */
  public void serve(String method, String path, byte[] body, Responder x) {
    String rest = path.length() > JOBS.length() ? path.substring(JOBS.length() + 1) : "";
    int slash = rest.indexOf('/');
    if (rest.isEmpty()) {
      submit(x, body);
    } else if (slash < 0) {
      query(x, rest);
    } else {
      cancel(x, rest.substring(0, slash));
    }
  }

  /** Serves POST /v1/jobs. */
  public void submit(Responder x, byte[] body) {
    submissions.submit(x, body);
  }

  /** Serves GET /v1/jobs/{id}. */
  public void query(Responder x, String id) {
    if (JobCodec.ID_PATTERN.matcher(id).matches()) {
      lookup.answer(x, id, () -> notFound(x));
    } else {
      notFound(x);
    }
  }

  /** Serves POST /v1/jobs/{id}/withdraw. */
  public void cancel(Responder x, String id) {
    if (JobCodec.ID_PATTERN.matcher(id).matches()) {
      cancelRequests.cancel(x, id);
    } else {
      notFound(x);
    }
  }

  private static void notFound(Responder x) {
    x.respond(404, JsonResponses.errorBody("no such job"), false);
  }
}
