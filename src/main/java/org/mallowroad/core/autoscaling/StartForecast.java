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
 * Forecasts, for one scaling cycle, when the waiting tasks will start, and decides which machines
 * to request. Each task is placed on the existing, pending or newly requested machine on which it
 * would start first.
 */
final class StartForecast {
  /** A pending machine is assumed to need at least this long until its first heartbeat. */
  private static final long MIN_REMAINING_BOOT_MS = 3_000;

  /**
   * Share of the time until the latest acceptable start that tasks are planned to wait. The rest is
   * a margin for jobs that arrive later and are placed first.
   */
  private static final double PLANNED_WAIT_SHARE = 0.4;

  /** A wait longer than this is late when the machine variant is cheap. */
  private static final long LATE_START_MS = 5_000;

  /** A machine is requested only if it starts a task earlier by more than this. */
  private static final long MIN_GAIN_MS = 5_000;

  /** The earliest time at which a machine could start the next task of a job. */
  private record EarliestStart(long atMs, int machineIndex) {}

  private final SchedulerState schedulerState;
  private final FleetHealth health;
  private final AutoscalerPolicy policy;
  private final ServiceLevelObjectives objectives;
  private final VariantSelector variantSelector;
  private final List<MachineType> types;
  private final long now;

  /** Existing machines, then pending ones, then those that this forecast requests. */
  private final List<ForecastMachine> machines = new ArrayList<>();

  /** Index in {@link #machines} of the first pending machine. */
  private int firstPendingIndex;

  private final Object2IntLinkedOpenHashMap<MachineVariant> requested =
      new Object2IntLinkedOpenHashMap<>();

