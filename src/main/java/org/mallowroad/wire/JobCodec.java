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
 * thread that owns the name indices.
 */
public final class JobCodec {
  /** The format of a job id. */
  public static final Pattern ID_PATTERN = Pattern.compile("job-[0-9]{1,40}");

  private static final int MAX_ID_LENGTH = 60;
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_IMAGE_LENGTH = 500;
  private static final int MAX_ENUM_VALUE_LENGTH = 20;
  private static final int MAX_TASKS = 100_000;
  private static final double MAX_AMOUNT = 1e9;

  /** The zone index of a job that may run in any zone. */
  private static final int ANY_ZONE = -1;

  /** The zone index of a job whose zone is not configured; no machine has it. */
  private static final int UNKNOWN_ZONE = Integer.MAX_VALUE;

  private static final List<String> PRIORITIES = List.of("critical", "urgent", "normal", "idle");

  private final NameIndex teams;
  private final NameIndex zones;
  private final NameIndex machineTypes;
  private final NameIndex images;
  private final NameIndex taskClasses;

  /** Creates a codec that takes indices from these name indices. */
  public JobCodec(
      NameIndex teams,
      NameIndex zones,
      NameIndex machineTypes,
      NameIndex images,
      NameIndex taskClasses) {
    this.teams = teams;
    this.zones = zones;
    this.machineTypes = machineTypes;
    this.images = images;
    this.taskClasses = taskClasses;
  }

  /**
   * Decodes a submission only to validate it. Unknown names are not added to the name indices, so
   * that a client cannot fill them with invalid submissions.
   */
  public JobSpec validate(JsonNode submission) throws InvalidMessageException {
    return decode(submission, 0, false);
  }

  /**
   * Decodes an accepted submission. An unknown team has index -1, and an unknown zone or type
   * matches no machine. The submission is still well formed; the caller decides what to do about
   * it.
   */
  public JobSpec decode(JsonNode submission, long submittedMs) throws InvalidMessageException {
    return decode(submission, submittedMs, true);
  }

  private JobSpec decode(JsonNode submission, long submittedMs, boolean isAccepted)
      throws InvalidMessageException {
    String id = Json.requiredString(submission, Fields.ID, MAX_ID_LENGTH);
    if (!ID_PATTERN.matcher(id).matches()) {
      throw new InvalidMessageException(Fields.ID + ": not a job id");
    }
    String taskClass = Json.requiredString(submission, Fields.TASK_CLASS, MAX_NAME_LENGTH);
    String team = Json.requiredString(submission, Fields.TEAM, MAX_NAME_LENGTH);
    String kind = Json.requiredString(submission, Fields.KIND, MAX_ENUM_VALUE_LENGTH);
    boolean isService = kind.equals(Fields.KIND_SERVICE);
    boolean isGang = kind.equals(Fields.KIND_GANG);
    if (!isService && !isGang && !kind.equals(Fields.KIND_ARRAY)) {
      throw new InvalidMessageException(Fields.KIND + ": unknown value");
    }
    int priority = decodePriority(submission);
    int tasks = (int) Json.requiredInteger(submission, Fields.TASKS, 1, MAX_TASKS);
    double cpus = Json.requiredNumber(submission, Fields.CPUS, MAX_AMOUNT);
    double cards = Json.requiredNumber(submission, Fields.CARDS, MAX_AMOUNT);
    double memGb = Json.requiredNumber(submission, Fields.MEMORY_GB, MAX_AMOUNT);
    String image = Json.requiredString(submission, Fields.IMAGE, MAX_IMAGE_LENGTH);
    double imageGb = Json.requiredNumber(submission, Fields.IMAGE_GB, MAX_AMOUNT);
    BitSet allowedTypes = decodeMachineTypes(submission, isAccepted);
    int zone = decodeZone(submission);
    boolean together = Json.requiredBoolean(submission, Fields.TOGETHER);
    boolean scatter = Json.requiredBoolean(submission, Fields.SCATTER);
    boolean spot = Json.requiredBoolean(submission, Fields.SPOT);
    double estimatedRuntimeS =
        Json.requiredNumber(submission, Fields.ESTIMATED_RUNTIME_S, MAX_AMOUNT);
    double checkpointIntervalS =
        Json.requiredNumber(submission, Fields.CHECKPOINT_INTERVAL_S, MAX_AMOUNT);
    double checkpointSaveS = Json.requiredNumber(submission, Fields.CHECKPOINT_SAVE_S, MAX_AMOUNT);
    double deadlineS = Json.optionalNumber(submission, Fields.DEADLINE_S, MAX_AMOUNT, 0);
    return new JobSpec(
        id,
        isAccepted ? taskClasses.intern(taskClass) : taskClasses.find(taskClass),
        teams.find(team),
        isService,
        isGang,
        priority,
        tasks,
        cpus,
        cards,
        memGb,
        isAccepted ? images.intern(image) : images.find(image),
        imageGb,
        allowedTypes,
        zone,
        together,
        scatter,
        spot,
        estimatedRuntimeS,
        checkpointIntervalS,
        checkpointSaveS,
        deadlineS,
        submittedMs,
        decodeJobDependencies(submission, isService || isGang, isAccepted));
  }

