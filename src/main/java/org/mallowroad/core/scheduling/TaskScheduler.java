package org.mallowroad.core.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.Team;

/**
 * Places waiting tasks first-fit: by priority, then teams within their guarantee, then deadline.
 * Each placement asks the {@link SchedulerState}; nothing starts that it refuses.
 */
public final class TaskScheduler {
  /** A task that waits this long for room may preempt others. */
  private static final long PREEMPT_AFTER_MS = 1_000;

  private static final long GUARANTEE_AFTER_MS = 4_000;

  /** Looking for work to stop walks the whole fleet, so it is not done with every placement. */
  private static final long PREEMPT_EVERY_MS = 400;

  private static final int PREEMPT_JOBS = 16;

  /** Ranks up to this one are urgent: 0 is critical. */
  private static final int URGENT = 1;

  private static final int CRITICAL = 0;

  /** A task that has been started more often is not stopped again, except for critical work. */
  private static final int MOST_TRIES = 3;

  /** Room that comes free by itself within this time is waited for. */
  private static final double WAIT_S = 4;

  /** For this part of its slack a job with a deadline lets others pass that need no fetch. */
  private static final double YIELD = 0.3;

  /** Users expect every job to have begun by then, the largest ones too (PROTOCOL's additions). */
  public static final double BEGIN_S = 240;

  /**
   * A job that has waited so long, less the fetch of its image, goes before guaranteed work of its
   * rank: a large array is beyond every guarantee, and behind a flood of small ones it would never
   * begin.
   */
  private static final double AGED_S = 180;

  /** A job whose image nobody has lets others pass for no more than this part of that time. */
  private static final double YIELD_BEGIN = 0.4;

  /** An image is heavy when its fetch takes more than this part of the estimated run. */
  private static final double HEAVY = 0.5;

  /** Fetches are planned at this rate until a machine is known. */
  private static final double FETCH_GB_PER_S = 0.3;

  private final SchedulerState schedulerState;
  private double fetchGbPerS = FETCH_GB_PER_S;
  private final ExpectedReleases releases = new ExpectedReleases(WAIT_S);
  private Machine[] order = new Machine[0];
  private Machine[] open = new Machine[0];
  private int openCount;
  private long orderVersion = -1;
  private long preemptedMs = Long.MIN_VALUE / 2;
  private final List<Job> queue = new ArrayList<>();
  private final BitSet keptFor = new BitSet();
  private long looked;
  private long stops;

  /** A placement over a ledger. */
  public TaskScheduler(SchedulerState schedulerState) {
    this.schedulerState = schedulerState;
  }

  /** Machines looked at so far: what a pass costs. */
  public long looked() {
    return looked;
  }

  /** Attempts looked at so far for what will end soon. */
  public long surveyed() {
    return releases.looked();
  }

  /** Attempts stopped so far so that more important work gets room. */
  public long stops() {
    return stops;
  }

  /** A waiting job's place in the queue, computed anew for each pass. */
  private record Rank(Job job, double dueMs) {}

  /** Jobs with tasks that wait, in the order in which they get room. */
  public List<Job> queue(long now) {
    double[] cpus = new double[schedulerState.teams().size()];
    double[] cards = new double[schedulerState.teams().size()];
    List<Job> open = new ArrayList<>();
    for (Job j : schedulerState.jobs()) {
      if (!j.isCancelled() && !j.isEnded() && !j.isHeld()) {
        open.add(j);
      }
    }
    open.sort(
        Comparator.comparingLong((Job j) -> j.spec.submittedMs()).thenComparing(j -> j.spec.id()));
    List<Rank> ranks = new ArrayList<>();
    for (Job j : open) {
      JobSpec s = j.spec;
      int left = s.tasks() - j.doneCount();
      cpus[s.team()] += left * s.cpus();
      cards[s.team()] += left * s.cards();
      Team team = schedulerState.team(s);
      j.guaranteed =
          cpus[s.team()] <= team.cpus() + ResourceVector.EPSILON
              && cards[s.team()] <= team.cards() + ResourceVector.EPSILON;
      j.aged = now - j.eligibleSinceMs() > 1000 * Math.max(0, AGED_S - fetchS(s));
      if (j.hasWaitingTasks()) {
        ranks.add(new Rank(j, j.eligibleSinceMs() + (long) (1000 * patience(s))));
      }
    }
    ranks.sort(
        Comparator.comparingInt((Rank r) -> r.job.spec.priority())
            .thenComparingInt(r -> r.job.hasPrecedence() ? 0 : 1)
            .thenComparingDouble(Rank::dueMs)
            .thenComparing(r -> r.job.spec.id()));
    queue.clear();
    for (Rank r : ranks) {
      queue.add(r.job);
    }
    return queue;
  }

