package org.mallowroad.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Machine;
import org.mallowroad.core.NameIndex;
import org.mallowroad.wire.Json;

/**
 * Encodes and decodes attempt records, both those of a single job and those that several small jobs
 * share.
 *
 * <p>Every task start writes a record, so the encoding is compact. Unresolved attempts are grouped
 * by machine and worker session, {@code live: [[machine, incarnation, kind, task, number, task,
 * number, ...], ...]}, and the properties that machines share are stored once, {@code kinds:
 * [[type, zone, spot], ...]}. The field {@code done} holds the completed tasks as a bit set in
 * hexadecimal.
 */
public final class AttemptRecordCodec {
  private static final String DONE = "done";
  private static final String HIGHEST_NUMBER = "high";
  private static final String KINDS = "kinds";
  private static final String LIVE = "live";

  /** Indices within a group of {@code live}; the task and attempt numbers follow in pairs. */
  private static final int GROUP_MACHINE = 0;

  private static final int GROUP_INCARNATION = 1;
  private static final int GROUP_KIND = 2;
  private static final int GROUP_ATTEMPTS = 3;

  /** Indices within an element of {@code kinds}. */
  private static final int KIND_TYPE = 0;

  private static final int KIND_ZONE = 1;
  private static final int KIND_SPOT = 2;

  private AttemptRecordCodec() {}

  /** Encodes the attempt record of one range of a job's tasks. */
  public static ObjectNode encode(AttemptRecord record, NameIndex zones) {
    ObjectNode recordNode = Json.object();
    BitSet done = new BitSet();
    int highestNumber = 0;
    AttemptGroups groups = new AttemptGroups(zones);
    for (int task = record.firstTask(); task < record.endTask(); task++) {
      if (record.job.isTaskDone(task)) {
        done.set(task - record.firstTask());
      }
      highestNumber = Math.max(highestNumber, record.job.highestAttemptNumber(task));
      Attempt attempt = record.job.liveAttempt(task);
      if (attempt != null) {
        groups.add(task, attempt);
      }
    }
    if (!done.isEmpty()) {
      recordNode.put(DONE, HexFormat.of().formatHex(done.toByteArray()));
    }
    recordNode.put(HIGHEST_NUMBER, highestNumber);
    if (!groups.live.isEmpty()) {
      recordNode.set(KINDS, groups.kinds);
      recordNode.set(LIVE, groups.live);
    }
    return recordNode;
  }

  /** Unresolved attempts, grouped by machine and worker session. */
  private static final class AttemptGroups {
    private final NameIndex zones;
    private final ArrayNode kinds = Json.array();
    private final ArrayNode live = Json.array();
    private final Object2ObjectLinkedOpenHashMap<String, ArrayNode> groupsBySession =
        new Object2ObjectLinkedOpenHashMap<>();
    private final Object2IntOpenHashMap<String> kindIndices = new Object2IntOpenHashMap<>();

    AttemptGroups(NameIndex zones) {
      this.zones = zones;
    }

    void add(int task, Attempt attempt) {
      String key = attempt.machine.name + " " + attempt.incarnation;
      ArrayNode group = groupsBySession.get(key);
      if (group == null) {
        int kind = indexOfKind(attempt.machine);
        group = live.addArray().add(attempt.machine.name).add(attempt.incarnation).add(kind);
        groupsBySession.put(key, group);
      }
      group.add(task).add(attempt.number);
    }

    private int indexOfKind(Machine machine) {
      String key = machine.type.name() + " " + machine.zone + " " + machine.spot;
      int index = kindIndices.getOrDefault(key, -1);
      if (index < 0) {
        index = kindIndices.size();
        kindIndices.put(key, index);
        kinds.addArray().add(machine.type.name()).add(zones.name(machine.zone)).add(machine.spot);
      }
      return index;
    }
  }

  /**
   * Encodes a record that several small jobs share. Each member is a field named by the job ID,
   * whose value has the form of a single-job record.
   */
  public static ObjectNode encodeShared(Iterable<AttemptRecord> members, NameIndex zones) {
    ObjectNode recordNode = Json.object();
    for (AttemptRecord member : members) {
      recordNode.set(member.job.spec.id(), encode(member, zones));
    }
    return recordNode;
  }

  /** Returns the members of a shared record by job ID, each in the form of a single-job record. */
  public static List<Map.Entry<String, JsonNode>> membersOfShared(JsonNode sharedRecord) {
    return new ArrayList<>(sharedRecord.properties());
  }

  /** Returns the unresolved attempts of a record. */
  public static List<RecordedAttempt> unresolvedAttempts(JsonNode attemptRecord) {
    List<RecordedAttempt> attempts = new ArrayList<>();
    for (JsonNode group : attemptRecord.path(LIVE)) {
      JsonNode kind = attemptRecord.path(KINDS).path(group.path(GROUP_KIND).asInt(-1));
      for (int i = GROUP_ATTEMPTS; i + 1 < group.size(); i += 2) {
        attempts.add(
            new RecordedAttempt(
                group.get(i).asInt(),
                group.get(i + 1).asInt(),
                group.get(GROUP_MACHINE).asText(),
                group.get(GROUP_INCARNATION).asLong(),
                kind.path(KIND_TYPE).asText(),
                kind.path(KIND_ZONE).asText(),
                kind.path(KIND_SPOT).asBoolean()));
      }
    }
    return attempts;
  }

  /** Returns the completed tasks of a record as indices relative to the record's first task. */
  public static BitSet doneTasks(JsonNode attemptRecord) {
    JsonNode done = attemptRecord.get(DONE);
    return done == null ? new BitSet() : BitSet.valueOf(HexFormat.of().parseHex(done.asText()));
  }

  /** Returns the highest attempt number of all tasks of a record. */
  public static int highestAttemptNumber(JsonNode attemptRecord) {
    return attemptRecord.path(HIGHEST_NUMBER).asInt();
  }
}
