package org.mallowroad.core.explain;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.autoscaling.MachineVariant;

/** Machines of one variant, those on their way, and the CPUs that tasks use on them. */
final class MachineGroup {
  final MachineVariant variant;
  final List<Machine> machines = new ArrayList<>();

  /** CPUs used by team and priority. */
  final double[][] usedCpus;

  /** Machines that are rented and do not report yet. */
  int booting;

  /** When the first of them is expected to report. */
  long firstBootedMs = Long.MAX_VALUE;

  /** When that one was rented. */
  long firstRentedMs;

  MachineGroup(MachineVariant variant, int teams, int priorities) {
    this.variant = variant;
    this.usedCpus = new double[teams][priorities];
  }

  /** True when the job may run on machines of this variant. */
  boolean allows(JobSpec spec) {
    return allows(spec, variant);
  }

  /** True when the job may run on machines of a variant. */
  static boolean allows(JobSpec spec, MachineVariant variant) {
    return spec.allows(variant.type().index(), variant.zone(), variant.spot())
        && variant.type().fits(spec);
  }
}
