package org.mallowroad.core.explain;

import java.util.List;

/**
 * What a node's console answers: the newest picture with its age, and how the loop that makes
 * pictures is doing. The answer itself comes from another thread, so it comes while the loop is
 * stuck too.
 *
 * @param loopLateMs how long the loop has not turned, or how late it was the last time it did
 * @param stack where the loop is, while it is stuck; else empty
 * @param pictureAgeS age of the picture, -1 without one
 * @param picture the newest picture, or null before the first one
 */
public record NodeStatus(
    int format,
    String node,
    long loopLateMs,
    List<String> stack,
    double pictureAgeS,
    NodeSnapshot picture) {}