  /**
   * Without a deadline a job counts as due after three times its estimate and a minute, and in time
   * to begin as users expect; the sooner, the longer its image takes: a machine that it gets now
   * begins only then.
   */
  private double patience(JobSpec s) {
    if (s.dueS() > 0) {
      return s.dueS();
    }
    double usual = Math.min(3 * s.estimateS() + 60, BEGIN_S);
    return heavy(s) ? usual - fetchS(s) / 2 : usual;
  }

  /**
   * True when its image takes so long beside its run that being passed by others may make it begin
   * too late. For the others every fetch that is saved is worth the wait: with this for all, a calm
   * day of cascade rented 60 machines more (docs/gangs.md).
   */
  private boolean heavy(JobSpec s) {
    return fetchS(s) > HEAVY * s.estimateS();
  }

  private double fetchS(JobSpec s) {
    return s.imageGb() / fetchGbPerS;
  }

  /**
   * Places what can be placed now.
   *
   * @return the attempts made, all still to be committed
   */
  public List<Attempt> place(long now) {
    List<Attempt> made = new ArrayList<>();
    if (!anyWaiting() && schedulerState.gangReservations().size() == 0) {
      return made;
    }
    List<Job> waiting = queue(now);
    sortMachines();
    schedulerState
        .gangReservations()
        .reserve(waiting, j -> !j.isBackingOff(now) && !overLimit(j), now);
    findOpen(waiting, now);
    boolean seek = now - preemptedMs >= PREEMPT_EVERY_MS;
    boolean surveyed = false;
    if (seek) {
      preemptedMs = now;
    }
    int stopping = 0;
    int from = 0;
    keptFor.clear();
    for (int i = 0; i < waiting.size(); i++) {
      Job job = waiting.get(i);
      if (job.spec.gang() && overLimit(job) && job.hasPrecedence() && !job.isBackingOff(now)) {
        // Its team's limit comes free a task at a time; what stands behind it would take that.
        keptFor.set(job.spec.team());
      }
      if (i == 0 || !alike(job, waiting.get(from))) {
        from = i;
        fillCached(waiting, from, made, now);
      }
      if (job.isBackingOff(now)) {
        continue;
      }
      if (job.spec.gang()) {
        placeGang(job, made, now);
        continue;
      }
      fill(job, true, made, now);
      fill(job, false, made, now);
      if (seek && !job.pendingTasks.isEmpty() && stopping < PREEMPT_JOBS) {
        if (!surveyed) {
          surveyed = true;
          releases.survey(schedulerState.jobs(), now);
        }
        if (preempt(job, now)) {
          stopping++;
        }
      }
    }
    return made;
  }

  private static boolean alike(Job a, Job b) {
    return a.spec.priority() == b.spec.priority() && a.hasPrecedence() == b.hasPrecedence();
  }

  /**
   * Jobs of the same rank first take the machines that hold their images: a fetch keeps room from
   * everybody. A job that has waited long yields no more, nor do those behind it get ahead of it.
   */
  private void fillCached(List<Job> waiting, int from, List<Attempt> made, long now) {
    for (int i = from; i < waiting.size() && alike(waiting.get(i), waiting.get(from)); i++) {
      Job job = waiting.get(i);
      if (job.isBackingOff(now) || job.spec.gang()) {
        continue;
      }
      fill(job, true, made, now);
      if (!job.pendingTasks.isEmpty() && now - job.eligibleSinceMs() > 1000 * yieldS(job.spec)) {
        return;
      }
    }
  }

