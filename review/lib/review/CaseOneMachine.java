package review;

import java.nio.file.Path;
import java.util.List;

/**
 * A task ends once with `error`, on the only machine that the cloud has for it. The machine stays
 * up with room, and the job has to run.
 */
final class CaseOneMachine {
  private static final double LONGEST_WAIT_S = 90;

  private CaseOneMachine() {}

  public static void main(String[] args) {
    Recorder record = new Recorder(Path.of(args[1]));
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Settings settings = new Settings();
    settings.builds = List.of(new Settings.Build("rook-large", 32, 256, 100, 1, 2.3, 3, 1));
    settings.machinesAtStart = 1;
    Deployment deployment = new Deployment(settings, Path.of(args[0]), record);
    deployment.startAll();
    if (!deployment.awaitReady(15)) {
      record.say("the controllers are not ready: the case can't run");
      deployment.recordLogs(".*", 20);
      System.exit(2);
    }
    Users users = new Users(deployment);
    StateService.sleep(1_500);
    Jobs.Job job =
        deployment.jobs.create(1, "ratings-desk", "rating-recalc", "urgent", 2, 4, 4, 3);
    if (trouble) {
      job.errors.set(1); // The next start of a task of this job ends with an error.
    }
    record.say(job.id + " of two tasks of 3 s: " + users.submit(job));
    long startNs = System.nanoTime();
    String standing = null;
    while (!"done".equals(standing) && (System.nanoTime() - startNs) / 1e9 < LONGEST_WAIT_S + 3) {
      StateService.sleep(5_000);
      standing = users.poll(job);
      StringBuilder machines = new StringBuilder();
      for (Worker worker : deployment.cloud.workers()) {
        machines.append("; ").append(worker.name).append(worker.isUp() ? " up, " : " boots, ");
        machines.append(worker.liveTasks()).append(" tasks");
      }
      record.say(job.id + " is " + standing + machines);
    }
    double waitedS = (System.nanoTime() - Math.max(job.acceptedNs, job.lastErrorNs)) / 1e9;
    if (!job.calledDone && waitedS > LONGEST_WAIT_S) {
      boolean hasRoom =
          deployment.cloud.workers().stream().anyMatch(w -> w.isUp() && w.liveTasks() == 0);
      record.say("a machine that fits has room: " + hasRoom);
      if (hasRoom) {
        record.violation(
            String.format(
                "%s has waited for %.0f s since its task failed, while a machine that fits is empty"
                    + " and its team uses nothing",
                job.id, waitedS));
      }
    }
    deployment.recordLogs(".*event=(started|elected|takeover|deposed|machine|scale).*", 25);
    deployment.close();
    record.say(record.violations().isEmpty() ? "the rule held" : "the rule was broken");
    record.close();
    System.exit(record.violations().isEmpty() ? 0 : 1);
  }
}
