package org.mallowroad.core;

/**
 * Why a task may not start on a machine. When several rules forbid it, the first that {@link
 * StartAdmission} evaluates is reported. The explanation of pending jobs breaks ties by the order
 * of the constants.
 */
public enum StartRefusal {
  /** The job has ended, was cancelled, or is held because its dependencies are not met. */
  JOB_NOT_ELIGIBLE,
  /** The task is done or has an attempt that is not proven gone. */
  TASK_NOT_PENDING,
  /** The machine is being drained or deleted, or has failed. */
  DRAINING_OR_FAILED,
  /** The machine's heartbeat is overdue, or this leader has received none. */
  HEARTBEAT_OVERDUE,
  /** The machine recently refused a launch because it lacked free resources. */
  BACKING_OFF_AFTER_REFUSAL,
  /** The machine is reserved for another job's gang. */
  RESERVED_FOR_GANG,
  /** The machine's heartbeats arrive, but responses and commands do not reach it. */
  OUTBOUND_UNREACHABLE,
  /** The machine would have to fetch the image, and the configured limit of fetches is reached. */
  IMAGE_FETCH_LIMIT,
  /** The machine is suspected to be slow or faulty, and the job is urgent or a gang. */
  SUSPECTED_SLOW_OR_FAULTY,
  /** A task of the job failed on the machine. */
  FAILED_ON_MACHINE,
  /** The job does not allow the machine's type or zone, or spot machines. */
  CONSTRAINTS,
  /** The machine lacks free resources. */
  RESOURCES,
  /** The job's team would exceed its limit. */
  QUOTA,
  /** The job's zone rule does not allow this zone, given where its other tasks are. */
  ZONE_RULES
}
