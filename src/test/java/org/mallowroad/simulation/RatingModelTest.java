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

/** What the judge of folds and prints must see: each mutant of a good store breaks one rule. */
final class RatingModelTest {
  /** Two jobs that fold game 0 and 1 of one member, and a print that waits for the first. */
  private static final class Told {
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    final InvariantChecker checker =
        new InvariantChecker(() -> 1_000, Map.of("blue", 99.0), 10_000);
    final RatingModel model = new RatingModel(checker, store);

    Told() {
      model.addRatingJob("job-1", List.of(new RatingModel.Want(0, "m", 1)));
      model.addRatingJob("job-2", List.of(new RatingModel.Want(1, "m", 1)));
      model.addPrintJob("job-3", List.of("job-1"));
      for (String j : List.of("job-1", "job-2", "job-3")) {
        checker.observeFirstSubmission(
            new InvariantChecker.SubmittedJob(j, "blue", "c", 1, 1, null, false, false, 0));
        checker.observeSubmissionAnswer(j, 201, "queued", 0);
      }
      sides("job-1", "job-2");
      put(RecordKeys.endedJob("job-1"), Json.object().put("end", "done"));
      put(RecordKeys.endedJob("job-2"), Json.object().put("end", "done"));
    }

    void sides(String first, String second) {
      Block b = new Block();
      b.set(new Block.Side(0, "m"), new Fold(1, false, first, false, null));
      if (second != null) {
        b.set(new Block.Side(1, "m"), new Fold(1, false, second, false, null));
      }
      put(RecordKeys.foldBlock(new BlockKey("pnw-2026", 0)), FoldCodec.encodeBlock(b));
    }

    void put(String key, JsonNode v) {
      ObjectNode t = Json.object();
      ObjectNode w = t.putArray("writes").addObject();
      if (v == null) {
        w.put("delete", key);
      } else {
        w.put("put", key).set("v", v);
      }
      try {
        store.serve("POST", "/multi", Json.toBytes(t), 0);
      } catch (InvalidMessageException e) {
        throw new AssertionError(e);
      }
    }

    void printed() {
      checker.observeTaskStart("job-3/0", 1, "m1", "a");
      checker.observeTaskExit("job-3/0", "m1", true);
      put(RecordKeys.endedJob("job-3"), Json.object().put("end", "done"));
    }
  }

  private static DynamicTest breaks(String rule, String name, Consumer<Told> mutant) {
    return DynamicTest.dynamicTest(
        rule + ": " + name,
        () -> {
          Told t = new Told();
          mutant.accept(t);
          t.model.checkAtEnd();
          List<String> rules =
              t.checker.breaches().stream().map(InvariantChecker.Breach::rule).distinct().toList();
          assertEquals(rule.isEmpty() ? List.of() : List.of(rule), rules);
        });
  }

  @TestFactory
  Stream<DynamicTest> theJudgeCatchesEachMutant() {
    return Stream.of(
        breaks("", "a whole history", Told::printed),
        breaks(
            "folded_twice",
            "two jobs are done with one side, a later correction hides it",
            t -> {
              t.model.addRatingJob("job-2", List.of(new RatingModel.Want(0, "m", 1)));
              Block b = new Block();
              Fold base = new Fold(1, false, "job-1", true, null);
              b.set(new Block.Side(0, "m"), new Fold(2, false, "job-5", false, base));
              t.put(RecordKeys.foldBlock(new BlockKey("pnw-2026", 0)), FoldCodec.encodeBlock(b));
              t.printed();
            }),
        breaks(
            "skipped",
            "a job is done and its side is not there",
            t -> {
              t.sides("job-1", null);
              t.printed();
            }),
        breaks(
            "half_folded",
            "claims of a job that was never accepted",
            t -> {
              t.model.addRatingJob("job-6", List.of(new RatingModel.Want(2, "m", 1)));
              Block b = new Block();
              b.set(new Block.Side(0, "m"), new Fold(1, false, "job-1", false, null));
              b.set(new Block.Side(1, "m"), new Fold(1, false, "job-2", false, null));
              b.set(new Block.Side(2, "m"), new Fold(1, false, "job-6", false, null));
              t.put(RecordKeys.foldBlock(new BlockKey("pnw-2026", 0)), FoldCodec.encodeBlock(b));
              t.printed();
            }),
        breaks(
            "printed_early",
            "before its job is done",
            t -> {
              t.put(RecordKeys.endedJob("job-1"), null);
              t.put(RecordKeys.openJob("job-1"), Json.object());
              t.printed();
            }),
        breaks("held_for_ever", "what it waits for is done, and it does not end", t -> {}));
  }
}
