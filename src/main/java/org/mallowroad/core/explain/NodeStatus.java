package org.mallowroad.core.explain;

import java.util.List;

/**
 * A response of a node's console: the latest snapshot with its age, and the state of the event loop
 * that builds snapshots. The console responds on another thread, so the response also arrives while
 * the event loop is stuck.
 *
 * @param format version of the format, see {@link NodeSnapshot#FORMAT_VERSION}
 * @param node name of the node
 * @param loopLateMs time in ms since the event loop last ran if it is overdue, otherwise its lag at
 *     the latest run
 * @param stack stack trace of the event loop's thread while it is stuck, otherwise empty
 * @param pictureAgeS age of the snapshot in seconds, -1 without a snapshot
 * @param picture the latest snapshot, or null before the first one
 */
public record NodeStatus(
    int format,
    String node,
    long loopLateMs,
    List<String> stack,
    double pictureAgeS,
    NodeSnapshot picture) {}
