package org.mallowroad.core.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.wire.FoldCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/** Each way in which a side of a game can stand, and what a claim of it comes to. */
final class ClaimRulesTest {
  private static final BlockKey KEY = new BlockKey("l", 0);
  private static final Block.Side SIDE = new Block.Side(3, "m");

  private static String decide(Fold there, long revision, JobOutcome jobOutcome) {
    Block b = new Block();
    b.set(SIDE, there);
    Game g = new Game("l", 3, revision, false, List.of("m"));
    ClaimRules.Decision o = ClaimRules.decide("job-1", List.of(g), Map.of(KEY, b), j -> jobOutcome);
    if (o instanceof ClaimRules.Granted x) {
      Block after = x.blocks().get(KEY);
      Fold f = after == null ? null : after.get(SIDE);
      return f == null
          ? "granted"
          : f.revision() + " over " + (f.base() == null ? 0 : f.base().revision());
    }
    return o.getClass().getSimpleName();
  }

  private static Fold by(String job, long revision, boolean settled, Fold base) {
    return new Fold(revision, false, job, settled, base);
  }

  private static DynamicTest row(
      String name, Fold there, long revision, JobOutcome jobOutcome, String is) {
    return DynamicTest.dynamicTest(
        name, () -> assertEquals(is, decide(there, revision, jobOutcome)));
  }

  @TestFactory
  Stream<DynamicTest> sides() {
    Fold folded = by("job-2", 1, true, null);
    return Stream.of(
        row("nobody's", null, 1, null, "1 over 0"),
        row("nobody's, claimed by a correction first", null, 2, null, "2 over 0"),
        row("its own claim of an earlier try", by("job-1", 1, false, null), 1, null, "granted"),
        row("held", by("job-2", 1, false, null), 1, JobOutcome.OPEN, "Deferred"),
        row(
            "held by a claim that is not accepted",
            by("job-2", 1, false, null),
            1,
            JobOutcome.CLAIMING,
            "Deferred"),
        row("nobody knows of whom", by("job-2", 1, false, null), 1, null, "OutcomesNeeded"),
        row(
            "folded, not written down yet",
            by("job-2", 1, false, null),
            1,
            JobOutcome.DONE,
            "Refused"),
        row("folded", folded, 1, null, "Refused"),
        row("folded, corrected", folded, 2, null, "2 over 1"),
        row("folded in a later revision", by("job-2", 3, true, null), 2, null, "Refused"),
        row("withdrawn", by("job-2", 1, false, null), 1, JobOutcome.CANCELLED, "1 over 0"),
        row(
            "a correction withdrawn",
            by("job-3", 2, false, folded),
            2,
            JobOutcome.CANCELLED,
            "2 over 1"),
        row(
            "a correction withdrawn, then the first once more",
            by("job-3", 2, false, folded),
            1,
            JobOutcome.CANCELLED,
            "Refused"),
        row("a correction held", by("job-3", 2, false, folded), 3, JobOutcome.OPEN, "Deferred"),
        row(
            "a correction done, not written down yet",
            by("job-3", 2, false, folded),
            3,
            JobOutcome.DONE,
            "3 over 2"));
  }

  @Test
  void oneGameThatIsFoldedRefusesAllAndNothingIsAskedThen() {
    Block b = new Block();
    b.set(SIDE, by("job-2", 1, true, null));
    List<Game> games =
        List.of(new Game("l", 2, 1, false, List.of("m")), new Game("l", 3, 1, false, List.of("m")));
    assertTrue(
        ClaimRules.decide("job-1", games, Map.of(KEY, b), j -> null) instanceof ClaimRules.Refused);
    assertEquals(1, b.sides().size());
  }

