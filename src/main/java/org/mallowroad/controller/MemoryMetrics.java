package org.mallowroad.controller;

import java.io.IOException;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** The memory of this process and what garbage collection costs it, for metrics and the log. */
final class MemoryMetrics {
  private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT_KB = "VmRSS:";

  private MemoryMetrics() {}

  /** Resident bytes, the heap and everything else; 0 where the system does not tell. */
  static long processBytes() {
    try {
      for (String line : Files.readAllLines(PROCESS_STATUS)) {
        if (line.startsWith(RESIDENT_KB)) {
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
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * The part of the time since the start that the garbage collector has taken, from 0 to 1. Only
   * metrics may ask: the first call loads the management classes, which a leader's event loop
   * should not wait for.
   */
  static double collectorShare() {
    long collectionMs = 0;
    for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
      collectionMs += Math.max(0, collector.getCollectionTime());
    }
    return collectionMs / (double) Math.max(1, ManagementFactory.getRuntimeMXBean().getUptime());
  }
}
