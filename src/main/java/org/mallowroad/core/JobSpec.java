package org.mallowroad.core;

import org.mallowroad.core.dependency.JobDependencies;

/**
 * What a user submitted, with names as dense indices.
 *
 * @param id as the user chose it, unique among jobs
 * @param taskClass index of the class that the user named, by which run times are compared
 * @param team index of the team
 * @param service true when its tasks are replicas that run until the job is cancelled
 * @param gang true when its tasks run only all at the same time
 * @param priority 0 is critical, {@link #IDLE} gives way to all other work
 * @param cards accelerator cards of one task
 * @param image index of the container image
 * @param types bit set of allowed type indices, or null for any
 * @param zone index of the only allowed zone, or -1 for any
 * @param together true when all of its tasks must run in one zone
 * @param scatter true when at most half of its tasks may run in one zone
 * @param spot true when it may run on spot machines
 * @param estimateS expected run time of a task in seconds
 * @param checkpointS interval at which a task saves its progress, in seconds; 0 when it does not
 * @param saveS how long saving takes, in seconds
 * @param dueS deadline in seconds after submission, or 0 for none
 * @param submittedMs when it was accepted, as the time of day
 * @param dependencies the games that it folds, and what it waits for
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
    double checkpointS,
    double saveS,
    double dueS,
    long submittedMs,
    JobDependencies dependencies) {

  /** The priority of work that gives way to all other. */
  public static final int IDLE = 3;

  /** True when the job allows the type, wherever the machine is. */
  public boolean allowsType(int type) {
    return types == null || types.get(type);
  }

  /** True when the job allows a machine of this type and zone, spot or not. */
  public boolean allows(int type, int inZone, boolean onSpot) {
    return allowsType(type) && (zone < 0 || zone == inZone) && (spot || !onSpot);
  }

  /**
   * True when its own rules keep a gang's tasks from ever running at the same time: half of them
   * may be in one zone, and all have to be. The protocol has no refusal for that, so it is
   * accepted, and shown for what it is.
   */
  public boolean isUnsatisfiable(int zones) {
    return gang && scatter && maxTasksPerZone() < tasks && (together || zone >= 0 || zones < 2);
  }

  /** The most tasks that may be in one zone at the same time. */
  public int maxTasksPerZone() {
    return scatter ? (tasks + 1) / 2 : tasks;
  }
}
