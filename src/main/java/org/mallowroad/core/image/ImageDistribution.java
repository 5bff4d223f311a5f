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
 * <p>A machine is a <i>confirmed holder</i> of an image once it has reported a running task with
 * that image in its current incarnation. It remains one as long as the image probably still fits
 * into the machine's cache beside the images used since. Only confirmed holders become image
 * sources, each for a bounded number of fetchers, and those in the fetcher's own zone are
 * preferred. So the number of holders doubles with each round of fetches. Two machines are never
 * each other's source, since a source holds the image and a fetcher does not.
 *
 * <p>A start is held back only by a limit that the operators have set. Without a limit all machines
 * fetch at once, each at its own rate, and holding one start back would not make another one
 * earlier. Where fetches from the shared source are limited, a start whose worker fetches from
 * another machine does not count towards that limit and is not held back by it.
 *
 * <p>The state is not persisted: it is rebuilt from heartbeats in each leader term. A new leader
 * counts the fetches that are already in progress as fetches from the shared source. Correctness
 * does not depend on this state: a source that fails, has evicted the image or never held it costs
 * its fetcher one attempt, since the worker then falls back to the shared source by itself.
 *
 * <p>Confined to the thread of its {@code SchedulerState}.
 */
public final class ImageDistribution {
  /** Maximum number of image sources in one launch command. */
  static final int MAX_SOURCES_PER_LAUNCH = 3;

  /** Maximum number of confirmed holders examined when the sources of a fetch are chosen. */
  private static final int MAX_HOLDERS_EXAMINED = 48;

  /** Maximum number of confirmed holders per image; the least recently confirmed is evicted. */
  static final int MAX_HOLDERS_PER_IMAGE = 512;

  /**
   * Share of a machine's cache that more recently used images may fill before an image counts as
   * evicted.
   */
  private static final double MAX_CACHE_FILL_SHARE = 0.8;

  /** Decides whether a machine is healthy enough to serve as an image source. */
  @FunctionalInterface
  public interface SourceEligibility {
    /** True when the machine is reachable, is not about to be removed and is not slow. */
    boolean isEligible(Machine machine);
  }

  /** One machine's fetch of one image; any number of tasks may wait for it. */
  private static final class ImageFetch {
    private final List<Machine> imageSources;
    private int waitingTasks;

    ImageFetch(List<Machine> imageSources) {
      this.imageSources = imageSources;
    }
  }

  /** The confirmed holders of one image and its fetches in progress. */
  private static final class ImageState {
    private final ReferenceLinkedOpenHashSet<Machine> holders = new ReferenceLinkedOpenHashSet<>();
    private final Reference2ObjectLinkedOpenHashMap<Machine, ImageFetch> fetches =
        new Reference2ObjectLinkedOpenHashMap<>();

    /** Fetches in progress from a source in another zone, indexed by the fetcher's zone. */
    private final int[] crossZoneFetches;

    ImageState(int zoneCount) {
      this.crossZoneFetches = new int[zoneCount];
    }
  }

  private final ImageFetchPolicy policy;
  private final int zoneCount;
  private final Int2ObjectLinkedOpenHashMap<ImageState> imageStates =
      new Int2ObjectLinkedOpenHashMap<>();

  /** Number of fetches in progress, by the image source that serves them. */
  private final Reference2IntOpenHashMap<Machine> fetchesBySource =
      new Reference2IntOpenHashMap<>();

  /** Number of fetches in progress, by the machine that fetches. */
  private final Reference2IntOpenHashMap<Machine> fetchesByMachine =
      new Reference2IntOpenHashMap<>();

  /** Number of fetches in progress from the shared source. */
  private int sharedSourceFetches;

  // Totals of the leader term, for the log.
  private long startedFetches;
  private long fetchesFromMachines;
  private long startsHeldBack;
  private long placedTasks;
  private double fetchedGb;

  /**
   * Creates the empty state of a leader term.
   *
   * @param zoneCount number of zones; a machine's zone is an index below this number
   */
  public ImageDistribution(ImageFetchPolicy policy, int zoneCount) {
    this.policy = policy;
    this.zoneCount = zoneCount;
  }

  /**
   * True when the operators have limited fetches. Jobs that differ only in their image may then
   * differ in the machines on which they can start.
   */
  public boolean hasLimits() {
    return policy.sharedSourceLimit() > 0 || policy.perMachineLimit() > 0;
  }

  /** True for images below the policy's minimum size, which are neither tracked nor limited. */
  private boolean isBelowMinimum(JobSpec spec) {
    return spec.imageGb() < policy.minimumGb();
  }

