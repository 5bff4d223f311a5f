package org.mallowroad.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.fold.Block;
import org.mallowroad.core.fold.BlockKey;
import org.mallowroad.core.fold.Fold;
import org.mallowroad.fake.InMemoryKeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Checks the checks of {@link RatingModel}: a history without a fault breaks no rule, and each
 * mutation of it is reported under exactly the rule that it breaks. Guards against a model that
 * overlooks a lost, duplicate or premature fold or print.
 */
final class RatingModelTest {
  /**
   * A history in which two jobs have folded games 0 and 1 of one member, and a print job waits for
   * the first of them.
   */
  private static final class ScriptedRatingHistory {
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    final InvariantChecker checker =
        new InvariantChecker(() -> 1_000, Map.of("blue", 99.0), 10_000);
    final RatingModel model = new RatingModel(checker, store);

    ScriptedRatingHistory() {
      model.addRatingJob("job-1", List.of(new RatingModel.Want(0, "m", 1)));
      model.addRatingJob("job-2", List.of(new RatingModel.Want(1, "m", 1)));
      model.addPrintJob("job-3", List.of("job-1"));
      for (String jobId : List.of("job-1", "job-2", "job-3")) {
        checker.observeFirstSubmission(
            new InvariantChecker.SubmittedJob(jobId, "blue", "c", 1, 1, null, false, false, 0));
        checker.observeSubmissionAnswer(jobId, 201, "queued", 0);
      }
      storeFoldBlock("job-1", "job-2");
      writeRecord(RecordKeys.endedJob("job-1"), Json.object().put("end", "done"));
      writeRecord(RecordKeys.endedJob("job-2"), Json.object().put("end", "done"));
    }

    void storeFoldBlock(String jobOfGame0, String jobOfGame1) {
      Block block = new Block();
      block.set(new Block.Side(0, "m"), new Fold(1, false, jobOfGame0, false, null));
      if (jobOfGame1 != null) {
        block.set(new Block.Side(1, "m"), new Fold(1, false, jobOfGame1, false, null));
      }
      writeRecord(RecordKeys.foldBlock(new BlockKey("pnw-2026", 0)), FoldCodec.encodeBlock(block));
    }

    void writeRecord(String key, JsonNode value) {
      ObjectNode transaction = Json.object();
      ObjectNode write = transaction.putArray("writes").addObject();
      if (value == null) {
        write.put("delete", key);
      } else {
        write.put("put", key).set("v", value);
      }
      try {
        store.serve("POST", "/multi", Json.toBytes(transaction), 0);
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
    }

    void completePrintJob() {
      checker.observeTaskStart("job-3/0", 1, "m1", "a");
      checker.observeTaskExit("job-3/0", "m1", true);
      writeRecord(RecordKeys.endedJob("job-3"), Json.object().put("end", "done"));
    }
  }

  private static DynamicTest breachCase(
      String rule, String name, Consumer<ScriptedRatingHistory> completion) {
    return DynamicTest.dynamicTest(
        rule + ": " + name,
        () -> {
          ScriptedRatingHistory history = new ScriptedRatingHistory();
          completion.accept(history);
          history.model.checkAtEnd();
          List<String> rules =
              history.checker.breaches().stream()
                  .map(InvariantChecker.Breach::rule)
                  .distinct()
                  .toList();
          assertEquals(rule.isEmpty() ? List.of() : List.of(rule), rules);
        });
  }

  @TestFactory
  Stream<DynamicTest> eachMutatedHistoryBreaksExactlyItsRule() {
    return Stream.of(
        breachCase(
            "",
            "a history without a fault breaks no rule",
            ScriptedRatingHistory::completePrintJob),
        breachCase(
            "folded_twice",
            "two jobs are done with the same side, and a later correction hides it",
            history -> {
              history.model.addRatingJob("job-2", List.of(new RatingModel.Want(0, "m", 1)));
              Block block = new Block();
              Fold base = new Fold(1, false, "job-1", true, null);
              block.set(new Block.Side(0, "m"), new Fold(2, false, "job-5", false, base));
              history.writeRecord(
                  RecordKeys.foldBlock(new BlockKey("pnw-2026", 0)), FoldCodec.encodeBlock(block));
              history.completePrintJob();
            }),
        breachCase(
            "skipped",
            "a job is done, but its side is not on record",
            history -> {
              history.storeFoldBlock("job-1", null);
              history.completePrintJob();
            }),
        breachCase(
            "half_folded",
            "a job that was never accepted has claims",
            history -> {
              history.model.addRatingJob("job-6", List.of(new RatingModel.Want(2, "m", 1)));
              Block block = new Block();
              block.set(new Block.Side(0, "m"), new Fold(1, false, "job-1", false, null));
              block.set(new Block.Side(1, "m"), new Fold(1, false, "job-2", false, null));
              block.set(new Block.Side(2, "m"), new Fold(1, false, "job-6", false, null));
              history.writeRecord(
                  RecordKeys.foldBlock(new BlockKey("pnw-2026", 0)), FoldCodec.encodeBlock(block));
              history.completePrintJob();
            }),
        breachCase(
            "printed_early",
            "a print job starts before the job it waits for is done",
            history -> {
              history.writeRecord(RecordKeys.endedJob("job-1"), null);
              history.writeRecord(RecordKeys.openJob("job-1"), Json.object());
              history.completePrintJob();
            }),
        breachCase(
            "held_for_ever",
            "a print job never ends although the job it waits for is done",
            history -> {}));
  }
}
