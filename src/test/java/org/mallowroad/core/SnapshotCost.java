package org.mallowroad.core;

import java.lang.management.ManagementFactory;
import java.util.List;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeSnapshot.MachineLine;
import org.mallowroad.core.explain.NodeSnapshot.TeamLine;
import org.mallowroad.core.explain.SnapshotBuilder;
import org.mallowroad.wire.ConsoleCodec;

/**
 * Not a test: prints what a picture of 10,000 waiting tasks of 300 jobs on a full fleet of 1,000
 * machines costs, first and when warm (docs/results.md). With an argument each job wants so many
 * more CPUs than the one before, so that none is answered by another one's answer.
 */
final class SnapshotCost {
  private SnapshotCost() {}

  private static long cpu() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  public static void main(String[] args) {
    SnapshotBuilder s = ScaleTest.full(args.length == 0 ? 0 : Double.parseDouble(args[0]));
    for (int i = 0; i < 40; i++) {
      long began = cpu();
      s.begin(1_000_000);
      int turns = 0;
      long longest = 0;
      for (boolean over = false; !over; turns++) {
        long turn = System.nanoTime();
        over = s.step(10_000);
        longest = Math.max(longest, System.nanoTime() - turn);
      }
      List<TeamLine> teams = s.teams();
      List<MachineLine> machines = s.machines();
      NodeSnapshot p =
          new NodeSnapshot(
              NodeSnapshot.FORMAT,
              "n",
              NodeSnapshot.Phase.LEADING,
              1,
              "n",
              0,
              0,
              0,
              0,
              true,
              s.totals(teams, machines),
              teams,
              s.jobs(),
              s.jobsLeftOut(),
              s.zones(),
              machines,
              s.reasons());
      long made = cpu();
      int bytes = ConsoleCodec.encode(p).length;
      long served = cpu();
      if (i < 3 || i % 10 == 9) {
        System.out.printf(
            "picture %d: made %.1f ms in %d turns, longest %.1f ms; put into %d bytes %.1f ms%n",
            i, (made - began) / 1e6, turns, longest / 1e6, bytes, (served - made) / 1e6);
      }
    }
  }
}
