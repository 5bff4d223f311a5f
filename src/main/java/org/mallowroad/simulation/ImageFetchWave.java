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
 * Simulates in virtual time how long it takes until all replicas of a job run when many machines
 * need the same image at once. The scheduler and its state are the real ones. Workers fetch from a
 * source whose rate they share, or from each other at the rate of one machine. I/O and processor
 * time are not simulated.
 */
public final class ImageFetchWave {
  /**
   * The parameters of one wave.
   *
   * @param machines number of machines
   * @param replicas number of tasks that need the image
   * @param imageGb size of the image in GB
   * @param policy limits of image fetches
   * @param servesImages whether machines serve the image to each other
   * @param machinesFail whether a machine that has the image fails every minute until half of the
   *     replicas run
   */
  public record Settings(
      int machines,
      int replicas,
      double imageGb,
      ImageFetchPolicy policy,
      boolean servesImages,
      boolean machinesFail) {}

  /**
   * The outcome of one wave.
   *
   * @param firstRunningS seconds until a replica runs
   * @param halfRunningS seconds until half of the replicas run
   * @param allRunningS seconds until all replicas run, or -1 if the wave did not end in time
   * @param machinesCreated number of machines, replacements of failed ones included
   */
  public record Result(
      int firstRunningS, int halfRunningS, int allRunningS, long machinesCreated) {}

  private static final double MACHINE_GB_PER_S = 0.4;
  private static final int SLOTS_PER_MACHINE = 2;
  private static final int MAX_DURATION_S = 20_000;

  /** Rate of the source as a multiple of the rate of one machine. */
  private static final double SOURCE_RATE_MULTIPLE = 16;

  private static final class Worker {
    private final Machine machine;
    private double remainingGb;
    private boolean hasImage;
    private Worker imageSource;
    private int activeServes;
    private long sequence = 1;

    Worker(Machine machine) {
      this.machine = machine;
    }
  }

  private final Settings settings;
  private final SplittableRandom random;
  private final NameIndex zones = new NameIndex();
  private final SchedulerState schedulerState;
  private final TaskScheduler scheduler;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final MachineType type;
  private long nowMs = 1_000;
  private int machineCount;

  /** Creates a wave whose random choices depend on the seed only. */
  public ImageFetchWave(Settings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    zones.intern("a");
    zones.intern("b");
    type =
        new MachineType(
            0, "t", SLOTS_PER_MACHINE, 0, 64, 400, MACHINE_GB_PER_S, 1, 0.5, 30, new int[] {0, 1});
    schedulerState =
        new SchedulerState(
            1,
            60,
            2,
            List.of(new Team("t", 1e9, 0, 1e9, 0)),
            zones,
            new FleetHealth(HealthPolicy.defaults(), 2, 2, 0),
            settings.policy());
    scheduler = new TaskScheduler(schedulerState);
    for (int i = 0; i < settings.machines(); i++) {
      addMachine();
    }
  }

  private void addMachine() {
    Machine machine =
        schedulerState.registerMachine("n-" + machineCount, type, machineCount % 2, false, nowMs);
    machineCount++;
    Worker worker = new Worker(machine);
    workers.put(machine.name + ":1", worker);
    reportAttempts(worker, Heartbeat.State.PULLING);
  }

  private List<WorkerCommand> reportAttempts(Worker worker, Heartbeat.State state) {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    for (Attempt attempt : worker.machine.attempts()) {
      if (attempt.phase != Attempt.Phase.RECORDING && attempt.phase != Attempt.Phase.READY) {
        entries.add(
            new Heartbeat.Entry(attempt.job.spec.id(), attempt.task, attempt.number, state, null));
      }
    }
    return sendHeartbeat(worker, entries);
  }

  private List<WorkerCommand> sendHeartbeat(Worker worker, List<Heartbeat.Entry> entries) {
    Machine machine = worker.machine;
    Heartbeat heartbeat =
        new Heartbeat(
            machine.name,
            machine.name + ":1",
            type.name(),
            zones.name(machine.zone),
            false,
            1,
            worker.sequence++,
            1,
            -1,
            entries,
            settings.servesImages());
    return schedulerState.processHeartbeat(machine, heartbeat, true, nowMs);
  }