  private static int decodePriority(JsonNode submission) throws InvalidMessageException {
    int priority =
        PRIORITIES.indexOf(Json.requiredString(submission, Fields.PRIORITY, MAX_ENUM_VALUE_LENGTH));
    if (priority < 0) {
      throw new InvalidMessageException(Fields.PRIORITY + ": unknown value");
    }
    return priority;
  }

  private int decodeZone(JsonNode submission) throws InvalidMessageException {
    String name = Json.optionalString(submission, Fields.ZONE, MAX_NAME_LENGTH);
    if (name == null) {
      return ANY_ZONE;
    }
    int zone = zones.find(name);
    return zone >= 0 ? zone : UNKNOWN_ZONE;
  }

  /**
   * Decodes the games that a job folds and its dependencies. A record contains only the block keys
   * of its games; a submission contains the games themselves, which are validated.
   */
  private static JobDependencies decodeJobDependencies(
      JsonNode submission, boolean isNotArray, boolean isAccepted) throws InvalidMessageException {
    Map<String, IntList> folds;
    if (isAccepted) {
      folds = FoldCodec.decodeBlockKeys(submission);
    } else {
      List<BlockKey> keys = FoldCodec.decodeGames(submission).stream().map(Game::blockKey).toList();
      if (isNotArray && !keys.isEmpty()) {
        throw new InvalidMessageException(FoldCodec.FOLDS + ": only an array folds games");
      }
      folds = BlockNumberRanges.blockNumbersByLeague(keys);
    }
    JobDependencies dependencies = DependencyCodec.decodeDependencies(submission);
    return folds.isEmpty() && !dependencies.isGated()
        ? JobDependencies.NONE
        : new JobDependencies(folds, dependencies.requiredJobs(), dependencies.requiredGames());
  }

  private BitSet decodeMachineTypes(JsonNode submission, boolean isAccepted)
      throws InvalidMessageException {
    JsonNode node = submission.get(Fields.MACHINE_TYPES);
    if (node == null || node.isNull()) {
      return null;
    }
    BitSet allowed = new BitSet();
    for (JsonNode typeName : Json.requiredArray(submission, Fields.MACHINE_TYPES)) {
      if (!typeName.isTextual()
          || typeName.textValue().isEmpty()
          || typeName.textValue().length() > MAX_NAME_LENGTH) {
        throw new InvalidMessageException(Fields.MACHINE_TYPES + ": type names are needed");
      }
      // The cloud may offer an unknown type later, so it gets an index.
      int typeIndex =
          isAccepted
              ? machineTypes.intern(typeName.textValue())
              : machineTypes.find(typeName.textValue());
      if (typeIndex >= 0) {
        allowed.set(typeIndex);
      }
    }
    return allowed;
  }

  /** Copies the known fields of a submission for its record. */
  public static ObjectNode copyKnownFields(ObjectNode submission) {
    ObjectNode copy = Json.object();
    for (String field :
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
      JsonNode value = submission.get(field);
      if (value != null && !value.isNull()) {
        copy.set(field, value);
      }
    }
    return copy;
  }
}
