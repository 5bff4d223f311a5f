package org.mallowroad.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.NameIndex;

/** Tests that invalid submissions are rejected with an error that names the invalid field. */
final class JobCodecTest {
  static final String VALID =
      """
      {"name_id":"job-000412","docket":"train","crew":"vision","form":"sweep","rank":"urgent","moves":16,
       "cpus":8.0,"cards":1.0,"mem_gb":64.0,"kit":"img-07","size_gb":6.2,"builds":["g8"],"ground":null,
       "together":true,"scatter":false,"driftwood":true,"reckon_s":240.0,"cairn_s":30.0,"stow_s":4.0,
       "due_s":900.0}
      """;

  private static JobSpec decode(String json) throws InvalidMessageException {
    NameIndex teams = new NameIndex();
    teams.intern("vision");
    return new JobCodec(teams, new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex())
        .decode(Json.parseObject(json.getBytes(StandardCharsets.UTF_8)), 1);
  }

  @Test
  void validSubmissionIsDecoded() throws InvalidMessageException {
    JobSpec spec = decode(VALID);
    assertEquals(16, spec.tasks());
    assertEquals(1, spec.priority());
    assertEquals(-1, spec.zone());
    assertTrue(spec.together() && spec.spot() && !spec.scatter());
  }

  /** Each field is tested missing, null, and with values of a wrong type or out of range. */
  @Test
  void missingOrMistypedFieldIsRejectedByItsName() throws InvalidMessageException {
    ObjectNode valid = Json.parseObject(VALID.getBytes(StandardCharsets.UTF_8));
    Set<String> optional = Set.of("builds", "ground", "due_s");
    for (Iterator<String> fieldNames = valid.fieldNames(); fieldNames.hasNext(); ) {
      String field = fieldNames.next();
      if (!optional.contains(field)) {
        assertRejected(valid, field, submission -> submission.remove(field));
        assertRejected(valid, field, submission -> submission.putNull(field));
      }
      assertRejected(valid, field, submission -> submission.putObject(field));
      if (valid.get(field).isNumber()) {
        assertRejected(valid, field, submission -> submission.put(field, -1));
        assertRejected(valid, field, submission -> submission.put(field, "8"));
        assertRejected(valid, field, submission -> submission.put(field, 1e300));
        assertRejected(valid, field, submission -> submission.put(field, Double.POSITIVE_INFINITY));
        assertRejected(valid, field, submission -> submission.put(field, Double.NaN));
      } else if (valid.get(field).isBoolean()) {
        assertRejected(valid, field, submission -> submission.put(field, "true"));
      } else {
        assertRejected(valid, field, submission -> submission.put(field, 7));
      }
    }
  }

  private static void assertRejected(ObjectNode valid, String field, Consumer<ObjectNode> change) {
    ObjectNode submission = valid.deepCopy();
    change.accept(submission);
    InvalidMessageException e =
        assertThrows(
            InvalidMessageException.class,
            () -> VALIDATING_CODEC.validate(submission),
            field + ": " + submission);
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  private static final JobCodec VALIDATING_CODEC =
      new JobCodec(
          new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex());

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"ground\":null,|",
        "\"builds\":[\"g8\"],|",
        "\"due_s\":900.0|\"due_s\":null",
        "\"due_s\":900.0|\"due_s\":900.0,\"later\":{}",
      })
  void optionalFieldMayBeNullOrAbsentAndUnknownFieldIsIgnored(String from, String to)
      throws InvalidMessageException {
    decode(VALID.replace(from, to == null ? "" : to));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "job-000412|job 1|name_id",
        "\"name_id\":\"job-000412\",||name_id",
        "\"vision\"|7|crew",
        "sweep|swarm|form",
        "urgent|asap|rank",
        "\"moves\":16|\"moves\":0|moves",
        "\"moves\":16|\"moves\":100001|moves",
        "\"moves\":16|\"moves\":1.5|moves",
        "\"moves\":16|\"moves\":\"16\"|moves",
        "\"cpus\":8.0|\"cpus\":-1|cpus",
        "\"cpus\":8.0|\"cpus\":1e400|cpus",
        "\"cpus\":8.0|\"cpus\":null|cpus",
        "\"mem_gb\":64.0,||mem_gb",
        "\"together\":true|\"together\":1|together",
        "[\"g8\"]|\"g8\"|builds",
        "[\"g8\"]|[8]|builds",
        "\"due_s\":900.0|\"due_s\":-5|due_s",
      })
  void errorNamesTheInvalidField(String from, String to, String field) {
    String json = VALID.replace(from, to == null ? "" : to);
    InvalidMessageException e = assertThrows(InvalidMessageException.class, () -> decode(json));
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  private static final String FOLDS_AND_DEPENDENCIES =
      "{\"folds\":[{\"league\":\"l\",\"game\":5,\"revision\":1,\"members\":[\"m-1\",\"m-2\"]}],"
          + "\"holds\":{\"jobs\":[\"job-1\"],\"games\":[{\"league\":\"k\",\"up_to\":9}]},";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"l\"|\"a/b\"|folds[0].league",
        "\"game\":5|\"game\":-1|folds[0].game",
        "\"revision\":1|\"revision\":0|folds[0].revision",
        "\"m-2\"|\"m 2\"|folds[0].members",
        "\"m-2\"|\"m-1\"|folds[0].members",
        "[\"m-1\",\"m-2\"]|[]|folds[0].members",
        "\"members\":[\"m-1\",\"m-2\"]}|\"members\":[\"m-1\"]},7|folds[1].league",
        "\"form\":\"sweep\"|\"form\":\"service\"|folds",
        "[\"job-1\"]|[\"job one\"]|holds.jobs",
        "[\"job-1\"]|7|holds.jobs",
        "\"up_to\":9|\"up_to\":-9|holds.games[0].up_to",
        "\"k\"|7|holds.games[0].league",
        "\"jobs\":[\"job-1\"],\"games\":[{\"league\":\"k\",\"up_to\":9}]||holds.jobs",
      })
  void errorNamesTheInvalidFoldOrDependency(String from, String to, String field)
      throws InvalidMessageException {
    NameIndex teams = new NameIndex();
    teams.intern("vision");
    JobCodec codec =
        new JobCodec(teams, new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex());
    String valid = VALID.trim().replaceFirst("\\{", FOLDS_AND_DEPENDENCIES);
    JobSpec spec = codec.validate(Json.parseObject(valid.getBytes(StandardCharsets.UTF_8)));
    assertEquals(1, spec.dependencies().foldedLeagues().size());
    assertEquals(9, spec.dependencies().highestRequiredGames().get("k"));
    assertTrue(valid.contains(from), "the submission contains the text to replace");
    String invalid = valid.replace(from, to == null ? "" : to);
    InvalidMessageException e =
        assertThrows(
            InvalidMessageException.class,
            () -> codec.validate(Json.parseObject(invalid.getBytes(StandardCharsets.UTF_8))));
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"|not JSON", "{|not JSON", "[]|not an object", "{} {}|not JSON", "5|not an object"})
  void bodyThatIsNotAJsonObjectIsRejected(String json, String reason) {
    InvalidMessageException e =
        assertThrows(
            InvalidMessageException.class,
            () ->
                Json.parseObject(
                    (json == null ? "{\"a\"" : json).getBytes(StandardCharsets.UTF_8)));
    assertEquals(reason, e.getMessage());
  }
}
