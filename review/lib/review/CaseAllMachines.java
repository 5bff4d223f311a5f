package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * All twelve machines of a deployment stop at once, with the tasks that run on them. The cloud has
 * other machines to give at any time, and the jobs have to run on those.
 */
final class CaseAllMachines {
  /** The time after the trouble within which a waiting job has to be started. */
  private static final double LONGEST_WAIT_S = 90;

  private CaseAllMachines() {}

  public static void main(String[] args) {
    Recorder record = new Recorder(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    double lookS = Double.parseDouble(System.getenv().getOrDefault("LOOK_S", "92"));
    Settings settings = new Settings();
    settings.builds = List.of(new Settings.Build("pawn-small", 4, 8, 100, 1, 0.2, 4, 40));
    settings.machinesAtStart = 12;
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
    for (int i = 0; i < 4; i++) {
      Jobs.Job job =
          deployment.jobs.create(1 + i, "ratings-desk", "rating-recalc", "urgent", 3, 4, 4, 30);
      record.say(job.id + " of three tasks of 30 s: " + users.submit(job));
      jobs.add(job);
    }
    if (!awaitRunning(deployment, 12, 10)) {
      record.say("the tasks do not run: the case can't run");
      System.exit(2);
    }
    if (trouble) {
      for (Worker worker : deployment.cloud.workers()) {
        deployment.cloud.lose(worker);
      }
      record.say("all machines have stopped, with the twelve tasks");
    }
    long troubleNs = System.nanoTime();
    long startsBefore = deployment.jobs.starts.get();
    int rentalsBefore = deployment.cloud.rentalRequests;
    TreeMap<Double, String> leaders = new TreeMap<>();
    int done = 0;
    while (done < jobs.size() && (System.nanoTime() - troubleNs) / 1e9 < lookS) {
      done = 0;
      StringBuilder text = new StringBuilder();
      for (Jobs.Job job : jobs) {
        String standing = users.poll(job);
        done += "done".equals(standing) ? 1 : 0;
        text.append(' ').append(standing);
      }
      int leader = deployment.leader();
      if (leaders.isEmpty() || !leaders.lastEntry().getValue().equals("hearth-" + leader)) {
        leaders.put(record.seconds(), "hearth-" + leader);
      }
      record.say(
          "jobs:" + text + "; machines: " + deployment.cloud.workers().size() + "; since then "
              + (deployment.jobs.starts.get() - startsBefore) + " tasks started, "
              + (deployment.cloud.rentalRequests - rentalsBefore) + " rental requests; leader hearth-"
              + leader);
      StateService.sleep(4_000);
    }
    double waitedS = (System.nanoTime() - troubleNs) / 1e9;
    long starts = deployment.jobs.starts.get() - startsBefore;
    if (done < jobs.size() && starts == 0 && waitedS > LONGEST_WAIT_S) {
      record.violation(
          String.format(
              "%.0f s after its machines stopped no task of %d accepted jobs has been started again,"
                  + " and no machine was rented (%d requests) or returned (%d), though the cloud has 40"
                  + " to give; leaders: %s",
              waitedS, jobs.size() - done, deployment.cloud.rentalRequests - rentalsBefore,
              deployment.cloud.deletedMachines, leaders.values()));
    }
    deployment.recordLogs(
        ".*event=(started|elected|takeover|deposed|heartbeats|machine_|machines_|scale_out).*", 25);
    deployment.close();
    record.say(record.violations().isEmpty() ? "the rule held" : "the rule was broken");
    record.close();
    System.exit(record.violations().isEmpty() ? 0 : 1);
  }

  private static boolean awaitRunning(Deployment deployment, int tasks, double timeoutS) {
    long deadline = System.nanoTime() + (long) (timeoutS * 1e9);
    while (System.nanoTime() < deadline) {
      if (deployment.jobs.starts.get() >= tasks) {
        return true;
      }
      StateService.sleep(100);
    }
    return false;
  }
}
