package org.mallowroad.console;

import java.util.ArrayDeque;
import java.util.List;
import org.mallowroad.core.explain.Picture;
import org.mallowroad.core.explain.Sample;

/** Points of a leader's past, one in a while, the oldest dropped when there are too many. */
final class Past {
  /** Between two points. */
  static final long POINT_MS = 15_000;

  private final int most;
  private final ArrayDeque<Sample> points = new ArrayDeque<>();
  private long lastMs = Long.MIN_VALUE / 2;

  Past(int most) {
    this.most = most;
  }

  /** Takes a picture, if it is a leader's and the last point is long enough ago. */
  void take(Picture p, long now) {
    if (most == 0 || p.phase() != Picture.Phase.LEADING || now - lastMs < POINT_MS) {
      return;
    }
    lastMs = now;
    points.add(Sample.of(p));
    if (points.size() > most) {
      points.removeFirst();
    }
  }

  /** The points, the oldest first. */
  List<Sample> points() {
    return List.copyOf(points);
  }
}
