package org.mallowroad.console.view;

import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeStatus;

/**
 * The result of querying one node.
 *
 * @param address the address of the node's console
 * @param problem what is wrong with the node, in one line, or empty
 * @param tookMs how long the query took, in milliseconds
 * @param sight the status that the node returned, or null
 */
public record NodeView(
    String address, Standing standing, String problem, long tookMs, NodeStatus sight) {

  /** The state of a node as the console sees it. */
  public enum Standing {
    /** The node is the leader. */
    LEADING("leading"),
    /**
     * The node was elected leader and still reads its records or waits for the first reports of the
     * workers.
     */
    TAKING_OVER("taking over"),
    /** The node is healthy, and another node is the leader. */
    FOLLOWING("not leading"),
    /** The node answers and knows no leader. */
    NO_LEADER("knows no leader"),
    /** The node's console answers, but its event loop is stuck. */
    STANDING_STILL("standing still"),
    /** The node did not respond within the timeout, or closed the connection without a response. */
    HANGING("hanging"),
    /** The node refuses connections. */
    REFUSING("refusing"),
    /**
     * This build does not understand the response, for example because it comes from another build
     * or not from a console; or the address is invalid.
     */
    STRANGE("not understood");

    private final String description;

    Standing(String description) {
      this.description = description;
    }

    /** The state as text for users. */
    public String description() {
      return description;
    }

    /** Returns whether the node works normally, as leader or as follower. */
    public boolean isHealthy() {
      return this == LEADING || this == FOLLOWING;
    }
  }

  /** The view of a node without a valid status. */
  public static NodeView failed(String address, Standing standing, String problem, long tookMs) {
    return new NodeView(address, standing, problem, tookMs, null);
  }

  /** The view of a node that returned its status. */
  public static NodeView answered(String address, long tookMs, NodeStatus status) {
    if (!status.stack().isEmpty()) {
      return new NodeView(
          address,
          Standing.STANDING_STILL,
          "its event loop has been stuck for " + status.loopLateMs() / 1000 + " s",
          tookMs,
          status);
    }
    if (status.picture() == null) {
      return new NodeView(
          address,
          Standing.NO_LEADER,
          "it has just started and has no snapshot yet",
          tookMs,
          status);
    }
    Standing standing =
        switch (status.picture().phase()) {
          case LEADING -> Standing.LEADING;
          case TAKING_OVER -> Standing.TAKING_OVER;
          case FOLLOWING -> Standing.FOLLOWING;
          case NO_LEADER -> Standing.NO_LEADER;
        };
    return new NodeView(address, standing, "", tookMs, status);
  }

  /** The node's name, or its address if the name is unknown. */
  public String name() {
    return sight == null ? address : sight.node();
  }

  /** The node's latest snapshot, or null. */
  public NodeSnapshot snapshot() {
    return sight == null ? null : sight.picture();
  }

  /** Returns whether the node was the leader, or was taking over, when the snapshot was taken. */
  boolean claimsLeadership() {
    NodeSnapshot snapshot = snapshot();
    return snapshot != null
        && (snapshot.phase() == NodeSnapshot.Phase.LEADING
            || snapshot.phase() == NodeSnapshot.Phase.TAKING_OVER);
  }
}
