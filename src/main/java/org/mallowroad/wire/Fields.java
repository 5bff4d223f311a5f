package org.mallowroad.wire;

/** The field names and values of the outside protocols; nothing else spells them out. */
public final class Fields {
  private Fields() {}

  // Jobs.
  public static final String ID = "name_id";
  public static final String TASK_CLASS = "docket";
  public static final String TEAM = "crew";
  public static final String KIND = "form";
  public static final String KIND_ARRAY = "sweep";
  public static final String KIND_SERVICE = "service";
  public static final String KIND_GANG = "gang";
  public static final String PRIORITY = "rank";
  public static final String TASKS = "moves";
  public static final String CPUS = "cpus";
  public static final String CARDS = "cards";
  public static final String MEMORY_GB = "mem_gb";
  public static final String IMAGE = "kit";
  public static final String IMAGE_GB = "size_gb";
  public static final String MACHINE_TYPES = "builds";
  public static final String ZONE = "ground";
  public static final String ZONES = "grounds";
  public static final String TOGETHER = "together";
  public static final String SCATTER = "scatter";
  public static final String SPOT = "driftwood";
  public static final String ESTIMATED_RUNTIME_S = "reckon_s";
  public static final String CHECKPOINT_INTERVAL_S = "cairn_s";
  public static final String CHECKPOINT_SAVE_S = "stow_s";
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
  public static final String INCARNATION = "watch";
  public static final String SEQUENCE = "tally";
  public static final String FENCING_TOKEN = "baton";
  public static final String PREEMPTION_NOTICE_S = "warning_s";
  public static final String TASK = "move";
  public static final String ATTEMPT = "try";
  public static final String CAUSE = "cause";
  public static final String PULLING = "pulling";
  public static final String FLUSHING = "flushing";
  public static final String EXITED = "exited";
  public static final String COMMANDS = "orders";
  public static final String COMMAND = "order";
  public static final String LAUNCH = "launch";
  public static final String STOP = "stop";
  public static final String CLEAR = "clear";
  public static final String GRACE_PERIOD_S = "leeway_s";
  public static final String LEADER = "steward";

  /** Optional, ours: the worker takes images from other workers, and hands its own on. */
  public static final String SHARES_IMAGES = "hands_on";

  /** Optional, ours: addresses of workers that hold a launch's image. */
  public static final String IMAGE_SOURCES = "givers";

  // Cloud.
  public static final String TYPE_NAME = "label";
  public static final String IMAGE_CACHE_GB = "local_gb";
  public static final String IMAGE_FETCH_GB_PER_S = "fetch_gb_per_s";
  public static final String PRICE = "price";
  public static final String SPOT_PRICE = "spot_price";
  public static final String BOOT_TIME_S = "boot_s";
  public static final String RENTAL_REQUEST = "hire";
  public static final String COUNT = "how_many";
  public static final String TRUNCATED = "truncated";
  public static final String AGE_S = "age_s";
  public static final String STARTING = "starting";
  public static final String FAILED = "failed";

  // State service.
  public static final String KEY = "key";
  public static final String VALUE = "v";
  public static final String VERSION = "mark";
  public static final String ITEMS = "pairs";
  public static final String CONDITIONS = "if";
  public static final String WRITES = "writes";
  public static final String PUT = "put";
  public static final String DELETE = "delete";
  public static final String LEASE = "tenure";
  public static final String LEASE_DURATION_MS = "life_ms";
  public static final String REVISION = "epoch";
  public static final String EVENTS = "events";
}
