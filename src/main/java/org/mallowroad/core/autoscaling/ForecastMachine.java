package org.mallowroad.core.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;

/**
 * The model of a machine in a {@link StartForecast}: its free resources, the time from which they
 * can be used, and the expected releases by running tasks. Forecast tasks are placed on the model;
 * the {@link Machine} itself is not changed.
 */
final class ForecastMachine {
  /** Assumed run time of a service's task in seconds, since services do not end on their own. */
  private static final double SERVICE_ESTIMATE_S = 1e9;

  /** A task is expected to need at least its estimate divided by this, even if it overruns. */
  private static final double OVERRUN_DIVISOR = 4;

  /** The expected release of one task's resources. */
  private record Release(long atMs, JobSpec spec) {}

  private final MachineVariant variant;
  private final ResourceVector room;

  /** Expected releases that no forecast task has used yet, the earliest first. */
  private final List<Release> releases = new ArrayList<>();

  private long availableMs;

  /** Creates a model of an empty machine that accepts tasks from {@code availableMs} on. */
  ForecastMachine(MachineVariant variant, long availableMs) {
    this.variant = variant;
    this.availableMs = availableMs;
    this.room =
        new ResourceVector(variant.type().cpus(), variant.type().cards(), variant.type().memGb());
  }

  /** Creates a model of an existing machine and the attempts on it. */
  static ForecastMachine of(Machine machine, long now) {
    ForecastMachine forecast =
        new ForecastMachine(new MachineVariant(machine.type, machine.zone, machine.spot), now);
    for (Attempt attempt : machine.attempts) {
      forecast.room.add(attempt.job.spec, -1);
      forecast.addRelease(now + (long) (remainingS(attempt, now) * 1000), attempt.job.spec);
    }
    return forecast;
  }

  private static double remainingS(Attempt attempt, long now) {
    if (attempt.isStopping()) {
      return attempt.job.spec.checkpointDurationS();
    }
    double estimateS =
        attempt.job.spec.service() ? SERVICE_ESTIMATE_S : attempt.job.spec.estimateS();
    return Math.max(estimateS - (now - attempt.createdMs) / 1000.0, estimateS / OVERRUN_DIVISOR);
  }

  private void addRelease(long atMs, JobSpec spec) {
    int i = releases.size();
    while (i > 0 && releases.get(i - 1).atMs > atMs) {
      i--;
    }
    releases.add(i, new Release(atMs, spec));
  }

  MachineVariant variant() {
    return variant;
  }

  /** The time from which the machine accepts tasks. */
  long availableMs() {
    return availableMs;
  }

  /** True when a task has room without waiting for another task to end. */
  boolean fitsNow(JobSpec spec) {
    return spec.allows(variant.type().index(), variant.zone(), variant.spot()) && room.fits(spec);
  }

  /** The earliest time at which a task has room; {@link Long#MAX_VALUE} if it never has. */
  long earliestStartMs(JobSpec spec) {
    if (!spec.allows(variant.type().index(), variant.zone(), variant.spot())
        || !variant.type().fits(spec)) {
      return Long.MAX_VALUE;
    }
    if (room.fits(spec)) {
      return availableMs;
    }
    ResourceVector released = new ResourceVector(room.cpus, room.cards, room.memGb);
    for (Release release : releases) {
      released.add(release.spec, 1);
      if (released.fits(spec)) {
        return Math.max(availableMs, release.atMs);
      }
    }
    return Long.MAX_VALUE;
  }

  /** Places a task that starts at the given time, and uses up the releases that it waits for. */
  void place(JobSpec spec, long startMs) {
    int usedReleases = 0;
    while (!room.fits(spec) && usedReleases < releases.size()) {
      room.add(releases.get(usedReleases++).spec, 1);
    }
    releases.subList(0, usedReleases).clear();
    availableMs = Math.max(availableMs, startMs);
    room.add(spec, -1);
    double runS = spec.estimateS() + spec.imageGb() / variant.type().fetchGbPerS();
    addRelease(availableMs + (long) (runS * 1000), spec);
  }
}
