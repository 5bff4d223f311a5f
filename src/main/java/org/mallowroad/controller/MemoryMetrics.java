package org.mallowroad.controller;

import java.io.IOException;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** What this process holds and what the collector costs it, for metrics and the log. */
final class MemoryMetrics {
  private MemoryMetrics() {}

  /** Resident bytes, the heap and everything else; 0 where the system does not tell. */
  static long processBytes() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
        }
      }
    } catch (IOException | NumberFormatException e) {
      return 0;
    }
    return 0;
  }

  /** Bytes of the heap in use, garbage included. */
  static long heapBytes() {
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  /**
   * The part of the time since the start that the collector has taken. Only metrics ask: the first
   * question loads the management classes, which a leader's loop should not wait for.
   */
  static double collectorShare() {
    long ms = 0;
    for (GarbageCollectorMXBean b : ManagementFactory.getGarbageCollectorMXBeans()) {
      ms += Math.max(0, b.getCollectionTime());
    }
    return ms / (double) Math.max(1, ManagementFactory.getRuntimeMXBean().getUptime());
  }
}
