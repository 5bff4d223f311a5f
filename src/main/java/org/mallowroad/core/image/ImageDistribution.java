package org.mallowroad.core.image;

import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Reference2ObjectLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;

/**
 * Decides which machine fetches which image, from which image source, and when.
 *
 * <p>A machine is a <i>confirmed holder</i> of an image once it reported a running task of it in
 * its present incarnation; it stays one while the images used since are likely to fit into its
 * cache beside it. Only confirmed holders become image sources, each for a bounded number of
 * fetchers, those of the fetcher's own zone first. So the number of holders doubles with each round
 * of fetches, and two machines are never each other's source: a source holds the image and a
 * fetcher does not.
 *
 * <p>A start is held back only by a limit that the operators have set: without one all machines
 * fetch at once, each at its own rate, and no waiting start would make another one earlier. Where
 * fetches from the shared source are limited, a start whose worker fetches from another machine
 * does not count there, and is never held back.
 *
 * <p>The state is soft: it is rebuilt from heartbeats in each leader term. A new leader counts the
 * fetches that it finds under way as fetches from the shared source. Correctness does not depend on
 * it: a source that fails, has evicted the image or never held it costs its fetcher one attempt,
 * since the worker falls back to the shared source by itself.
 *
 * <p>Confined to the thread of its {@code SchedulerState}.
 */
public final class ImageDistribution {
  /** Most image sources named in one launch command. */
  static final int MAX_SOURCES_PER_LAUNCH = 3;

  /** Most confirmed holders examined to choose the sources of one fetch. */
  private static final int MAX_HOLDERS_EXAMINED = 48;

  /** Most confirmed holders remembered of one image; the least recently confirmed one goes. */
  static final int MAX_HOLDERS_PER_IMAGE = 512;

  /** Share of a cache that the images used since may fill before an image counts as evicted. */
  private static final double CACHE_FILL_LIMIT = 0.8;

  /** Decides by a machine's health whether it may serve as an image source. */
  @FunctionalInterface
  public interface SourceEligibility {
    /** True when the machine is reachable, is not about to leave and is not slow. */
    boolean isEligible(Machine machine);
  }

  /** One machine's fetch of one image, whatever the number of tasks that wait for it. */
  private static final class ImageFetch {
    private final List<Machine> imageSources;
    private int tasks;

    ImageFetch(List<Machine> imageSources) {
      this.imageSources = imageSources;
    }
  }

  /** The confirmed holders of one image, and the fetches of it under way. */
  private static final class ImageState {
    private final ReferenceLinkedOpenHashSet<Machine> holders = new ReferenceLinkedOpenHashSet<>();
    private final Reference2ObjectLinkedOpenHashMap<Machine, ImageFetch> fetches =
        new Reference2ObjectLinkedOpenHashMap<>();

    /** By the fetcher's zone: fetches under way from a source in another zone. */
    private final int[] crossZoneFetches;

    ImageState(int zones) {
      this.crossZoneFetches = new int[zones];
    }
  }

  private final ImageFetchPolicy policy;
  private final int zones;
  private final Int2ObjectLinkedOpenHashMap<ImageState> imageStates =
      new Int2ObjectLinkedOpenHashMap<>();

  /** Fetches under way by the image source that serves them. */
  private final Reference2IntOpenHashMap<Machine> fetchesBySource =
      new Reference2IntOpenHashMap<>();

  /** Fetches under way by the machine that fetches. */
  private final Reference2IntOpenHashMap<Machine> fetchesByMachine =
      new Reference2IntOpenHashMap<>();

  /** Fetches from the shared source under way. */
  private int sharedSourceFetches;

  // Totals of the term, for the log.
  private long fetchesStarted;
  private long fetchesFromMachines;
  private long startsHeldBack;
  private long tasks;
  private double fetchedGb;

  /**
   * Creates the empty state of a leader term.
   *
   * @param zones number of zones; a machine's zone is an index below it
   */
  public ImageDistribution(ImageFetchPolicy policy, int zones) {
    this.policy = policy;
    this.zones = zones;
  }

  /**
   * True when the operators have limited fetches: then jobs that differ only in their image may
   * differ in where they can start.
   */
  public boolean hasLimits() {
    return policy.sharedSourceLimit() > 0 || policy.perMachineLimit() > 0;
  }

  /** Images below the policy's minimum size are neither tracked nor limited. */
  private boolean isBelowMinimum(JobSpec spec) {
    return spec.imageGb() < policy.minimumGb();
  }

