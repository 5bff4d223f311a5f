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
 * Makes the lines of a leader's {@link NodeSnapshot}: {@link #begin}, then {@link #step} until it
 * returns true, then the lines.
 *
 * <p>Not thread-safe: confined to the controller's event loop.
 */
public final class SnapshotBuilder {
  /** Open jobs that are explained and listed; those first in the queue, then those that run. */
  public static final int MAX_JOBS = 1_000;

  private final SchedulerState schedulerState;
  private final AutoscalerView supply;
  private final NameIndex zones;
  private final PendingReasonExplainer explainer;
  private final List<JobLine> jobs = new ArrayList<>();
  private long now;
  private int lined;

  /** Over one term's decisions. */
  public SnapshotBuilder(
      SchedulerState schedulerState,
      AutoscalerView supply,
      NameIndex zones,
      PendingReasonExplainer explainer) {
    this.schedulerState = schedulerState;
    this.supply = supply;
    this.zones = zones;
    this.explainer = explainer;
  }

  /** Begins anew, with the state of this moment. */
  public void begin(long at) {
    now = at;
    lined = 0;
    jobs.clear();
    explainer.begin(at);
  }

  /**
   * True when all is explained; else to be called again, see {@link PendingReasonExplainer#step}.
   */
  public boolean step(int questions) {
    boolean over = explainer.step(questions, MAX_JOBS);
    List<Job> all = explainer.jobs();
    for (; lined < explainer.explained(); lined++) {
      Job j = all.get(lined);
      PendingReason f = explainer.finding(j);
      jobs.add(line(j, f));
    }
    return over;
  }

  private JobLine line(Job j, PendingReason f) {
    double ageS = seconds(now - j.submittedMs());
    double due = j.spec.deadlineS();
    return new JobLine(
        j.spec.id(),
        schedulerState.team(j.spec).name,
        explainer.taskClass(j),
        j.spec.priority(),
        j.spec.tasks(),
        j.doneTaskCount(),
        j.runningCount(),
        explainer.starting(j),
        j.pendingTaskCount(),
        explainer.silent(j),
        ageS,
        due > 0,
        due > 0 ? tenths(due - ageS) : 0,
        j.isGuaranteed(),
        j.consecutiveFailures(),
        f == null ? "" : f.cause().name(),
        f == null ? -1 : seconds(Math.max(0, now - f.sinceMs())),
        f == null || f.expectedEndMs() < 0 ? -1 : seconds(Math.max(0, f.expectedEndMs() - now)),
        f == null || f.zone() < 0 ? "" : zones.name(f.zone()),
        f == null ? "" : f.detail());
  }

  private static double seconds(long ms) {
    return tenths(ms / 1000.0);
  }

  private static double tenths(double d) {
    return Math.rint(d * 10) / 10;
  }

  /** The jobs' lines; those that wait first. */
  public List<JobLine> jobs() {
    return List.copyOf(jobs);
  }

  /** Open jobs beyond the listed ones. */
  public int jobsLeftOut() {
    return explainer.jobs().size() - jobs.size();
  }

  /** Waiting tasks alike in team, class and reason, most tasks first. */
  public List<ReasonLine> reasons() {
    return PendingCauseSummary.summarize(jobs);
  }

  /** The teams in the order of the settings. */
  public List<TeamLine> teams() {
    int[] waiting = new int[schedulerState.teams().size()];
    int[] running = new int[waiting.length];
    for (Job j : schedulerState.jobs()) {
      waiting[j.spec.team()] += j.pendingTaskCount();
      running[j.spec.team()] += j.runningCount();
    }
    List<TeamLine> out = new ArrayList<>();
    for (int t = 0; t < waiting.length; t++) {
      Team team = schedulerState.teams().get(t);
      out.add(
          new TeamLine(
              team.name,
              tenths(team.usedCpus()),
              team.guaranteedCpus(),
              Double.isInfinite(team.cpuLimit()) ? 0 : team.cpuLimit(),
              waiting[t],
              running[t]));
    }
    return out;
  }

