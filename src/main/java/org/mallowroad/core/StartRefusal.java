package org.mallowroad.core;

/** Why a task may not start on a machine. */
public enum StartRefusal {
  /** Its job is over. */
  JOB_NOT_ELIGIBLE,
  /** It is done or has an unresolved attempt. */
  TASK_NOT_PENDING,
  /** The machine is being emptied or returned, or has failed. */
  DRAINING_OR_FAILED,
  /** The machine's report is overdue, or it has not reported to this leader. */
  HEARTBEAT_OVERDUE,
  /** The machine refused a task a moment ago. */
  BACKING_OFF_AFTER_REFUSAL,
  /** The machine is held for a gang that gathers. */
  RESERVED_FOR_GANG,
  /** The machine reports, and nothing that is said to it arrives. */
  OUTBOUND_UNREACHABLE,
  /** It would have to fetch the image, and as many fetch as the operators allow. */
  IMAGE_FETCH_LIMIT,
  /** The machine is slow or faulty, and the job urgent or a gang. */
  SUSPECTED_SLOW_OR_FAULTY,
  /** A task of the job failed on the machine. */
  FAILED_ON_MACHINE,
  /** The job does not allow the type, zone or kind. */
  CONSTRAINTS,
  /** Not enough free room. */
  RESOURCES,
  /** The team's limit. */
  QUOTA,
  /** The zone rules of the job with its other tasks. */
  ZONE_RULES
}
