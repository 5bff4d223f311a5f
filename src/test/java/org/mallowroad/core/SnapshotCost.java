package org.mallowroad.core;

import java.lang.management.ManagementFactory;
import java.util.List;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.MachineLine;
import org.mallowroad.core.explain.NodeSnapshot.TeamLine;
import org.mallowroad.core.explain.SnapshotBuilder;
import org.mallowroad.wire.ConsoleCodec;

/**
 * A manual benchmark, not a test. Prints the cost of building and encoding a console snapshot of
 * 10,000 pending tasks in 300 jobs on a full fleet of 1,700 machines, cold and warm
 * (docs/results.md). The optional argument is the number of CPUs by which each job's request
 * exceeds that of the job before, so that no job can reuse the result of another.
 */
final class SnapshotCost {
  private SnapshotCost() {}

  private static long cpuTimeNs() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  public static void main(String[] args) {
    SnapshotBuilder builder =
        ScaleTest.fullFleetSnapshot(args.length == 0 ? 0 : Double.parseDouble(args[0]));
    for (int round = 0; round < 40; round++) {
      long startNs = cpuTimeNs();
      builder.begin(1_000_000);
      int steps = 0;
      long longestStepNs = 0;
      for (boolean complete = false; !complete; steps++) {
        long stepStartNs = System.nanoTime();
        complete = builder.step(10_000);
        longestStepNs = Math.max(longestStepNs, System.nanoTime() - stepStartNs);
      }
      List<TeamLine> teams = builder.teams();
      List<MachineLine> machines = builder.machines();
      NodeSnapshot snapshot =
          new NodeSnapshot(
              NodeSnapshot.FORMAT_VERSION,
              "n",
              NodeSnapshot.Phase.LEADING,
              1,
              "n",
              0,
              0,
              0,
              0,
              true,
              builder.totals(teams, machines),
              teams,
              builder.jobs(),
              builder.jobsLeftOut(),
              builder.zones(),
              machines,
              builder.reasons());
      long builtNs = cpuTimeNs();
      int bytes = ConsoleCodec.encode(snapshot).length;
      long encodedNs = cpuTimeNs();
      if (round < 3 || round % 10 == 9) {
        System.out.printf(
            "snapshot %d: built in %.1f ms and %d steps, longest %.1f ms; encoded %d bytes in %.1f ms%n",
            round,
            (builtNs - startNs) / 1e6,
            steps,
            longestStepNs / 1e6,
            bytes,
            (encodedNs - builtNs) / 1e6);
      }
    }
  }
}
