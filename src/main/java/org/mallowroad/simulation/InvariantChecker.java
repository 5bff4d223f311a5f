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
 * Judges a history by the rules of PROTOCOL as it happens, and by who was served. It sees what
 * users were told and what is on the machines, and nothing of what the controllers believe.
 */
public final class InvariantChecker {
  /** A poll's failures of so long, while most others are answered, count as forgotten. */
  private static final long FORGOTTEN_MS = 90_000;

  /** Once all troubles are over a job's questions may stay unanswered for so long, no longer. */
  private static final long FORGOTTEN_AFTER_MS = 75_000;

  /** The largest jobs of a class have to begin by then as well. */
  private static final long BEGIN_MS = 240_000;

  /** The largest tenth of a class's jobs, at least one. */
  private static final int LARGEST_OF = 10;

  /** A broken rule with what led to it. */
  public record Breach(String rule, long ms, String what, List<String> events) {}

  /** What users submit, as far as rules need it. */
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
    private boolean cancelAsked;
    private long cancelledMs = -1;
    private long doneMs = -1;
    private long askedMs = -1;
    private long lastAnswerMs = -1;
    private long begunMs = -1;
    private final Set<Integer> completed = new HashSet<>();
    private final Set<String> seen = new HashSet<>();
    private final Map<String, String> on = new LinkedHashMap<>();
    private final List<String> events = new ArrayList<>();

