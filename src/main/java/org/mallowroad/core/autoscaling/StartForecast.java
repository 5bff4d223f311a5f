package org.mallowroad.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.ResourceVector;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.objective.ServiceLevelObjectives;

/**
 * The forecast of one scaling cycle: places each waiting task where it would start first, on an
 * existing, pending or newly requested machine, and so decides which machines to request.
 */
final class StartForecast {
  /** A pending machine is taken to need at least this long until its first heartbeat. */
  private static final long MIN_REMAINING_BOOT_MS = 3_000;

  /** Later arrivals may go first, so only a part of the time that is left is planned away. */
  private static final double PLANNED_WAIT_SHARE = 0.4;

  /** A start later than this is late where machines are cheap. */
  private static final long LATE_START_MS = 5_000;

  /** A requested machine must bring a start forward by this much. */
  private static final long MIN_GAIN_MS = 5_000;

  /** When the machine with this index could start the next task. */
  private record Start(long atMs, int machine) {}

  private final SchedulerState schedulerState;
  private final FleetHealth health;
  private final AutoscalerPolicy policy;
  private final ServiceLevelObjectives objectives;
  private final VariantSelector variants;
  private final List<MachineType> types;
  private final long now;

  /** Existing machines, then pending ones, then those requested by this forecast. */
  private final List<ForecastMachine> machines = new ArrayList<>();

  /** The index of the first pending machine. */
  private int firstPending;

  private final Object2IntLinkedOpenHashMap<MachineVariant> requested =
      new Object2IntLinkedOpenHashMap<>();

  /** Machines requested by the index of their type; bounded by the policy's step. */
  private final int[] requestedOfType;

  private long machinesScanned;
  private long tasksForecast;

  StartForecast(
      SchedulerState schedulerState,
      AutoscalerPolicy policy,
      ServiceLevelObjectives objectives,
      VariantSelector variants,
      List<MachineType> types,
      long now) {
    this.schedulerState = schedulerState;
    this.health = schedulerState.health();
    this.policy = policy;
    this.objectives = objectives;
    this.variants = variants;
    this.types = types;
    this.now = now;
    this.requestedOfType = new int[types.stream().mapToInt(t -> t.index() + 1).max().orElse(0)];
  }

  /** The machines to request, in the order in which the forecast first needed their variants. */
  Object2IntLinkedOpenHashMap<MachineVariant> requested() {
    return requested;
  }

  /** Machines scanned: the cost of the forecast. */
  long machinesScanned() {
    return machinesScanned;
  }

  /** Tasks forecast. */
  long tasksForecast() {
    return tasksForecast;
  }

  /**
   * Forecasts the starts of the waiting tasks in the order of the queue. The machines are scanned
   * once for each job; its tasks then take them in the order of their starts.
   *
   * @return how many tasks wait within their teams' limits
   */
  int run(List<Job> queue, List<PendingMachines> pending) {
    int[] counts = tasksWithinTeamLimits(queue);
    int waiting = 0;
    for (int count : counts) {
      waiting += count;
    }
    if (waiting == 0 || !canRequest()) {
      return waiting;
    }
    addMachines(pending);
    int remaining = Autoscaler.MAX_FORECAST_TASKS;
    for (int i = 0; i < counts.length && remaining > 0; i++) {
      if (counts[i] == 0) {
        continue;
      }
      if (!canRequest()) {
        break; // Nothing can be requested for the other jobs, however late they start.
      }
      int tasks = Math.min(counts[i], remaining);
      remaining -= tasks;
      tasksForecast += tasks;
      new JobForecast(queue.get(i)).placeTasks(tasks);
    }
    return waiting;
  }

  /** The waiting tasks of each job; those beyond their team's limit need no machine. */
  private int[] tasksWithinTeamLimits(List<Job> queue) {
    int[] counts = new int[queue.size()];
    double[] plannedCpus = new double[schedulerState.teams().size()];
    for (int i = 0; i < counts.length; i++) {
      JobSpec spec = queue.get(i).spec;
      Team team = schedulerState.team(spec);
      int pendingTasks = queue.get(i).pendingTasks.size();
      if (spec.cpus() <= 0) {
        counts[i] = pendingTasks;
      } else {
        double remainingCpus = team.cpuLimit() - team.usedCpus() - plannedCpus[spec.team()];
        double limit = (remainingCpus + ResourceVector.EPSILON) / spec.cpus();
        counts[i] = (int) Math.max(0, Math.min(pendingTasks, limit));
      }
      plannedCpus[spec.team()] += counts[i] * spec.cpus();
    }
    return counts;
  }

  /** True while a machine of any type may still be requested in this cycle. */
  private boolean canRequest() {
    for (MachineType type : types) {
      if (requestedOfType[type.index()] < policy.maxScaleOutPerType()
          && variants.isObtainable(type, now)) {
        return true;
      }
    }
    return false;
  }

