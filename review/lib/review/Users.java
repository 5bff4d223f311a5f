package review;

import java.util.ArrayList;
import java.util.List;

/** Users behind a load balancer: they submit, poll and cancel as PROTOCOL-mallowroad.md says. */
final class Users {
  private final Deployment deployment;
  private final Recorder record;
  private final boolean[] healthy;
  private final int[] open;

  /** Polls of all jobs: when one was last answered. */
  volatile long lastAnsweredNs = System.nanoTime();

  Users(Deployment deployment) {
    this.deployment = deployment;
    this.record = deployment.record;
    this.healthy = new boolean[deployment.settings.nodes];
    this.open = new int[deployment.settings.nodes];
    for (int node = 0; node < healthy.length; node++) {
      int probed = node;
      Thread prober = new Thread(() -> probe(probed), "probe");
      prober.setDaemon(true);
      prober.start();
    }
  }

  private void probe(int node) {
    int failures = 0;
    while (true) {
      if (deployment.isHealthy(node)) {
        failures = 0;
        healthy[node] = true;
      } else if (++failures >= 2) {
        healthy[node] = false;
      }
      StateService.sleep(1_000);
    }
  }

  /** Sends a request through the load balancer, which tries up to three nodes. */
  Http.Response send(String method, String path, String body, int timeoutMs) {
    List<Integer> tried = new ArrayList<>();
    for (int attempt = 0; attempt < 3; attempt++) {
      int node = choose(tried);
      if (node < 0) {
        return Http.NONE;
      }
      tried.add(node);
      Http.Response response = Http.send(deployment.listen(node), method, path, body, timeoutMs);
      synchronized (this) {
        open[node]--;
      }
      if (response.status() >= 0) {
        record.log(
            "user",
            method + " " + path + " at hearth-" + node + ": " + response.status() + " "
                + response.body());
        return response;
      }
    }
    record.log("user", method + " " + path + ": no connection");
    return Http.NONE;
  }

  private synchronized int choose(List<Integer> tried) {
    int best = -1;
    for (int node = 0; node < healthy.length; node++) {
      if (healthy[node]
          && !tried.contains(node)
          && (best < 0
              || open[node] < open[best]
              || (open[node] == open[best] && Math.random() < 0.5))) {
        best = node;
      }
    }
    if (best >= 0) {
      open[best]++;
    }
    return best;
  }

  /** Submits a job, with retries for up to 60 s; returns the last status. */
  int submit(Jobs.Job job) {
    job.submitted = true;
    String body = Json.write(job.submission);
    long deadline = System.nanoTime() + 60_000_000_000L;
    while (true) {
      Http.Response response = send("POST", "/v1/jobs", body, 5_000);
      if (response.status() == 200 || response.status() == 201) {
        job.accepted = true;
        job.acceptedNs = System.nanoTime();
        job.lastAnswerNs = job.acceptedNs;
        check(job, response, false, false, false);
        return response.status();
      }
      if (response.status() == 400 || response.status() == 422) {
        if (job.accepted) {
          record.violation("forgotten: " + job.id + " gets " + response.status());
        }
        return response.status();
      }
      if (System.nanoTime() > deadline) {
        return response.status();
      }
      StateService.sleep((long) (1000 * Math.max(1, Math.min(30, response.retryAfterS()))));
    }
  }

  /** Asks about a job once; returns its standing, or null without a usable answer. */
  String poll(Jobs.Job job) {
    // Only what was told before this question was asked can be taken back by its answer.
    boolean wasAccepted = job.accepted;
    boolean wasDone = job.calledDone;
    boolean wasCancelled = job.cancelConfirmed;
    Http.Response response = send("GET", "/v1/jobs/" + job.id, null, 2_000);
    return check(job, response, wasAccepted, wasDone, wasCancelled);
  }

  private String check(
      Jobs.Job job,
      Http.Response response,
      boolean wasAccepted,
      boolean wasDone,
      boolean wasCancelled) {
    if (response.status() == 404 && wasAccepted) {
      record.violation("forgotten: " + job.id + " gets 404");
    }
    if (response.status() != 200) {
      return null;
    }
    String standing = Json.str(Json.object(response.body()), "standing");
    job.lastAnswerNs = System.nanoTime();
    lastAnsweredNs = job.lastAnswerNs;
    if (standing.equals("done") && deployment.jobs.completedTasks(job) < job.tasks()) {
      record.violation("not_done: " + job.id + " is called done");
    }
    if ((wasDone && !standing.equals("done"))
        || (wasCancelled && !standing.equals("withdrawn"))) {
      record.violation("went_back: " + job.id + " is called " + standing);
    }
    job.calledDone |= standing.equals("done");
    return standing;
  }

  /** Cancels a job, with retries like those of a submission. */
  String cancel(Jobs.Job job) {
    long deadline = System.nanoTime() + 60_000_000_000L;
    while (true) {
      Http.Response response = send("POST", "/v1/jobs/" + job.id + "/withdraw", "{}", 5_000);
      if (response.status() == 200) {
        String standing = Json.str(Json.object(response.body()), "standing");
        if (standing.equals("withdrawn")) {
          job.cancelConfirmedNs = System.nanoTime();
          job.cancelConfirmed = true;
        } else {
          job.calledDone = true;
        }
        return standing;
      }
      if (System.nanoTime() > deadline) {
        return null;
      }
      StateService.sleep((long) (1000 * Math.max(1, Math.min(30, response.retryAfterS()))));
    }
  }
}