  @Test
  void whatIsFinalIsWrittenDownAndMeansTheSame() {
    Fold folded = by("job-2", 1, true, null);
    Block b = new Block();
    b.set(new Block.Side(0, "a"), by("job-3", 1, false, null));
    b.set(new Block.Side(1, "a"), by("job-4", 2, false, folded));
    b.set(new Block.Side(2, "a"), by("job-5", 1, false, null));
    assertSame(b, ClaimRules.withFinalOutcomes(b, j -> JobOutcome.OPEN));
    Map<String, JobOutcome> jobOutcomes =
        new HashMap<>(
            Map.of(
                "job-3",
                JobOutcome.DONE,
                "job-4",
                JobOutcome.CANCELLED,
                "job-5",
                JobOutcome.CANCELLED));
    Block s = ClaimRules.withFinalOutcomes(b, jobOutcomes::get);
    assertEquals(by("job-3", 1, true, null), s.get(new Block.Side(0, "a")));
    assertEquals(folded, s.get(new Block.Side(1, "a")));
    assertEquals(2, s.sides().size());
    assertEquals(folded, ClaimRules.withoutClaimsOf(b, "job-4").get(new Block.Side(1, "a")));
    assertSame(b, ClaimRules.withoutClaimsOf(b, "job-9"));
  }

  @Test
  void gapsAreWhatNobodyHasBelowTheHighest() {
    LeagueIndex i = new LeagueIndex();
    Block b = new Block();
    b.set(new Block.Side(0, "a"), by("job-1", 1, true, null));
    b.set(new Block.Side(2, "a"), by("job-2", 1, false, null));
    b.set(new Block.Side(3, "a"), by("job-3", 1, false, null));
    Map<String, JobOutcome> jobOutcomes =
        new HashMap<>(Map.of("job-2", JobOutcome.OPEN, "job-3", JobOutcome.CANCELLED));
    i.update(0, b, jobOutcomes::get);
    assertEquals(3, i.highestGame());
    assertEquals(List.of(1L, 3L), i.unclaimedGames(9));
    assertEquals(2, i.unclaimedCount());
    assertEquals(LeagueIndex.GameState.RELEASED, i.gameState(3));
    assertEquals(LeagueIndex.GameState.MISSING, i.gameState(1));
    // Written down, the cancelled side is gone from the block, and known as released even so.
    i.update(0, ClaimRules.withFinalOutcomes(b, jobOutcomes::get), jobOutcomes::get);
    assertEquals(List.of(1L, 3L), i.unclaimedGames(9));
    Block far = new Block();
    far.set(new Block.Side(31, "a"), by("job-1", 1, true, null));
    i.update(3, far, jobOutcomes::get);
    assertEquals(127, i.highestGame());
    assertEquals(List.of(1L), i.unclaimedGames(1));
    assertTrue(i.sizeInBytes() < 400, "bytes " + i.sizeInBytes());
  }

  @Property(tries = 200)
  void aBlockSurvivesItsRecord(
      @ForAll @Size(max = 60) List<@IntRange(max = 1_000_000) Integer> seeds)
      throws InvalidMessageException {
    Block b = new Block();
    for (int s : seeds) {
      Fold base = s % 3 == 0 ? by("job-" + s % 11, 1 + s % 5, true, null) : null;
      b.set(
          new Block.Side(s % 32, "m-" + s % 17),
          new Fold(2 + s % 9, s % 2 == 0, "job-" + s % 13, s % 5 == 0 && base == null, base));
    }
    ObjectNode v = FoldCodec.encodeBlock(b);
    assertEquals(b, FoldCodec.decodeBlock(Json.parseObject(Json.toBytes(v))));
  }

  @Test
  void anotherVersionOrAChangedBlockIsRefused() {
    Block b = new Block();
    b.set(SIDE, by("job-1", 1, false, null));
    ObjectNode newer = FoldCodec.encodeBlock(b).put("v", 2);
    assertThrows(InvalidMessageException.class, () -> FoldCodec.decodeBlock(newer));
    ObjectNode changed = FoldCodec.encodeBlock(b);
    changed.putArray("j").add("job-2");
    assertThrows(InvalidMessageException.class, () -> FoldCodec.decodeBlock(changed));
  }

  @Test
  void blockNumbersAreShortAndBounded() {
    assertEquals("3-5,9", BlockNumberRanges.encode(IntArrayList.of(3, 4, 5, 9)));
    assertEquals(IntArrayList.of(3, 4, 5, 9), BlockNumberRanges.decode("3-5,9", 10));
    for (String bad : List.of("", "a", "5-3", "0-99999999", "1,2,3,4-9", "-4")) {
      assertThrows(IllegalArgumentException.class, () -> BlockNumberRanges.decode(bad, 5), bad);
    }
  }
}
