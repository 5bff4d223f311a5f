package org.mallowroad.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.Team;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.health.FleetHealth;
import org.mallowroad.core.health.HealthPolicy;
import org.mallowroad.core.image.ImageFetchPolicy;
import org.mallowroad.core.scheduling.TaskScheduler;

/**
 * How long a wave takes in which many machines want one image: the decisions themselves over a
 * ledger in virtual time, a source whose rate all share, workers that fetch from it or from each
 * other at a machine's rate. No I/O, no processor time.
 */
public final class ImageFetchWave {
  /** One wave to play. */
  public record Settings(
      int machines,
      int replicas,
      double imageGb,
      ImageFetchPolicy policy,
      boolean servesImages,
      boolean machinesFail) {}

  /** Seconds until the first, half and the last of the replicas run; source fetches. */
  public record Result(
      int firstRunningS, int halfRunningS, int allRunningS, long machinesCreated) {}

  private static final double RATE = 0.4;
  private static final int SLOTS = 2;
  private static final int MOST_S = 20_000;

  /** The source gives this many times what a machine can take. */
  private static final double SOURCE = 16;

  private static final class Worker {
    private final Machine machine;
    private double left;
    private boolean holds;
    private Worker imageSource;
    private int giving;
    private long sequence = 1;

    Worker(Machine machine) {
      this.machine = machine;
    }
  }

  private final Settings setting;
  private final SplittableRandom random;
  private final NameIndex zones = new NameIndex();
  private final SchedulerState schedulerState;
  private final TaskScheduler placement;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final MachineType type;
  private long now = 1_000;
  private int names;

  /** Over a setting and a seed. */
  public ImageFetchWave(Settings setting, long seed) {
    this.setting = setting;
    this.random = new SplittableRandom(seed);
    zones.intern("a");
    zones.intern("b");
    type = new MachineType(0, "t", SLOTS, 0, 64, 400, RATE, 1, 0.5, 30, new int[] {0, 1});
    schedulerState =
        new SchedulerState(
            1,
            60,
            2,
            List.of(new Team("t", 1e9, 0, 1e9, 0)),
            zones,
            new FleetHealth(HealthPolicy.defaults(), 2, 2, 0),
            setting.policy());
    placement = new TaskScheduler(schedulerState);
    for (int i = 0; i < setting.machines(); i++) {
      rise();
    }
  }

  private void rise() {
    Machine m = schedulerState.registerMachine("n-" + names, type, names % 2, false, now);
    names++;
    Worker w = new Worker(m);
    workers.put(m.name + ":1", w);
    report(w, Heartbeat.State.PULLING);
  }

  private List<WorkerCommand> report(Worker w, Heartbeat.State state) {
    List<Heartbeat.Entry> all = new ArrayList<>();
    for (Attempt a : w.machine.attempts()) {
      if (a.phase != Attempt.Phase.RECORDING && a.phase != Attempt.Phase.READY) {
        all.add(new Heartbeat.Entry(a.job.spec.id(), a.task, a.number, state, null));
      }
    }
    return said(w, all);
  }

  private List<WorkerCommand> said(Worker w, List<Heartbeat.Entry> all) {
    Machine m = w.machine;
    Heartbeat r =
        new Heartbeat(
            m.name,
            m.name + ":1",
            type.name(),
            zones.name(m.zone),
            false,
            1,
            w.sequence++,
            1,
            -1,
            all,
            setting.servesImages());
    return schedulerState.processHeartbeat(m, r, true, now);
  }

  /** Plays it until all replicas run. */
  public Result run() {
    JobSpec spec =
        new JobSpec(
            "job-1",
            0,
            0,
            true,
            false,
            2,
            setting.replicas(),
            1,
            0,
            1,
            0,
            setting.imageGb(),
            null,
            -1,
            false,
            false,
            true,
            0,
            0,
            0,
            0,
            0,
            JobDependencies.NONE);
    schedulerState.accept(spec, 1, 0, now);
    int first = -1;
    int half = -1;
    for (int s = 0; s < MOST_S; s++) {
      now += 1_000;
      if (setting.machinesFail() && half < 0 && s % 60 == 59) {
        fail();
      }
      placement.placeTasks(now);
      commit();
      tell();
      fetch();
      int running = 0;
      for (Machine m : schedulerState.machines()) {
        for (Attempt a : m.attempts()) {
          running += a.phase == Attempt.Phase.RUNNING ? 1 : 0;
        }
      }
      first = first < 0 && running > 0 ? s : first;
      half = half < 0 && 2 * running >= setting.replicas() ? s : half;
      if (running == setting.replicas()) {
        return new Result(first, half, s, names);
      }
    }
    return new Result(first, half, -1, names);
  }

