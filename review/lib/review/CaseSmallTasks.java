package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A guest team comes with one array of 1,500 tasks of 0.07 CPUs. Jobs of another team that run at
 * the same time have to be called done.
 */
final class CaseSmallTasks {
  private static final double LONGEST_WAIT_S = 90;

  private CaseSmallTasks() {}

  public static void main(String[] args) {
    Recorder record = new Recorder(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Settings settings = new Settings();
    settings.builds = List.of(new Settings.Build("g8", 96, 768, 200, 1, 12, 5, 4));
    Deployment deployment = new Deployment(settings, Path.of(args[0]), record);
    deployment.startAll();
    if (!deployment.awaitReady(15)) {
      record.say("the controllers are not ready: the case can't run");
      deployment.recordLogs(".*", 20);
      System.exit(2);
    }
    Users users = new Users(deployment);
    StateService.sleep(1_500);
    List<Jobs.Job> jobs = new ArrayList<>();
    if (trouble) {
      Jobs.Job array =
          deployment.jobs.create(
              1000, "tacoma-puzzle-guild", "endgame-sweep", "idle", 1_500, 0.07, 0.5, 15);
      record.say("array of 1,500 tasks of 0.07 CPUs: " + users.submit(array));
      if (!array.accepted) {
        record.say("the array is not accepted: the case can't run");
        System.exit(2);
      }
      jobs.add(array);
    }
    for (int i = 0; i < 5; i++) {
      Jobs.Job job =
          deployment.jobs.create(1 + i, "ratings-desk", "rating-recalc", "urgent", 3, 1, 1, 15);
      record.say(job.id + " of three tasks of 15 s: " + users.submit(job));
      if (job.accepted) {
        jobs.add(job);
      }
    }
    watch(deployment, users, jobs);
    deployment.recordLogs(
        ".*event=(started|elected|takeover|deposed|heartbeats|machine_|machines_).*", 25);
    int crashed = deployment.crashed();
    if (crashed >= 0) {
      record.violation("hearth-" + crashed + " has ended by itself");
    }
    deployment.close();
    record.say(record.violations().isEmpty() ? "the rule held" : "the rule was broken");
    record.close();
    System.exit(record.violations().isEmpty() ? 0 : 1);
  }

  private static void watch(Deployment deployment, Users users, List<Jobs.Job> jobs) {
    Recorder record = deployment.record;
    long startNs = System.nanoTime();
    while ((System.nanoTime() - startNs) / 1e9 < LONGEST_WAIT_S + 4) {
      int done = 0;
      StringBuilder text = new StringBuilder();
      for (Jobs.Job job : jobs) {
        String standing = users.poll(job);
        done += "done".equals(standing) ? 1 : 0;
        text.append(' ').append(job.id).append(' ').append(standing).append(' ');
        text.append(deployment.jobs.completedTasks(job)).append('/').append(job.tasks());
      }
      for (Worker worker : deployment.cloud.workers()) {
        text.append("; ").append(worker.name).append(' ').append(worker.liveTasks());
        text.append(" tasks, reports over 64 KiB ").append(worker.reportsTooLarge);
      }
      record.say("leader hearth-" + deployment.leader() + ":" + text);
      if (done == jobs.size()) {
        return;
      }
      StateService.sleep(5_000);
    }
    for (Jobs.Job job : jobs) {
      double ageS = (System.nanoTime() - job.acceptedNs) / 1e9;
      if (!job.calledDone && ageS > LONGEST_WAIT_S) {
        record.violation(
            String.format(
                "%s was accepted %.0f s ago, its tasks take 15 s, %d of %d have completed on some"
                    + " machine, and it is not done",
                job.id, ageS, deployment.jobs.completedTasks(job), job.tasks()));
      }
    }
  }
}
