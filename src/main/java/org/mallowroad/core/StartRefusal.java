package org.mallowroad.core;

/**
 * Why a task may not start on a machine. Where several rules refuse, the first in the order of
 * {@link StartAdmission} is named. The explanation of waiting jobs breaks ties by the order of the
 * constants.
 */
public enum StartRefusal {
  /** The job has ended, was cancelled, or is held until its dependencies are met. */
  JOB_NOT_ELIGIBLE,
  /** The task is done, or has an attempt that is not proven gone. */
  TASK_NOT_PENDING,
  /** The machine is being drained or deleted, or has failed. */
  DRAINING_OR_FAILED,
  /** The machine's heartbeat is overdue, or it has sent none to this leader. */
  HEARTBEAT_OVERDUE,
  /** The machine refused a launch for want of resources a moment ago. */
  BACKING_OFF_AFTER_REFUSAL,
  /** The machine is reserved for another job, a gang. */
  RESERVED_FOR_GANG,
  /** The machine's heartbeats arrive, but what is sent to it does not. */
  OUTBOUND_UNREACHABLE,
  /** The machine would have to fetch the image, and as many fetch as the operators allow. */
  IMAGE_FETCH_LIMIT,
  /** The machine is suspected to be slow or faulty, and the job is urgent or a gang. */
  SUSPECTED_SLOW_OR_FAULTY,
  /** A task of the job failed on the machine. */
  FAILED_ON_MACHINE,
  /** The job does not allow the machine's type or zone, or spot machines. */
  CONSTRAINTS,
  /** The machine has not enough free resources. */
  RESOURCES,
  /** The team would exceed its limit. */
  QUOTA,
  /** The job's rule for the zones of its tasks does not allow this one, given its other tasks. */
  ZONE_RULES
}