  /** A holder dies, in the middle of giving if any does; another machine comes. */
  private void fail() {
    List<Worker> some = new ArrayList<>(workers.values());
    some.removeIf(w -> !w.holds);
    if (some.isEmpty()) {
      return;
    }
    some.sort((a, b) -> Integer.compare(b.giving, a.giving));
    Worker w = some.get(random.nextInt(Math.min(3, some.size())));
    workers.remove(w.machine.name + ":1");
    schedulerState.machineDeleted(w.machine, now);
    for (Worker t : workers.values()) {
      if (t.imageSource == w) {
        t.imageSource = null; // Falls back to the source, from where it was.
      }
    }
    rise();
  }

  private void commit() {
    for (AttemptRecord c : new ArrayList<>(schedulerState.dirtyRecords())) {
      List<Attempt> recorded = new ArrayList<>();
      for (int t = c.firstTask(); t < c.endTask(); t++) {
        if (c.job.liveAttempt(t) != null && c.job.liveAttempt(t).phase == Attempt.Phase.RECORDING) {
          recorded.add(c.job.liveAttempt(t));
        }
      }
      schedulerState.recordCommitted(c, 9, c.changeCount, recorded, now);
    }
  }

  /** Launches go to the workers, which begin to fetch. */
  private void tell() {
    for (Worker w : workers.values()) {
      List<WorkerCommand> commands =
          report(w, w.holds ? Heartbeat.State.RUNNING : Heartbeat.State.PULLING);
      boolean launched = false;
      for (WorkerCommand o : commands) {
        launched |= o.kind() == WorkerCommand.Kind.LAUNCH;
        if (o.kind() == WorkerCommand.Kind.LAUNCH && !w.holds && w.left <= 0) {
          w.left = setting.imageGb();
          for (String g : o.imageSources()) {
            Worker from = workers.get(g);
            if (w.imageSource == null && from != null && from.holds) {
              w.imageSource = from;
              from.giving++;
            }
          }
        }
      }
      if (launched) {
        List<Heartbeat.Entry> all = new ArrayList<>();
        Heartbeat.State s = w.holds ? Heartbeat.State.RUNNING : Heartbeat.State.PULLING;
        for (Attempt a : w.machine.attempts()) {
          if (a.phase != Attempt.Phase.RECORDING) {
            all.add(new Heartbeat.Entry(a.job.spec.id(), a.task, a.number, s, null));
          }
        }
        said(w, all);
      }
    }
  }

  private void fetch() {
    int atSource = 0;
    for (Worker w : workers.values()) {
      atSource += w.left > 0 && w.imageSource == null ? 1 : 0;
    }
    double share = RATE * Math.min(1, SOURCE / Math.max(1, atSource));
    for (Worker w : workers.values()) {
      if (w.left <= 0) {
        continue;
      }
      w.left -= w.imageSource == null ? share : RATE / Math.max(1, w.imageSource.giving);
      if (w.left <= 0) {
        w.holds = true;
        if (w.imageSource != null) {
          w.imageSource.giving--;
          w.imageSource = null;
        }
        report(w, Heartbeat.State.RUNNING);
      }
    }
  }

  /** The least time by physics: all that hold hand on at once, beside the source. */
  public static int lowerBoundS(Settings s) {
    int wanted = Math.min(s.machines(), (s.replicas() + SLOTS - 1) / SLOTS);
    double fetchS = s.imageGb() / RATE;
    double have = 0;
    int imageDistribution = 0;
    while (have < wanted) {
      have = s.servesImages() ? 2 * have + SOURCE : have + SOURCE;
      imageDistribution++;
    }
    return (int) Math.ceil(imageDistribution * fetchS);
  }
}