  /** True when a task whose image the machine does not hold may start there now. */
  public boolean canFetch(JobSpec spec, Machine machine, SourceEligibility eligibility) {
    if (isBelowMinimum(spec)) {
      return true;
    }
    ImageState state = imageStates.get(spec.image());
    if (state != null && (state.fetches.containsKey(machine) || state.holders.contains(machine))) {
      return true; // All tasks that wait for the image on this machine share one fetch.
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
   * Records a placed attempt. Its machine starts a fetch unless it holds the image or is already
   * fetching it.
   *
   * @param isLikelyCached true when the machine's cache probably contains the image
   */
  public void recordPlaced(Attempt attempt, boolean isLikelyCached, SourceEligibility eligibility) {
    JobSpec spec = attempt.job.spec;
    placedTasks++;
    if (isBelowMinimum(spec)) {
      return;
    }
    ImageState state = imageState(spec.image());
    ImageFetch fetch = state.fetches.get(attempt.machine);
    if (fetch == null) {
      if (state.holders.contains(attempt.machine) || isLikelyCached) {
        return;
      }
      List<Machine> sources = chooseSources(state, attempt.machine, eligibility);
      fetch = new ImageFetch(sources);
      state.fetches.put(attempt.machine, fetch);
      fetchesByMachine.addTo(attempt.machine, 1);
      startedFetches++;
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
    fetch.waitingTasks++;
  }

  /**
   * Records a fetch that began under an earlier leader and that a worker now reports. Its image
   * source is not known, so it counts as a fetch from the shared source.
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
      fetch.waitingTasks++;
    }
  }

  private ImageState imageState(int image) {
    ImageState state = imageStates.get(image);
    if (state == null) {
      state = new ImageState(zoneCount);
      imageStates.put(image, state);
    }
    return state;
  }

  /**
   * The addresses of the image sources for the attempt's launch command, best first. These are the
   * sources that were chosen when the fetch began and are still confirmed holders.
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
   * Chooses the machines that may serve the image to the fetcher, best first. Machines in the
   * fetcher's zone are preferred to those in other zones, and the ones that serve the fewest
   * fetches come first.
   */
  private List<Machine> chooseSources(
      ImageState state, Machine fetcher, SourceEligibility eligibility) {
    if (state == null
        || policy.perSourceLimit() <= 0
        || !fetcher.servesImages
        || state.holders.isEmpty()) {
      return List.of();
    }
    List<Machine> sameZone = new ArrayList<>();
    List<Machine> otherZones = new ArrayList<>();
    int examined = 0;
    boolean hasHolderInZone = false;
    for (Machine source : state.holders) {
      if (++examined > MAX_HOLDERS_EXAMINED || sameZone.size() >= MAX_SOURCES_PER_LAUNCH) {
        break;
      }
      hasHolderInZone |= source.zone == fetcher.zone;
      if (source != fetcher
          && source.servesImages
          && fetchesBySource.getInt(source) < policy.perSourceLimit()
          && eligibility.isEligible(source)) {
        (source.zone == fetcher.zone ? sameZone : otherZones).add(source);
      }
    }
    if (!sameZone.isEmpty()) {
      sameZone.sort(
          (first, second) ->
              Integer.compare(fetchesBySource.getInt(first), fetchesBySource.getInt(second)));
      return sameZone;
    }
    // Only a few copies are fetched across zones; the zone's own holders serve its other machines.
    if (hasHolderInZone
        || state.crossZoneFetches[fetcher.zone] >= policy.crossZoneLimit()
        || otherZones.isEmpty()) {
      return List.of();
    }
    otherZones.sort(
        (first, second) ->
            Integer.compare(fetchesBySource.getInt(first), fetchesBySource.getInt(second)));
    return otherZones.subList(0, Math.min(MAX_SOURCES_PER_LAUNCH, otherZones.size()));
  }

  /** Records that an attempt is running, which confirms its machine as a holder of the image. */
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
    // The machine is no longer a source of images that its cache may have evicted meanwhile.
    for (int image : imageStates.keySet().toIntArray()) {
      if (image != spec.image() && !attempt.machine.isLikelyCached(image, MAX_CACHE_FILL_SHARE)) {
        imageStates.get(image).holders.remove(attempt.machine);
      }
    }
  }

  /** Records the end of an attempt; a fetch ends when no task waits for it any more. */
  public void recordEnded(Attempt attempt) {
    ImageState state = imageStates.get(attempt.job.spec.image());
    ImageFetch fetch = state == null ? null : state.fetches.get(attempt.machine);
    if (fetch != null && --fetch.waitingTasks <= 0) {
      endFetch(state, attempt.machine);
    }
    dropIfUnused(attempt.job.spec.image(), state);
  }

  /** Ends the machine's fetch of the image, if any, and frees its share of the limits. */
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

  /** Forgets the images and fetches of a machine that was removed or began a new incarnation. */
  public void removeMachine(Machine machine) {
    for (int image : imageStates.keySet().toIntArray()) {
      ImageState state = imageStates.get(image);
      state.holders.remove(machine);
      endFetch(state, machine);
      dropIfUnused(image, state);
    }
  }

  /** Stops tracking an image that no machine holds or fetches any more. */
  private void dropIfUnused(int image, ImageState state) {
    if (state != null && state.holders.isEmpty() && state.fetches.isEmpty()) {
      imageStates.remove(image);
    }
  }

  /**
   * True while other machines fetch from this one. Deleting it would send them to the shared
   * source.
   */
  public boolean isServing(Machine machine) {
    return fetchesBySource.getInt(machine) > 0;
  }

  /** The number of confirmed holders of an image. */
  public int holderCount(int image) {
    ImageState state = imageStates.get(image);
    return state == null ? 0 : state.holders.size();
  }

  /** The number of fetches in progress from the shared source. */
  public int sharedSourceFetchCount() {
    return sharedSourceFetches;
  }

  /** The number of images with at least one confirmed holder or fetch. */
  public int trackedImageCount() {
    return imageStates.size();
  }

  /** The totals of the leader term as {@code key=value} pairs for a log line. */
  public String logFields() {
    return "tasks="
        + placedTasks
        + " fetches="
        + startedFetches
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

  /** Sets the bits of the tracked images, so that their indices are not reassigned. */
  public void markTrackedImages(BitSet images) {
    Arrays.stream(imageStates.keySet().toIntArray()).forEach(images::set);
  }
}