  /**
   * Number of machines requested by machine type index; bounded by {@link
   * AutoscalerPolicy#maxScaleOutPerType}.
   */
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
    this.variantSelector = variants;
    this.types = types;
    this.now = now;
    this.requestedOfType =
        new int[types.stream().mapToInt(type -> type.index() + 1).max().orElse(0)];
  }

  /** The machines to request, in the order in which the forecast first needed their variants. */
  Object2IntLinkedOpenHashMap<MachineVariant> requested() {
    return requested;
  }

  /** Number of machines scanned, as a measure of the cost of the forecast. */
  long machinesScanned() {
    return machinesScanned;
  }

  /** Number of tasks forecast. */
  long tasksForecast() {
    return tasksForecast;
  }

  /**
   * Forecasts the starts of the waiting tasks in the order of the queue. The machines are scanned
   * once for each job, whose tasks then use them in the order of their earliest starts.
   *
   * @return the number of waiting tasks within their teams' limits
   */
  int forecastStarts(List<Job> queue, List<PendingMachines> pending) {
    int[] taskCounts = tasksWithinTeamLimits(queue);
    int waitingTasks = 0;
    for (int count : taskCounts) {
      waitingTasks += count;
    }
    if (waitingTasks == 0 || !canRequest()) {
      return waitingTasks;
    }
    addMachines(pending);
    int remainingTasks = Autoscaler.MAX_FORECAST_TASKS;
    for (int i = 0; i < taskCounts.length && remainingTasks > 0; i++) {
      if (taskCounts[i] == 0) {
        continue;
      }
      if (!canRequest()) {
        break; // No machine can be requested for the remaining jobs, however late they start.
      }
      int jobTasks = Math.min(taskCounts[i], remainingTasks);
      remainingTasks -= jobTasks;
      tasksForecast += jobTasks;
      new JobForecast(queue.get(i)).placeTasks(jobTasks);
    }
    return waitingTasks;
  }

  /** The number of waiting tasks of each job; those beyond their team's limit need no machine. */
  private int[] tasksWithinTeamLimits(List<Job> queue) {
    int[] taskCounts = new int[queue.size()];
    double[] plannedCpus = new double[schedulerState.teams().size()];
    for (int i = 0; i < taskCounts.length; i++) {
      JobSpec spec = queue.get(i).spec;
      Team team = schedulerState.team(spec);
      int pendingTasks = queue.get(i).pendingTasks.size();
      if (spec.cpus() <= 0) {
        taskCounts[i] = pendingTasks;
      } else {
        double remainingCpus = team.cpuLimit() - team.usedCpus() - plannedCpus[spec.team()];
        double limit = (remainingCpus + ResourceVector.EPSILON) / spec.cpus();
        taskCounts[i] = (int) Math.max(0, Math.min(pendingTasks, limit));
      }
      plannedCpus[spec.team()] += taskCounts[i] * spec.cpus();
    }
    return taskCounts;
  }

  /** True while more machines of any type may be requested in this cycle. */
  private boolean canRequest() {
    for (MachineType type : types) {
      if (requestedOfType[type.index()] < policy.maxScaleOutPerType()
          && variantSelector.isObtainable(type, now)) {
        return true;
      }
    }
    return false;
  }

  private void addMachines(List<PendingMachines> pending) {
    ReplacementQuota replacements = new ReplacementQuota(health.policy().maxReplacementShare());
    for (Machine machine : schedulerState.machines()) {
      // Machines suspected to be slow or faulty are excluded: urgent tasks do not use them, and
      // they are returned once they are empty.
      if (machine.isUsable()
          && machine.reservedFor == null
          && !machine.health.isSuspect()
          && !(health.isPartitionedAway(machine.health) && replacements.shouldReplaceNext())) {
        machines.add(ForecastMachine.of(machine, now));
      }
    }
    firstPendingIndex = machines.size();
    for (PendingMachines request : pending) {
      MachineVariant variant = request.variant();
      long bootedAtMs = request.requestedMs() + variant.plannedBootMs();
      long availableMs = Math.max(now + MIN_REMAINING_BOOT_MS, bootedAtMs);
      for (int i = 0; i < request.count(); i++) {
        boolean partitioned = health.failureDetector().isPartitioned(variant.zone());
        if (!(partitioned && replacements.shouldReplaceNext())) {
          machines.add(new ForecastMachine(variant, availableMs));
        }
      }
    }
  }

  private boolean mayRequest(MachineVariant variant) {
    return requestedOfType[variant.type().index()] < policy.maxScaleOutPerType();
  }

  /** Requests a machine of the variant, and adds it to the end of the forecast's machines. */
  private void request(MachineVariant variant) {
    requestedOfType[variant.type().index()]++;
    requested.addTo(variant, 1);
    machines.add(new ForecastMachine(variant, now + variant.plannedBootMs()));
  }

  /** The forecast of the tasks of one job. */
  private final class JobForecast {
    private final Job job;
    private final PriorityQueue<EarliestStart> starts =
        new PriorityQueue<>(
            Comparator.comparingLong((EarliestStart start) -> start.atMs)
                .thenComparingInt(start -> start.machineIndex));

    /** Index of the first pending or requested machine that may still have free resources. */
    private int nextNewMachineIndex = firstPendingIndex;

    JobForecast(Job job) {
      this.job = job;
      machinesScanned += machines.size();
      for (int i = 0; i < machines.size(); i++) {
        // Room in zones that are excluded by the zones of the job's live attempts is not counted
        // (docs/incidents, room-in-the-other-zone).
        if (job.allowsZone(machines.get(i).variant().zone())) {
          addStart(i);
        }
      }
    }

    private void addStart(int machineIndex) {
      long atMs = machines.get(machineIndex).earliestStartMs(job.spec);
      if (atMs < Long.MAX_VALUE) {
        starts.add(new EarliestStart(atMs, machineIndex));
      }
    }

    /** Places the job's tasks, and requests machines for those that would start too late. */
    void placeTasks(int count) {
      for (int remaining = count; remaining > 0; remaining--) {
        EarliestStart earliest = earliestStart();
        if (earliest == null || earliest.atMs > now) {
          long startMs = earliest == null ? Long.MAX_VALUE : earliest.atMs;
          MachineVariant variant =
              variantSelector.cheapestFor(job, remaining, types, requested, now);
          if (variant != null) {
            if (prefersNewMachine(variant, startMs) && placeOnNewMachine(variant)) {
              continue;
            }
            if (mayRequest(variant) && isWorthRequesting(variant, startMs)) {
              request(variant);
              starts.add(new EarliestStart(now + variant.plannedBootMs(), machines.size() - 1));
            }
          }
        }
        EarliestStart start = starts.poll();
        if (start == null) {
          return;
        }
        machines.get(start.machineIndex).place(job.spec, start.atMs);
        addStart(start.machineIndex);
      }
    }

    /** The earliest start of the next task; null when no machine has room for it at any time. */
    private EarliestStart earliestStart() {
      EarliestStart earliest = starts.peek();
      while (earliest != null
          && machines.get(earliest.machineIndex).earliestStartMs(job.spec) != earliest.atMs) {
        // This entry is outdated: a task was placed on the machine by placeOnNewMachine.
        starts.poll();
        addStart(earliest.machineIndex);
        earliest = starts.peek();
      }
      return earliest;
    }

    /**
     * True when a task that would start late is placed on a new machine because machines are cheap.
     * The room that running tasks release is then left to later tasks. Otherwise, in a long burst,
     * tasks always seem about to get room, and no machine is requested for them.
     */
    private boolean prefersNewMachine(MachineVariant variant, long startMs) {
      return startMs > now + LATE_START_MS && VariantSelector.isCheap(variant, types);
    }

    /**
     * Places a task on a pending or newly requested machine; false when none has room and no more
     * may be requested.
     */
    private boolean placeOnNewMachine(MachineVariant variant) {
      while (nextNewMachineIndex < machines.size() && !hasRoom(machines.get(nextNewMachineIndex))) {
        nextNewMachineIndex++;
      }
      if (nextNewMachineIndex == machines.size()) {
        if (!mayRequest(variant)) {
          return false;
        }
        request(variant);
      }
      ForecastMachine machine = machines.get(nextNewMachineIndex);
      machine.place(job.spec, machine.availableMs());
      return true;
    }

    private boolean hasRoom(ForecastMachine machine) {
      return job.allowsZone(machine.variant().zone()) && machine.fitsNow(job.spec);
    }

    /**
     * True when the start is too late and a machine requested now would be early enough to help.
     */
    private boolean isWorthRequesting(MachineVariant variant, long startMs) {
      long readyMs = now + variant.plannedBootMs();
      if (startMs <= readyMs + MIN_GAIN_MS) {
        return false;
      }
      if (VariantSelector.isCheap(variant, types)) {
        return true; // Waiting for a cheaper machine would save almost nothing.
      }
      double fetchS = job.spec.imageGb() / variant.type().fetchGbPerS();
      double readyS = (readyMs - job.eligibleSinceMs()) / 1000.0 + fetchS;
      double targetS = objectives.latestStartS(job.spec, fetchS, job.guaranteed, readyS);
      double latestStartMs = job.eligibleSinceMs() + 1000 * PLANNED_WAIT_SHARE * targetS;
      return startMs > (long) Math.min(Long.MAX_VALUE / 4.0, latestStartMs);
    }
  }
}
