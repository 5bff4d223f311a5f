package org.mallowroad.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Checks the rules of PROTOCOL while a simulation runs, and at its end whether jobs were served.
 * The checker sees only the answers to users and the tasks on machines, never the state of a
 * controller.
 */
public final class InvariantChecker {
  /** A job without an answer to its user for this long counts as forgotten, also during faults. */
  private static final long MAX_UNANSWERED_MS = 90_000;

  /** The stricter limit for the time after the end of the last fault. */
  private static final long MAX_UNANSWERED_AFTER_FAULTS_MS = 75_000;

  /** The time in which at least half of the largest jobs of each class must have started. */
  private static final long LARGEST_START_WITHIN_MS = 240_000;

  /** The largest jobs of a class are its largest tenth, at least one job. */
  private static final int LARGEST_JOBS_ONE_IN = 10;

  /**
   * A broken rule.
   *
   * @param rule name of the rule
   * @param ms virtual time in milliseconds at which the checker noticed it
   * @param what description of the violation
   * @param events earlier events of the job concerned, each with its time; empty without a job
   */
  public record Breach(String rule, long ms, String what, List<String> events) {}

  /**
   * The fields of a submitted job that the rules need.
   *
   * @param id name of the job
   * @param team team whose limit the job's tasks count against
   * @param taskClass class by which served jobs are counted
   * @param taskCount number of tasks
   * @param cpusPerTask CPUs that each task uses
   * @param zone zone in which the tasks must run, or null for any
   * @param sameZone whether all tasks must run in one zone
   * @param gang whether all tasks must start together
   * @param submittedMs time of the first submission in milliseconds
   */
  public record SubmittedJob(
      String id,
      String team,
      String taskClass,
      int taskCount,
      double cpusPerTask,
      String zone,
      boolean sameZone,
      boolean gang,
      long submittedMs) {}

  private static final class Job {
    private final SubmittedJob spec;
    private boolean accepted;
    private boolean cancellationRequested;
    private long toldCancelledMs = -1;
    private long toldDoneMs = -1;
    private long firstQueryMs = -1;
    private long lastAnswerMs = -1;
    private long startedMs = -1;
    private final Set<Integer> completedTasks = new HashSet<>();
    private final Set<String> startedTasks = new HashSet<>();
    private final Map<String, String> machineByTask = new LinkedHashMap<>();
    private final List<String> events = new ArrayList<>();

    Job(SubmittedJob spec) {
      this.spec = spec;
    }
  }

  private final LongSupplier clock;
  private final Map<String, Double> cpuLimits;
  private final long cancellationLimitMs;
  private final Map<String, Job> jobs = new TreeMap<>();
  private final Map<String, Double> usedCpus = new TreeMap<>();
  private final Map<String, Set<String>> tasksByMachine = new TreeMap<>();
  private final List<Breach> breaches = new ArrayList<>();
  private Consumer<String> onStart = job -> {};
  private Consumer<String> onCompleted = job -> {};
  private long startsAfterCancellation;
  private long longestRunAfterCancellationMs;
  private long lastFaultEndMs = Long.MAX_VALUE / 2;
  private long startedTasks;
  private long killedTasks;
  private long longestRecoveryMs;
  private long longestSilenceMs;

  /**
   * Creates a checker.
   *
   * @param clock virtual time in milliseconds
   * @param cpuLimits each team's limit in CPUs
   * @param cancellationLimitMs time after which no task of a cancelled job may run or start,
   *     counted from when its user was told of the cancellation
   */
  public InvariantChecker(
      LongSupplier clock, Map<String, Double> cpuLimits, long cancellationLimitMs) {
    this.clock = clock;
    this.cpuLimits = Map.copyOf(cpuLimits);
    this.cancellationLimitMs = cancellationLimitMs;
  }

