package org.mallowroad.console;

import java.util.ArrayDeque;
import java.util.List;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;

/**
 * Samples of a leader's metrics, taken at a fixed interval. The oldest sample is dropped when there
 * are more than a maximum.
 */
final class MetricHistory {
  /** The minimum time between two samples. */
  static final long SAMPLE_INTERVAL_MS = 15_000;

  private final int maxSamples;
  private final ArrayDeque<MetricSample> samples = new ArrayDeque<>();
  private long lastSampleMs = Long.MIN_VALUE / 2;

  MetricHistory(int maxSamples) {
    this.maxSamples = maxSamples;
  }

  /**
   * Adds a sample of a snapshot if the node is the leader and the interval since the last sample
   * has passed.
   */
  void record(NodeSnapshot snapshot, long nowMs) {
    if (maxSamples == 0
        || snapshot.phase() != NodeSnapshot.Phase.LEADING
        || nowMs - lastSampleMs < SAMPLE_INTERVAL_MS) {
      return;
    }
    lastSampleMs = nowMs;
    samples.add(MetricSample.of(snapshot));
    if (samples.size() > maxSamples) {
      samples.removeFirst();
    }
  }

  /** The samples, oldest first. */
  List<MetricSample> samples() {
    return List.copyOf(samples);
  }
}
