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

/**
 * Tests how a claim to a side of a game is decided in each state that the side can have, and how
 * blocks of games are rewritten, indexed and encoded.
 */
final class ClaimRulesTest {
  private static final BlockKey KEY = new BlockKey("l", 0);
  private static final Block.Side SIDE = new Block.Side(3, "m");

  private static String decide(Fold storedSide, long revision, JobOutcome jobOutcome) {
    Block block = new Block();
    block.set(SIDE, storedSide);
    Game game = new Game("l", 3, revision, false, List.of("m"));
    ClaimRules.Decision decision =
        ClaimRules.decide("job-1", List.of(game), Map.of(KEY, block), job -> jobOutcome);
    if (decision instanceof ClaimRules.Granted granted) {
      Block writtenBlock = granted.blocks().get(KEY);
      Fold fold = writtenBlock == null ? null : writtenBlock.get(SIDE);
      return fold == null
          ? "granted"
          : fold.revision() + " over " + (fold.base() == null ? 0 : fold.base().revision());
    }
    return decision.getClass().getSimpleName();
  }

  private static Fold recordOf(String job, long revision, boolean settled, Fold base) {
    return new Fold(revision, false, job, settled, base);
  }

  private static DynamicTest testCase(
      String name, Fold storedSide, long revision, JobOutcome jobOutcome, String expected) {
    return DynamicTest.dynamicTest(
        name, () -> assertEquals(expected, decide(storedSide, revision, jobOutcome)));
  }

  @TestFactory
  Stream<DynamicTest> decisionAboutOneSide() {
    Fold folded = recordOf("job-2", 1, true, null);
    return Stream.of(
        testCase("an unclaimed game is granted", null, 1, null, "1 over 0"),
        testCase(
            "an unclaimed game whose first claim is a correction is granted",
            null,
            2,
            null,
            "2 over 0"),
        testCase(
            "a claim that an earlier attempt of the same job made is granted",
            recordOf("job-1", 1, false, null),
            1,
            null,
            "granted"),
        testCase(
            "a game claimed by an accepted job defers the claim",
            recordOf("job-2", 1, false, null),
            1,
            JobOutcome.OPEN,
            "Deferred"),
        testCase(
            "a game claimed by a job that is not accepted yet defers the claim",
            recordOf("job-2", 1, false, null),
            1,
            JobOutcome.CLAIMING,
            "Deferred"),
        testCase(
            "a game claimed by a job of unknown outcome needs that outcome",
            recordOf("job-2", 1, false, null),
            1,
            null,
            "OutcomesNeeded"),
        testCase(
            "a game claimed by a done job that is not recorded as settled refuses the claim",
            recordOf("job-2", 1, false, null),
            1,
            JobOutcome.DONE,
            "Refused"),
        testCase("a folded game refuses the claim", folded, 1, null, "Refused"),
        testCase("a correction of a folded game is granted", folded, 2, null, "2 over 1"),
        testCase(
            "a game folded in a later revision refuses the claim",
            recordOf("job-2", 3, true, null),
            2,
            null,
            "Refused"),
        testCase(
            "a game whose claiming job was cancelled is granted",
            recordOf("job-2", 1, false, null),
            1,
            JobOutcome.CANCELLED,
            "1 over 0"),
        testCase(
            "a correction is granted over the original after another one was cancelled",
            recordOf("job-3", 2, false, folded),
            2,
            JobOutcome.CANCELLED,
            "2 over 1"),
        testCase(
            "the original revision is refused after a correction of it was cancelled",
            recordOf("job-3", 2, false, folded),
            1,
            JobOutcome.CANCELLED,
            "Refused"),
        testCase(
            "a later correction is deferred by a claimed one",
            recordOf("job-3", 2, false, folded),
            3,
            JobOutcome.OPEN,
            "Deferred"),
        testCase(
            "a later correction is granted over a done one that is not recorded as settled",
            recordOf("job-3", 2, false, folded),
            3,
            JobOutcome.DONE,
            "3 over 2"));
  }

  @Test
  void foldedGameRefusesWholeClaimWithoutOutcomeLookup() {
    Block block = new Block();
    block.set(SIDE, recordOf("job-2", 1, true, null));
    List<Game> games =
        List.of(new Game("l", 2, 1, false, List.of("m")), new Game("l", 3, 1, false, List.of("m")));
    assertTrue(
        ClaimRules.decide("job-1", games, Map.of(KEY, block), job -> null)
            instanceof ClaimRules.Refused);
    assertEquals(1, block.sides().size());
  }

