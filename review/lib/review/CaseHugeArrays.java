package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Jobs of a class come four times as often: 120 instead of 30 arrays of 100,000 tasks. Jobs of
 * another team, for which there is room on machines of their own, have to run all the same.
 */
final class CaseHugeArrays {
  private static final int USUAL_ARRAYS = 30;
  private static final int BURST_FACTOR = 4;

  /** "no job is left waiting for 90 s while a machine that fits has room". */
  private static final double LONGEST_WAIT_S = 90;

  private CaseHugeArrays() {}

  public static void main(String[] args) {
    Recorder record = new Recorder(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Settings settings = new Settings();
    settings.builds =
        List.of(
            new Settings.Build("pawn-small", 4, 8, 100, 1, 0.2, 3, 4),
            new Settings.Build("rook-large", 32, 256, 100, 1, 2.3, 3, 4));
    settings.machinesAtStart = 3;
    Deployment deployment = new Deployment(settings, Path.of(args[0]), record);
    deployment.startAll();
    if (!deployment.awaitReady(15)) {
      record.say("the controllers are not ready: the case can't run");
      deployment.recordLogs(".*", 20);
      System.exit(2);
    }
    Users users = new Users(deployment);
    StateService.sleep(1_500);
    Jobs.Job early = rating(deployment, 1, 100);
    int status = users.submit(early);
    record.say("job of a task of 100 s, before the arrays: " + status);
    int arrays = trouble ? USUAL_ARRAYS * BURST_FACTOR : USUAL_ARRAYS;
    int accepted = 0;
    for (int i = 0; i < arrays; i++) {
      Jobs.Job array =
          deployment.jobs.create(
              1000 + i, "tacoma-puzzle-guild", "endgame-sweep", "idle", 100_000, 16, 16, 20);
      status = users.submit(array);
      accepted += array.accepted ? 1 : 0;
      if (!array.accepted) {
        record.say(array.id + " of 100,000 tasks is not accepted: " + status);
      }
      StateService.sleep(40);
    }
    record.say(accepted + " of " + arrays + " arrays of 100,000 tasks are accepted");
    List<Jobs.Job> ratings = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      Jobs.Job job = rating(deployment, 10 + i, 2);
      status = users.submit(job);
      if (!job.accepted) {
        record.say(job.id + " is not accepted: " + status);
      } else {
        ratings.add(job);
      }
    }
    if (ratings.isEmpty()) {
      record.say("no job of ratings-desk was accepted: nothing to judge");
      deployment.recordLogs(".*", 20);
      System.exit(2);
    }
    watch(deployment, users, ratings);
    int crashed = deployment.crashed();
    if (crashed >= 0) {
      record.violation("hearth-" + crashed + " has ended by itself");
    }
    for (Worker worker : deployment.cloud.workers()) {
      record.say(
          worker.name + " " + worker.build.name() + ": " + worker.liveTasks() + " tasks, "
              + worker.leasesExpired + " leases expired");
    }
    deployment.recordLogs(".*(event=(started|elected|takeover|deposed|lease|heartbeats|task_failed"
        + "|cancellation_view)|OutOfMemory|failed with).*", 12);
    deployment.close();
    record.say(record.violations().isEmpty() ? "the rule held" : "the rule was broken");
    record.close();
    System.exit(record.violations().isEmpty() ? 0 : 1);
  }

  private static Jobs.Job rating(Deployment deployment, int number, double runS) {
    Jobs.Job job =
        deployment.jobs.create(
            number, "ratings-desk", "rating-recalc", "urgent", 1, 1, 1, runS);
    Map<String, Object> submission = job.submission;
    submission.put("builds", List.of("pawn-small")); // No task of the arrays fits there.
    return job;
  }

  private static void watch(Deployment deployment, Users users, List<Jobs.Job> ratings) {
    Recorder record = deployment.record;
    long startNs = System.nanoTime();
    while ((System.nanoTime() - startNs) / 1e9 < LONGEST_WAIT_S + 4) {
      int done = 0;
      StringBuilder standings = new StringBuilder();
      for (Jobs.Job job : ratings) {
        String standing = users.poll(job);
        done += "done".equals(standing) ? 1 : 0;
        standings.append(' ').append(standing);
      }
      int room = 0;
      for (Worker worker : deployment.cloud.workers()) {
        room += worker.isUp() && worker.build.cpus() == 4 && worker.liveTasks() < 4 ? 1 : 0;
      }
      record.say("rating-recalc:" + standings + "; machines that fit and have room: " + room
          + "; leader hearth-" + deployment.leader());
      if (done == ratings.size()) {
        return;
      }
      StateService.sleep(5_000);
    }
    for (Jobs.Job job : ratings) {
      double waitedS = (System.nanoTime() - job.acceptedNs) / 1e9;
      if (!job.calledDone && deployment.jobs.completedTasks(job) == 0 && waitedS > LONGEST_WAIT_S) {
        record.violation(
            String.format(
                "%s was accepted %.0f s ago and has not run: its task takes 2 s, machines that fit"
                    + " have room, its team uses 1 of 64 guaranteed CPUs",
                job.id, waitedS));
      }
    }
  }
}
