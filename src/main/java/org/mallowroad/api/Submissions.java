package org.mallowroad.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
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

/** Takes submissions: judges them, and records the job before its user is told. */
final class Submissions {
  /** After a refusal for its limits the service counts as crowded for so long. */
  private static final long CROWDED_MS = 10_000;

  /** A submission that the state service refused for its limits is sent again after so long. */
  private static final long RETRY_MS = 120;

  private static final int MOST_RETRIES = 4;

  /**
   * Calls of submissions that are sent again, as a part of all that this node may make for users,
   * and at once. Without a bound a service that is overloaded would get five calls for each.
   */
  private static final double RETRY_SHARE = 0.25;

  private static final double RETRY_BURST = 12;

  /** A value may be as long as the limit less what surrounds it. */
  private static final int ENVELOPE_BYTES = 64;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final JobLookup lookup;
  private final Folding folding;
  private final UserApi.Jobs jobs;
  private final RateLimiter writes;
  private final RateLimiter fairWrites;
  private final double valueKb;
  private final RateLimiter retries;

  Submissions(
      EventLoop loop,
      KeyValueStore state,
      JobLookup lookup,
      Folding folding,
      UserApi.Jobs jobs,
      RateLimiter writes,
      RateLimiter fairWrites,
      double valueKb,
      double callsPerSecond) {
    this.retries = new RateLimiter(RETRY_SHARE * callsPerSecond, RETRY_BURST, loop.now());
    this.loop = loop;
    this.state = state;
    this.lookup = lookup;
    this.folding = folding;
    this.jobs = jobs;
    this.writes = writes;
    this.fairWrites = fairWrites;
    this.valueKb = valueKb;
  }

  /** A submission that is well formed, and its open record. */
  private record Parsed(JobSpec spec, List<Game> games, ObjectNode value) {}

  /** POST /v1/jobs. */
  void submit(Responder x, byte[] body) {
    ObjectNode o = null;
    Parsed parsed;
    try {
      o = Json.parseObject(body);
      parsed = parse(o);
    } catch (InvalidMessageException e) {
      malformed(x, o, e.getMessage());
      return;
    }
    String id = parsed.spec.id();
    if (lookup.jobOutcome(id) != null) {
      lookup.answer(x, id, () -> JobLookup.unreachable(x));
      return;
    }
    if (!jobs.ready()) {
      x.answer(503, Reply.reason("machine types not known yet"), true);
      return;
    }
    String hopeless = jobs.hopeless(parsed.spec);
    if (hopeless != null) {
      // What was accepted stays accepted, whatever types and limits say today.
      lookup.answer(x, id, () -> x.answer(422, Reply.reason(hopeless), false));
      return;
    }
    if (parsed.spec.dependencies() == JobDependencies.NONE && lookup.prompt()) {
      // A repeated submission costs a write of the service's budget even when it fails, and this
      // question none; where questions wait long it is not asked, since the submission would too.
      Runnable record = () -> record(x, parsed);
      lookup.answer(x, id, record, record);
    } else {
      record(x, parsed);
    }
  }

  private Parsed parse(ObjectNode o) throws InvalidMessageException {
    JobSpec spec = jobs.check(o);
    List<Game> games = FoldCodec.decodeGames(o);
    if (spec.dependencies().foldedBlocks().size() > Folding.MOST_LEAGUES) {
      throw new InvalidMessageException("folds: at most " + Folding.MOST_LEAGUES + " leagues");
    }
    ObjectNode value = JobRecordCodec.encodeOpen(o, loop.wallMs());
    if (!games.isEmpty()) {
      ((ObjectNode) value.get("job"))
          .set(FoldCodec.BLOCKS, FoldCodec.encodeBlockKeys(Folding.keys(games)));
    }
    if (Json.bytes(value).length > valueKb * 1024 - ENVELOPE_BYTES) {
      throw new InvalidMessageException("the submission is too large");
    }
    return new Parsed(spec, games, value);
  }

  /**
   * What was accepted under this id stays accepted, whatever is sent of it later. While the state
   * service does not say whether it was, 503 is the answer: a 400 to an accepted job would call it
   * forgotten.
   */
  private void malformed(Responder x, ObjectNode o, String reason) {
    Runnable refuse = () -> x.answer(400, Reply.reason(reason), false);
    String id = o == null ? "" : o.path(Fields.ID).asText();
    if (JobCodec.ID.matcher(id).matches()) {
      lookup.answer(x, id, refuse);
    } else {
      refuse.run();
    }
  }

  private void record(Responder x, Parsed parsed) {
    if (!jobs.admits() || !mayWrite()) {
      x.answer(429, Reply.reason("too many submissions"), true);
      return;
    }
    if (parsed.spec.dependencies() == JobDependencies.NONE) {
      accept(x, parsed.spec.id(), parsed.value, 0);
    } else {
      acceptTied(x, parsed);
    }
  }

  /** What folds games or waits for something; whatever is said of it, an accepted job is known. */
  private void acceptTied(Responder x, Parsed parsed) {
    String id = parsed.spec.id();
    folding.accept(
        id,
        parsed.value,
        parsed.games,
        parsed.spec.dependencies(),
        (end, reason) -> {
          switch (end) {
            case ACCEPTED -> x.answer(201, queued(id), false);
            case KNOWN -> lookup.answer(x, id, () -> tryAgain(x));
            case REFUSED -> lookup.answer(x, id, () -> x.answer(422, Reply.reason(reason), false));
            default -> lookup.answer(x, id, () -> x.answer(503, Reply.reason(reason), true));
          }
        });
  }

  private static void tryAgain(Responder x) {
    x.answer(503, Reply.reason("try again"), true);
  }

  private static ObjectNode queued(String id) {
    ObjectNode o = Json.object();
    o.put(Fields.ID, id);
    o.put(Fields.STATE, Fields.QUEUED);
    return o;
  }

  private void accept(Responder x, String id, ObjectNode value, int tries) {
    long sentMs = loop.now();
    Transaction transaction =
        new Transaction()
            .requireVersion(RecordKeys.openJob(id), 0)
            .requireVersion(RecordKeys.endedJob(id), 0)
            .put(RecordKeys.openJob(id), value);
    // Sent twice when an answer is late: whichever is carried out first makes the other fail, and
    // the job that is found then is this one.
    state.compareAndSwapWithRetry(
        transaction,
        () -> writes.forceAcquire(1, loop.now()),
        (result, revision, failed) -> {
          if (result == CallResult.NOT_EXECUTED
              && state.health().lastThrottledMs() >= sentMs
              && tries < MOST_RETRIES
              && retries.tryAcquire(1, loop.now())) {
            // Refused for the service's limits: a moment later there is room, and a user who is
            // turned away comes back no sooner than after a second.
            loop.after(RETRY_MS, () -> accept(x, id, value, tries + 1));
            return;
          }
          switch (result) {
            case OK -> {
              lookup.opened(id, revision);
              x.answer(201, queued(id), false);
            }
            case CONDITION_FAILED -> lookup.answer(x, id, () -> tryAgain(x));
            default -> JobLookup.unreachable(x);
          }
        });
  }

  /**
   * After all nodes have been away, one node gets all submissions: they must not wait for its part
   * of the service's writes while the other nodes use nothing. So each may use what the leader
   * leaves, and keeps to its part for a while once the service has refused a call for its limits.
   */
  private boolean mayWrite() {
    long now = loop.now();
    boolean crowded = now - state.health().lastThrottledMs() < CROWDED_MS;
    return (crowded ? fairWrites : writes).tryAcquire(1, now);
  }
}
