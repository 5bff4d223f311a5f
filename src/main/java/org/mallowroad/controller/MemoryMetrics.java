package org.mallowroad.controller;

import java.io.IOException;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Measures the memory of this process and the cost of garbage collection, for metrics and the log.
 */
final class MemoryMetrics {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT_SIZE_FIELD = "VmRSS:";

  private MemoryMetrics() {}

  /**
   * Resident memory of the process in bytes, including the heap; 0 if the operating system does not
   * report it.
   */
  static long processBytes() {
    try {
      for (String line : Files.readAllLines(PROCESS_STATUS)) {
        if (line.startsWith(RESIDENT_SIZE_FIELD)) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
        }
      }
    } catch (IOException | NumberFormatException e) {
      return 0;
    }
    return 0;
  }

  /** Heap in use in bytes, including garbage that is not collected yet. */
  static long heapBytes() {
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Fraction of the process's uptime spent in garbage collection, from 0 to 1. Only for metrics
   * requests: the first call loads the management classes, which would delay the event loop of a
   * leader.
   */
  static double garbageCollectionShare() {
    long collectionMs = 0;
    for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
      collectionMs += Math.max(0, collector.getCollectionTime());
    }
    return collectionMs / (double) Math.max(1, ManagementFactory.getRuntimeMXBean().getUptime());
  }
}