    Job(SubmittedJob spec) {
      this.spec = spec;
    }
  }

  private final LongSupplier now;
  private final Map<String, Double> limits;
  private final long cancelMs;
  private final Map<String, Job> jobs = new TreeMap<>();
  private final Map<String, Double> used = new TreeMap<>();
  private final Map<String, Set<String>> machines = new TreeMap<>();
  private final List<Breach> breaches = new ArrayList<>();
  private Consumer<String> onStart = j -> {};
  private Consumer<String> onCompleted = j -> {};
  private long startsAfterCancellation;
  private long longestRunAfterCancellationMs;
  private long calmMs = Long.MAX_VALUE / 2;
  private long startedTasks;
  private long killedTasks;
  private long longestRecoveryMs;
  private long longestSilenceMs;

  /** For teams with limits in CPUs. */
  public InvariantChecker(LongSupplier now, Map<String, Double> limits, long cancelMs) {
    this.now = now;
    this.limits = Map.copyOf(limits);
    this.cancelMs = cancelMs;
  }

  private static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  private void note(Job j, String what) {
    j.events.add(now.getAsLong() + " " + what);
  }

  private void reportBreach(Job j, String rule, String what) {
    if (breaches.size() < 20) {
      breaches.add(
          new Breach(rule, now.getAsLong(), what, j == null ? List.of() : List.copyOf(j.events)));
    }
  }

  /** All troubles are over from then on. */
  public void setLastFaultEndMs(long ms) {
    calmMs = ms;
  }

  /** A user is about to submit it for the first time. */
  public void observeFirstSubmission(SubmittedJob s) {
    jobs.put(s.id(), new Job(s));
  }

  /** A user is about to ask for its cancellation. */
  public void observeCancellationRequest(String id) {
    Job j = jobs.get(id);
    if (j.doneMs >= 0) {
      j.lastAnswerMs = now.getAsLong(); // Nobody has asked since its user was told.
    }
    j.cancelAsked = true;
    note(jobs.get(id), "withdrawal asked");
  }

  /** A user got an answer to a submission. */
  public void observeSubmissionAnswer(String id, int status, String standing, long sentMs) {
    Job j = jobs.get(id);
    if (status == 200 || status == 201) {
      if (!j.accepted) {
        note(j, "accepted");
      }
      j.accepted = true;
      observeJobStatus(j, standing, sentMs);
    } else if (j.accepted && (status == 400 || status == 422)) {
      reportBreach(j, "forgotten", id + " got " + status + " when it was sent again");
    }
  }

  /** A user asks about a job for the first time. */
  public void observeQuery(String id) {
    Job j = jobs.get(id);
    if (j != null && j.askedMs < 0) {
      j.askedMs = now.getAsLong();
    }
  }

  /** A user got an answer to a question or a cancellation that was sent then. */
  public void observeJobAnswer(String id, int status, String standing, long sentMs) {
    Job j = jobs.get(id);
    if (j == null) {
      if (status == 200) {
        reportBreach(null, "invented", id + " was never submitted and is " + standing);
      }
      return;
    }
    if (status == 404 && j.accepted) {
      reportBreach(j, "forgotten", id + " got 404");
    }
    if (status == 200) {
      long gap = now.getAsLong() - Math.max(j.askedMs, j.lastAnswerMs);
      if (j.accepted && j.askedMs >= 0 && gap >= FORGOTTEN_MS) {
        reportBreach(j, "forgotten", id + " had no answer for " + gap + " ms");
      }
      // However others fare, from the last trouble on.
      long calm = now.getAsLong() - Math.max(calmMs, Math.max(j.askedMs, j.lastAnswerMs));
      if (j.accepted && j.askedMs >= 0 && !j.cancelAsked && calm >= FORGOTTEN_AFTER_MS) {
        reportBreach(j, "forgotten", id + " had no answer for " + calm + " ms after all troubles");
      }
      if (calm > 0 && j.doneMs < 0 && j.cancelledMs < 0) {
        longestRecoveryMs = Math.max(longestRecoveryMs, calm);
      }
      if (j.askedMs >= 0 && j.doneMs < 0 && j.cancelledMs < 0) {
        longestSilenceMs = Math.max(longestSilenceMs, gap);
      }
      j.lastAnswerMs = now.getAsLong();
      observeJobStatus(j, standing, sentMs);
    }
  }

  private void observeJobStatus(Job j, String standing, long sentMs) {
    if (standing.equals("done")) {
      if (j.cancelledMs >= 0) {
        reportBreach(j, "went_back", j.spec.id + " was withdrawn and is done");
      }
      if (j.completed.size() < j.spec.taskCount) {
        reportBreach(j, "not_done", j.spec.id + " is called done with " + j.completed.size());
      }
      if (j.doneMs < 0) {
        j.doneMs = now.getAsLong();
        note(j, "told done");
      }
    } else if (standing.equals("withdrawn")) {
      if (j.doneMs >= 0 || !j.cancelAsked) {
        reportBreach(j, "went_back", j.spec.id + " is called withdrawn");
      }
      if (j.cancelledMs < 0) {
        j.cancelledMs = now.getAsLong();
        note(j, "told withdrawn");
      }
    } else if ((j.doneMs >= 0 && j.doneMs < sentMs)
        || (j.cancelledMs >= 0 && j.cancelledMs < sentMs)) {
      // What was asked before somebody was told may be answered as it was then.
      reportBreach(j, "went_back", j.spec.id + " was over and is " + standing);
    }
  }

  /** Told of each start, before it is judged. */
  void onStart(Consumer<String> told) {
    this.onStart = told;
  }

  /** Told of each job whose last task has just completed. */
  void onCompleted(Consumer<String> told) {
    this.onCompleted = told;
  }

  /** A submission that can never run or is malformed was answered. */
  void observeInvalidSubmissionAnswer(String what, int status) {
    if (status == 200 || status == 201) {
      reportBreach(null, "accepted_invalid", what + " got " + status);
    }
  }

  /** The longest that a task was on a machine after its user was told of the cancellation. */
  long longestRunAfterCancellationMs() {
    return longestRunAfterCancellationMs;
  }

  /** Jobs whose users were told that they are cancelled. */
  int cancelledJobs() {
    return (int) jobs.values().stream().filter(j -> j.cancelledMs >= 0).count();
  }

  /** Jobs whose users were told that they are done. */
  int completedJobs() {
    return (int) jobs.values().stream().filter(j -> j.doneMs >= 0).count();
  }

  /** Tasks that started after their user was told that the job is cancelled. */
  long startsAfterCancellation() {
    return startsAfterCancellation;
  }

  /** Jobs with a task on a machine that nobody has cancelled, and where their tasks are. */
  Map<String, Set<String>> runningJobs() {
    Map<String, Set<String>> out = new TreeMap<>();
    for (Job j : jobs.values()) {
      if (j.accepted && !j.cancelAsked && j.doneMs < 0 && !j.on.isEmpty()) {
        out.put(j.spec.id, new TreeSet<>(j.on.values()));
      }
    }
    return out;
  }

  /** Jobs whose users know of no end and wait for one, with how many tasks have completed. */
  Map<SubmittedJob, Set<Integer>> unfinishedJobs() {
    Map<SubmittedJob, Set<Integer>> out = new LinkedHashMap<>();
    for (Job j : jobs.values()) {
      if (j.accepted && !j.cancelAsked && j.doneMs < 0 && j.cancelledMs < 0) {
        out.put(j.spec, j.completed);
      }
    }
    return out;
  }

  /** What of its limit a team does not use. */
  double unusedCpus(String team) {
    return limits.get(team) - used.getOrDefault(team, 0.0);
  }

  /** Something that others found broken. */
  void reportBreach(String rule, String what) {
    reportBreach(null, rule, what);
  }

  /** What a task takes. */
  double taskCpus(String task) {
    Job j = jobs.get(jobOf(task));
    return j == null ? 0 : j.spec.cpusPerTask;
  }

  /** True when its user was told an end. */
  boolean isEnded(String id) {
    Job j = jobs.get(id);
    return j != null && (j.doneMs >= 0 || j.cancelledMs >= 0);
  }

  /** True when its user was told that it is accepted. */
  boolean isAccepted(String id) {
    return jobs.containsKey(id) && jobs.get(id).accepted;
  }

  /** A task has its image and is on a machine. */
  public void observeTaskStart(String task, int attempt, String machine, String zone) {
    Job j = jobs.get(jobOf(task));
    onStart.accept(jobOf(task));
    note(j, "starts " + task + " try " + attempt + " on " + machine);
    startedTasks++;
    String other = j.on.get(task);
    if (other != null) {
      reportBreach(j, "ran_twice", task + " starts on " + machine + " and is on " + other);
    }
    startsAfterCancellation += j.cancelledMs >= 0 ? 1 : 0;
    if (j.cancelledMs >= 0 && now.getAsLong() > j.cancelledMs + cancelMs) {
      reportBreach(j, "ran_cancelled", task + " starts after its job was withdrawn");
    }
    if (j.spec.zone != null && !j.spec.zone.equals(zone)) {
      reportBreach(j, "wrong_place", task + " starts in " + zone);
    }
    if (j.spec.sameZone) {
      for (String m : j.on.values()) {
        if (!zone.equals(zoneOf.get(m))) {
          reportBreach(j, "wrong_place", task + " starts in " + zone + ", others are elsewhere");
        }
      }
    }
    zoneOf.put(machine, zone);
    j.on.put(task, machine);
    j.seen.add(task);
    if (j.begunMs < 0 && j.seen.size() >= Math.min(j.spec.taskCount, atOnce(j.spec))) {
      j.begunMs = now.getAsLong();
    }
    machines.computeIfAbsent(machine, k -> new LinkedHashSet<>()).add(task);
    double sum = used.merge(j.spec.team, j.spec.cpusPerTask, Double::sum);
    if (sum > limits.get(j.spec.team) + 1e-6) {
      reportBreach(j, "quota", j.spec.team + " uses " + sum);
    }
  }

  private final Map<String, String> zoneOf = new TreeMap<>();

  private void off(Job j, String task, String machine, String why) {
    if (j.on.remove(task, machine)) {
      note(j, why + " " + task + " on " + machine);
      if (j.cancelledMs >= 0) {
        longestRunAfterCancellationMs =
            Math.max(longestRunAfterCancellationMs, now.getAsLong() - j.cancelledMs);
      }
      machines.get(machine).remove(task);
      used.merge(j.spec.team, -j.spec.cpusPerTask, Double::sum);
    }
  }

  /** A task ended on a machine. */
  public void observeTaskExit(String task, String machine, boolean done) {
    Job j = jobs.get(jobOf(task));
    off(j, task, machine, done ? "done" : "stopped");
    if (done
        && j.completed.add(Integer.parseInt(task.substring(task.lastIndexOf('/') + 1)))
        && j.completed.size() == j.spec.taskCount) {
      onCompleted.accept(j.spec.id);
    }
  }

  /** A task was killed by its worker's lease. */
  public void observeTaskKilledByLease(String task, String machine) {
    killedTasks++;
    off(jobs.get(jobOf(task)), task, machine, "killed by its lease");
  }

  /** A machine is gone with all that was on it. */
  public void observeMachineGone(String machine, String why) {
    for (String task : List.copyOf(machines.getOrDefault(machine, Set.of()))) {
      off(jobs.get(jobOf(task)), task, machine, why);
    }
  }

  /** Once a second: what must be gone by now. */
  public void checkCancelledJobs() {
    for (Job j : jobs.values()) {
      if (j.cancelledMs >= 0 && now.getAsLong() > j.cancelledMs + cancelMs && !j.on.isEmpty()) {
        reportBreach(j, "ran_cancelled", j.on + " long after the withdrawal");
        j.cancelledMs = now.getAsLong(); // Said once.
      }
    }
  }

  /**
   * At the end: nothing ran, and who was served. A job is served when its user was told that it is
   * over within {@code servedMs} of its first submission.
   */
  public void checkAtEnd(long servedMs) {
    if (startedTasks == 0) {
      reportBreach(null, "nothing_ran", "no task was started");
    }
    for (Job j : jobs.values()) {
      long from = Math.max(calmMs, Math.max(j.askedMs, j.lastAnswerMs));
      if (j.accepted
          && j.doneMs < 0
          && j.cancelledMs < 0
          && now.getAsLong() - from >= FORGOTTEN_AFTER_MS) {
        reportBreach(j, "forgotten", j.spec.id + " has no answer since " + j.lastAnswerMs);
      }
      if (j.accepted && j.doneMs < 0 && j.cancelledMs < 0) {
        reportBreach(j, "stuck", j.spec.id + " was accepted and has no end; on machines: " + j.on);
      }
    }
    for (Map.Entry<String, double[]> e : largestJobsStarted().entrySet()) {
      if (2 * e.getValue()[0] < e.getValue()[1]) {
        reportBreach(
            null,
            "begun",
            e.getKey() + ": " + (int) e.getValue()[0] + " of " + (int) e.getValue()[1]);
      }
    }
    for (Map.Entry<String, double[]> e : servedCounts(servedMs).entrySet()) {
      if (2 * e.getValue()[0] < e.getValue()[1]) {
        reportBreach(
            null,
            "served",
            e.getKey() + ": " + (int) e.getValue()[0] + " of " + (int) e.getValue()[1]);
      }
    }
  }

  /** Jobs served and jobs due, by class and by team. */
  public Map<String, double[]> servedCounts(long servedMs) {
    Map<String, double[]> out = new TreeMap<>();
    for (Job j : jobs.values()) {
      long over = Math.max(j.doneMs, j.cancelledMs);
      for (String key : List.of("class " + j.spec.taskClass, "team " + j.spec.team)) {
        double[] of = out.computeIfAbsent(key, k -> new double[2]);
        of[0] += over >= 0 && over - j.spec.submittedMs <= servedMs ? 1 : 0;
        of[1]++;
      }
    }
    return out;
  }

  private int atOnce(SubmittedJob s) {
    return (int) Math.floor((limits.get(s.team()) + 1e-6) / s.cpusPerTask());
  }

  /** Of each class's largest jobs those that began in time, and all of them. */
  public Map<String, double[]> largestJobsStarted() {
    Map<String, List<Job>> byClass = new TreeMap<>();
    for (Job j : jobs.values()) {
      boolean due = j.begunMs >= 0 || now.getAsLong() - j.spec.submittedMs > BEGIN_MS;
      if (j.accepted && !j.cancelAsked && due) {
        byClass.computeIfAbsent("largest " + j.spec.taskClass, k -> new ArrayList<>()).add(j);
      }
    }
    Map<String, double[]> out = new TreeMap<>();
    byClass.forEach(
        (key, all) -> {
          all.sort(Comparator.comparingInt((Job j) -> -j.spec.taskCount));
          double[] of = new double[2];
          for (Job j : all.subList(0, Math.max(1, all.size() / LARGEST_OF))) {
            of[0] += j.begunMs >= 0 && j.begunMs - j.spec.submittedMs <= BEGIN_MS ? 1 : 0;
            of[1]++;
          }
          out.put(key, of);
        });
    return out;
  }

  /** Jobs that were accepted and whose users have not been told an end. */
  public int unfinishedJobCount() {
    int n = 0;
    for (Job j : jobs.values()) {
      n += j.accepted && j.doneMs < 0 && j.cancelledMs < 0 ? 1 : 0;
    }
    return n;
  }

  /** What was broken, in order. */
  public List<Breach> breaches() {
    return breaches;
  }

  /** Tasks started so far. */
  public long startedTasks() {
    return startedTasks;
  }

  /** The longest that a user went without an answer about a job. */
  public long longestSilenceMs() {
    return longestSilenceMs;
  }

  /** The longest that a job had no answer after all troubles. */
  public long longestRecoveryMs() {
    return longestRecoveryMs;
  }

  /** Tasks killed by their workers' leases. */
  public long killedTasks() {
    return killedTasks;
  }
}
