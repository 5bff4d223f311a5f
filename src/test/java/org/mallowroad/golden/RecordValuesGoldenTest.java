package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.AttemptRecord;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.SharedAttemptRecord;
import org.mallowroad.core.Team;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.state.AttemptRecordCodec;
import org.mallowroad.state.JobRecordCodec;
import org.mallowroad.state.LeagueRecordCodec;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.RecordedAttempt;
import org.mallowroad.wire.DependencyCodec;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.MachineTypeCodec;

/** Values of the state service that an earlier build wrote are read and written again as such. */
final class RecordValuesGoldenTest {
  private static final GoldenFile VALUES = new GoldenFile("record-values.txt");
  private static final long NOW_MS = 1_000_000;

  private static final String SUBMISSION =
      "{\"name_id\":\"job-000412\",\"docket\":\"train\",\"crew\":\"vision\",\"form\":\"sweep\","
          + "\"rank\":\"urgent\",\"moves\":300,\"cpus\":1.5,\"cards\":1.0,\"mem_gb\":64.25,"
          + "\"kit\":\"img-07\",\"size_gb\":6.2,\"builds\":[\"g8\"],\"ground\":null,"
          + "\"together\":true,\"scatter\":false,\"driftwood\":true,\"reckon_s\":240.0,"
          + "\"cairn_s\":30.0,\"stow_s\":4.0,\"due_s\":900.0,\"unknown\":1,"
          + "\"holds\":{\"jobs\":[\"job-1\"],\"games\":[{\"league\":\"l\",\"up_to\":9}]}}";

  private static final String SECOND_SUBMISSION =
      SUBMISSION.replace("job-000412", "job-7").replace("\"moves\":300", "\"moves\":4");

  /** Names with indices, and machines that records speak of. */
  private static final class Deployment {
    private final NameIndex zones = new NameIndex();
    private final NameIndex types = new NameIndex();
    private final NameIndex teams = new NameIndex();
    private final JobCodec codec =
        new JobCodec(teams, zones, types, new NameIndex(), new NameIndex());
    private final SchedulerState schedulerState;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();

    Deployment() {
      zones.intern("a");
      zones.intern("b");
      teams.intern("vision");
      for (String name : List.of("g8", "c16")) {
        int index = types.intern(name);
        machineTypes.put(
            name, new MachineType(index, name, 96, 8, 768, 200, 1, 12, 4.5, 45, new int[] {0, 1}));
      }
      schedulerState =
          new SchedulerState(1, 20, 3, List.of(new Team("vision", 64, 0, 128, 0)), zones);
    }

    Job accept(String submission) throws InvalidMessageException {
      JsonNode record = Json.parseObject(submission.getBytes(StandardCharsets.UTF_8));
      JobSpec spec = codec.decode(JobCodec.copyKnownFields((ObjectNode) record), NOW_MS);
      return schedulerState.accept(spec, 5, 0, NOW_MS);
    }

    AttemptRecord restore(AttemptRecord attemptRecord, JsonNode run) {
      schedulerState.restoreRecord(
          attemptRecord,
          6,
          AttemptRecordCodec.doneTasks(run),
          AttemptRecordCodec.highestAttemptNumber(run));
      for (RecordedAttempt live : AttemptRecordCodec.unresolvedAttempts(run)) {
        MachineType type = machineTypes.get(live.type());
        Machine machine =
            schedulerState.registerMachine(
                live.machine(), type, zones.find(live.zone()), live.spot(), NOW_MS);
        schedulerState.restoreAttempt(
            attemptRecord.job, live.task(), live.number(), machine, live.incarnation(), NOW_MS);
      }
      return attemptRecord;
    }
  }

  /** Reads a value and writes it again. */
  @FunctionalInterface
  private interface Rewrite {
    JsonNode apply(ObjectNode value) throws InvalidMessageException;
  }

  private record Case(String key, Rewrite rewrite) {}

