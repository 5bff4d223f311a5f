package org.mallowroad.console.view;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.mallowroad.console.view.NodeView.Standing;
import org.mallowroad.core.explain.CountFormat;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.JobLine;
import org.mallowroad.core.explain.NodeSnapshot.ReasonLine;
import org.mallowroad.core.explain.PendingCause;
import org.mallowroad.core.explain.PendingCauseSummary;

/**
 * The state of the cluster at one moment, combined from the responses of all nodes and the state
 * service: the jobs and figures, what blocks the whole cluster, and the most important findings.
 *
 * <p>The jobs and figures come from the leader's latest snapshot. If two nodes claim to be the
 * leader, the snapshot with the higher term is used. While an obstacle blocks the whole cluster (no
 * leader, a takeover, a stuck event loop, an unreachable state service), it replaces the reason of
 * each job that waits, and the reason from the last snapshot is appended to the details: while the
 * leader cannot place any task, it is not, for example, the team's limit that keeps a job waiting.
 * Without a usable snapshot, the open jobs are taken from the records of the state service.
 *
 * @param atMs wall-clock time of the query
 * @param obstacle name of the {@link PendingCause} that blocks the whole cluster, or empty
 * @param obstacleDetail evidence for the obstacle, or empty
 * @param source where the jobs and figures come from
 * @param ageS age of the jobs and figures in seconds, or -1 if there are none
 * @param picture the leader's snapshot, or null
 * @param jobsLeftOut number of open jobs that are not listed
 * @param first the findings to look at first, most important first
 */