  /** How long a job lets others of its rank pass: without a deadline, as long as it has slack. */
  private double yieldS(JobSpec s) {
    double slack = patience(s) - s.estimateS();
    // Else the image that nobody has comes last, again and again, until its job begins too late.
    double most = YIELD_BEGIN * Math.max(0, BEGIN_S - fetchS(s));
    if (s.dueS() > 0) {
      return YIELD * slack;
    }
    return heavy(s) ? Math.min(slack, most) : slack;
  }

  /** True while any task waits. */
  public boolean anyWaiting() {
    for (Job j : schedulerState.jobs()) {
      if (j.hasWaitingTasks()) {
        return true;
      }
    }
    return false;
  }

  private void sortMachines() {
    if (orderVersion == schedulerState.machinesVersion()) {
      return;
    }
    orderVersion = schedulerState.machinesVersion();
    order = schedulerState.machines().toArray(new Machine[0]);
    open = new Machine[order.length];
    double least = Double.MAX_VALUE;
    for (Machine m : order) {
      if (m.type.fetchGbPerS() > 0) {
        least = Math.min(least, m.type.fetchGbPerS());
      }
    }
    fetchGbPerS = least < Double.MAX_VALUE ? least : FETCH_GB_PER_S;
    // Small and cheap machines first: the large ones stay whole for the tasks that need them.
    Arrays.sort(
        order,
        Comparator.comparingDouble((Machine m) -> m.type.cpus())
            .thenComparingDouble(m -> m.type.price(m.spot))
            .thenComparing(m -> m.name));
  }

  /** The machines with room for the smallest waiting task: the only ones that jobs look at. */
  private void findOpen(List<Job> waiting, long now) {
    double cpus = Double.MAX_VALUE;
    double memGb = Double.MAX_VALUE;
    for (Job j : waiting) {
      cpus = Math.min(cpus, j.spec.cpus());
      memGb = Math.min(memGb, j.spec.memGb());
    }
    openCount = 0;
    looked += order.length;
    for (Machine m : order) {
      if (cpus <= m.freeResources.cpus + ResourceVector.EPSILON
          && memGb <= m.freeResources.memGb + ResourceVector.EPSILON
          && m.reservedFor == null
          && schedulerState.acceptsNewTasks(m, now)) {
        open[openCount++] = m;
      }
    }
    // Among machines of one price the fullest come first: what is left stays in one piece, for
    // large tasks or to go back. What is slow or faulty comes last of all.
    Arrays.sort(
        open,
        0,
        openCount,
        Comparator.comparing((Machine m) -> m.health.isSuspect())
            .thenComparingDouble(m -> m.type.cpus())
            .thenComparingDouble(m -> m.type.price(m.spot))
            .thenComparingDouble(m -> m.freeResources.cpus));
  }

  /** Places waiting tasks of a job on open machines, first-fit, that have its image or have not. */
  private void fill(Job job, boolean cached, List<Attempt> made, long now) {
    JobSpec s = job.spec;
    if (keptFor.get(s.team())) {
      return;
    }
    for (int i = 0; i < openCount && !job.pendingTasks.isEmpty(); i++) {
      Machine m = open[i];
      looked++;
      if (!m.freeResources.fits(s) || m.hasImage(s.image()) != cached) {
        continue;
      }
      while (!job.pendingTasks.isEmpty()) {
        int task = job.pendingTasks.firstInt();
        StartRefusal no = refusal(job, m, now);
        if (no == StartRefusal.QUOTA) {
          return; // No other machine helps.
        }
        if (no == StartRefusal.IMAGE_FETCH_LIMIT) {
          schedulerState.imageDistribution().heldBack();
        }
        if (no != null) {
          break;
        }
        job.pendingTasks.dequeueInt();
        made.add(schedulerState.start(job, task, m, now));
        m.recordImageUse(s.image(), s.imageGb());
      }
    }
  }

