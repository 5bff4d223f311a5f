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
 * The records of attempts: a job's own, and those that small jobs share.
 *
 * <p>A record is written with every start, so each byte is paid for often. Unresolved attempts are
 * grouped by machine and worker session, {@code live: [[machine, incarnation, kind, task, number,
 * task, number, ...], ...]}, and what machines have in common is written once, {@code kinds:
 * [[type, zone, spot], ...]}. Tasks that are done are a bit set in hexadecimal, {@code done}.
 */
public final class AttemptRecordCodec {
  private static final String DONE = "done";
  private static final String HIGHEST_NUMBER = "high";
  private static final String KINDS = "kinds";
  private static final String LIVE = "live";

  /** Positions in a group of {@code live}. */
  private static final int GROUP_MACHINE = 0;

  private static final int GROUP_INCARNATION = 1;
  private static final int GROUP_KIND = 2;
  private static final int GROUP_ATTEMPTS = 3;

  /** Positions in an element of {@code kinds}. */
  private static final int KIND_TYPE = 0;

  private static final int KIND_ZONE = 1;
  private static final int KIND_SPOT = 2;

  private AttemptRecordCodec() {}

  /** Encodes the record of a part of a job's tasks. */
  public static ObjectNode encode(AttemptRecord record, NameIndex zones) {
    ObjectNode o = Json.object();
    BitSet done = new BitSet();
    int highestNumber = 0;
    Groups groups = new Groups(zones);
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
      o.put(DONE, HexFormat.of().formatHex(done.toByteArray()));
    }
    o.put(HIGHEST_NUMBER, highestNumber);
    if (!groups.live.isEmpty()) {
      o.set(KINDS, groups.kinds);
      o.set(LIVE, groups.live);
    }
    return o;
  }

  /** Unresolved attempts, grouped by machine and worker session. */
  private static final class Groups {
    private final NameIndex zones;
    private final ArrayNode kinds = Json.array();
    private final ArrayNode live = Json.array();
    private final Object2ObjectLinkedOpenHashMap<String, ArrayNode> byMachine =
        new Object2ObjectLinkedOpenHashMap<>();
    private final Object2IntOpenHashMap<String> kindIndex = new Object2IntOpenHashMap<>();

    Groups(NameIndex zones) {
      this.zones = zones;
    }

    void add(int task, Attempt attempt) {
      String key = attempt.machine.name + " " + attempt.incarnation;
      ArrayNode group = byMachine.get(key);
      if (group == null) {
        int kind = kind(attempt.machine);
        group = live.addArray().add(attempt.machine.name).add(attempt.incarnation).add(kind);
        byMachine.put(key, group);
      }
      group.add(task).add(attempt.number);
    }

    private int kind(Machine machine) {
      String key = machine.type.name() + " " + machine.zone + " " + machine.spot;
      int index = kindIndex.getOrDefault(key, -1);
      if (index < 0) {
        index = kindIndex.size();
        kindIndex.put(key, index);
        kinds.addArray().add(machine.type.name()).add(zones.name(machine.zone)).add(machine.spot);
      }
      return index;
    }
  }

  /** Encodes a record that small jobs share: by job, what a record of its own would have. */
  public static ObjectNode encodeShared(Iterable<AttemptRecord> members, NameIndex zones) {
    ObjectNode o = Json.object();
    for (AttemptRecord member : members) {
      o.set(member.job.spec.id(), encode(member, zones));
    }
    return o;
  }

  /** What a shared record has of each of its jobs, in the form of a record of its own. */
  public static List<Map.Entry<String, JsonNode>> membersOfShared(JsonNode sharedRecord) {
    return new ArrayList<>(sharedRecord.properties());
  }

  /** The unresolved attempts of a record. */
  public static List<RecordedAttempt> unresolvedAttempts(JsonNode attemptRecord) {
    List<RecordedAttempt> out = new ArrayList<>();
    for (JsonNode group : attemptRecord.path(LIVE)) {
      JsonNode kind = attemptRecord.path(KINDS).path(group.path(GROUP_KIND).asInt(-1));
      for (int i = GROUP_ATTEMPTS; i + 1 < group.size(); i += 2) {
        out.add(
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
    return out;
  }

  /** The tasks of a record that are done, counted from the first task of the record. */
  public static BitSet doneTasks(JsonNode attemptRecord) {
    JsonNode done = attemptRecord.get(DONE);
    return done == null ? new BitSet() : BitSet.valueOf(HexFormat.of().parseHex(done.asText()));
  }

  /** The highest attempt number of any task of a record. */
  public static int highestAttemptNumber(JsonNode attemptRecord) {
    return attemptRecord.path(HIGHEST_NUMBER).asInt();
  }
}
