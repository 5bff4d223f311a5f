package org.mallowroad.core;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Records what allowed each start and what proved each attempt gone, for logs and metrics: counters
 * by reason, and the latest resolutions that do not rest on the worker's own word.
 *
 * <p>Counters cover one term. Confined to the controller's event loop.
 */
public final class AttemptAudit {
  /** Resolutions that are kept until they are logged; further ones are only counted. */
  static final int MAX_PENDING = 64;

  /**
   * Attempts of one machine and session that one proof showed to be gone.
   *
   * @param machine name of the machine
   * @param proof what proves it
   * @param session the worker's session that the attempts belong to
   * @param tokenSeen highest fencing token that the worker has shown
   * @param responseAgeMs time in ms since this leader's latest response to the machine, or -1
   * @param resolvedMs when they were resolved, in ms of the monotonic clock
   * @param attempts how many there are
   * @param firstAttempt the first of them as job/task/attempt
   */
  public record Resolution(
      String machine,
      ResolutionProof proof,
      long session,
      long tokenSeen,
      long responseAgeMs,
      long resolvedMs,
      int attempts,
      String firstAttempt) {

    private boolean covers(Attempt attempt, ResolutionProof otherProof, long now) {
      return proof == otherProof
          && session == attempt.incarnation
          && resolvedMs == now
          && machine.equals(attempt.machine.name);
    }

    private Resolution withOneMore() {
      return new Resolution(
          machine,
          proof,
          session,
          tokenSeen,
          responseAgeMs,
          resolvedMs,
          attempts + 1,
          firstAttempt);
    }
  }

  private final Map<ResolutionProof, Long> resolutions = new EnumMap<>(ResolutionProof.class);
  private final Map<HeartbeatSource, Long> starts = new EnumMap<>(HeartbeatSource.class);
  private final Map<TokenRaiseReason, Long> tokenRaises = new EnumMap<>(TokenRaiseReason.class);
  private final List<Resolution> pending = new ArrayList<>();
  private long droppedResolutions;

  AttemptAudit() {}

  /** Records a start on a machine whose latest heartbeat came from {@code evidence}. */
  void recordStart(HeartbeatSource evidence) {
    starts.merge(evidence, 1L, Long::sum);
  }

  /** Records that a machine's fencing token was raised. */
  void recordTokenRaise(TokenRaiseReason reason) {
    tokenRaises.merge(reason, 1L, Long::sum);
  }

  /** Records that an attempt was resolved. */
  void recordResolution(Attempt attempt, ResolutionProof proof, long now) {
    resolutions.merge(proof, 1L, Long::sum);
    if (proof == ResolutionProof.WORKER_REPORT) {
      return;
    }
    int last = pending.size() - 1;
    if (last >= 0 && pending.get(last).covers(attempt, proof, now)) {
      pending.set(last, pending.get(last).withOneMore());
    } else if (pending.size() < MAX_PENDING) {
      pending.add(newResolution(attempt, proof, now));
    } else {
      droppedResolutions++;
    }
  }

  private static Resolution newResolution(Attempt attempt, ResolutionProof proof, long now) {
    Machine machine = attempt.machine;
    return new Resolution(
        machine.name,
        proof,
        attempt.incarnation,
        machine.highestTokenSeen,
        machine.lease.lastResponseMs() < 0 ? -1 : now - machine.lease.lastResponseMs(),
        now,
        1,
        attempt.key());
  }

  /** Number of attempts that the proof has shown to be gone. */
  public long resolutions(ResolutionProof proof) {
    return resolutions.getOrDefault(proof, 0L);
  }

  /** Number of starts on machines whose latest heartbeat came from the source. */
  public long starts(HeartbeatSource evidence) {
    return starts.getOrDefault(evidence, 0L);
  }

  /** Number of raised tokens. */
  public long tokenRaises(TokenRaiseReason reason) {
    return tokenRaises.getOrDefault(reason, 0L);
  }

  /** Returns and clears the resolutions since the last call, at most {@link #MAX_PENDING}. */
  public List<Resolution> takeResolutions() {
    List<Resolution> taken = new ArrayList<>(pending);
    pending.clear();
    return taken;
  }

  /** Returns and resets the number of resolutions since the last call that were not kept. */
  public long takeDroppedResolutions() {
    long taken = droppedResolutions;
    droppedResolutions = 0;
    return taken;
  }
}
