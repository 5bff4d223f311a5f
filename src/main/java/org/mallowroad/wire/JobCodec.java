package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.BlockNumberRanges;
import org.mallowroad.core.fold.Game;

/**
 * Decodes submissions: checks every field, and replaces names by their indices. Confined to the
 * thread of its tables.
 */
public final class JobCodec {
  /** The form of a job id. */
  public static final Pattern ID_PATTERN = Pattern.compile("job-[0-9]{1,40}");

  private static final int MAX_ID_LENGTH = 60;
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_IMAGE_LENGTH = 500;
  private static final int MAX_WORD_LENGTH = 20;
  private static final int MAX_TASKS = 100_000;
  private static final double MAX_AMOUNT = 1e9;

  /** The zone of a job that may run in any. */
  private static final int ANY_ZONE = -1;

  /** The zone of a job whose zone is not in the settings: no machine is in it. */
  private static final int UNKNOWN_ZONE = Integer.MAX_VALUE;

  private static final List<String> PRIORITIES = List.of("critical", "urgent", "normal", "idle");

  private final NameIndex teams;
  private final NameIndex zones;
  private final NameIndex types;
  private final NameIndex images;
  private final NameIndex classes;

  /** Looks indices up in these tables of names. */
  public JobCodec(
      NameIndex teams, NameIndex zones, NameIndex types, NameIndex images, NameIndex classes) {
    this.teams = teams;
    this.zones = zones;
    this.types = types;
    this.images = images;
    this.classes = classes;
  }

  /**
   * Decodes a submission only to validate it. Unknown names get no indices: a client that sends
   * wrong submissions must not fill the tables.
   */
  public JobSpec validate(JsonNode o) throws InvalidMessageException {
    return decode(o, 0, false);
  }

  /**
   * Decodes an accepted submission. An unknown team has index -1 and an unknown zone or type
   * matches nothing, which is for the caller to judge: the submission itself is well formed.
   */
  public JobSpec decode(JsonNode o, long submittedMs) throws InvalidMessageException {
    return decode(o, submittedMs, true);
  }

  private JobSpec decode(JsonNode o, long submittedMs, boolean accepted)
      throws InvalidMessageException {
    String id = Json.requiredString(o, Fields.ID, MAX_ID_LENGTH);
    if (!ID_PATTERN.matcher(id).matches()) {
      throw new InvalidMessageException(Fields.ID + ": not a job id");
    }
    String taskClass = Json.requiredString(o, Fields.TASK_CLASS, MAX_NAME_LENGTH);
    String team = Json.requiredString(o, Fields.TEAM, MAX_NAME_LENGTH);
    String kind = Json.requiredString(o, Fields.KIND, MAX_WORD_LENGTH);
    boolean service = kind.equals(Fields.KIND_SERVICE);
    boolean gang = kind.equals(Fields.KIND_GANG);
    if (!service && !gang && !kind.equals(Fields.KIND_ARRAY)) {
      throw new InvalidMessageException(Fields.KIND + ": unknown value");
    }
    int priority = priority(o);
    int tasks = (int) Json.requiredInteger(o, Fields.TASKS, 1, MAX_TASKS);
    double cpus = Json.requiredNumber(o, Fields.CPUS, MAX_AMOUNT);
    double cards = Json.requiredNumber(o, Fields.CARDS, MAX_AMOUNT);
    double memGb = Json.requiredNumber(o, Fields.MEMORY_GB, MAX_AMOUNT);
    String image = Json.requiredString(o, Fields.IMAGE, MAX_IMAGE_LENGTH);
    double imageGb = Json.requiredNumber(o, Fields.IMAGE_GB, MAX_AMOUNT);
    BitSet allowed = types(o, accepted);
    int zone = zone(o);
    boolean together = Json.requiredBoolean(o, Fields.TOGETHER);
    boolean scatter = Json.requiredBoolean(o, Fields.SCATTER);
    boolean spot = Json.requiredBoolean(o, Fields.SPOT);
    double estimate = Json.requiredNumber(o, Fields.ESTIMATED_RUNTIME_S, MAX_AMOUNT);
    double checkpoint = Json.requiredNumber(o, Fields.CHECKPOINT_INTERVAL_S, MAX_AMOUNT);
    double save = Json.requiredNumber(o, Fields.CHECKPOINT_SAVE_S, MAX_AMOUNT);
    double due = Json.optionalNumber(o, Fields.DEADLINE_S, MAX_AMOUNT, 0);
    return new JobSpec(
        id,
        accepted ? classes.intern(taskClass) : classes.find(taskClass),
        teams.find(team),
        service,
        gang,
        priority,
        tasks,
        cpus,
        cards,
        memGb,
        accepted ? images.intern(image) : images.find(image),
        imageGb,
        allowed,
        zone,
        together,
        scatter,
        spot,
        estimate,
        checkpoint,
        save,
        due,
        submittedMs,
        dependencies(o, service || gang, accepted));
  }

