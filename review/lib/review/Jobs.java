package review;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The descriptions of jobs that users have uploaded, and what ran where. */
final class Jobs {
  /** One job: the submission, and how long its tasks really run. */
  static final class Job {
    final String id;
    final Map<String, Object> submission;
    final double runS;
    volatile boolean submitted;
    volatile boolean accepted;
    volatile long acceptedNs;
    volatile boolean cancelConfirmed;
    volatile long cancelConfirmedNs;
    volatile boolean calledDone;
    volatile long lastAnswerNs = System.nanoTime();

    /** How many of the next starts end with `error`. */
    final java.util.concurrent.atomic.AtomicInteger errors =
        new java.util.concurrent.atomic.AtomicInteger();

    volatile long lastErrorNs;

    Job(String id, Map<String, Object> submission, double runS) {
      this.id = id;
      this.submission = submission;
      this.runS = runS;
    }

    int tasks() {
      return (int) Json.num(submission, "moves");
    }
  }

  private final Recorder record;
  private final Settings settings;
  final Map<String, Job> jobs = new ConcurrentHashMap<>();

  /** Task name to the machine that it is on. */
  private final Map<String, String> onMachine = new ConcurrentHashMap<>();

  /** Tasks that have completed on some machine. */
  final java.util.Set<String> completed = ConcurrentHashMap.newKeySet();

  final java.util.concurrent.atomic.AtomicLong starts = new java.util.concurrent.atomic.AtomicLong();

  Jobs(Settings settings, Recorder record) {
    this.settings = settings;
    this.record = record;
  }

  /** A submission as in PROTOCOL-mallowroad.md. */
  Job create(
      int number, String team, String docket, String rank, int tasks, double cpus, double memGb,
      double runS) {
    String id = String.format("job-%06d", number);
    Job job =
        new Job(
            id,
            Json.of(
                "name_id", id, "docket", docket, "crew", team, "form", "sweep", "rank", rank,
                "moves", (long) tasks, "cpus", cpus, "cards", 0.0, "mem_gb", memGb, "kit", "img-01",
                "size_gb", 0.5, "builds", null, "ground", null, "together", false, "scatter", false,
                "driftwood", true, "reckon_s", runS, "cairn_s", 0.0, "stow_s", 0.0, "due_s", null),
            runS);
    jobs.put(id, job);
    return job;
  }

  static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** A task has its image and starts on a machine. */
  synchronized void started(String task, int attempt, String machine) {
    starts.incrementAndGet();
    Job job = jobs.get(jobOf(task));
    String other = onMachine.put(task, machine);
    record.log(machine, "start " + task + " try " + attempt);
    if (other != null && !other.equals(machine)) {
      record.violation("ran_twice: " + task + " starts on " + machine + " while on " + other);
    }
    if (job.cancelConfirmed
        && System.nanoTime() - job.cancelConfirmedNs > settings.cancelS * 1e9) {
      record.violation("ran_cancelled: " + task + " starts on " + machine);
    }
  }

  synchronized void left(String task, String machine) {
    onMachine.remove(task, machine);
  }

  /** Tasks that are on a machine more than cancel_s after their user was told. */
  synchronized void checkCancelled() {
    onMachine.forEach(
        (task, machine) -> {
          Job job = jobs.get(jobOf(task));
          if (job.cancelConfirmed
              && System.nanoTime() - job.cancelConfirmedNs > settings.cancelS * 1e9) {
            record.violation("ran_cancelled: " + task + " is on " + machine);
          }
        });
  }

  long completedTasks(Job job) {
    return completed.stream().filter(task -> jobOf(task).equals(job.id)).count();
  }
}
