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

/** What bad submissions get. */
final class JobCodecTest {
  static final String GOOD =
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
  void aGoodOneIsTaken() throws InvalidMessageException {
    JobSpec s = decode(GOOD);
    assertEquals(16, s.tasks());
    assertEquals(1, s.priority());
    assertEquals(-1, s.zone());
    assertTrue(s.together() && s.spot() && !s.scatter());
  }

  /** What a submission must have, and what it may not be; what may be null may be absent. */
  @Test
  void eachFieldIsJudgedByItsName() throws InvalidMessageException {
    ObjectNode good = Json.parseObject(GOOD.getBytes(StandardCharsets.UTF_8));
    Set<String> optional = Set.of("builds", "ground", "due_s");
    for (Iterator<String> it = good.fieldNames(); it.hasNext(); ) {
      String field = it.next();
      if (!optional.contains(field)) {
        refused(good, field, o -> o.remove(field));
        refused(good, field, o -> o.putNull(field));
      }
      refused(good, field, o -> o.putObject(field));
      if (good.get(field).isNumber()) {
        refused(good, field, o -> o.put(field, -1));
        refused(good, field, o -> o.put(field, "8"));
        refused(good, field, o -> o.put(field, 1e300));
        refused(good, field, o -> o.put(field, Double.POSITIVE_INFINITY));
        refused(good, field, o -> o.put(field, Double.NaN));
      } else if (good.get(field).isBoolean()) {
        refused(good, field, o -> o.put(field, "true"));
      } else {
        refused(good, field, o -> o.put(field, 7));
      }
    }
  }

  private static void refused(ObjectNode good, String field, Consumer<ObjectNode> wrong) {
    ObjectNode o = good.deepCopy();
    wrong.accept(o);
    InvalidMessageException e =
        assertThrows(InvalidMessageException.class, () -> CODEC.validate(o), field + ": " + o);
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  private static final JobCodec CODEC =
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
  void whatMayBeLeftOutMay(String from, String to) throws InvalidMessageException {
    decode(GOOD.replace(from, to == null ? "" : to));
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
  void aWrongFieldIsNamed(String from, String to, String field) {
    String json = GOOD.replace(from, to == null ? "" : to);
    InvalidMessageException e = assertThrows(InvalidMessageException.class, () -> decode(json));
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  private static final String TIED =
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
  void aWrongTieIsNamed(String from, String to, String field) throws InvalidMessageException {
    NameIndex teams = new NameIndex();
    teams.intern("vision");
    JobCodec codec =
        new JobCodec(teams, new NameIndex(), new NameIndex(), new NameIndex(), new NameIndex());
    String good = GOOD.trim().replaceFirst("\\{", TIED);
    JobSpec s = codec.validate(Json.parseObject(good.getBytes(StandardCharsets.UTF_8)));
    assertEquals(1, s.dependencies().foldedLeagues().size());
    assertEquals(9, s.dependencies().highestRequiredGames().get("k"));
    assertTrue(good.contains(from), "the row changes something");
    String bad = good.replace(from, to == null ? "" : to);
    InvalidMessageException e =
        assertThrows(
            InvalidMessageException.class,
            () -> codec.validate(Json.parseObject(bad.getBytes(StandardCharsets.UTF_8))));
    assertTrue(e.getMessage().startsWith(field), e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"|not JSON", "{|not JSON", "[]|not an object", "{} {}|not JSON", "5|not an object"})
  void whatIsNoObjectIsRefused(String json, String reason) {
    InvalidMessageException e =
        assertThrows(
            InvalidMessageException.class,
            () ->
                Json.parseObject(
                    (json == null ? "{\"a\"" : json).getBytes(StandardCharsets.UTF_8)));
    assertEquals(reason, e.getMessage());
  }
}