  private static int priority(JsonNode o) throws InvalidMessageException {
    int priority = PRIORITIES.indexOf(Json.requiredString(o, Fields.PRIORITY, MAX_WORD_LENGTH));
    if (priority < 0) {
      throw new InvalidMessageException(Fields.PRIORITY + ": unknown value");
    }
    return priority;
  }

  private int zone(JsonNode o) throws InvalidMessageException {
    String name = Json.optionalString(o, Fields.ZONE, MAX_NAME_LENGTH);
    if (name == null) {
      return ANY_ZONE;
    }
    int zone = zones.find(name);
    return zone >= 0 ? zone : UNKNOWN_ZONE;
  }

  /**
   * Decodes the games that a job folds and its dependencies. A record names only the blocks of its
   * games; a submission has the games themselves, which are validated.
   */
  private static JobDependencies dependencies(JsonNode o, boolean notArray, boolean accepted)
      throws InvalidMessageException {
    Map<String, IntList> folds;
    if (accepted) {
      folds = FoldCodec.decodeBlockKeys(o);
    } else {
      List<BlockKey> keys = FoldCodec.decodeGames(o).stream().map(Game::blockKey).toList();
      if (notArray && !keys.isEmpty()) {
        throw new InvalidMessageException(FoldCodec.FOLDS + ": only an array folds games");
      }
      folds = BlockNumberRanges.blockNumbersByLeague(keys);
    }
    JobDependencies dependencies = DependencyCodec.decodeDependencies(o);
    return folds.isEmpty() && !dependencies.isGated()
        ? JobDependencies.NONE
        : new JobDependencies(folds, dependencies.requiredJobs(), dependencies.requiredGames());
  }

  private BitSet types(JsonNode o, boolean accepted) throws InvalidMessageException {
    JsonNode n = o.get(Fields.MACHINE_TYPES);
    if (n == null || n.isNull()) {
      return null;
    }
    BitSet set = new BitSet();
    for (JsonNode t : Json.requiredArray(o, Fields.MACHINE_TYPES)) {
      if (!t.isTextual() || t.textValue().isEmpty() || t.textValue().length() > MAX_NAME_LENGTH) {
        throw new InvalidMessageException(Fields.MACHINE_TYPES + ": type names are needed");
      }
      // A type that the cloud does not offer yet may be offered later: it gets an index.
      int type = accepted ? types.intern(t.textValue()) : types.find(t.textValue());
      if (type >= 0) {
        set.set(type);
      }
    }
    return set;
  }

  /** Copies the known fields of a submission, for its record. */
  public static ObjectNode copyKnownFields(ObjectNode submission) {
    ObjectNode out = Json.object();
    for (String f :
        List.of(
            Fields.ID,
            Fields.TASK_CLASS,
            Fields.TEAM,
            Fields.KIND,
            Fields.PRIORITY,
            Fields.TASKS,
            Fields.CPUS,
            Fields.CARDS,
            Fields.MEMORY_GB,
            Fields.IMAGE,
            Fields.IMAGE_GB,
            Fields.MACHINE_TYPES,
            Fields.ZONE,
            Fields.TOGETHER,
            Fields.SCATTER,
            Fields.SPOT,
            Fields.ESTIMATED_RUNTIME_S,
            Fields.CHECKPOINT_INTERVAL_S,
            Fields.CHECKPOINT_SAVE_S,
            Fields.DEADLINE_S,
            DependencyCodec.DEPENDENCIES)) {
      JsonNode v = submission.get(f);
      if (v != null && !v.isNull()) {
        out.set(f, v);
      }
    }
    return out;
  }
}
