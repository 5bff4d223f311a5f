package org.mallowroad.wire;

/**
 * The field names and values of the platform's protocols, which use their own vocabulary. This is
 * the only place where they are mapped to the standard terms that the code uses. The suffixes
 * {@code _S}, {@code _MS} and {@code _GB} state the unit: seconds, milliseconds and gigabytes.
 */
public final class Fields {
  private Fields() {}

  // Jobs.
  public static final String ID = "name_id";

  /** The class of a job, for which service objectives may be set. */
  public static final String TASK_CLASS = "docket";

  public static final String TEAM = "crew";
  public static final String KIND = "form";

  /** A job array: its tasks run independently of each other. */
  public static final String KIND_ARRAY = "sweep";

  /** A service: its tasks run until the job is cancelled. */
  public static final String KIND_SERVICE = "service";

  /** A gang: its tasks are started together or not at all. */
  public static final String KIND_GANG = "gang";

  /** One of critical, urgent, normal and idle. */
  public static final String PRIORITY = "rank";

  /** In a submission the number of tasks; in a heartbeat the list of attempts on the machine. */
  public static final String TASKS = "moves";

  public static final String CPUS = "cpus";

  /** The number of accelerator cards of a task or of a machine. */
  public static final String CARDS = "cards";

  public static final String MEMORY_GB = "mem_gb";

  /** The container image of a task. */
  public static final String IMAGE = "kit";

  public static final String IMAGE_GB = "size_gb";

  /** In a submission the allowed machine types; in a response the list of types. */
  public static final String MACHINE_TYPES = "builds";

  /** The only zone in which a job may run, or the zone of a machine. */
  public static final String ZONE = "ground";

  public static final String ZONES = "grounds";

  /** Whether all tasks must be in one zone. */
  public static final String TOGETHER = "together";

  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  public static final String SCATTER = "scatter";

  /**
   * In a submission whether spot machines are allowed; else whether a machine is a spot machine.
   */
  public static final String SPOT = "driftwood";

  /** The owner's estimate of the run time of a task, excluding the image fetch. */
  public static final String ESTIMATED_RUNTIME_S = "reckon_s";

  /** The run time between two checkpoints; 0 for a task that saves none. */
  public static final String CHECKPOINT_INTERVAL_S = "cairn_s";

  /** The time that a stopped task needs to save a checkpoint. */
  public static final String CHECKPOINT_SAVE_S = "stow_s";

  /** Seconds after submission by which the job should be done; null for no deadline. */
  public static final String DEADLINE_S = "due_s";

  public static final String STATE = "standing";
  public static final String DONE = "done";
  public static final String RUNNING = "running";
  public static final String QUEUED = "queued";
  public static final String CANCELLED = "withdrawn";
  public static final String ERROR = "error";

  // Workers.
  public static final String MACHINE = "hearth";
  public static final String MACHINES = "hearths";
  public static final String ADDRESS = "address";
  public static final String MACHINE_TYPE = "build";

  /** Increases each time a worker's lease expires. */
  public static final String INCARNATION = "watch";

  /** Orders the messages of a worker within an incarnation. */
  public static final String SEQUENCE = "tally";

  /** In commands the token of the sending leader; in a heartbeat the highest token seen. */
  public static final String FENCING_TOKEN = "baton";

  /** The time until the cloud preempts the machine; null without a preemption notice. */
  public static final String PREEMPTION_NOTICE_S = "warning_s";

  /** A task, as the job id and the task number separated by a slash. */
  public static final String TASK = "move";

  /** The number of an attempt to run a task. */
  public static final String ATTEMPT = "try";

  /** Why an attempt ended. */
  public static final String CAUSE = "cause";

  /** The attempt is fetching its image. */
  public static final String PULLING = "pulling";

  /** The attempt is saving a checkpoint before it ends. */
  public static final String FLUSHING = "flushing";

  public static final String EXITED = "exited";
  public static final String COMMANDS = "orders";
  public static final String COMMAND = "order";
  public static final String LAUNCH = "launch";
  public static final String STOP = "stop";

  /** The command to omit an exited attempt from further heartbeats. */
  public static final String CLEAR = "clear";

  /** The time that a stopped attempt is given to save a checkpoint. */
  public static final String GRACE_PERIOD_S = "leeway_s";

  /** The name of the leader, to which a worker is redirected. */
  public static final String LEADER = "steward";

  /** Optional extension: whether the worker exchanges images with other workers. */
  public static final String SHARES_IMAGES = "hands_on";

  /** Optional extension: the addresses of workers that have the image of the launched task. */
  public static final String IMAGE_SOURCES = "givers";

  // Cloud.

  /** The name of a machine type. */
  public static final String TYPE_NAME = "label";

  /** The size of a machine's image cache. */
  public static final String IMAGE_CACHE_GB = "local_gb";

  /** The rate at which a machine fetches images. */
  public static final String IMAGE_FETCH_GB_PER_S = "fetch_gb_per_s";

  /** The price per hour. */
  public static final String PRICE = "price";

  public static final String SPOT_PRICE = "spot_price";
  public static final String BOOT_TIME_S = "boot_s";

  /** The name of a rental request, which is its idempotency key. */
  public static final String RENTAL_REQUEST = "hire";

  public static final String COUNT = "how_many";

  /** Whether there is a next page of the list. */
  public static final String TRUNCATED = "truncated";

  public static final String AGE_S = "age_s";
  public static final String STARTING = "starting";
  public static final String FAILED = "failed";

  // State service.
  public static final String KEY = "key";
  public static final String VALUE = "v";

  /** The revision at which a key was last written; 0 when it does not exist. */
  public static final String VERSION = "mark";

  /** The list of keys with their values and versions. */
  public static final String ITEMS = "pairs";

  /** The versions that keys must have for the transaction to be applied. */
  public static final String CONDITIONS = "if";

  public static final String WRITES = "writes";
  public static final String PUT = "put";
  public static final String DELETE = "delete";

  /** The lease to which a key is attached; the key is deleted when the lease expires. */
  public static final String LEASE = "tenure";

  public static final String LEASE_DURATION_MS = "life_ms";

  /** The revision of the store, which increases with each change. */
  public static final String REVISION = "epoch";

  public static final String EVENTS = "events";
}
