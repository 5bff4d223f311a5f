package org.mallowroad.wire;

/** The field names and values of the outside protocols; nothing else spells them out. */
public final class Fields {
  private Fields() {}

  // Jobs.
  public static final String ID = "name_id";
  public static final String CLASS = "docket";
  public static final String TEAM = "crew";
  public static final String KIND = "form";
  public static final String KIND_ARRAY = "sweep";
  public static final String KIND_SERVICE = "service";
  public static final String KIND_GANG = "gang";
  public static final String PRIORITY = "rank";
  public static final String TASKS = "moves";
  public static final String CPUS = "cpus";
  public static final String CARDS = "cards";
  public static final String MEM_GB = "mem_gb";
  public static final String IMAGE = "kit";
  public static final String IMAGE_GB = "size_gb";
  public static final String TYPES = "builds";
  public static final String ZONE = "ground";
  public static final String ZONES = "grounds";
  public static final String TOGETHER = "together";
  public static final String SCATTER = "scatter";
  public static final String SPOT = "driftwood";
  public static final String ESTIMATE_S = "reckon_s";
  public static final String CHECKPOINT_S = "cairn_s";
  public static final String SAVE_S = "stow_s";
  public static final String DUE_S = "due_s";
  public static final String STATE = "standing";
  public static final String DONE = "done";
  public static final String RUNNING = "running";
  public static final String QUEUED = "queued";
  public static final String WITHDRAWN = "withdrawn";
  public static final String ERROR = "error";

  // Workers.
  public static final String MACHINE = "hearth";
  public static final String MACHINES = "hearths";
  public static final String ADDRESS = "address";
  public static final String TYPE = "build";
  public static final String SESSION = "watch";
  public static final String SEQ = "tally";
  public static final String TOKEN = "baton";
  public static final String NOTICE_S = "warning_s";
  public static final String TASK = "move";
  public static final String ATTEMPT = "try";
  public static final String WHY = "cause";
  public static final String PULLING = "pulling";
  public static final String FLUSHING = "flushing";
  public static final String EXITED = "exited";
  public static final String ORDERS = "orders";
  public static final String ORDER = "order";
  public static final String LAUNCH = "launch";
  public static final String STOP = "stop";
  public static final String CLEAR = "clear";
  public static final String GRACE_S = "leeway_s";
  public static final String LEADER = "steward";

  /** Optional, ours: the worker takes images from other workers, and hands its own on. */
  public static final String HANDS_ON = "hands_on";

  /** Optional, ours: addresses of workers that hold a launch's image. */
  public static final String GIVERS = "givers";

  // Cloud.
  public static final String LABEL = "label";
  public static final String CACHE_GB = "local_gb";
  public static final String FETCH = "fetch_gb_per_s";
  public static final String PRICE = "price";
  public static final String SPOT_PRICE = "spot_price";
  public static final String BOOT_S = "boot_s";
  public static final String HIRE = "hire";
  public static final String COUNT = "how_many";
  public static final String TRUNCATED = "truncated";
  public static final String AGE_S = "age_s";
  public static final String STARTING = "starting";
  public static final String FAILED = "failed";

  // State service.
  public static final String KEY = "key";
  public static final String VALUE = "v";
  public static final String MARK = "mark";
  public static final String PAIRS = "pairs";
  public static final String IF = "if";
  public static final String WRITES = "writes";
  public static final String PUT = "put";
  public static final String DELETE = "delete";
  public static final String LEASE = "tenure";
  public static final String LIFE_MS = "life_ms";
  public static final String EPOCH = "epoch";
  public static final String EVENTS = "events";
}