  /** Whether a task whose image the machine does not hold may start there now. */
  public boolean canFetch(JobSpec spec, Machine machine, SourceEligibility eligibility) {
    if (isBelowMinimum(spec)) {
      return true;
    }
    ImageState state = imageStates.get(spec.image());
    if (state != null && (state.fetches.containsKey(machine) || state.holders.contains(machine))) {
      return true; // All waiting tasks of the machine share one fetch.
    }
    if (policy.perMachineLimit() > 0
        && fetchesByMachine.getInt(machine) >= policy.perMachineLimit()) {
      return false;
    }
    return policy.sharedSourceLimit() <= 0
        || sharedSourceFetches < policy.sharedSourceLimit()
        || !chooseSources(state, machine, eligibility).isEmpty();
  }

  /** Counts a start that was held back by a limit. */
  public void recordHeldBackStart() {
    startsHeldBack++;
  }

  /**
   * Records a placed attempt: its machine starts a fetch unless it holds the image or fetches it
   * already.
   *
   * @param cached whether the machine is likely to have the image in its cache
   */
  public void recordPlaced(Attempt attempt, boolean cached, SourceEligibility eligibility) {
    JobSpec spec = attempt.job.spec;
    tasks++;
    if (isBelowMinimum(spec)) {
      return;
    }
    ImageState state = imageState(spec.image());
    ImageFetch fetch = state.fetches.get(attempt.machine);
    if (fetch == null) {
      if (state.holders.contains(attempt.machine) || cached) {
        return;
      }
      List<Machine> sources = chooseSources(state, attempt.machine, eligibility);
      fetch = new ImageFetch(sources);
      state.fetches.put(attempt.machine, fetch);
      fetchesByMachine.addTo(attempt.machine, 1);
      fetchesStarted++;
      fetchedGb += spec.imageGb();
      if (sources.isEmpty()) {
        sharedSourceFetches++;
      } else {
        fetchesFromMachines++;
        fetchesBySource.addTo(sources.get(0), 1);
        state.crossZoneFetches[attempt.machine.zone] +=
            sources.get(0).zone != attempt.machine.zone ? 1 : 0;
      }
    }
    fetch.tasks++;
  }

  /**
   * Records a reported fetch that an earlier leader started. Its image source is not known, so it
   * counts as a fetch from the shared source.
   */
  public void recordRecoveredFetch(Attempt attempt) {
    JobSpec spec = attempt.job.spec;
    if (isBelowMinimum(spec)) {
      return;
    }
    ImageState state = imageState(spec.image());
    ImageFetch fetch = state.fetches.get(attempt.machine);
    if (fetch == null && !state.holders.contains(attempt.machine)) {
      fetch = new ImageFetch(List.of());
      state.fetches.put(attempt.machine, fetch);
      fetchesByMachine.addTo(attempt.machine, 1);
      sharedSourceFetches++;
    }
    if (fetch != null) {
      fetch.tasks++;
    }
  }

  private ImageState imageState(int image) {
    ImageState state = imageStates.get(image);
    if (state == null) {
      state = new ImageState(zones);
      imageStates.put(image, state);
    }
    return state;
  }

  /**
   * The addresses of image sources that the attempt's launch command names, best first: those
   * chosen when the fetch began that are confirmed holders still.
   */
  public List<String> imageSources(Attempt attempt) {
    ImageState state = imageStates.get(attempt.job.spec.image());
    ImageFetch fetch = state == null ? null : state.fetches.get(attempt.machine);
    if (fetch == null || fetch.imageSources.isEmpty()) {
      return List.of();
    }
    List<String> addresses = new ArrayList<>();
    for (Machine source : fetch.imageSources) {
      if (state.holders.contains(source) && !source.address.isEmpty()) {
        addresses.add(source.address);
      }
    }
    return addresses;
  }

  /**
   * The machines that may serve the image to the given one, best first: those of its own zone, or
   * else of others, by the number of fetches that they serve.
   */
  private List<Machine> chooseSources(
      ImageState state, Machine machine, SourceEligibility eligibility) {
    if (state == null
        || policy.perSourceLimit() <= 0
        || !machine.servesImages
        || state.holders.isEmpty()) {
      return List.of();
    }
    List<Machine> sameZone = new ArrayList<>();
    List<Machine> otherZones = new ArrayList<>();
    int examined = 0;
    boolean ownZoneHolds = false;
    for (Machine source : state.holders) {
      if (++examined > MAX_HOLDERS_EXAMINED || sameZone.size() >= MAX_SOURCES_PER_LAUNCH) {
        break;
      }
      ownZoneHolds |= source.zone == machine.zone;
      if (source != machine
          && source.servesImages
          && fetchesBySource.getInt(source) < policy.perSourceLimit()
          && eligibility.isEligible(source)) {
        (source.zone == machine.zone ? sameZone : otherZones).add(source);
      }
    }
    if (!sameZone.isEmpty()) {
      sameZone.sort(
          (x, y) -> Integer.compare(fetchesBySource.getInt(x), fetchesBySource.getInt(y)));
      return sameZone;
    }
    // Only a few copies enter a zone from others; its own holders serve the rest of it.
    if (ownZoneHolds
        || state.crossZoneFetches[machine.zone] >= policy.crossZoneLimit()
        || otherZones.isEmpty()) {
      return List.of();
    }
    otherZones.sort(
        (x, y) -> Integer.compare(fetchesBySource.getInt(x), fetchesBySource.getInt(y)));
    return otherZones.subList(0, Math.min(MAX_SOURCES_PER_LAUNCH, otherZones.size()));
  }

