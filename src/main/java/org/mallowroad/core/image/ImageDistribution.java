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
 * Which machine fetches which image, from whom, and when.
 *
 * <p>A machine holds an image <i>for certain</i> once it reported a task of it running in this
 * session; it is likely to while the images used since fit into its cache beside it. Only certain
 * holders are named as givers, each to a bounded number of takers, those of the taker's own zone
 * first. So a wave doubles with each stage, and two machines are never each other's giver: a giver
 * holds the image and a taker does not.
 *
 * <p>A start is held back only by a limit that the operators have set: with none all fetch at once,
 * each at its own rate, and nothing that waits would make another one earlier. Where the source is
 * limited, a start whose worker takes from a giver does not count there, and is never held back.
 *
 * <p>What is known here is evidence, made from reports in each term: a leader that follows counts
 * the fetches that it finds under way as fetches from the source, and goes on from there. No rule
 * rests on it; a giver that dies, evicts or was never one costs its taker a try, since the worker
 * falls back to the source by itself.
 */
public final class ImageDistribution {
  /** Givers named in a launch. */
  static final int MOST_GIVERS = 3;

  /** Holders looked at for one choice. */
  private static final int MOST_LOOKED = 48;

  /** Holders remembered of an image. */
  static final int MOST_HOLDERS = 512;

  /** Part of a cache that the images used since may fill before one is not counted on any more. */
  private static final double SURE = 0.8;

  /** Answers whether a machine may be asked for something at all. */
  public interface Fit {
    /** True when it is heard, hears, stays and is not slow. */
    boolean fit(Machine m);
  }

  /** One machine's fetch of one image, whatever the number of tasks that wait for it. */
  private static final class ImageFetch {
    private final long sinceMs;
    private final List<Machine> imageSources;
    private int tasks;

    ImageFetch(long sinceMs, List<Machine> imageSources) {
      this.sinceMs = sinceMs;
      this.imageSources = imageSources;
    }
  }

  private static final class Wave {
    private final ReferenceLinkedOpenHashSet<Machine> holders = new ReferenceLinkedOpenHashSet<>();
    private final Reference2ObjectLinkedOpenHashMap<Machine, ImageFetch> fetching =
        new Reference2ObjectLinkedOpenHashMap<>();
    private final int[] across;

    Wave(int zones) {
      this.across = new int[zones];
    }
  }

  private final ImageFetchPolicy policy;
  private final int zones;
  private final Int2ObjectLinkedOpenHashMap<Wave> waves = new Int2ObjectLinkedOpenHashMap<>();
  private final Reference2IntOpenHashMap<Machine> takers = new Reference2IntOpenHashMap<>();
  private final Reference2IntOpenHashMap<Machine> fetches = new Reference2IntOpenHashMap<>();
  private int fromSource;
  private long begun;
  private long handed;
  private long heldBack;
  private long tasks;
  private double gb;

  /** Over a term's machines. */
  public ImageDistribution(ImageFetchPolicy policy, int zones) {
    this.policy = policy;
    this.zones = zones;
  }

  /** True when the operators have set a limit: then images tell jobs apart. */
  public boolean limited() {
    return policy.source() > 0 || policy.machine() > 0;
  }

  private boolean small(JobSpec s) {
    return s.imageGb() < policy.leastGb();
  }

  /** Whether a task whose image the machine does not hold may start there now. */
  public boolean mayFetch(JobSpec s, Machine m, Fit fit) {
    if (small(s)) {
      return true;
    }
    Wave w = waves.get(s.image());
    if (w != null && (w.fetching.containsKey(m) || w.holders.contains(m))) {
      return true; // One fetch is for all tasks that wait for it.
    }
    if (policy.machine() > 0 && fetches.getInt(m) >= policy.machine()) {
      return false;
    }
    return policy.source() <= 0
        || fromSource < policy.source()
        || !imageSources(w, m, fit).isEmpty();
  }

  /** A start was held back for a limit. */
  public void heldBack() {
    heldBack++;
  }

  /** An attempt is placed: its machine fetches, unless it holds the image or does so already. */
  public void began(Attempt a, boolean cached, Fit fit, long now) {
    JobSpec s = a.job.spec;
    tasks++;
    if (small(s)) {
      return;
    }
    Wave w = wave(s.image());
    ImageFetch f = w.fetching.get(a.machine);
    if (f == null) {
      if (w.holders.contains(a.machine) || cached) {
        return;
      }
      List<Machine> from = imageSources(w, a.machine, fit);
      f = new ImageFetch(now, from);
      w.fetching.put(a.machine, f);
      fetches.addTo(a.machine, 1);
      begun++;
      gb += s.imageGb();
      if (from.isEmpty()) {
        fromSource++;
      } else {
        handed++;
        takers.addTo(from.get(0), 1);
        w.across[a.machine.zone] += from.get(0).zone != a.machine.zone ? 1 : 0;
      }
    }
    f.tasks++;
  }

  /** A fetch that an earlier leader began is reported: from whom is not known. */
  public void found(Attempt a, long now) {
    JobSpec s = a.job.spec;
    if (small(s)) {
      return;
    }
    Wave w = wave(s.image());
    ImageFetch f = w.fetching.get(a.machine);
    if (f == null && !w.holders.contains(a.machine)) {
      f = new ImageFetch(now, List.of());
      w.fetching.put(a.machine, f);
      fetches.addTo(a.machine, 1);
      fromSource++;
    }
    if (f != null) {
      f.tasks++;
    }
  }

