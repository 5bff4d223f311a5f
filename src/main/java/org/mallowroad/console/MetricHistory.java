package org.mallowroad.console;

import java.util.ArrayDeque;
import java.util.List;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;

/** Points of a leader's past, one in a while, the oldest dropped when there are too many. */
final class MetricHistory {
  /** Between two points. */
  static final long POINT_MS = 15_000;

  private final int most;
  private final ArrayDeque<MetricSample> points = new ArrayDeque<>();
  private long lastMs = Long.MIN_VALUE / 2;

  MetricHistory(int most) {
    this.most = most;
  }

  /** Takes a picture, if it is a leader's and the last point is long enough ago. */
  void take(NodeSnapshot p, long now) {
    if (most == 0 || p.phase() != NodeSnapshot.Phase.LEADING || now - lastMs < POINT_MS) {
      return;
    }
    lastMs = now;
    points.add(MetricSample.of(p));
    if (points.size() > most) {
      points.removeFirst();
    }
  }

  /** The points, the oldest first. */
  List<MetricSample> points() {
    return List.copyOf(points);
  }
}