  /** Records that an attempt runs, which confirms its machine as a holder of the image. */
  public void recordRunning(Attempt attempt) {
    JobSpec spec = attempt.job.spec;
    if (isBelowMinimum(spec)) {
      return;
    }
    ImageState state = imageState(spec.image());
    endFetch(state, attempt.machine);
    state.holders.addAndMoveToFirst(attempt.machine);
    if (state.holders.size() > MAX_HOLDERS_PER_IMAGE) {
      state.holders.removeLast();
    }
    // It is no source any more for images that its cache may have evicted since.
    for (int image : imageStates.keySet().toIntArray()) {
      if (image != spec.image() && !attempt.machine.isLikelyCached(image, CACHE_FILL_LIMIT)) {
        imageStates.get(image).holders.remove(attempt.machine);
      }
    }
  }

  /** Records an attempt's end; a fetch for which no task waits any more ends with it. */
  public void recordEnded(Attempt attempt) {
    ImageState state = imageStates.get(attempt.job.spec.image());
    ImageFetch fetch = state == null ? null : state.fetches.get(attempt.machine);
    if (fetch != null && --fetch.tasks <= 0) {
      endFetch(state, attempt.machine);
    }
    dropIfUnused(attempt.job.spec.image(), state);
  }

  /** Ends the machine's fetch of the image, if any, and releases the slots that it took. */
  private void endFetch(ImageState state, Machine machine) {
    ImageFetch fetch = state.fetches.remove(machine);
    if (fetch == null) {
      return;
    }
    fetchesByMachine.addTo(machine, -1);
    if (fetchesByMachine.getInt(machine) <= 0) {
      fetchesByMachine.removeInt(machine);
    }
    if (fetch.imageSources.isEmpty()) {
      sharedSourceFetches--;
      return;
    }
    Machine source = fetch.imageSources.get(0);
    fetchesBySource.addTo(source, -1);
    if (fetchesBySource.getInt(source) <= 0) {
      fetchesBySource.removeInt(source);
    }
    state.crossZoneFetches[machine.zone] -= source.zone != machine.zone ? 1 : 0;
  }

  /** Forgets a machine that left or began a new incarnation, with its images and fetches. */
  public void removeMachine(Machine machine) {
    for (int image : imageStates.keySet().toIntArray()) {
      ImageState state = imageStates.get(image);
      state.holders.remove(machine);
      endFetch(state, machine);
      dropIfUnused(image, state);
    }
  }

  /** Stops tracking an image that no machine holds or fetches. */
  private void dropIfUnused(int image, ImageState state) {
    if (state != null && state.holders.isEmpty() && state.fetches.isEmpty()) {
      imageStates.remove(image);
    }
  }

  /**
   * True while others fetch from the machine: releasing it would send them to the shared source.
   */
  public boolean isServing(Machine machine) {
    return fetchesBySource.getInt(machine) > 0;
  }

  /** The number of confirmed holders of an image. */
  public int holderCount(int image) {
    ImageState state = imageStates.get(image);
    return state == null ? 0 : state.holders.size();
  }

  /** The number of fetches from the shared source under way. */
  public int sharedSourceFetchCount() {
    return sharedSourceFetches;
  }

  /** The number of images that are tracked. */
  public int trackedImageCount() {
    return imageStates.size();
  }

  /** The term's totals as {@code key=value} pairs of a log line. */
  public String logFields() {
    return "tasks="
        + tasks
        + " fetches="
        + fetchesStarted
        + " handed_on="
        + fetchesFromMachines
        + " held_back="
        + startsHeldBack
        + " gb="
        + Math.round(fetchedGb)
        + " from_source="
        + sharedSourceFetches
        + " images="
        + imageStates.size();
  }

  /** Sets the bits of the tracked images, so that their numbers are not reused for others. */
  public void markTrackedImages(BitSet images) {
    Arrays.stream(imageStates.keySet().toIntArray()).forEach(images::set);
  }
}
