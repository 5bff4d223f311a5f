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

/**
 * Tests elections with restarted processes, whose previous process left a lease, a leader record or
 * a late transaction behind.
 */
final class LeaderElectionTest {
  /** A stepped clock, and processes that take part in an election on its store. */
  private static final class ElectionFixture {
    private final VirtualTimeHarness clock = new VirtualTimeHarness();

    private final class Process implements LeaderElection.Listener {
      private long electedTerm;
      private final VirtualTimeHarness.Process process = clock.new Process();
      private final LeaderElection election;

      Process(String node) {
        KeyValueStore state = new KeyValueStore(process, process, process);
        election = new LeaderElection(process, state, node, node.hashCode(), () -> 0, this);
        election.start();
      }

      void crash() {
        process.crashed = true;
      }

      @Override
      public void elected(long term, long version) {
        electedTerm = term;
      }

      @Override
      public void deposed() {
        electedTerm = 0;
      }
    }

    private void advance(long ms) {
      clock.advance(ms);
    }

    private JsonNode storedLeader() {
      return clock.store.value(LeaderElection.LEADER_KEY);
    }
  }

  private static DynamicTest scenario(String name, Consumer<ElectionFixture> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new ElectionFixture()));
  }

  @TestFactory
  Stream<DynamicTest> elections() {
    return Stream.of(
        scenario(
            "a restarted process neither awaits its predecessor's lease nor takes over its term",
            fixture -> {
              ElectionFixture.Process previousProcess = fixture.new Process("n0");
              fixture.advance(200);
              assertEquals(1, previousProcess.electedTerm);
              previousProcess.crash();
              ElectionFixture.Process restartedProcess = fixture.new Process("n0");
              fixture.advance(100);
              assertEquals(0, restartedProcess.electedTerm);
              assertEquals(null, fixture.storedLeader());
              fixture.advance(1_400);
              assertEquals(1 + FencingTokens.TOKENS_PER_TERM, restartedProcess.electedTerm);
            }),
        scenario(
            "another node is elected before the restarted process of the previous leader",
            fixture -> {
              ElectionFixture.Process previousProcess = fixture.new Process("n0");
              fixture.advance(200);
              ElectionFixture.Process otherProcess = fixture.new Process("n1");
              fixture.advance(200);
              previousProcess.crash();
              ElectionFixture.Process restartedProcess = fixture.new Process("n0");
              fixture.advance(2_000);
              assertTrue(otherProcess.election.isLeading());
              assertFalse(restartedProcess.election.isLeading());
              assertEquals("n1", restartedProcess.election.leader());
            }),
        scenario(
            "a process does not mistake the late election of its predecessor for its own",
            fixture -> {
              // Both processes read the same term record, so both try to be elected for the same
              // term. The response of the running process is lost, and the record that it then
              // reads has its name and its term. The record has no lease field, like those of older
              // versions, so no process releases its lease.
              long lease = grantLease(fixture);
              fixture.clock.loseTransactionResponses = true;
              fixture.clock.beforeTransaction =
                  () -> {
                    fixture.clock.beforeTransaction = () -> {};
                    executeLateElection(fixture, lease);
                  };
              ElectionFixture.Process restartedProcess = fixture.new Process("n0");
              fixture.advance(1_700);
              assertEquals(
                  "n0",
                  fixture.storedLeader() == null
                      ? "n0"
                      : fixture.storedLeader().path("node").asText());
              assertFalse(restartedProcess.election.isLeading());
              fixture.clock.loseTransactionResponses = false;
              fixture.advance(6_000);
              assertTrue(restartedProcess.election.isLeading());
              assertTrue(restartedProcess.electedTerm > FencingTokens.last(1));
            }),
        scenario(
            "a token of the leader's own term keeps its leadership; the first higher one ends it",
            fixture -> {
              ElectionFixture.Process process = fixture.new Process("n0");
              fixture.advance(200);
              process.election.tokenSeen(FencingTokens.last(process.electedTerm));
              assertTrue(process.election.isLeading());
              process.election.tokenSeen(FencingTokens.last(1) + 1);
              assertFalse(process.election.isLeading());
            }),
        scenario(
            "a higher term follows a term record of an older version, which holds the term itself",
            fixture -> {
              executeTransaction(fixture, "{\"writes\":[{\"put\":\"term\",\"v\":{\"n\":41}}]}");
              ElectionFixture.Process process = fixture.new Process("n0");
              fixture.advance(200);
              assertEquals(42, process.electedTerm);
              assertEquals(
                  FencingTokens.last(42),
                  fixture.clock.store.value(LeaderElection.TERM_KEY).path("n").asLong());
            }));
  }

  private static long grantLease(ElectionFixture fixture) {
    return fixture
        .clock
        .callStore("POST", "/leases", "{\"life_ms\":3000}")
        .body()
        .path("tenure")
        .asLong();
  }

  private static void executeLateElection(ElectionFixture fixture, long lease) {
    executeTransaction(
        fixture,
        "{\"if\":[{\"key\":\"leader\",\"mark\":0},{\"key\":\"term\",\"mark\":0}],\"writes\":["
            + "{\"put\":\"leader\",\"v\":{\"node\":\"n0\",\"term\":1},\"tenure\":"
            + lease
            + "},{\"put\":\"term\",\"v\":{\"n\":"
            + FencingTokens.last(1)
            + "}}]}");
  }

  private static void executeTransaction(ElectionFixture fixture, String body) {
    assertEquals(200, fixture.clock.callStore("POST", "/multi", body).status());
  }
}
