package org.mallowroad.core.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;

/**
 * A machine in the forecast of starts: its room from a time on, and when running tasks are expected
 * to release more. Forecast tasks are placed on it; the machine itself is not changed.
 */
final class ForecastMachine {
  /** Estimated run time of a replica of a service, in seconds: it does not end by itself. */
  private static final double SERVICE_ESTIMATE_S = 1e9;

  /** A task that outlasts its estimate is expected to run on for this part of it. */
  private static final double OVERDUE_DIVISOR = 4;

  /** The resources of a task, released at a time. */
  private record Release(long atMs, JobSpec job) {}

  private final MachineVariant variant;
  private final ResourceVector room;

  /** Expected releases, the earliest first. */
  private final List<Release> releases = new ArrayList<>();

  private long availableMs;

  /** An empty machine that takes tasks from a time on. */
  ForecastMachine(MachineVariant variant, long availableMs) {
    this.variant = variant;
    this.availableMs = availableMs;
    this.room =
        new ResourceVector(variant.type().cpus(), variant.type().cards(), variant.type().memGb());
  }

  /** A machine with the tasks that run on it. */
  static ForecastMachine of(Machine m, long now) {
    ForecastMachine forecast = new ForecastMachine(new MachineVariant(m.type, m.zone, m.spot), now);
    for (Attempt a : m.attempts) {
      forecast.room.add(a.job.spec, -1);
      forecast.addRelease(now + (long) (remainingS(a, now) * 1000), a.job.spec);
    }
    return forecast;
  }

  private static double remainingS(Attempt a, long now) {
    if (a.isStopping()) {
      return a.job.spec.checkpointDurationS();
    }
    double estimateS = a.job.spec.service() ? SERVICE_ESTIMATE_S : a.job.spec.estimateS();
    return Math.max(estimateS - (now - a.createdMs) / 1000.0, estimateS / OVERDUE_DIVISOR);
  }

  private void addRelease(long atMs, JobSpec job) {
    int i = releases.size();
    while (i > 0 && releases.get(i - 1).atMs > atMs) {
      i--;
    }
    releases.add(i, new Release(atMs, job));
  }

  MachineVariant variant() {
    return variant;
  }

  /** From when on the machine takes tasks. */
  long availableMs() {
    return availableMs;
  }

  /** True when a task has room without waiting for another to end. */
  boolean fitsNow(JobSpec s) {
    return s.allows(variant.type().index(), variant.zone(), variant.spot()) && room.fits(s);
  }

  /** When a task of the job would have room; {@link Long#MAX_VALUE} for never. */
  long earliestStartMs(JobSpec s) {
    if (!s.allows(variant.type().index(), variant.zone(), variant.spot())
        || !variant.type().fits(s)) {
      return Long.MAX_VALUE;
    }
    if (room.fits(s)) {
      return availableMs;
    }
    ResourceVector released = new ResourceVector(room.cpus, room.cards, room.memGb);
    for (Release r : releases) {
      released.add(r.job, 1);
      if (released.fits(s)) {
        return Math.max(availableMs, r.atMs);
      }
    }
    return Long.MAX_VALUE;
  }

  /** Places a task that starts at the given time; it uses up the releases that it waits for. */
  void place(JobSpec s, long startMs) {
    int used = 0;
    while (!room.fits(s) && used < releases.size()) {
      room.add(releases.get(used++).job, 1);
    }
    releases.subList(0, used).clear();
    availableMs = Math.max(availableMs, startMs);
    room.add(s, -1);
    double runS = s.estimateS() + s.imageGb() / variant.type().fetchGbPerS();
    addRelease(availableMs + (long) (runS * 1000), s);
  }
}
