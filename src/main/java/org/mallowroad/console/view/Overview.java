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
 * One look at the site: which answer counts, what stands in everybody's way, and what to look at
 * first.
 *
 * <p>The leader's newest picture counts, the one of the highest term when two claim to lead. While
 * something stands in the way of everybody (no leader, a takeover, a stuck loop, the state service
 * away) it is the reason of each job that waits, and what the last picture said of the job comes
 * after it: when the leader cannot place anything, a team's limit is not what is waited for.
 * Without any picture the records say which jobs are open.
 *
 * @param obstacle what stands in everybody's way, or empty
 * @param source where the jobs and figures come from
 * @param ageS how old they are; -1 when there are none
 * @param picture the picture that counts, or null
 * @param first what to look at first, the most important line first
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

  private static final int MOST_FIRST = 8;

  private record Obstacle(PendingCause reason, String detail) {}

  /** Of what was answered. */
  public static Overview of(List<NodeView> nodes, RecordedState recorded, long atMs) {
    NodeView leader = leader(nodes);
    Obstacle o = obstacle(nodes, leader, recorded);
    NodeSnapshot picture = leader == null ? null : leader.snapshot();
    // One that takes over has no jobs before it has read them.
    boolean pictured =
        picture != null
            && (picture.phase() == NodeSnapshot.Phase.LEADING || !picture.jobs().isEmpty());
    List<JobLine> jobs = pictured ? picture.jobs() : recorded.jobs();
    int leftOut = pictured ? picture.jobsLeftOut() : 0;
    String source;
    double age;
    if (pictured) {
      source = "leader " + leader.name() + ", term " + picture.term();
      age = leader.sight().pictureAgeS();
    } else if (recorded.wasRead()) {
      source = "records of the state service" + (recorded.partial() ? " (a part of them)" : "");
      age = 0;
    } else {
      source = "nobody: jobs and machines are unknown";
      age = -1;
    }
    if (o != null) {
      jobs = jobs.stream().map(j -> blocked(j, o)).toList();
    }
    List<ReasonLine> reasons = PendingCauseSummary.summarize(jobs);
    return new Overview(
        atMs,
        o == null ? "" : o.reason.name(),
        o == null ? "" : o.detail,
        source,
        age,
        List.copyOf(nodes),
        recorded,
        picture,
        jobs,
        leftOut,
        reasons,
        first(nodes, o, pictured ? picture : null, jobs, reasons, recorded));
  }

  private static NodeView leader(List<NodeView> nodes) {
    return nodes.stream()
        .filter(NodeView::claimsLeadership)
        .max(
            Comparator.comparingLong((NodeView n) -> n.snapshot().term())
                .thenComparingDouble(n -> -n.sight().pictureAgeS()))
        .orElse(null);
  }

  /** What keeps the whole site from starting anything; null when nothing does. */
  private static Obstacle obstacle(List<NodeView> nodes, NodeView leader, RecordedState recorded) {
    boolean stateAway = !recorded.address().isEmpty() && !recorded.wasRead();
    if (leader != null) {
      if (leader.standing() == Standing.STANDING_STILL) {
        return new Obstacle(
            PendingCause.LOOP_STUCK,
            leader.name()
                + ": "
                + leader.problem()
                + "; it is in "
                + leader.sight().stack().get(0));
      }
      if (!leader.snapshot().firm()) {
        return new Obstacle(
            PendingCause.STATE_AWAY,
            leader.name()
                + " leads and was last served "
                + round(leader.snapshot().stateSilenceS())
                + " s before its picture");
      }
      if (leader.standing() == Standing.TAKING_OVER) {
        return new Obstacle(
            PendingCause.TAKING_OVER,
            leader.name() + " takes over in term " + leader.snapshot().term());
      }
      return null;
    }
    if (stateAway) {
      return new Obstacle(PendingCause.STATE_AWAY, recorded.problem());
    }
    if (nodes.stream().allMatch(n -> n.sight() == null)) {
      return new Obstacle(PendingCause.NO_LEADER, "no controller answers");
    }
    return new Obstacle(
        PendingCause.NO_LEADER,
        recorded.leader().isEmpty()
            ? "no controller holds the leadership"
            : recorded.leader() + " holds the leadership by its record and did not answer");
  }

  private static JobLine blocked(JobLine j, Obstacle o) {
    if (j.waiting() + j.starting() + j.silent() == 0) {
      return j;
    }
    String before =
        j.reason().isEmpty() ? "" : "; before: " + describeReason(j.reason()) + ", " + j.detail();
    return new JobLine(
        j.id(),
        j.team(),
        j.taskClass(),
        j.priority(),
        j.tasks(),
        j.done(),
        j.running(),
        j.starting(),
        j.waiting(),
        j.silent(),
        j.ageS(),
        j.hasDue(),
        j.dueS(),
        j.guaranteed(),
        j.failures(),
        o.reason.name(),
        j.sinceS(),
        -1,
        j.zone(),
        o.detail + before);
  }

  private static List<String> first(
      List<NodeView> nodes,
      Obstacle o,
      NodeSnapshot p,
      List<JobLine> jobs,
      List<ReasonLine> reasons,
      RecordedState recorded) {
    List<String> out = new ArrayList<>();
    if (o != null) {
      out.add(
          capital(o.reason.description())
              + ": "
              + o.detail
              + ". Ends when "
              + o.reason.remedy()
              + ".");
    }
    if (p != null) {
      for (NodeSnapshot.ZoneLine z : p.zones()) {
        if (z.cut() || (z.silent() > 0 && 2 * z.silent() >= z.machines())) {
          out.add(zone(z, jobs));
        }
      }
    }
    List<JobLine> late =
        jobs.stream()
            .filter(j -> j.hasDue() && j.dueS() < 0)
            .sorted(Comparator.comparingDouble(JobLine::dueS))
            .toList();
    if (!late.isEmpty()) {
      JobLine j = late.get(0);
      out.add(
          CountFormat.of(late.size(), "job")
              + (late.size() == 1 ? " is" : " are")
              + " past the deadline, "
              + j.id()
              + " of "
              + j.team()
              + " by "
              + DurationFormat.of(-j.dueS())
              + (j.reason().isEmpty()
                  ? ": its last tasks run."
                  : ": " + describeReason(j.reason()) + "."));
    }
    for (ReasonLine r : reasons.subList(0, Math.min(3, reasons.size()))) {
      if (o != null || r.reason().equals(PendingCause.STARTING.name())) {
        continue;
      }
      out.add(
          CountFormat.of(r.tasks(), "task")
              + " of "
              + r.team()
              + " ("
              + r.taskClass()
              + ") wait: "
              + describeReason(r.reason())
              + ", "
              + r.detail()
              + ". Ends when "
              + describeRemedy(r.reason())
              + ".");
    }
    for (NodeView n : nodes) {
      if (!n.standing().isHealthy()) {
        out.add(
            "Node "
                + n.name()
                + " is "
                + n.standing().description()
                + (n.problem().isEmpty() ? "" : ": " + n.problem())
                + ".");
      }
    }
    if (!recorded.address().isEmpty() && !recorded.problem().isEmpty()) {
      out.add("State service " + recorded.address() + ": " + recorded.problem() + ".");
    }
    if (out.isEmpty()) {
      out.add(jobs.isEmpty() ? "No job is open." : "Nothing waits for more than its turn.");
    }
    return List.copyOf(out.subList(0, Math.min(MOST_FIRST, out.size())));
  }

  private static String zone(NodeSnapshot.ZoneLine z, List<JobLine> jobs) {
    List<JobLine> stalled = jobs.stream().filter(j -> j.zone().equals(z.name())).toList();
    StringBuilder b = new StringBuilder("Zone ").append(z.name());
    b.append(z.cut() ? " is cut off" : " is mostly silent").append(": ").append(z.silent());
    b.append(" of ").append(z.machines()).append(" machines not heard");
    if (!stalled.isEmpty()) {
      b.append("; stalled: ");
      for (int i = 0; i < Math.min(5, stalled.size()); i++) {
        b.append(i == 0 ? "" : ", ").append(stalled.get(i).id());
      }
      if (stalled.size() > 5) {
        b.append(" and ").append(CountFormat.of(stalled.size() - 5, "more job"));
      }
    }
    return b.append('.').toString();
  }

  /** A reason in words; of a newer build's reasons, which this one does not have, the name. */
  public static String describeReason(String reason) {
    return known(reason)
        .map(PendingCause::description)
        .orElseGet(() -> reason.toLowerCase(Locale.ROOT).replace('_', ' '));
  }

  /** What would let the tasks go on; of a newer build's reasons that build knows. */
  public static String describeRemedy(String reason) {
    return known(reason)
        .map(PendingCause::remedy)
        .orElse("its node says so: it is of another build");
  }

  private static Optional<PendingCause> known(String reason) {
    return Arrays.stream(PendingCause.values()).filter(r -> r.name().equals(reason)).findFirst();
  }

  private static String capital(String s) {
    return Character.toUpperCase(s.charAt(0)) + s.substring(1);
  }

  private static String round(double d) {
    return String.format(Locale.ROOT, "%.1f", d);
  }
}
