package org.mallowroad.core.explain;

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.StartRefusal;
import org.mallowroad.core.Team;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeSnapshot.MachineLine;
import org.mallowroad.core.explain.NodeSnapshot.ReasonLine;
import org.mallowroad.core.explain.NodeSnapshot.TeamLine;
import org.mallowroad.core.explain.NodeSnapshot.Totals;
import org.mallowroad.core.explain.NodeSnapshot.ZoneLine;

/**
 * Builds the parts of a leader's {@link NodeSnapshot}. Call {@link #begin}, then {@link #step}
 * until it returns true, then the methods that return the parts.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class SnapshotBuilder {
  /**
   * Maximum number of open jobs that are explained and listed. Pending jobs in queue order precede
   * the other open jobs.
   */
  public static final int MAX_JOBS = 1_000;

  private final SchedulerState schedulerState;
  private final AutoscalerView autoscaler;
  private final NameIndex zones;
  private final PendingReasonExplainer explainer;
  private final List<JobLine> jobs = new ArrayList<>();
  private long snapshotMs;
  private int nextJobIndex;

  /** Creates a builder for the state of one term. */
  public SnapshotBuilder(
      SchedulerState schedulerState,
      AutoscalerView autoscaler,
      NameIndex zones,
      PendingReasonExplainer explainer) {
    this.schedulerState = schedulerState;
    this.autoscaler = autoscaler;
    this.zones = zones;
    this.explainer = explainer;
  }

  /** Discards earlier results and begins a snapshot of the current state. */
  public void begin(long now) {
    snapshotMs = now;
    nextJobIndex = 0;
    jobs.clear();
    explainer.begin(now);
  }

  /**
   * Explains further jobs, see {@link PendingReasonExplainer#step}; returns true when complete,
   * otherwise it has to be called again.
   */
  public boolean step(int maxEvaluations) {
    boolean complete = explainer.step(maxEvaluations, MAX_JOBS);
    List<Job> allJobs = explainer.jobs();
    for (; nextJobIndex < explainer.explainedJobCount(); nextJobIndex++) {
      Job job = allJobs.get(nextJobIndex);
      PendingReason reason = explainer.reasonFor(job);
      jobs.add(toJobLine(job, reason));
    }
    return complete;
  }

  private JobLine toJobLine(Job job, PendingReason reason) {
    double ageS = toSeconds(snapshotMs - job.submittedMs());
    double deadlineS = job.spec.deadlineS();
    return new JobLine(
        job.spec.id(),
        schedulerState.team(job.spec).name,
        explainer.taskClassName(job),
        job.spec.priority(),
        job.spec.tasks(),
        job.doneTaskCount(),
        job.runningCount(),
        explainer.startingCount(job),
        job.pendingTaskCount(),
        explainer.silentCount(job),
        ageS,
        deadlineS > 0,
        deadlineS > 0 ? roundToTenths(deadlineS - ageS) : 0,
        job.isGuaranteed(),
        job.consecutiveFailures(),
        reason == null ? "" : reason.cause().name(),
        reason == null ? -1 : toSeconds(Math.max(0, snapshotMs - reason.sinceMs())),
        reason == null || reason.expectedEndMs() < 0
            ? -1
            : toSeconds(Math.max(0, reason.expectedEndMs() - snapshotMs)),
        reason == null || reason.zone() < 0 ? "" : zones.name(reason.zone()),
        reason == null ? "" : reason.detail());
  }

  private static double toSeconds(long ms) {
    return roundToTenths(ms / 1000.0);
  }

  private static double roundToTenths(double value) {
    return Math.rint(value * 10) / 10;
  }

  /** The explained jobs; those with startable tasks come first. */
  public List<JobLine> jobs() {
    return List.copyOf(jobs);
  }

  /** Number of open jobs that are not listed. */
  public int jobsLeftOut() {
    return explainer.jobs().size() - jobs.size();
  }

  /**
   * Tasks that do not run, grouped by team, task class and cause, in decreasing order of the number
   * of tasks.
   */
  public List<ReasonLine> reasons() {
    return PendingCauseSummary.summarize(jobs);
  }

  /** The teams in the order of the configuration. */
  public List<TeamLine> teams() {
    int[] waitingByTeam = new int[schedulerState.teams().size()];
    int[] runningByTeam = new int[waitingByTeam.length];
    for (Job job : schedulerState.jobs()) {
      waitingByTeam[job.spec.team()] += job.pendingTaskCount();
      runningByTeam[job.spec.team()] += job.runningCount();
    }
    List<TeamLine> lines = new ArrayList<>();
    for (int teamIndex = 0; teamIndex < waitingByTeam.length; teamIndex++) {
      Team team = schedulerState.teams().get(teamIndex);
      lines.add(
          new TeamLine(
              team.name,
              roundToTenths(team.usedCpus()),
              team.guaranteedCpus(),
              Double.isInfinite(team.cpuLimit()) ? 0 : team.cpuLimit(),
              waitingByTeam[teamIndex],
              runningByTeam[teamIndex]));
    }
    return lines;
  }

  /** The zones in the order of the configuration. */
  public List<ZoneLine> zones() {
    int[] machinesByZone = new int[zones.size()];
    int[] silentByZone = new int[zones.size()];
    for (Machine machine : schedulerState.machines()) {
      machinesByZone[machine.zone]++;
      silentByZone[machine.zone] += explainer.isSilent(machine, snapshotMs) ? 1 : 0;
    }
    List<ZoneLine> lines = new ArrayList<>();
    for (int zone = 0; zone < machinesByZone.length; zone++) {
      long partitionedMs =
          schedulerState.health().failureDetector().partitionedForMs(zone, snapshotMs);
      lines.add(
          new ZoneLine(
              zones.name(zone),
              machinesByZone[zone],
              silentByZone[zone],
              schedulerState.health().failureDetector().isPartitioned(zone),
              toSeconds(partitionedMs)));
    }
    return lines;
  }

  private static final class MachineCounts {
    private int machines;
    private int booting;
    private int empty;
    private int silent;
    private int suspect;
    private int leaving;
    private double bookedCpus;
  }

  /** Registered and booting machines, grouped by zone, type and whether they are spot machines. */
  public List<MachineLine> machines() {
    Object2ObjectLinkedOpenHashMap<MachineVariant, MachineCounts> countsByVariant =
        new Object2ObjectLinkedOpenHashMap<>();
    for (Machine machine : schedulerState.machines()) {
      MachineCounts counts =
          countsByVariant.computeIfAbsent(
              new MachineVariant(machine.type, machine.zone, machine.spot),
              key -> new MachineCounts());
      counts.machines++;
      counts.empty += machine.isEmpty() ? 1 : 0;
      counts.suspect += machine.health.isSuspect() ? 1 : 0;
      StartRefusal refusal = schedulerState.machineRefusal(machine, snapshotMs);
      counts.silent += explainer.isSilent(machine, snapshotMs) ? 1 : 0;
      counts.leaving += refusal == StartRefusal.DRAINING_OR_FAILED ? 1 : 0;
      counts.bookedCpus += machine.type.cpus() - machine.freeCpus();
    }
    for (PendingMachines pending : autoscaler.pendingMachines(snapshotMs)) {
      countsByVariant.computeIfAbsent(pending.variant(), key -> new MachineCounts()).booting +=
          pending.count();
    }
    List<MachineLine> lines = new ArrayList<>();
    countsByVariant.forEach(
        (variant, counts) -> {
          long refusedSinceMs = autoscaler.refusedSinceMs(variant);
          lines.add(
              new MachineLine(
                  zones.name(variant.zone()),
                  variant.type().name(),
                  variant.spot(),
                  counts.machines,
                  counts.booting,
                  counts.empty,
                  counts.silent,
                  counts.suspect,
                  counts.leaving,
                  counts.machines * variant.type().cpus(),
                  roundToTenths(counts.bookedCpus),
                  Math.rint(
                          (counts.machines + counts.booting)
                              * variant.type().price(variant.spot())
                              * 100)
                      / 100,
                  refusedSinceMs < 0 ? -1 : toSeconds(snapshotMs - refusedSinceMs)));
        });
    lines.sort(
        Comparator.comparing(MachineLine::zone)
            .thenComparing(MachineLine::type)
            .thenComparing(MachineLine::spot));
    return lines;
  }

  /** Totals over the given teams and machines and the listed jobs. */
  public Totals totals(List<TeamLine> teams, List<MachineLine> machines) {
    int starting = 0;
    for (JobLine job : jobs) {
      starting += job.starting();
    }
    return new Totals(
        schedulerState.jobs().size(),
        teams.stream().mapToInt(TeamLine::waiting).sum(),
        starting,
        teams.stream().mapToInt(TeamLine::running).sum(),
        schedulerState.machines().size(),
        machines.stream().mapToInt(MachineLine::booting).sum(),
        schedulerState.attemptsStarted(),
        schedulerState.attemptsCompleted(),
        Math.rint(machines.stream().mapToDouble(MachineLine::moneyPerHour).sum() * 100) / 100,
        schedulerState.dirtyRecords().size());
  }

  /** Explains one job anew and lists its attempts; the snapshot is empty if the job is not open. */
  public JobSnapshot jobSnapshot(String id, long now) {
    Job job = schedulerState.job(id);
    if (job == null) {
      return new JobSnapshot(id, null, "", List.of(), 0);
    }
    snapshotMs = now;
    PendingReason reason = explainer.explainNow(job, now);
    List<JobSnapshot.TaskLine> tasks = new ArrayList<>();
    int leftOut = 0;
    for (int task = 0; task < job.spec.tasks(); task++) {
      Attempt attempt = job.liveAttempt(task);
      if (attempt == null) {
        continue;
      }
      if (tasks.size() == JobSnapshot.MAX_TASKS) {
        leftOut++;
        continue;
      }
      Machine machine = attempt.machine;
      tasks.add(
          new JobSnapshot.TaskLine(
              task,
              attempt.number,
              attempt.phase.name().toLowerCase(Locale.ROOT),
              machine.name,
              machine.type.name(),
              zones.name(machine.zone),
              machine.spot,
              explainer.isSilent(machine, now),
              attempt.isStopping(),
              toSeconds(now - attempt.createdMs)));
    }
    return new JobSnapshot(
        id, toJobLine(job, reason), reason == null ? "" : reason.cause().remedy(), tasks, leftOut);
  }
}
