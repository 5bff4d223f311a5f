package org.mallowroad.core.explain;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.autoscaling.MachineVariant;

/** Registered and booting machines of one variant, and the CPUs that tasks use on them. */
final class MachineGroup {
  final MachineVariant variant;
  final List<Machine> machines = new ArrayList<>();

  /** CPUs used, by team index and priority. */
  final double[][] usedCpus;

  /** Number of machines that were requested and have not sent a heartbeat yet. */
  int bootingCount;

  /** Time in ms at which the first booting machine is expected to be ready. */
  long earliestReadyMs = Long.MAX_VALUE;

  /** Time in ms at which the machine of {@link #earliestReadyMs} was requested. */
  long earliestRequestedMs;

  MachineGroup(MachineVariant variant, int teamCount, int priorityCount) {
    this.variant = variant;
    this.usedCpus = new double[teamCount][priorityCount];
  }

  /** True when the job allows this variant and its tasks fit on an empty machine of it. */
  boolean canRun(JobSpec spec) {
    return canRun(spec, variant);
  }

  /** True when the job allows the variant and its tasks fit on an empty machine of it. */
  static boolean canRun(JobSpec spec, MachineVariant variant) {
    return spec.allows(variant.type().index(), variant.zone(), variant.spot())
        && variant.type().fits(spec);
  }
}
