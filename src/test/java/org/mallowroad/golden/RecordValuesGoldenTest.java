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

/**
 * Checks that stored values of an earlier build are decoded and encoded again to the same bytes.
 */
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

  /** The name indices, machine types and scheduler state that decoding the records needs. */
  private static final class StateFixture {
    private final NameIndex zones = new NameIndex();
    private final NameIndex types = new NameIndex();
    private final NameIndex teams = new NameIndex();
    private final JobCodec codec =
        new JobCodec(teams, zones, types, new NameIndex(), new NameIndex());
    private final SchedulerState schedulerState;
    private final Map<String, MachineType> machineTypes = new LinkedHashMap<>();

    StateFixture() {
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

    AttemptRecord restore(AttemptRecord attemptRecord, JsonNode encoded) {
      schedulerState.restoreRecord(
          attemptRecord,
          6,
          AttemptRecordCodec.doneTasks(encoded),
          AttemptRecordCodec.highestAttemptNumber(encoded));
      for (RecordedAttempt attempt : AttemptRecordCodec.unresolvedAttempts(encoded)) {
        MachineType type = machineTypes.get(attempt.type());
        Machine machine =
            schedulerState.registerMachine(
                attempt.machine(), type, zones.find(attempt.zone()), attempt.spot(), NOW_MS);
        schedulerState.restoreAttempt(
            attemptRecord.job,
            attempt.task(),
            attempt.number(),
            machine,
            attempt.incarnation(),
            NOW_MS);
      }
      return attemptRecord;
    }
  }

  /** Decodes a stored value and encodes it again. */
  @FunctionalInterface
  private interface Reencoder {
    JsonNode apply(ObjectNode value) throws InvalidMessageException;
  }

  private record Case(String key, Reencoder reencoder) {}

  private static List<Case> cases() {
    return List.of(
        new Case(RecordKeys.openJob("job-000412"), RecordValuesGoldenTest::reencodeOpenJob),
        new Case(RecordKeys.openJob("job-7"), RecordValuesGoldenTest::reencodeOpenJob),
        new Case(RecordKeys.endedJob("job-000412"), RecordValuesGoldenTest::reencodeEndedJob),
        new Case(RecordKeys.endedJob("job-7"), RecordValuesGoldenTest::reencodeEndedJob),
        new Case(
            RecordKeys.ATTEMPT_RECORDS_PREFIX + "job-000412/0",
            value -> {
              StateFixture fixture = new StateFixture();
              return AttemptRecordCodec.encode(
                  fixture.restore(fixture.accept(SUBMISSION).attemptRecord(0), value),
                  fixture.zones);
            }),
        new Case(
            RecordKeys.ATTEMPT_RECORDS_PREFIX + "job-000412/2",
            value -> {
              StateFixture fixture = new StateFixture();
              return AttemptRecordCodec.encode(
                  fixture.restore(fixture.accept(SUBMISSION).attemptRecord(2), value),
                  fixture.zones);
            }),
        new Case(
            RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX + "1-7",
            RecordValuesGoldenTest::reencodeSharedAttemptRecord),
        new Case(
            RecordKeys.league("pnw-2026"),
            value ->
                LeagueRecordCodec.encode(
                    value.get(LeagueRecordCodec.HIGHEST_GAME).asLong(),
                    value.get(LeagueRecordCodec.CHANGE_COUNT).asLong())),
        new Case(
            RecordKeys.dependencies("job-000412"),
            value -> DependencyCodec.encodeRecord(DependencyCodec.decodeRecord(value))),
        new Case(
            RecordKeys.dependencies("job-7"),
            value -> DependencyCodec.encodeRecord(DependencyCodec.decodeRecord(value))),
        new Case(
            RecordKeys.foldBlock(new BlockKey("pnw-2026", 31)),
            value -> FoldCodec.encodeBlock(FoldCodec.decodeBlock(value))),
        new Case("types", RecordValuesGoldenTest::reencodeMachineTypes));
  }

  private static JsonNode reencodeOpenJob(ObjectNode value) {
    return JobRecordCodec.encodeOpen((ObjectNode) value.get("job"), value.get("at").asLong());
  }

  private static JsonNode reencodeEndedJob(ObjectNode value) {
    boolean isDone = value.get("end").asText().equals(Fields.DONE);
    return isDone
        ? JobRecordCodec.encodeDone(value.path("tasks").asInt())
        : JobRecordCodec.encodeCancelled(value.get("open"));
  }

  private static JsonNode reencodeMachineTypes(ObjectNode value) throws InvalidMessageException {
    StateFixture fixture = new StateFixture();
    return MachineTypeCodec.encode(
        MachineTypeCodec.decode(value, fixture.types, fixture.zones), fixture.zones);
  }

  private static JsonNode reencodeSharedAttemptRecord(ObjectNode value)
      throws InvalidMessageException {
    StateFixture fixture = new StateFixture();
    SharedAttemptRecord shared = fixture.schedulerState.sharedAttemptRecords().restore("1-7", 6);
    assertEquals(
        RecordKeys.SHARED_ATTEMPT_RECORDS_PREFIX + "1-7", RecordKeys.sharedAttemptRecord(shared));
    List<AttemptRecord> members = new ArrayList<>();
    for (Map.Entry<String, JsonNode> member : AttemptRecordCodec.membersOfShared(value)) {
      String submission =
          SECOND_SUBMISSION.replace("job-7", member.getKey()).replace("\"moves\":4", "\"moves\":9");
      members.add(fixture.restore(fixture.accept(submission).attemptRecord(0), member.getValue()));
    }
    return AttemptRecordCodec.encodeShared(members, fixture.zones);
  }

  @TestFactory
  Iterable<DynamicTest> storedValuesAreDecodedAndReencodedByteForByte() {
    return cases().stream()
        .map(
            testCase ->
                DynamicTest.dynamicTest(
                    testCase.key(),
                    () -> {
                      String golden = VALUES.entries().get(testCase.key());
                      ObjectNode value = Json.parseObject(golden.getBytes(StandardCharsets.UTF_8));
                      assertEquals(golden, Json.toText(testCase.reencoder().apply(value)));
                    }))
        .toList();
  }

  @Test
  void everyGoldenValueHasATestCaseInTheSameOrder() {
    assertEquals(List.copyOf(VALUES.entries().keySet()), cases().stream().map(Case::key).toList());
  }

  @Test
  void submissionIsRecordedWithItsKnownFieldsInOrder() throws InvalidMessageException {
    ObjectNode submission = Json.parseObject(SUBMISSION.getBytes(StandardCharsets.UTF_8));
    assertEquals(
        VALUES.entries().get(RecordKeys.openJob("job-000412")),
        Json.toText(JobRecordCodec.encodeOpen(submission, 1_800_000_000_123L)));
  }

  @Test
  void foldKeysMatchTheirStoredForm() {
    assertEquals("fold/pnw-2026/0000031", RecordKeys.foldBlock(new BlockKey("pnw-2026", 31)));
    assertEquals(
        new BlockKey("pnw-2026", 31), RecordKeys.blockOfFoldBlockKey("fold/pnw-2026/0000031"));
    assertEquals("intent/job-7", RecordKeys.foldIntent("job-7"));
    assertEquals("release/job-7", RecordKeys.release("job-7"));
  }
}