  /** The zones in the order of the settings. */
  public List<ZoneLine> zones() {
    int[] machines = new int[zones.size()];
    int[] silent = new int[zones.size()];
    for (Machine m : schedulerState.machines()) {
      machines[m.zone]++;
      silent[m.zone] += explainer.isSilent(m, now) ? 1 : 0;
    }
    List<ZoneLine> out = new ArrayList<>();
    for (int z = 0; z < machines.length; z++) {
      long cutMs = schedulerState.health().failureDetector().partitionedForMs(z, now);
      out.add(
          new ZoneLine(
              zones.name(z),
              machines[z],
              silent[z],
              schedulerState.health().failureDetector().isPartitioned(z),
              seconds(cutMs)));
    }
    return out;
  }

  private static final class Sum {
    private int machines;
    private int booting;
    private int empty;
    private int silent;
    private int doubted;
    private int leaving;
    private double booked;
  }

  /** Machines by zone, type and kind, those there and those on their way. */
  public List<MachineLine> machines() {
    Object2ObjectLinkedOpenHashMap<MachineVariant, Sum> sums =
        new Object2ObjectLinkedOpenHashMap<>();
    for (Machine m : schedulerState.machines()) {
      Sum s = sums.computeIfAbsent(new MachineVariant(m.type, m.zone, m.spot), k -> new Sum());
      s.machines++;
      s.empty += m.isEmpty() ? 1 : 0;
      s.doubted += m.health.isSuspect() ? 1 : 0;
      StartRefusal no = schedulerState.machineRefusal(m, now);
      s.silent += explainer.isSilent(m, now) ? 1 : 0;
      s.leaving += no == StartRefusal.DRAINING_OR_FAILED ? 1 : 0;
      s.booked += m.type.cpus() - m.freeCpus();
    }
    for (PendingMachines c : supply.pendingMachines(now)) {
      sums.computeIfAbsent(c.variant(), k -> new Sum()).booting += c.count();
    }
    List<MachineLine> out = new ArrayList<>();
    sums.forEach(
        (v, s) -> {
          long refused = supply.refusedSinceMs(v);
          out.add(
              new MachineLine(
                  zones.name(v.zone()),
                  v.type().name(),
                  v.spot(),
                  s.machines,
                  s.booting,
                  s.empty,
                  s.silent,
                  s.doubted,
                  s.leaving,
                  s.machines * v.type().cpus(),
                  tenths(s.booked),
                  Math.rint((s.machines + s.booting) * v.type().price(v.spot()) * 100) / 100,
                  refused < 0 ? -1 : seconds(now - refused)));
        });
    out.sort(
        Comparator.comparing(MachineLine::zone)
            .thenComparing(MachineLine::type)
            .thenComparing(MachineLine::spot));
    return out;
  }

  /** Sums over these lines. */
  public Totals totals(List<TeamLine> teams, List<MachineLine> machines) {
    int starting = 0;
    for (JobLine j : jobs) {
      starting += j.starting();
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

  /** One job's tasks and where they are; its line is of the newest explanation, or null. */
  public JobSnapshot jobSnapshot(String id, long at) {
    Job job = schedulerState.job(id);
    if (job == null) {
      return new JobSnapshot(id, null, "", List.of(), 0);
    }
    now = at;
    PendingReason f = explainer.only(job, at);
    List<JobSnapshot.TaskLine> tasks = new ArrayList<>();
    int left = 0;
    for (int t = 0; t < job.spec.tasks(); t++) {
      Attempt a = job.liveAttempt(t);
      if (a == null) {
        continue;
      }
      if (tasks.size() == JobSnapshot.MAX_TASKS) {
        left++;
        continue;
      }
      Machine m = a.machine;
      tasks.add(
          new JobSnapshot.TaskLine(
              t,
              a.number,
              a.phase.name().toLowerCase(Locale.ROOT),
              m.name,
              m.type.name(),
              zones.name(m.zone),
              m.spot,
              explainer.isSilent(m, at),
              a.isStopping(),
              seconds(at - a.createdMs)));
    }
    return new JobSnapshot(id, line(job, f), f == null ? "" : f.cause().remedy(), tasks, left);
  }
}