  @Test
  void finalOutcomesAreRecordedInBlockWithoutChangingItsMeaning() {
    Fold folded = recordOf("job-2", 1, true, null);
    Block block = new Block();
    block.set(new Block.Side(0, "a"), recordOf("job-3", 1, false, null));
    block.set(new Block.Side(1, "a"), recordOf("job-4", 2, false, folded));
    block.set(new Block.Side(2, "a"), recordOf("job-5", 1, false, null));
    assertSame(block, ClaimRules.withFinalOutcomes(block, job -> JobOutcome.OPEN));
    Map<String, JobOutcome> jobOutcomes =
        new HashMap<>(
            Map.of(
                "job-3",
                JobOutcome.DONE,
                "job-4",
                JobOutcome.CANCELLED,
                "job-5",
                JobOutcome.CANCELLED));
    Block rewritten = ClaimRules.withFinalOutcomes(block, jobOutcomes::get);
    assertEquals(recordOf("job-3", 1, true, null), rewritten.get(new Block.Side(0, "a")));
    assertEquals(folded, rewritten.get(new Block.Side(1, "a")));
    assertEquals(2, rewritten.sides().size());
    assertEquals(folded, ClaimRules.withoutClaimsOf(block, "job-4").get(new Block.Side(1, "a")));
    assertSame(block, ClaimRules.withoutClaimsOf(block, "job-9"));
  }

  @Test
  void indexReportsUnclaimedGamesBelowHighestNamedGame() {
    LeagueIndex index = new LeagueIndex();
    Block block = new Block();
    block.set(new Block.Side(0, "a"), recordOf("job-1", 1, true, null));
    block.set(new Block.Side(2, "a"), recordOf("job-2", 1, false, null));
    block.set(new Block.Side(3, "a"), recordOf("job-3", 1, false, null));
    Map<String, JobOutcome> jobOutcomes =
        new HashMap<>(Map.of("job-2", JobOutcome.OPEN, "job-3", JobOutcome.CANCELLED));
    index.update(0, block, jobOutcomes::get);
    assertEquals(3, index.highestGame());
    assertEquals(List.of(1L, 3L), index.unclaimedGames(9));
    assertEquals(2, index.unclaimedCount());
    assertEquals(LeagueIndex.GameState.RELEASED, index.gameState(3));
    assertEquals(LeagueIndex.GameState.MISSING, index.gameState(1));
    // Recording the outcomes removes the cancelled side from the block, but the index still counts
    // it
    // as released.
    index.update(0, ClaimRules.withFinalOutcomes(block, jobOutcomes::get), jobOutcomes::get);
    assertEquals(List.of(1L, 3L), index.unclaimedGames(9));
    Block distantBlock = new Block();
    distantBlock.set(new Block.Side(31, "a"), recordOf("job-1", 1, true, null));
    index.update(3, distantBlock, jobOutcomes::get);
    assertEquals(127, index.highestGame());
    assertEquals(List.of(1L), index.unclaimedGames(1));
    assertTrue(index.sizeInBytes() < 400, "bytes " + index.sizeInBytes());
  }

  @Property(tries = 200)
  void decodedBlockEqualsEncodedBlock(
      @ForAll @Size(max = 60) List<@IntRange(max = 1_000_000) Integer> seeds)
      throws InvalidMessageException {
    Block block = new Block();
    for (int seed : seeds) {
      Fold base = seed % 3 == 0 ? recordOf("job-" + seed % 11, 1 + seed % 5, true, null) : null;
      block.set(
          new Block.Side(seed % 32, "m-" + seed % 17),
          new Fold(
              2 + seed % 9,
              seed % 2 == 0,
              "job-" + seed % 13,
              seed % 5 == 0 && base == null,
              base));
    }
    ObjectNode encoded = FoldCodec.encodeBlock(block);
    assertEquals(block, FoldCodec.decodeBlock(Json.parseObject(Json.toBytes(encoded))));
  }

  @Test
  void blockOfUnknownVersionOrWithWrongChecksumIsRejected() {
    Block block = new Block();
    block.set(SIDE, recordOf("job-1", 1, false, null));
    ObjectNode unknownVersion = FoldCodec.encodeBlock(block).put("v", 2);
    assertThrows(InvalidMessageException.class, () -> FoldCodec.decodeBlock(unknownVersion));
    ObjectNode wrongChecksum = FoldCodec.encodeBlock(block);
    wrongChecksum.putArray("j").add("job-2");
    assertThrows(InvalidMessageException.class, () -> FoldCodec.decodeBlock(wrongChecksum));
  }

  @Test
  void blockNumbersAreEncodedAsRangesAndInvalidTextIsRejected() {
    assertEquals("3-5,9", BlockNumberRanges.encode(IntArrayList.of(3, 4, 5, 9)));
    assertEquals(IntArrayList.of(3, 4, 5, 9), BlockNumberRanges.decode("3-5,9", 10));
    for (String invalidText : List.of("", "a", "5-3", "0-99999999", "1,2,3,4-9", "-4")) {
      assertThrows(
          IllegalArgumentException.class,
          () -> BlockNumberRanges.decode(invalidText, 5),
          invalidText);
    }
  }
}