  private static List<Case> cases() {
    return List.of(
        new Case(RecordKeys.openJob("job-000412"), RecordValuesGoldenTest::rewriteOpen),
        new Case(RecordKeys.openJob("job-7"), RecordValuesGoldenTest::rewriteOpen),
        new Case(RecordKeys.endedJob("job-000412"), RecordValuesGoldenTest::rewriteEnd),
        new Case(RecordKeys.endedJob("job-7"), RecordValuesGoldenTest::rewriteEnd),
        new Case(
            RecordKeys.ATTEMPT_RECORDS_PREFIX + "job-000412/0",
            v -> {
              Deployment d = new Deployment();
              return AttemptRecordCodec.encode(
                  d.restore(d.accept(SUBMISSION).attemptRecord(0), v), d.zones);
            }),
        new Case(
            RecordKeys.ATTEMPT_RECORDS_PREFIX + "job-000412/2",
            v -> {
              Deployment d = new Deployment();
              return AttemptRecordCodec.encode(
                  d.restore(d.accept(SUBMISSION).attemptRecord(2), v), d.zones);
            }),
        new Case(
            RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX + "1-7",
            RecordValuesGoldenTest::rewriteShared),
        new Case(
            RecordKeys.league("pnw-2026"),
            v ->
                LeagueRecordCodec.encode(
                    v.get(LeagueRecordCodec.HIGHEST_GAME).asLong(),
                    v.get(LeagueRecordCodec.CHANGE_COUNT).asLong())),
        new Case(
            RecordKeys.dependencies("job-000412"),
            v -> DependencyCodec.encodeRecord(DependencyCodec.decodeRecord(v))),
        new Case(
            RecordKeys.dependencies("job-7"),
            v -> DependencyCodec.encodeRecord(DependencyCodec.decodeRecord(v))),
        new Case(
            RecordKeys.foldBlock(new BlockKey("pnw-2026", 31)),
            v -> FoldCodec.encodeBlock(FoldCodec.decodeBlock(v))),
        new Case("types", RecordValuesGoldenTest::rewriteTypes));
  }

  private static JsonNode rewriteOpen(ObjectNode value) {
    return JobRecordCodec.encodeOpen((ObjectNode) value.get("job"), value.get("at").asLong());
  }

  private static JsonNode rewriteEnd(ObjectNode value) {
    boolean done = value.get("end").asText().equals(Fields.DONE);
    return done
        ? JobRecordCodec.encodeDone(value.path("tasks").asInt())
        : JobRecordCodec.encodeCancelled(value.get("open"));
  }

  private static JsonNode rewriteTypes(ObjectNode value) throws InvalidMessageException {
    Deployment deployment = new Deployment();
    return MachineTypeCodec.encode(
        MachineTypeCodec.decode(value, deployment.types, deployment.zones), deployment.zones);
  }

  private static JsonNode rewriteShared(ObjectNode value) throws InvalidMessageException {
    Deployment deployment = new Deployment();
    SharedAttemptRecord shared = deployment.schedulerState.sharedAttemptRecords().restore("1-7", 6);
    assertEquals(
        RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX + "1-7", RecordKeys.sharedAttemptRecord(shared));
    List<AttemptRecord> members = new ArrayList<>();
    for (Map.Entry<String, JsonNode> run : AttemptRecordCodec.membersOfShared(value)) {
      String submission =
          SECOND_SUBMISSION.replace("job-7", run.getKey()).replace("\"moves\":4", "\"moves\":9");
      members.add(
          deployment.restore(deployment.accept(submission).attemptRecord(0), run.getValue()));
    }
    return AttemptRecordCodec.encodeShared(members, deployment.zones);
  }

  @TestFactory
  Iterable<DynamicTest> valuesAreReadAndWrittenAgainByteForByte() {
    return cases().stream()
        .map(
            c ->
                DynamicTest.dynamicTest(
                    c.key(),
                    () -> {
                      String golden = VALUES.entries().get(c.key());
                      ObjectNode value = Json.parseObject(golden.getBytes(StandardCharsets.UTF_8));
                      assertEquals(golden, Json.toText(c.rewrite().apply(value)));
                    }))
        .toList();
  }

  @Test
  void everyGoldenValueIsWrittenAgain() {
    assertEquals(List.copyOf(VALUES.entries().keySet()), cases().stream().map(Case::key).toList());
  }

  @Test
  void aSubmissionIsRecordedWithItsKnownFieldsInTheirOrder() throws InvalidMessageException {
    ObjectNode submission = Json.parseObject(SUBMISSION.getBytes(StandardCharsets.UTF_8));
    assertEquals(
        VALUES.entries().get(RecordKeys.openJob("job-000412")),
        Json.toText(JobRecordCodec.encodeOpen(submission, 1_800_000_000_123L)));
  }

  @Test
  void keysOfBlocksAreReadAndWrittenAgain() {
    assertEquals("fold/pnw-2026/0000031", RecordKeys.foldBlock(new BlockKey("pnw-2026", 31)));
    assertEquals(
        new BlockKey("pnw-2026", 31), RecordKeys.blockOfFoldBlockKey("fold/pnw-2026/0000031"));
    assertEquals("intent/job-7", RecordKeys.foldIntent("job-7"));
    assertEquals("release/job-7", RecordKeys.release("job-7"));
  }
}
