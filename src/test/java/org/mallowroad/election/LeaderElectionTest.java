package org.mallowroad.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.core.FencingTokens;
import org.mallowroad.state.KeyValueStore;

/** Processes that are back at once, and what the one before them left behind. */
final class LeaderElectionTest {
  /** Processes that elect, on one store. */
  private static final class Here {
    private final VirtualTimeHarness c = new VirtualTimeHarness();

    private final class Process implements LeaderElection.Listener {
      private long elected;
      private final VirtualTimeHarness.Process process = c.new Process();
      private final LeaderElection election;

      Process(String node) {
        KeyValueStore state = new KeyValueStore(process, process, process);
        election = new LeaderElection(process, state, node, node.hashCode(), () -> 0, this);
        election.start();
      }

      void dies() {
        process.crashed = true;
      }

      @Override
      public void elected(long term, long version) {
        elected = term;
      }

      @Override
      public void deposed() {
        elected = 0;
      }
    }

    private void run(long ms) {
      c.advance(ms);
    }

    private JsonNode leader() {
      return c.store.value(LeaderElection.LEADER_KEY);
    }
  }

  private static DynamicTest rule(String name, Consumer<Here> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Here()));
  }

  @TestFactory
  Stream<DynamicTest> elections() {
    return Stream.of(
        rule(
            "a process that is back does not wait for the lease of the one before, nor use it",
            h -> {
              Here.Process before = h.new Process("n0");
              h.run(200);
              assertEquals(1, before.elected);
              before.dies();
              Here.Process after = h.new Process("n0");
              h.run(100);
              assertEquals(0, after.elected);
              assertEquals(null, h.leader());
              h.run(1_400);
              assertEquals(1 + FencingTokens.TOKENS_PER_TERM, after.elected);
            }),
        rule(
            "the others have the office first when its holder's process is back",
            h -> {
              Here.Process before = h.new Process("n0");
              h.run(200);
              Here.Process other = h.new Process("n1");
              h.run(200);
              before.dies();
              Here.Process after = h.new Process("n0");
              h.run(2_000);
              assertTrue(other.election.isLeading());
              assertFalse(after.election.isLeading());
              assertEquals("n1", after.election.leader());
            }),
        rule(
            "an election of the process before that is applied late is not taken for one's own",
            h -> {
              // Both read the same term record, so both stand for the same term; the answer of the
              // living one is lost, and what it then reads has its name and its term. An earlier
              // build's record names no lease, so nobody ends it before.
              long lease = lease(h);
              h.c.loseTransactionResponses = true;
              h.c.beforeTransaction =
                  () -> {
                    h.c.beforeTransaction = () -> {};
                    late(h, lease);
                  };
              Here.Process after = h.new Process("n0");
              h.run(1_700);
              assertEquals("n0", h.leader() == null ? "n0" : h.leader().path("node").asText());
              assertFalse(after.election.isLeading());
              h.c.loseTransactionResponses = false;
              h.run(6_000);
              assertTrue(after.election.isLeading());
              assertTrue(after.elected > FencingTokens.last(1));
            }),
        rule(
            "tokens within the term are one's own; the first beyond ends the office",
            h -> {
              Here.Process p = h.new Process("n0");
              h.run(200);
              p.election.tokenSeen(FencingTokens.last(p.elected));
              assertTrue(p.election.isLeading());
              p.election.tokenSeen(FencingTokens.last(1) + 1);
              assertFalse(p.election.isLeading());
            }),
        rule(
            "a record of an earlier build, a plain number, is followed by a higher term",
            h -> {
              put(h, "{\"writes\":[{\"put\":\"term\",\"v\":{\"n\":41}}]}");
              Here.Process p = h.new Process("n0");
              h.run(200);
              assertEquals(42, p.elected);
              assertEquals(
                  FencingTokens.last(42),
                  h.c.store.value(LeaderElection.TERM_KEY).path("n").asLong());
            }));
  }

  private static long lease(Here h) {
    return h.c.callStore("POST", "/leases", "{\"life_ms\":3000}").body().path("tenure").asLong();
  }

  private static void late(Here h, long lease) {
    put(
        h,
        "{\"if\":[{\"key\":\"leader\",\"mark\":0},{\"key\":\"term\",\"mark\":0}],\"writes\":["
            + "{\"put\":\"leader\",\"v\":{\"node\":\"n0\",\"term\":1},\"tenure\":"
            + lease
            + "},{\"put\":\"term\",\"v\":{\"n\":"
            + FencingTokens.last(1)
            + "}}]}");
  }

  private static void put(Here h, String multi) {
    assertEquals(200, h.c.callStore("POST", "/multi", multi).status());
  }
}