  private static String jobId(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  private void addEvent(Job job, String event) {
    job.events.add(clock.getAsLong() + " " + event);
  }

  private void reportBreach(Job job, String rule, String description) {
    if (breaches.size() < 20) {
      breaches.add(
          new Breach(
              rule,
              clock.getAsLong(),
              description,
              job == null ? List.of() : List.copyOf(job.events)));
    }
  }

  /** Sets the virtual time in milliseconds at which the last fault ends. */
  public void setLastFaultEndMs(long ms) {
    lastFaultEndMs = ms;
  }

  /** Call before a user submits a job for the first time. */
  public void observeFirstSubmission(SubmittedJob spec) {
    jobs.put(spec.id(), new Job(spec));
  }

  /** Call before a user requests the cancellation of a job. */
  public void observeCancellationRequest(String id) {
    Job job = jobs.get(id);
    if (job.toldDoneMs >= 0) {
      job.lastAnswerMs = clock.getAsLong(); // No poll was sent since the user was told.
    }
    job.cancellationRequested = true;
    addEvent(jobs.get(id), "cancellation requested");
  }

  /** Call when a user got an answer to a submission that was sent at {@code sentMs}. */
  public void observeSubmissionAnswer(String id, int status, String jobStatus, long sentMs) {
    Job job = jobs.get(id);
    if (status == 200 || status == 201) {
      if (!job.accepted) {
        addEvent(job, "accepted");
      }
      job.accepted = true;
      observeJobStatus(job, jobStatus, sentMs);
    } else if (job.accepted && (status == 400 || status == 422)) {
      reportBreach(job, "forgotten", id + " got " + status + " when it was submitted again");
    }
  }

  /** Call before a user polls a job; only the first call for a job has an effect. */
  public void observeQuery(String id) {
    Job job = jobs.get(id);
    if (job != null && job.firstQueryMs < 0) {
      job.firstQueryMs = clock.getAsLong();
    }
  }

  /** Call when a user got an answer to a query or cancellation that was sent at {@code sentMs}. */
  public void observeJobAnswer(String id, int status, String jobStatus, long sentMs) {
    Job job = jobs.get(id);
    if (job == null) {
      if (status == 200) {
        reportBreach(null, "invented", id + " was never submitted but is reported as " + jobStatus);
      }
      return;
    }
    if (status == 404 && job.accepted) {
      reportBreach(job, "forgotten", id + " was accepted, but a query got 404");
    }
    if (status == 200) {
      long silenceMs = clock.getAsLong() - Math.max(job.firstQueryMs, job.lastAnswerMs);
      if (job.accepted && job.firstQueryMs >= 0 && silenceMs >= MAX_UNANSWERED_MS) {
        reportBreach(job, "forgotten", id + " had no answer for " + silenceMs + " ms");
      }
      // Counted from the end of the last fault, or from the last answer if that came later.
      long silenceAfterFaultsMs =
          clock.getAsLong()
              - Math.max(lastFaultEndMs, Math.max(job.firstQueryMs, job.lastAnswerMs));
      if (job.accepted
          && job.firstQueryMs >= 0
          && !job.cancellationRequested
          && silenceAfterFaultsMs >= MAX_UNANSWERED_AFTER_FAULTS_MS) {
        reportBreach(
            job,
            "forgotten",
            id + " had no answer for " + silenceAfterFaultsMs + " ms after the last fault");
      }
      if (silenceAfterFaultsMs > 0 && job.toldDoneMs < 0 && job.toldCancelledMs < 0) {
        longestRecoveryMs = Math.max(longestRecoveryMs, silenceAfterFaultsMs);
      }
      if (job.firstQueryMs >= 0 && job.toldDoneMs < 0 && job.toldCancelledMs < 0) {
        longestSilenceMs = Math.max(longestSilenceMs, silenceMs);
      }
      job.lastAnswerMs = clock.getAsLong();
      observeJobStatus(job, jobStatus, sentMs);
    }
  }

  private void observeJobStatus(Job job, String jobStatus, long sentMs) {
    if (jobStatus.equals("done")) {
      if (job.toldCancelledMs >= 0) {
        reportBreach(
            job,
            "went_back",
            job.spec.id + " was reported as withdrawn and is now reported as done");
      }
      if (job.completedTasks.size() < job.spec.taskCount) {
        reportBreach(
            job,
            "not_done",
            job.spec.id + " is reported as done, completed tasks: " + job.completedTasks.size());
      }
      if (job.toldDoneMs < 0) {
        job.toldDoneMs = clock.getAsLong();
        addEvent(job, "user was told: done");
      }
    } else if (jobStatus.equals("withdrawn")) {
      if (job.toldDoneMs >= 0 || !job.cancellationRequested) {
        reportBreach(
            job,
            "went_back",
            job.spec.id + " is reported as withdrawn after its end or without a request");
      }
      if (job.toldCancelledMs < 0) {
        job.toldCancelledMs = clock.getAsLong();
        addEvent(job, "user was told: withdrawn");
      }
    } else if ((job.toldDoneMs >= 0 && job.toldDoneMs < sentMs)
        || (job.toldCancelledMs >= 0 && job.toldCancelledMs < sentMs)) {
      // A request sent before any user was told the end may still be answered with the earlier
      // status.
      reportBreach(
          job,
          "went_back",
          job.spec.id + " was reported as ended and is now reported as " + jobStatus);
    }
  }

  /** Sets a listener that gets the job id of each task start before the start is checked. */
  void onStart(Consumer<String> listener) {
    this.onStart = listener;
  }

  /** Sets a listener that gets the id of each job when its last task completes. */
  void onCompleted(Consumer<String> listener) {
    this.onCompleted = listener;
  }

  /** Call when a submission that is malformed or can never run was answered. */
  void observeInvalidSubmissionAnswer(String defect, int status) {
    if (status == 200 || status == 201) {
      reportBreach(null, "accepted_invalid", defect + " got " + status);
    }
  }

  /** Returns the longest time that a task stayed on a machine after its user's cancellation. */
  long longestRunAfterCancellationMs() {
    return longestRunAfterCancellationMs;
  }

  /** Returns how many jobs were reported to their users as cancelled. */
  int cancelledJobs() {
    return (int) jobs.values().stream().filter(job -> job.toldCancelledMs >= 0).count();
  }

  /** Returns how many jobs were reported to their users as done. */
  int completedJobs() {
    return (int) jobs.values().stream().filter(job -> job.toldDoneMs >= 0).count();
  }

  /** Returns how many tasks started after their job was reported to the user as cancelled. */
  long startsAfterCancellation() {
    return startsAfterCancellation;
  }

  /**
   * Returns the jobs that have a task on a machine and whose cancellation was not requested, each
   * with the machines of its tasks.
   */
  Map<String, Set<String>> runningJobs() {
    Map<String, Set<String>> result = new TreeMap<>();
    for (Job job : jobs.values()) {
      if (job.accepted
          && !job.cancellationRequested
          && job.toldDoneMs < 0
          && !job.machineByTask.isEmpty()) {
        result.put(job.spec.id, new TreeSet<>(job.machineByTask.values()));
      }
    }
    return result;
  }

  /**
   * Returns the accepted jobs that were neither cancelled by their users nor reported to them as
   * ended, each with the indexes of its completed tasks.
   */
  Map<SubmittedJob, Set<Integer>> unfinishedJobs() {
    Map<SubmittedJob, Set<Integer>> result = new LinkedHashMap<>();
    for (Job job : jobs.values()) {
      if (job.accepted
          && !job.cancellationRequested
          && job.toldDoneMs < 0
          && job.toldCancelledMs < 0) {
        result.put(job.spec, job.completedTasks);
      }
    }
    return result;
  }

  /** Returns the CPUs that a team may still use below its limit. */
  double unusedCpus(String team) {
    return cpuLimits.get(team) - usedCpus.getOrDefault(team, 0.0);
  }

  /** Adds a violation of a rule that another model checks. */
  void reportBreach(String rule, String description) {
    reportBreach(null, rule, description);
  }

  /** Returns the CPUs that a task uses, or 0 if its job is unknown. */
  double taskCpus(String task) {
    Job job = jobs.get(jobId(task));
    return job == null ? 0 : job.spec.cpusPerTask;
  }

  /** Returns whether the job was reported to its user as done or cancelled. */
  boolean isEnded(String id) {
    Job job = jobs.get(id);
    return job != null && (job.toldDoneMs >= 0 || job.toldCancelledMs >= 0);
  }

  /** Returns whether a submission of the job was accepted. */
  boolean isAccepted(String id) {
    return jobs.containsKey(id) && jobs.get(id).accepted;
  }

  /** Call when a task has fetched its image and starts on a machine. */
  public void observeTaskStart(String task, int attempt, String machine, String zone) {
    Job job = jobs.get(jobId(task));
    onStart.accept(jobId(task));
    addEvent(job, "starts " + task + " attempt " + attempt + " on " + machine);
    startedTasks++;
    String otherMachine = job.machineByTask.get(task);
    if (otherMachine != null) {
      reportBreach(
          job, "ran_twice", task + " starts on " + machine + " while it runs on " + otherMachine);
    }
    startsAfterCancellation += job.toldCancelledMs >= 0 ? 1 : 0;
    if (job.toldCancelledMs >= 0 && clock.getAsLong() > job.toldCancelledMs + cancellationLimitMs) {
      reportBreach(
          job, "ran_cancelled", task + " starts after the time limit of its job's cancellation");
    }
    if (job.spec.zone != null && !job.spec.zone.equals(zone)) {
      reportBreach(job, "wrong_place", task + " starts in " + zone);
    }
    if (job.spec.sameZone) {
      for (String machineOfTask : job.machineByTask.values()) {
        if (!zone.equals(zoneByMachine.get(machineOfTask))) {
          reportBreach(
              job,
              "wrong_place",
              task + " starts in " + zone + ", other tasks of its job run in another zone");
        }
      }
    }
    zoneByMachine.put(machine, zone);
    job.machineByTask.put(task, machine);
    job.startedTasks.add(task);
    if (job.startedMs < 0
        && job.startedTasks.size() >= Math.min(job.spec.taskCount, maxConcurrentTasks(job.spec))) {
      job.startedMs = clock.getAsLong();
    }
    tasksByMachine.computeIfAbsent(machine, k -> new LinkedHashSet<>()).add(task);
    double teamCpus = usedCpus.merge(job.spec.team, job.spec.cpusPerTask, Double::sum);
    if (teamCpus > cpuLimits.get(job.spec.team) + 1e-6) {
      reportBreach(job, "quota", job.spec.team + " exceeds its limit, CPUs in use: " + teamCpus);
    }
  }

  private final Map<String, String> zoneByMachine = new TreeMap<>();

  private void removeFromMachine(Job job, String task, String machine, String reason) {
    if (job.machineByTask.remove(task, machine)) {
      addEvent(job, reason + " " + task + " on " + machine);
      if (job.toldCancelledMs >= 0) {
        longestRunAfterCancellationMs =
            Math.max(longestRunAfterCancellationMs, clock.getAsLong() - job.toldCancelledMs);
      }
      tasksByMachine.get(machine).remove(task);
      usedCpus.merge(job.spec.team, -job.spec.cpusPerTask, Double::sum);
    }
  }

  /** Call when a task ends on a machine, either completed or stopped. */
  public void observeTaskExit(String task, String machine, boolean done) {
    Job job = jobs.get(jobId(task));
    removeFromMachine(job, task, machine, done ? "done" : "stopped");
    if (done
        && job.completedTasks.add(Integer.parseInt(task.substring(task.lastIndexOf('/') + 1)))
        && job.completedTasks.size() == job.spec.taskCount) {
      onCompleted.accept(job.spec.id);
    }
  }

  /** Call when a worker kills a task because its lease ran out. */
  public void observeTaskKilledByLease(String task, String machine) {
    killedTasks++;
    removeFromMachine(jobs.get(jobId(task)), task, machine, "killed by the worker's lease");
  }

  /** Call when a machine is gone together with all its tasks. */
  public void observeMachineGone(String machine, String reason) {
    for (String task : List.copyOf(tasksByMachine.getOrDefault(machine, Set.of()))) {
      removeFromMachine(jobs.get(jobId(task)), task, machine, reason);
    }
  }

  /** Checks that no task of a cancelled job runs past the limit; call once a second. */
  public void checkCancelledJobs() {
    for (Job job : jobs.values()) {
      if (job.toldCancelledMs >= 0
          && clock.getAsLong() > job.toldCancelledMs + cancellationLimitMs
          && !job.machineByTask.isEmpty()) {
        reportBreach(
            job,
            "ran_cancelled",
            job.machineByTask + " still run after the time limit of the cancellation");
        job.toldCancelledMs = clock.getAsLong(); // Reports the violation once, not every second.
      }
    }
  }

  /**
   * Checks at the end that tasks ran, that every accepted job got an end and answers, and that at
   * least half of the jobs of each class and team were served and half of the largest jobs of each
   * class started in time. A job is served if its user was told its end within {@code
   * servedWithinMs} of the first submission.
   */
  public void checkAtEnd(long servedWithinMs) {
    if (startedTasks == 0) {
      reportBreach(null, "nothing_ran", "no task was started");
    }
    for (Job job : jobs.values()) {
      long unansweredSinceMs =
          Math.max(lastFaultEndMs, Math.max(job.firstQueryMs, job.lastAnswerMs));
      if (job.accepted
          && job.toldDoneMs < 0
          && job.toldCancelledMs < 0
          && clock.getAsLong() - unansweredSinceMs >= MAX_UNANSWERED_AFTER_FAULTS_MS) {
        reportBreach(
            job, "forgotten", job.spec.id + " has had no answer since ms " + job.lastAnswerMs);
      }
      if (job.accepted && job.toldDoneMs < 0 && job.toldCancelledMs < 0) {
        reportBreach(
            job,
            "stuck",
            job.spec.id
                + " was accepted but not reported as ended; tasks on machines: "
                + job.machineByTask);
      }
    }
    for (Map.Entry<String, double[]> entry : largestJobsStarted().entrySet()) {
      if (2 * entry.getValue()[0] < entry.getValue()[1]) {
        reportBreach(
            null,
            "begun",
            entry.getKey() + ": " + (int) entry.getValue()[0] + " of " + (int) entry.getValue()[1]);
      }
    }
    for (Map.Entry<String, double[]> entry : servedCounts(servedWithinMs).entrySet()) {
      if (2 * entry.getValue()[0] < entry.getValue()[1]) {
        reportBreach(
            null,
            "served",
            entry.getKey() + ": " + (int) entry.getValue()[0] + " of " + (int) entry.getValue()[1]);
      }
    }
  }

  /** Returns the numbers of served and of submitted jobs for each class and each team. */
  public Map<String, double[]> servedCounts(long servedWithinMs) {
    Map<String, double[]> result = new TreeMap<>();
    for (Job job : jobs.values()) {
      long endMs = Math.max(job.toldDoneMs, job.toldCancelledMs);
      for (String key : List.of("class " + job.spec.taskClass, "team " + job.spec.team)) {
        double[] counts = result.computeIfAbsent(key, k -> new double[2]);
        counts[0] += endMs >= 0 && endMs - job.spec.submittedMs <= servedWithinMs ? 1 : 0;
        counts[1]++;
      }
    }
    return result;
  }

  private int maxConcurrentTasks(SubmittedJob spec) {
    return (int) Math.floor((cpuLimits.get(spec.team()) + 1e-6) / spec.cpusPerTask());
  }

  /**
   * Returns for each class how many of its largest jobs started in time, and how many are due. A
   * job has started once all its tasks did, or as many as its team's limit allows at a time.
   */
  public Map<String, double[]> largestJobsStarted() {
    Map<String, List<Job>> byClass = new TreeMap<>();
    for (Job job : jobs.values()) {
      boolean due =
          job.startedMs >= 0 || clock.getAsLong() - job.spec.submittedMs > LARGEST_START_WITHIN_MS;
      if (job.accepted && !job.cancellationRequested && due) {
        byClass.computeIfAbsent("largest " + job.spec.taskClass, k -> new ArrayList<>()).add(job);
      }
    }
    Map<String, double[]> result = new TreeMap<>();
    byClass.forEach(
        (key, classJobs) -> {
          classJobs.sort(Comparator.comparingInt((Job job) -> -job.spec.taskCount));
          double[] counts = new double[2];
          for (Job job :
              classJobs.subList(0, Math.max(1, classJobs.size() / LARGEST_JOBS_ONE_IN))) {
            counts[0] +=
                job.startedMs >= 0
                        && job.startedMs - job.spec.submittedMs <= LARGEST_START_WITHIN_MS
                    ? 1
                    : 0;
            counts[1]++;
          }
          result.put(key, counts);
        });
    return result;
  }

  /** Returns how many accepted jobs were not reported to their users as ended. */
  public int unfinishedJobCount() {
    int count = 0;
    for (Job job : jobs.values()) {
      count += job.accepted && job.toldDoneMs < 0 && job.toldCancelledMs < 0 ? 1 : 0;
    }
    return count;
  }

  /** Returns the violations in the order in which they were found, at most 20. */
  public List<Breach> breaches() {
    return breaches;
  }

  /** Returns how many tasks have started, repeated starts included. */
  public long startedTasks() {
    return startedTasks;
  }

  /** Returns the longest time in milliseconds that a user had no answer about a job. */
  public long longestSilenceMs() {
    return longestSilenceMs;
  }

  /** Returns the longest time that a user had no answer after the end of the last fault. */
  public long longestRecoveryMs() {
    return longestRecoveryMs;
  }

  /** Returns how many tasks were killed because their worker's lease ran out. */
  public long killedTasks() {
    return killedTasks;
  }
}
