package org.mallowroad.console.view;

import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeStatus;

/**
 * How one node answered.
 *
 * @param address where it was asked
 * @param problem what was wrong, in one line, or empty
 * @param sight its answer, or null
 */
public record NodeView(
    String address, Standing standing, String problem, long tookMs, NodeStatus sight) {

  /** How a node stands. */
  public enum Standing {
    /** Leads. */
    LEADING("leading"),
    /** Leads, and is still reading its records. */
    TAKING_OVER("taking over"),
    /** Fine; another leads. */
    FOLLOWING("not leading"),
    /** Fine, but it knows no leader. */
    NO_LEADER("knows no leader"),
    /** Its console answers, its loop does not turn. */
    STANDING_STILL("standing still"),
    /** Takes connections and does not answer, or answers nothing at all in time. */
    HANGING("hanging"),
    /** Refuses connections. */
    REFUSING("refusing"),
    /** Answers something else: another build, or not a console. */
    STRANGE("not understood");

    private final String description;

    Standing(String text) {
      this.description = text;
    }

    /** In a few words. */
    public String description() {
      return description;
    }

    /** True for a node that does its work. */
    public boolean isHealthy() {
      return this == LEADING || this == FOLLOWING;
    }
  }

  /** A node that gave no answer. */
  public static NodeView failed(String address, Standing standing, String problem, long tookMs) {
    return new NodeView(address, standing, problem, tookMs, null);
  }

  /** A node that answered. */
  public static NodeView answered(String address, long tookMs, NodeStatus s) {
    if (!s.stack().isEmpty()) {
      return new NodeView(
          address,
          Standing.STANDING_STILL,
          "its loop has not turned for " + s.loopLateMs() / 1000 + " s",
          tookMs,
          s);
    }
    if (s.picture() == null) {
      return new NodeView(address, Standing.NO_LEADER, "it has only just started", tookMs, s);
    }
    Standing standing =
        switch (s.picture().phase()) {
          case LEADING -> Standing.LEADING;
          case TAKING_OVER -> Standing.TAKING_OVER;
          case FOLLOWING -> Standing.FOLLOWING;
          case NO_LEADER -> Standing.NO_LEADER;
        };
    return new NodeView(address, standing, "", tookMs, s);
  }

  /** Its name, or the address while the name is not known. */
  public String name() {
    return sight == null ? address : sight.node();
  }

  /** Its picture, or null. */
  public NodeSnapshot snapshot() {
    return sight == null ? null : sight.picture();
  }

  /** True when the picture is one of a leader. */
  boolean claimsLeadership() {
    NodeSnapshot p = snapshot();
    return p != null
        && (p.phase() == NodeSnapshot.Phase.LEADING || p.phase() == NodeSnapshot.Phase.TAKING_OVER);
  }
}