  private void addMachines(List<PendingMachines> pending) {
    ReplacementQuota replacements = new ReplacementQuota(health.policy().maxReplacementShare());
    for (Machine machine : schedulerState.machines()) {
      // A slow machine is no room for urgent work, and is returned when it is empty.
      if (machine.isUsable()
          && machine.reservedFor == null
          && !machine.health.isSuspect()
          && !(health.isPartitionedAway(machine.health) && replacements.isReplaced())) {
        machines.add(ForecastMachine.of(machine, now));
      }
    }
    firstPending = machines.size();
    for (PendingMachines request : pending) {
      MachineVariant variant = request.variant();
      long bootedAtMs = request.requestedMs() + variant.plannedBootMs();
      long availableMs = Math.max(now + MIN_REMAINING_BOOT_MS, bootedAtMs);
      for (int i = 0; i < request.count(); i++) {
        boolean partitioned = health.failureDetector().isPartitioned(variant.zone());
        if (!(partitioned && replacements.isReplaced())) {
          machines.add(new ForecastMachine(variant, availableMs));
        }
      }
    }
  }

  private boolean mayRequest(MachineVariant variant) {
    return requestedOfType[variant.type().index()] < policy.maxScaleOutPerType();
  }

  /** Requests a machine and adds it to the forecast as the last one. */
  private void request(MachineVariant variant) {
    requestedOfType[variant.type().index()]++;
    requested.addTo(variant, 1);
    machines.add(new ForecastMachine(variant, now + variant.plannedBootMs()));
  }

  /** The forecast of the tasks of one job. */
  private final class JobForecast {
    private final Job job;
    private final PriorityQueue<Start> starts =
        new PriorityQueue<>(
            Comparator.comparingLong((Start x) -> x.atMs).thenComparingInt(x -> x.machine));

    /** The first pending or requested machine that may have room without waiting. */
    private int nextNewMachine = firstPending;

    JobForecast(Job job) {
      this.job = job;
      machinesScanned += machines.size();
      for (int i = 0; i < machines.size(); i++) {
        // Room in a zone where the job's other tasks do not allow it to run does not count
        // (docs/incidents, room-in-the-other-zone).
        if (job.allowsZone(machines.get(i).variant().zone())) {
          addStart(i);
        }
      }
    }

    private void addStart(int machine) {
      long atMs = machines.get(machine).earliestStartMs(job.spec);
      if (atMs < Long.MAX_VALUE) {
        starts.add(new Start(atMs, machine));
      }
    }

    /** Places tasks, and requests machines for those that would start too late. */
    void placeTasks(int count) {
      for (int remaining = count; remaining > 0; remaining--) {
        Start earliest = earliestStart();
        if (earliest == null || earliest.atMs > now) {
          long startMs = earliest == null ? Long.MAX_VALUE : earliest.atMs;
          MachineVariant variant = variants.cheapestFor(job, remaining, types, requested, now);
          if (variant != null) {
            if (prefersNewMachine(variant, startMs) && placeOnNewMachine(variant)) {
              continue;
            }
            if (mayRequest(variant) && isWorthRequesting(variant, startMs)) {
              request(variant);
              starts.add(new Start(now + variant.plannedBootMs(), machines.size() - 1));
            }
          }
        }
        Start start = starts.poll();
        if (start == null) {
          return;
        }
        machines.get(start.machine).place(job.spec, start.atMs);
        addStart(start.machine);
      }
    }

    /** The earliest start, up to date; null when the job's tasks fit no machine. */
    private Start earliestStart() {
      Start earliest = starts.peek();
      while (earliest != null
          && machines.get(earliest.machine).earliestStartMs(job.spec) != earliest.atMs) {
        // The machine took a task outside the heap, and has less room than this start assumes.
        starts.poll();
        addStart(earliest.machine);
        earliest = starts.peek();
      }
      return earliest;
    }

    /**
     * True when a task that would start late goes to a new machine, because machines are cheap.
     * This leaves the room that running tasks release to later work: otherwise a lasting burst
     * always seems about to find room, and no machine is requested for it.
     */
    private boolean prefersNewMachine(MachineVariant variant, long startMs) {
      return startMs > now + LATE_START_MS && VariantSelector.isCheap(variant, types);
    }

    /** Places a task on a pending or newly requested machine; false when there is none. */
    private boolean placeOnNewMachine(MachineVariant variant) {
      while (nextNewMachine < machines.size() && !hasRoom(machines.get(nextNewMachine))) {
        nextNewMachine++;
      }
      if (nextNewMachine == machines.size()) {
        if (!mayRequest(variant)) {
          return false;
        }
        request(variant);
      }
      ForecastMachine machine = machines.get(nextNewMachine);
      machine.place(job.spec, machine.availableMs());
      return true;
    }

    private boolean hasRoom(ForecastMachine machine) {
      return job.allowsZone(machine.variant().zone()) && machine.fitsNow(job.spec);
    }

    /** True when a machine requested now would bring a late start forward enough. */
    private boolean isWorthRequesting(MachineVariant variant, long startMs) {
      long readyMs = now + variant.plannedBootMs();
      if (startMs <= readyMs + MIN_GAIN_MS) {
        return false;
      }
      if (VariantSelector.isCheap(variant, types)) {
        return true; // Waiting saves nothing where machines are cheap.
      }
      double fetchS = job.spec.imageGb() / variant.type().fetchGbPerS();
      double readyS = (readyMs - job.eligibleSinceMs()) / 1000.0 + fetchS;
      double targetS = objectives.latestStartS(job.spec, fetchS, job.guaranteed, readyS);
      double latestStartMs = job.eligibleSinceMs() + 1000 * PLANNED_WAIT_SHARE * targetS;
      return startMs > (long) Math.min(Long.MAX_VALUE / 4.0, latestStartMs);
    }
  }
}