  private Wave wave(int image) {
    Wave w = waves.get(image);
    if (w == null) {
      w = new Wave(zones);
      waves.put(image, w);
    }
    return w;
  }

  /** The addresses that a launch names: certain holders for a worker that can take from them. */
  public List<String> imageSources(Attempt a) {
    Wave w = waves.get(a.job.spec.image());
    ImageFetch f = w == null ? null : w.fetching.get(a.machine);
    if (f == null || f.imageSources.isEmpty()) {
      return List.of();
    }
    List<String> out = new ArrayList<>();
    for (Machine g : f.imageSources) {
      if (w.holders.contains(g) && !g.address.isEmpty()) {
        out.add(g.address);
      }
    }
    return out;
  }

  /** Who may hand the image on to the machine, the best first: its zone's, and those with least. */
  private List<Machine> imageSources(Wave w, Machine m, Fit fit) {
    if (w == null || policy.takers() <= 0 || !m.servesImages || w.holders.isEmpty()) {
      return List.of();
    }
    List<Machine> own = new ArrayList<>();
    List<Machine> others = new ArrayList<>();
    int looked = 0;
    boolean ownZone = false;
    for (Machine g : w.holders) {
      if (++looked > MOST_LOOKED || own.size() >= MOST_GIVERS) {
        break;
      }
      ownZone |= g.zone == m.zone;
      if (g != m && g.servesImages && takers.getInt(g) < policy.takers() && fit.fit(g)) {
        (g.zone == m.zone ? own : others).add(g);
      }
    }
    if (!own.isEmpty()) {
      own.sort((x, y) -> Integer.compare(takers.getInt(x), takers.getInt(y)));
      return own;
    }
    // A copy or a few cross a zone's border; then its own holders hand on.
    if (ownZone || w.across[m.zone] >= policy.across() || others.isEmpty()) {
      return List.of();
    }
    others.sort((x, y) -> Integer.compare(takers.getInt(x), takers.getInt(y)));
    return others.subList(0, Math.min(MOST_GIVERS, others.size()));
  }

  /** A task of the image runs on the machine: it holds it for certain. */
  public void runs(Attempt a) {
    JobSpec s = a.job.spec;
    if (small(s)) {
      return;
    }
    Wave w = wave(s.image());
    over(w, a.machine);
    w.holders.addAndMoveToFirst(a.machine);
    if (w.holders.size() > MOST_HOLDERS) {
      w.holders.removeLast();
    }
    // What its cache may have dropped since is told to nobody.
    for (int image : waves.keySet().toIntArray()) {
      if (image != s.image() && !a.machine.isLikelyCached(image, SURE)) {
        waves.get(image).holders.remove(a.machine);
      }
    }
  }

  /** An attempt is gone; a fetch for which no task waits any more is given up. */
  public void gone(Attempt a) {
    Wave w = waves.get(a.job.spec.image());
    ImageFetch f = w == null ? null : w.fetching.get(a.machine);
    if (f != null && --f.tasks <= 0) {
      over(w, a.machine);
    }
    tidy(a.job.spec.image(), w);
  }

  private void over(Wave w, Machine m) {
    ImageFetch f = w.fetching.remove(m);
    if (f == null) {
      return;
    }
    fetches.addTo(m, -1);
    if (fetches.getInt(m) <= 0) {
      fetches.removeInt(m);
    }
    if (f.imageSources.isEmpty()) {
      fromSource--;
      return;
    }
    Machine g = f.imageSources.get(0);
    takers.addTo(g, -1);
    if (takers.getInt(g) <= 0) {
      takers.removeInt(g);
    }
    w.across[m.zone] -= g.zone != m.zone ? 1 : 0;
  }

  /** The machine or its session is gone, with all that it held. */
  public void lost(Machine m) {
    for (int image : waves.keySet().toIntArray()) {
      Wave w = waves.get(image);
      w.holders.remove(m);
      over(w, m);
      tidy(image, w);
    }
  }

  private void tidy(int image, Wave w) {
    if (w != null && w.holders.isEmpty() && w.fetching.isEmpty()) {
      waves.remove(image);
    }
  }

  /** True while others fetch from it: returning it would send them to the source. */
  public boolean gives(Machine m) {
    return takers.getInt(m) > 0;
  }

  /** Machines that hold an image for certain. */
  public int holders(int image) {
    Wave w = waves.get(image);
    return w == null ? 0 : w.holders.size();
  }

  /** Machines that fetch an image. */
  public int fetching(int image) {
    Wave w = waves.get(image);
    return w == null ? 0 : w.fetching.size();
  }

  /** Fetches from the shared source under way. */
  public int fromSource() {
    return fromSource;
  }

  /** Images that are told apart. */
  public int images() {
    return waves.size();
  }

  /** How long the oldest fetch of an image has lasted, in ms; 0 without one. */
  public long oldestMs(int image, long now) {
    Wave w = waves.get(image);
    return w == null || w.fetching.isEmpty()
        ? 0
        : now - w.fetching.values().stream().mapToLong(f -> f.sinceMs).min().orElse(now);
  }

  /** Figures of the term so far: tasks, fetches, those handed on, held back, GB. */
  public String figures() {
    return "tasks="
        + tasks
        + " fetches="
        + begun
        + " handed_on="
        + handed
        + " held_back="
        + heldBack
        + " gb="
        + Math.round(gb)
        + " from_source="
        + fromSource
        + " images="
        + waves.size();
  }

  /** Marks the images that are told apart, so that their numbers are not given to others. */
  public void names(BitSet images) {
    Arrays.stream(waves.keySet().toIntArray()).forEach(images::set);
  }
}