public record Overview(
    long atMs,
    String obstacle,
    String obstacleDetail,
    String source,
    double ageS,
    List<NodeView> nodes,
    RecordedState recorded,
    NodeSnapshot picture,
    List<JobLine> jobs,
    int jobsLeftOut,
    List<ReasonLine> reasons,
    List<String> first) {

  private static final int MAX_FINDINGS = 8;

  private record Obstacle(PendingCause cause, String detail) {}

  /** Combines the responses of the nodes and the records of the state service. */
  public static Overview of(List<NodeView> nodes, RecordedState recorded, long atMs) {
    NodeView leaderView = findLeader(nodes);
    Obstacle clusterObstacle = findObstacle(nodes, leaderView, recorded);
    NodeSnapshot leaderSnapshot = leaderView == null ? null : leaderView.snapshot();
    // A node that takes over has no jobs in its snapshot until it has read them.
    boolean useSnapshot =
        leaderSnapshot != null
            && (leaderSnapshot.phase() == NodeSnapshot.Phase.LEADING
                || !leaderSnapshot.jobs().isEmpty());
    List<JobLine> jobs = useSnapshot ? leaderSnapshot.jobs() : recorded.jobs();
    int omittedJobs = useSnapshot ? leaderSnapshot.jobsLeftOut() : 0;
    String source;
    double ageSeconds;
    if (useSnapshot) {
      source = "leader " + leaderView.name() + ", term " + leaderSnapshot.term();
      ageSeconds = leaderView.sight().pictureAgeS();
    } else if (recorded.wasRead()) {
      source = "records of the state service" + (recorded.partial() ? " (incomplete)" : "");
      ageSeconds = 0;
    } else {
      source = "nobody: jobs and machines are unknown";
      ageSeconds = -1;
    }
    if (clusterObstacle != null) {
      jobs = jobs.stream().map(job -> withObstacle(job, clusterObstacle)).toList();
    }
    List<ReasonLine> reasons = PendingCauseSummary.summarize(jobs);
    return new Overview(
        atMs,
        clusterObstacle == null ? "" : clusterObstacle.cause.name(),
        clusterObstacle == null ? "" : clusterObstacle.detail,
        source,
        ageSeconds,
        List.copyOf(nodes),
        recorded,
        leaderSnapshot,
        jobs,
        omittedJobs,
        reasons,
        collectFindings(
            nodes, clusterObstacle, useSnapshot ? leaderSnapshot : null, jobs, reasons, recorded));
  }

  private static NodeView findLeader(List<NodeView> nodes) {
    return nodes.stream()
        .filter(NodeView::claimsLeadership)
        .max(
            Comparator.comparingLong((NodeView node) -> node.snapshot().term())
                .thenComparingDouble(node -> -node.sight().pictureAgeS()))
        .orElse(null);
  }

  /** Finds what keeps the whole cluster from starting tasks; null if there is no obstacle. */
  private static Obstacle findObstacle(
      List<NodeView> nodes, NodeView leader, RecordedState recorded) {
    boolean stateUnavailable = !recorded.address().isEmpty() && !recorded.wasRead();
    if (leader != null) {
      if (leader.standing() == Standing.STANDING_STILL) {
        return new Obstacle(
            PendingCause.LOOP_STUCK,
            leader.name()
                + ": "
                + leader.problem()
                + "; it is executing "
                + leader.sight().stack().get(0));
      }
      if (!leader.snapshot().firm()) {
        return new Obstacle(
            PendingCause.STATE_AWAY,
            leader.name()
                + " is the leader; the state service last answered it "
                + formatSeconds(leader.snapshot().stateSilenceS())
                + " s before its snapshot");
      }
      if (leader.standing() == Standing.TAKING_OVER) {
        return new Obstacle(
            PendingCause.TAKING_OVER,
            leader.name() + " takes over in term " + leader.snapshot().term());
      }
      return null;
    }
    if (stateUnavailable) {
      return new Obstacle(PendingCause.STATE_AWAY, recorded.problem());
    }
    if (nodes.stream().allMatch(node -> node.sight() == null)) {
      return new Obstacle(PendingCause.NO_LEADER, "no controller answers");
    }
    return new Obstacle(
        PendingCause.NO_LEADER,
        recorded.leader().isEmpty()
            ? "no controller is recorded as the leader"
            : recorded.leader() + " is recorded as the leader but did not answer");
  }

  private static JobLine withObstacle(JobLine job, Obstacle obstacle) {
    if (job.waiting() + job.starting() + job.silent() == 0) {
      return job;
    }
    String earlierReason =
        job.reason().isEmpty()
            ? ""
            : "; before: " + describeReason(job.reason()) + ", " + job.detail();
    return new JobLine(
        job.id(),
        job.team(),
        job.taskClass(),
        job.priority(),
        job.tasks(),
        job.done(),
        job.running(),
        job.starting(),
        job.waiting(),
        job.silent(),
        job.ageS(),
        job.hasDue(),
        job.dueS(),
        job.guaranteed(),
        job.failures(),
        obstacle.cause.name(),
        job.sinceS(),
        -1,
        job.zone(),
        obstacle.detail + earlierReason);
  }

  private static List<String> collectFindings(
      List<NodeView> nodes,
      Obstacle obstacle,
      NodeSnapshot snapshot,
      List<JobLine> jobs,
      List<ReasonLine> reasons,
      RecordedState recorded) {
    List<String> findings = new ArrayList<>();
    if (obstacle != null) {
      findings.add(
          capitalize(obstacle.cause.description())
              + ": "
              + obstacle.detail
              + ". Ends when "
              + obstacle.cause.remedy()
              + ".");
    }
    if (snapshot != null) {
      for (NodeSnapshot.ZoneLine zone : snapshot.zones()) {
        if (zone.cut() || (zone.silent() > 0 && 2 * zone.silent() >= zone.machines())) {
          findings.add(describeZone(zone, jobs));
        }
      }
    }
    List<JobLine> overdueJobs =
        jobs.stream()
            .filter(job -> job.hasDue() && job.dueS() < 0)
            .sorted(Comparator.comparingDouble(JobLine::dueS))
            .toList();
    if (!overdueJobs.isEmpty()) {
      JobLine job = overdueJobs.get(0);
      findings.add(
          CountFormat.of(overdueJobs.size(), "job")
              + (overdueJobs.size() == 1 ? " is" : " are")
              + " past the deadline, "
              + job.id()
              + " of "
              + job.team()
              + " by "
              + DurationFormat.of(-job.dueS())
              + (job.reason().isEmpty()
                  ? ": its last tasks are running."
                  : ": " + describeReason(job.reason()) + "."));
    }
    for (ReasonLine line : reasons.subList(0, Math.min(3, reasons.size()))) {
      if (obstacle != null || line.reason().equals(PendingCause.STARTING.name())) {
        continue;
      }
      findings.add(
          CountFormat.of(line.tasks(), "task")
              + " of "
              + line.team()
              + " ("
              + line.taskClass()
              + ") wait: "
              + describeReason(line.reason())
              + ", "
              + line.detail()
              + ". Ends when "
              + describeRemedy(line.reason())
              + ".");
    }
    for (NodeView node : nodes) {
      if (!node.standing().isHealthy()) {
        findings.add(
            "Node "
                + node.name()
                + " is "
                + node.standing().description()
                + (node.problem().isEmpty() ? "" : ": " + node.problem())
                + ".");
      }
    }
    if (!recorded.address().isEmpty() && !recorded.problem().isEmpty()) {
      findings.add("State service " + recorded.address() + ": " + recorded.problem() + ".");
    }
    if (findings.isEmpty()) {
      findings.add(jobs.isEmpty() ? "No job is open." : "No problems found.");
    }
    return List.copyOf(findings.subList(0, Math.min(MAX_FINDINGS, findings.size())));
  }

  private static String describeZone(NodeSnapshot.ZoneLine zone, List<JobLine> jobs) {
    List<JobLine> stalledJobs =
        jobs.stream().filter(job -> job.zone().equals(zone.name())).toList();
    StringBuilder text = new StringBuilder("Zone ").append(zone.name());
    text.append(zone.cut() ? " is cut off" : " is mostly silent")
        .append(": ")
        .append(zone.silent());
    text.append(" of ").append(zone.machines()).append(" machines do not report");
    if (!stalledJobs.isEmpty()) {
      text.append("; stalled: ");
      for (int i = 0; i < Math.min(5, stalledJobs.size()); i++) {
        text.append(i == 0 ? "" : ", ").append(stalledJobs.get(i).id());
      }
      if (stalledJobs.size() > 5) {
        text.append(" and ").append(CountFormat.of(stalledJobs.size() - 5, "more job"));
      }
    }
    return text.append('.').toString();
  }

  /**
   * Describes a reason for users. The reason may be from a newer build and unknown to this one; it
   * is then described by its name.
   */
  public static String describeReason(String reason) {
    return findCause(reason)
        .map(PendingCause::description)
        .orElseGet(() -> reason.toLowerCase(Locale.ROOT).replace('_', ' '));
  }

  /**
   * Describes what would let tasks with this reason continue. For an unknown reason of a newer
   * build, the text refers to that build's node.
   */
  public static String describeRemedy(String reason) {
    return findCause(reason)
        .map(PendingCause::remedy)
        .orElse("its node reports it; this build does not know the reason");
  }

  private static Optional<PendingCause> findCause(String reason) {
    return Arrays.stream(PendingCause.values())
        .filter(cause -> cause.name().equals(reason))
        .findFirst();
  }

  private static String capitalize(String text) {
    return Character.toUpperCase(text.charAt(0)) + text.substring(1);
  }

  private static String formatSeconds(double seconds) {
    return String.format(Locale.ROOT, "%.1f", seconds);
  }
}