  /** Runs until all replicas run or the time limit is reached. */
  public Result run() {
    JobSpec spec =
        new JobSpec(
            "job-1",
            0,
            0,
            true,
            false,
            2,
            settings.replicas(),
            1,
            0,
            1,
            0,
            settings.imageGb(),
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
    schedulerState.accept(spec, 1, 0, nowMs);
    int firstRunningS = -1;
    int halfRunningS = -1;
    for (int second = 0; second < MAX_DURATION_S; second++) {
      nowMs += 1_000;
      if (settings.machinesFail() && halfRunningS < 0 && second % 60 == 59) {
        failHolder();
      }
      scheduler.placeTasks(nowMs);
      commitRecords();
      deliverCommands();
      advanceFetches();
      int running = 0;
      for (Machine machine : schedulerState.machines()) {
        for (Attempt attempt : machine.attempts()) {
          running += attempt.phase == Attempt.Phase.RUNNING ? 1 : 0;
        }
      }
      firstRunningS = firstRunningS < 0 && running > 0 ? second : firstRunningS;
      halfRunningS = halfRunningS < 0 && 2 * running >= settings.replicas() ? second : halfRunningS;
      if (running == settings.replicas()) {
        return new Result(firstRunningS, halfRunningS, second, machineCount);
      }
    }
    return new Result(firstRunningS, halfRunningS, -1, machineCount);
  }

  /**
   * Removes one of the three machines with the image that serve the most others, and adds a new
   * machine.
   */
  private void failHolder() {
    List<Worker> holders = new ArrayList<>(workers.values());
    holders.removeIf(failed -> !failed.hasImage);
    if (holders.isEmpty()) {
      return;
    }
    holders.sort((a, b) -> Integer.compare(b.activeServes, a.activeServes));
    Worker failed = holders.get(random.nextInt(Math.min(3, holders.size())));
    workers.remove(failed.machine.name + ":1");
    schedulerState.machineDeleted(failed.machine, nowMs);
    for (Worker other : workers.values()) {
      if (other.imageSource == failed) {
        other.imageSource = null; // Fetches the rest from the source.
      }
    }
    addMachine();
  }

  private void commitRecords() {
    for (AttemptRecord record : new ArrayList<>(schedulerState.dirtyRecords())) {
      List<Attempt> recorded = new ArrayList<>();
      for (int task = record.firstTask(); task < record.endTask(); task++) {
        if (record.job.liveAttempt(task) != null
            && record.job.liveAttempt(task).phase == Attempt.Phase.RECORDING) {
          recorded.add(record.job.liveAttempt(task));
        }
      }
      schedulerState.recordCommitted(record, 9, record.changeCount, recorded, nowMs);
    }
  }

  /** Delivers the pending commands; workers with a launch begin to fetch the image. */
  private void deliverCommands() {
    for (Worker worker : workers.values()) {
      List<WorkerCommand> commands =
          reportAttempts(
              worker, worker.hasImage ? Heartbeat.State.RUNNING : Heartbeat.State.PULLING);
      boolean launched = false;
      for (WorkerCommand command : commands) {
        launched |= command.kind() == WorkerCommand.Kind.LAUNCH;
        if (command.kind() == WorkerCommand.Kind.LAUNCH
            && !worker.hasImage
            && worker.remainingGb <= 0) {
          worker.remainingGb = settings.imageGb();
          for (String address : command.imageSources()) {
            Worker source = workers.get(address);
            if (worker.imageSource == null && source != null && source.hasImage) {
              worker.imageSource = source;
              source.activeServes++;
            }
          }
        }
      }
      if (launched) {
        List<Heartbeat.Entry> entries = new ArrayList<>();
        Heartbeat.State state = worker.hasImage ? Heartbeat.State.RUNNING : Heartbeat.State.PULLING;
        for (Attempt attempt : worker.machine.attempts()) {
          if (attempt.phase != Attempt.Phase.RECORDING) {
            entries.add(
                new Heartbeat.Entry(
                    attempt.job.spec.id(), attempt.task, attempt.number, state, null));
          }
        }
        sendHeartbeat(worker, entries);
      }
    }
  }

  private void advanceFetches() {
    int atSource = 0;
    for (Worker worker : workers.values()) {
      atSource += worker.remainingGb > 0 && worker.imageSource == null ? 1 : 0;
    }
    double sourceGbPerS =
        MACHINE_GB_PER_S * Math.min(1, SOURCE_RATE_MULTIPLE / Math.max(1, atSource));
    for (Worker worker : workers.values()) {
      if (worker.remainingGb <= 0) {
        continue;
      }
      worker.remainingGb -=
          worker.imageSource == null
              ? sourceGbPerS
              : MACHINE_GB_PER_S / Math.max(1, worker.imageSource.activeServes);
      if (worker.remainingGb <= 0) {
        worker.hasImage = true;
        if (worker.imageSource != null) {
          worker.imageSource.activeServes--;
          worker.imageSource = null;
        }
        reportAttempts(worker, Heartbeat.State.RUNNING);
      }
    }
  }

  /**
   * Returns a lower bound in seconds for a wave: in each round, the time of one fetch at a
   * machine's full rate, the source and every machine that has the image serve as many others as
   * they can.
   */
  public static int lowerBoundS(Settings settings) {
    int machinesNeeded =
        Math.min(
            settings.machines(), (settings.replicas() + SLOTS_PER_MACHINE - 1) / SLOTS_PER_MACHINE);
    double fetchS = settings.imageGb() / MACHINE_GB_PER_S;
    double machinesWithImage = 0;
    int rounds = 0;
    while (machinesWithImage < machinesNeeded) {
      machinesWithImage =
          settings.servesImages()
              ? 2 * machinesWithImage + SOURCE_RATE_MULTIPLE
              : machinesWithImage + SOURCE_RATE_MULTIPLE;
      rounds++;
    }
    return (int) Math.ceil(rounds * fetchS);
  }
}