  /**
   * Why the job's next waiting task does not go to the machine; null when it may. Placement itself
   * goes by it, so what is shown to people is what was decided. Where the zone rules, a doubt or a
   * failure are named, nothing else stands in the way: the machine has room.
   */
  public StartRefusal refusal(Job job, Machine m, long now) {
    StartRefusal no = schedulerState.startRefusal(job, job.pendingTasks.firstInt(), m, now);
    if (no == null
        && !job.spec.gang()
        && !m.hasImage(job.spec.image())
        && !schedulerState
            .imageDistribution()
            .mayFetch(job.spec, m, x -> schedulerState.canServeImages(x, now))) {
      return StartRefusal.IMAGE_FETCH_LIMIT;
    }
    if (no == null && avoids(job.spec, m)) {
      return StartRefusal.SUSPECTED_SLOW_OR_FAULTY;
    }
    if (no == null
        && !job.spec.gang()
        && job.failedMachines.size() < 3
        && job.failedMachines.contains(m.name)) {
      return StartRefusal.FAILED_ON_MACHINE;
    }
    return no;
  }

  /** Urgent tasks and gangs do not go to a machine that is slow or faulty: many wait for them. */
  private static boolean avoids(JobSpec s, Machine m) {
    return m.health.isSuspect() && (urgent(s) || s.gang());
  }

  /** True for work that may not wait on a slow machine. */
  public static boolean urgent(JobSpec s) {
    return s.priority() <= URGENT;
  }

  /** Places all waiting tasks of a gang or none of them. */
  private void placeGang(Job job, List<Attempt> made, long now) {
    JobSpec s = job.spec;
    if (job.pendingTasks.isEmpty() || overLimit(job)) {
      return;
    }
    List<Machine> places = gangPlaces(job, now);
    if (places.size() < job.pendingTasks.size()) {
      return;
    }
    for (Machine m : places) {
      made.add(schedulerState.start(job, job.pendingTasks.dequeueInt(), m, now));
      m.recordImageUse(s.image(), s.imageGb());
    }
  }

  /**
   * True when the team's limit alone keeps the job's next task, or a gang's tasks, from a start.
   */
  public boolean overLimit(Job job) {
    return !schedulerState
        .team(job.spec)
        .allows(job.spec, job.spec.gang() ? job.pendingTasks.size() : 1);
  }

  /** Places for a gang's waiting tasks: one for each, or as many as any zone has. */
  public List<Machine> gangPlaces(Job job, long now) {
    sortMachines();
    JobSpec s = job.spec;
    int n = job.pendingTasks.size();
    List<Machine> most = List.of();
    for (int zone = 0; zone < schedulerState.zones() && most.size() < n; zone++) {
      List<Machine> places = new ArrayList<>();
      int[] inZone = job.copyLiveAttemptsByZone();
      for (Machine m : order) {
        if (s.together() && m.zone != zone) {
          continue;
        }
        ResourceVector room =
            new ResourceVector(m.freeResources.cpus, m.freeResources.cards, m.freeResources.memGb);
        while (places.size() < n
            && room.fits(s)
            && inZone[m.zone] < s.maxTasksPerZone()
            && refusal(job, m, now) == null) {
          room.add(s, -1);
          inZone[m.zone]++;
          places.add(m);
        }
      }
      if (places.size() > most.size()) {
        most = places;
      }
      if (!s.together()) {
        break;
      }
    }
    return most;
  }

  /** Work whose stop makes room on one machine, and for how many tasks. */
  private record Stops(List<Attempt> victims, int holds, double loss) {}

