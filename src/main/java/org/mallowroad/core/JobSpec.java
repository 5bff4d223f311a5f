package org.mallowroad.core;

import org.mallowroad.core.dependency.JobDependencies;

/**
 * A job as the user submitted it. Names are interned as dense indices, see {@link NameIndex}.
 *
 * @param id chosen by the user, unique among jobs
 * @param taskClass index of the user-defined task class; run times are compared within a class
 * @param team index of the team
 * @param service true when the tasks are replicas that run until the job is cancelled
 * @param gang true when the tasks must all run at the same time
 * @param priority 0 (critical) to {@link #IDLE}; a lower number takes precedence
 * @param tasks number of tasks
 * @param cpus CPUs of one task; may be fractional
 * @param cards accelerator cards of one task
 * @param memGb memory of one task in GB
 * @param image index of the container image
 * @param imageGb size of the container image in GB
 * @param types indices of the allowed machine types, or null for any
 * @param zone index of the required zone, or -1 for any
 * @param together true when all tasks must run in the same zone
 * @param scatter true when at most half of the tasks may run in the same zone
 * @param spot true when the tasks may run on spot machines
 * @param estimateS expected run time of a task in seconds
 * @param checkpointIntervalS seconds between checkpoints of a task; 0 when it writes none
 * @param checkpointDurationS seconds that writing a checkpoint takes
 * @param deadlineS deadline in seconds after submission, or 0 for none
 * @param submittedMs wall-clock time at which it was accepted, in ms
 * @param dependencies the games that the job folds, and what must be complete before it starts
 */
public record JobSpec(
    String id,
    int taskClass,
    int team,
    boolean service,
    boolean gang,
    int priority,
    int tasks,
    double cpus,
    double cards,
    double memGb,
    int image,
    double imageGb,
    java.util.BitSet types,
    int zone,
    boolean together,
    boolean scatter,
    boolean spot,
    double estimateS,
    double checkpointIntervalS,
    double checkpointDurationS,
    double deadlineS,
    long submittedMs,
    JobDependencies dependencies) {

  /** The lowest priority: such work gives way to all other work. */
  public static final int IDLE = 3;

  /** True when the job allows this machine type, in whichever zone. */
  public boolean allowsType(int type) {
    return types == null || types.get(type);
  }

  /** True when the job allows a machine of this type in this zone, on-demand or spot as given. */
  public boolean allows(int type, int machineZone, boolean spotMachine) {
    return allowsType(type) && (zone < 0 || zone == machineZone) && (spot || !spotMachine);
  }

  /**
   * True when a gang's own constraints contradict each other: {@code scatter} allows only half of
   * its tasks in a zone, but all of them have to share one. The protocol has no status for
   * rejecting such a job, so it is accepted and reported as unsatisfiable.
   */
  public boolean isUnsatisfiable(int zoneCount) {
    return gang && scatter && maxTasksPerZone() < tasks && (together || zone >= 0 || zoneCount < 2);
  }

  /** Maximum number of tasks that may run in the same zone at the same time. */
  public int maxTasksPerZone() {
    return scatter ? (tasks + 1) / 2 : tasks;
  }
}
