package org.mallowroad.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.mallowroad.core.JobSpec;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;

/**
 * What users ask of any node. Nothing is told before it is committed, and every answer about a job
 * that is not over comes from a read that is made for the question ({@link JobLookup}), so no node
 * is ever behind what another has said.
 */
public final class UserApi {
  private static final String JOBS = "/v1/jobs";

  private final JobLookup lookup;
  private final Folding folding;
  private final Submissions submissions;
  private final CancelRequests cancelRequests;

  /** What the node knows besides the state service. */
  public interface Jobs {
    /** Decodes a submission only to judge it. */
    JobSpec check(JsonNode submission) throws InvalidMessageException;

    /** True once the machine types are known. */
    boolean ready();

    /** True when a job that is not known yet may be accepted now. */
    default boolean admits() {
      return true;
    }

    /** Why the job can never run, or null. */
    String hopeless(JobSpec spec);

    /** Done and running tasks as the leader on this node knows them, or null. */
    int[] counts(String id);
  }

  /**
   * Over the state service.
   *
   * @param reads calls to the state service that this node may make for users
   * @param burst how many of them a second
   */
  public UserApi(
      EventLoop loop,
      KeyValueStore state,
      RateLimiter reads,
      double burst,
      RateLimiter writes,
      RateLimiter fairWrites,
      Jobs jobs,
      double valueKb,
      int mostConditions,
      int mostEnds) {
    ReadQueue users = new ReadQueue(loop, reads);
    this.lookup = new JobLookup(loop, state, users, burst, jobs, mostConditions, mostEnds);
    this.folding =
        new Folding(loop, state, writes, mostConditions / 4, valueKb, lookup::jobOutcome);
    this.submissions =
        new Submissions(loop, state, lookup, folding, jobs, writes, fairWrites, valueKb, burst);
    this.cancelRequests = new CancelRequests(loop, state, lookup, writes);
  }

  /** Claims of games, which a leader gives up where nobody goes on with them. */
  public Folding folding() {
    return folding;
  }

  /** Told of each cancellation that this node learns of as a fact, for the first time. */
  public void onCancelled(Consumer<String> listener) {
    lookup.onCancelled(listener);
  }

  /** A job's end became known. */
  public void ended(String id, boolean done) {
    lookup.ended(id, done);
  }

  /** How many ends of jobs are remembered. */
  public int ends() {
    return lookup.ends();
  }

  /** How many open jobs are remembered. */
  public int opens() {
    return lookup.opens();
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

  /** POST /v1/jobs. */
  public void submit(Responder x, byte[] body) {
    submissions.submit(x, body);
  }

  /** GET /v1/jobs/{id}. */
  public void query(Responder x, String id) {
    if (JobCodec.ID.matcher(id).matches()) {
      lookup.answer(x, id, () -> notFound(x));
    } else {
      notFound(x);
    }
  }

  /** POST /v1/jobs/{id}/withdraw. */
  public void cancel(Responder x, String id) {
    if (JobCodec.ID.matcher(id).matches()) {
      cancelRequests.cancel(x, id);
    } else {
      notFound(x);
    }
  }

  private static void notFound(Responder x) {
    x.answer(404, Reply.reason("no such job"), false);
  }
}