  /**
   * Stops less important work for a job that found no room: work of lower priority, or work of the
   * same or lower priority that another team runs beyond its guarantee while this job's team is
   * within its own. The work that loses least for each task is stopped, and no more than the
   * waiting tasks need.
   *
   * @return true when the fleet was walked
   */
  private boolean preempt(Job job, long now) {
    JobSpec s = job.spec;
    Team team = schedulerState.team(s);
    long waited = now - job.waitingSinceMs();
    int need = team.maxTasks(s, job.pendingTasks.size());
    int coming = releases.coming(s, need);
    releases.claim(s, need);
    need -= coming;
    if (waited < PREEMPT_AFTER_MS || need <= 0) {
      return false;
    }
    boolean guarantee =
        waited >= GUARANTEE_AFTER_MS && job.guaranteed && team.staysWithinGuarantee(s);
    List<Stops> options = new ArrayList<>();
    looked += order.length;
    for (Machine m : order) {
      if (m.isEmpty()
          || !m.isUsable()
          || m.reservedFor != null
          || !s.allows(m.type.index(), m.zone, m.spot)
          || !m.type.fits(s)
          || avoids(s, m)
          || !job.allowsZone(m.zone)) {
        continue;
      }
      ResourceVector room =
          new ResourceVector(m.freeResources.cpus, m.freeResources.cards, m.freeResources.memGb);
      List<Attempt> candidates = null;
      for (Attempt a : m.attempts) {
        if (a.isStopping()) {
          room.add(a.job.spec, 1);
        } else if (stoppable(a, job, guarantee)) {
          if (candidates == null) {
            candidates = new ArrayList<>();
          }
          candidates.add(a);
        }
      }
      // What is stopping already will make room.
      int stopped = room.capacityFor(s, need);
      need -= stopped;
      if (need == 0) {
        return true;
      }
      if (candidates == null || stopped > 0) {
        continue;
      }
      candidates.sort(Comparator.comparingDouble(a -> loss(a, now)));
      List<Attempt> victims = new ArrayList<>();
      double loss = 0;
      for (Attempt a : candidates) {
        if (room.fits(s)) {
          break;
        }
        victims.add(a);
        room.add(a.job.spec, 1);
        loss += loss(a, now);
      }
      if (!victims.isEmpty() && room.fits(s)) {
        options.add(new Stops(victims, room.capacityFor(s, need), loss));
      }
    }
    options.sort(Comparator.comparingDouble(o -> o.loss / o.holds));
    for (Stops o : options) {
      if (need <= 0) {
        break;
      }
      boolean still = true;
      for (Attempt a : o.victims) {
        still &= stoppable(a, job, guarantee); // Their team may have given enough by now.
      }
      if (still) {
        stops += o.victims.size();
        for (Attempt a : o.victims) {
          schedulerState.requestStop(a, a.job.spec.checkpointS() > 0 ? a.job.spec.saveS() : 0, now);
        }
        need -= o.holds;
      }
    }
    return true;
  }

  /**
   * Empties machines that the cloud is about to take: tasks that can save do so, and tasks that are
   * not expected to finish in time are stopped so that they start again elsewhere at once.
   */
  public void drain(long now) {
    for (Machine m : schedulerState.machines()) {
      if (m.interruptionMs == 0) {
        continue;
      }
      double left = (m.interruptionMs - now) / 1000.0;
      for (Attempt a : m.attempts) {
        JobSpec s = a.job.spec;
        if (a.isStopping() || a.phase == Attempt.Phase.RECORDING) {
          continue;
        }
        if (s.checkpointS() > 0) {
          schedulerState.requestStop(a, s.saveS(), now);
        } else if (a.phase != Attempt.Phase.RUNNING
            || s.service()
            || s.estimateS() - (now - a.runningSinceMs()) / 1000.0 > left) {
          schedulerState.requestStop(a, 0, now);
        }
      }
    }
  }

  private boolean stoppable(Attempt a, Job by, boolean guarantee) {
    if (a.phase == Attempt.Phase.RECORDING || a.phase == Attempt.Phase.COMMITTED) {
      return false;
    }
    int theirs = a.job.spec.priority();
    int ours = by.spec.priority();
    if (a.number > MOST_TRIES && ours > CRITICAL) {
      return false; // Else a lasting flood of urgent work could stop the same task for ever.
    }
    if (theirs > ours) {
      return true;
    }
    // Only work that stands behind this job in the queue may be stopped at the same priority:
    // otherwise it would take the room again at once, and the two would stop each other for ever.
    return guarantee
        && theirs == ours
        && !a.job.hasPrecedence()
        && a.job.spec.team() != by.spec.team()
        && schedulerState.team(a.job.spec).keepsGuaranteeWithout(a.job.spec);
  }

  /** CPU seconds lost when the attempt is stopped now. */
  private static double loss(Attempt a, long now) {
    double ran = (now - a.createdMs) / 1000.0;
    double cp = a.job.spec.checkpointS();
    return (cp > 0 ? Math.min(ran, cp) : ran) * Math.max(0.1, a.job.spec.cpus());
  }
}
