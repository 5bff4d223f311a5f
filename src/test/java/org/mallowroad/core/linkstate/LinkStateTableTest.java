package org.mallowroad.core.linkstate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Tests link state, route selection and the relaying of heartbeats while links are down, without
 * clock or sockets.
 */
final class LinkStateTableTest {
  private static final LinkPolicy POLICY = LinkPolicy.defaults();

  /** The link state, routes and heartbeat relay of node n0, which has two peers and two zones. */
  private static final class TestNode {
    private long now = 1_000_000;
    private final LinkStateTable links =
        new LinkStateTable(POLICY, "n0", List.of("n1", "n2"), List.of("a", "b"), 1, now);
    private final RouteSelector route = new RouteSelector(links, ExternalService.STATE);
    private final HeartbeatRelay relay = new HeartbeatRelay(POLICY, 2);
    private long sequence;
    private final Set<String> redirectedMachines = new HashSet<>();

    private void advertise(String node, long stateAgeMs) {
      links.accept(
          new LinkStateAdvertisement(
              node, 1, ++sequence, 1, false, stateAgeMs, -1, List.of(), List.of()),
          now);
      links.recordPeerCall(links.peerIndex(node), true, now, now);
    }

    private void directCall(boolean succeeded) {
      route.recordDirectCall(succeeded, now - 5, now);
    }

    private boolean shouldRelay(String machine, long fencingToken, long leaderContactMs) {
      return relay.shouldRelay(machine, 0, fencingToken, 3, leaderContactMs, now);
    }
  }

  private static DynamicTest testCase(String name, Consumer<TestNode> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new TestNode()));
  }

  @TestFactory
  Stream<DynamicTest> linkState() {
    return Stream.of(
        testCase(
            "the failure of a call sent before a successful one does not take the link down",
            testNode -> {
              testNode.links.recordCall(
                  ExternalService.STATE, true, testNode.now - 10, testNode.now);
              testNode.links.recordCall(
                  ExternalService.STATE, false, testNode.now - 20, testNode.now);
              assertFalse(testNode.links.isDown(ExternalService.STATE));
              testNode.links.recordCall(
                  ExternalService.STATE, false, testNode.now - 5, testNode.now);
              assertTrue(testNode.links.isDown(ExternalService.STATE));
            }),
        testCase(
            "the success of a call sent before the failed one does not bring the link up",
            testNode -> {
              testNode.links.recordCall(
                  ExternalService.STATE, false, testNode.now - 5, testNode.now);
              testNode.links.recordCall(
                  ExternalService.STATE, true, testNode.now - 10, testNode.now);
              assertTrue(testNode.links.isDown(ExternalService.STATE));
            }),
        testCase(
            "advertisements that are not newer or come from an unknown node are ignored",
            testNode -> {
              LinkStateAdvertisement newest =
                  new LinkStateAdvertisement("n1", 2, 1, 1, false, 10, 10, List.of(), List.of());
              assertTrue(testNode.links.accept(newest, testNode.now));
              assertFalse(
                  testNode.links.accept(
                      new LinkStateAdvertisement(
                          "n1", 1, 9, 1, false, 10, 10, List.of(), List.of()),
                      testNode.now));
              assertFalse(testNode.links.accept(newest, testNode.now));
              assertFalse(
                  testNode.links.accept(
                      new LinkStateAdvertisement(
                          "n9", 9, 1, 1, false, 10, 10, List.of(), List.of()),
                      testNode.now));
            }),
        testCase(
            "a restarted process whose wall clock was set back can supersede the earlier one",
            testNode -> {
              LinkStateTable restarted =
                  new LinkStateTable(
                      POLICY, "n1", List.of("n0"), List.of("a", "b"), 90, testNode.now);
              assertTrue(
                  testNode.links.accept(
                      new LinkStateAdvertisement("n1", 100, 7, 1, true, 5, 5, List.of(), List.of()),
                      testNode.now));
              assertFalse(
                  testNode.links.accept(restarted.advertise(1, false, testNode.now), testNode.now));
              restarted.advanceStartTimePast(testNode.links.processStartedMs("n1"));
              assertTrue(
                  testNode.links.accept(restarted.advertise(1, false, testNode.now), testNode.now));
              // An earlier start time has no effect.
              restarted.advanceStartTimePast(50);
              assertTrue(
                  testNode.links.accept(restarted.advertise(1, false, testNode.now), testNode.now));
              assertEquals(101, testNode.links.processStartedMs("n1"));
            }),
        testCase(
            "a peer reaches a service only while its link is up and its evidence is fresh",
            testNode -> {
              testNode.advertise("n1", 10);
              assertTrue(testNode.links.canPeerReach(0, ExternalService.STATE, testNode.now));
              testNode.links.recordPeerCall(0, false, testNode.now, testNode.now);
              assertFalse(testNode.links.canPeerReach(0, ExternalService.STATE, testNode.now));
              testNode.advertise("n2", POLICY.maxAgeMs() + 1);
              assertFalse(testNode.links.canPeerReach(1, ExternalService.STATE, testNode.now));
              testNode.advertise("n2", -1);
              assertFalse(testNode.links.canPeerReach(1, ExternalService.STATE, testNode.now));
              testNode.advertise("n2", 0);
              testNode.now += POLICY.maxAgeMs() + 1;
              assertFalse(testNode.links.canPeerReach(1, ExternalService.STATE, testNode.now));
              assertNull(testNode.links.freshAdvertisement(1, testNode.now));
            }),
        testCase(
            "link changes are returned once, name their source, and are bounded",
            testNode -> {
              for (int i = 0; i < 200; i++) {
                testNode.now += 10;
                testNode.links.recordCall(
                    ExternalService.STATE, i % 2 == 1, testNode.now, testNode.now);
              }
              List<LinkStateTable.LinkChange> changes = testNode.links.takeChanges();
              assertEquals(64, changes.size());
              assertEquals(136, testNode.links.takeDroppedChangeCount());
              assertEquals("n0 state true", text(changes.get(0)));
              testNode.advertise("n1", 10);
              testNode.advertise("n1", -1);
              assertEquals(
                  List.of("n1 state true"),
                  testNode.links.takeChanges().stream().map(LinkStateTableTest::text).toList());
            }),
        testCase(
            "the lists of an advertisement are bounded",
            testNode -> {
              List<String> nodeNames = new ArrayList<>();
              for (int i = 0; i < 5_000; i++) {
                nodeNames.add("n" + i);
              }
              assertEquals(
                  LinkStateAdvertisement.MAX_ENTRIES,
                  new LinkStateAdvertisement("n1", 1, 1, 1, false, 0, 0, nodeNames, List.of())
                      .reachablePeers()
                      .size());
            }));
  }

  private static String text(LinkStateTable.LinkChange change) {
    return change.from() + " " + change.to() + " " + change.down();
  }

  @TestFactory
  Stream<DynamicTest> routeSelection() {
    return Stream.of(
        testCase(
            "calls are direct while the link works and are relayed after one failure",
            testNode -> {
              testNode.advertise("n2", 10);
              testNode.directCall(true);
              assertEquals(RouteSelector.DIRECT, testNode.route.chooseRoute(testNode.now));
              testNode.now += 100;
              testNode.directCall(false);
              assertEquals(1, testNode.route.chooseRoute(testNode.now));
            }),
        testCase(
            "calls are direct when no peer reaches the service",
            testNode -> {
              testNode.advertise("n1", -1);
              testNode.advertise("n2", -1);
              testNode.directCall(false);
              assertEquals(RouteSelector.DIRECT, testNode.route.chooseRoute(testNode.now));
            }),
        testCase(
            "another peer relays calls after the first relay fails",
            testNode -> {
              testNode.advertise("n1", 10);
              testNode.advertise("n2", 10);
              testNode.directCall(false);
              int firstRelay = testNode.route.chooseRoute(testNode.now);
              long changesBefore = testNode.route.routeChangeCount();
              testNode.route.recordRelayedCall(firstRelay, false, testNode.now);
              assertEquals(1 - firstRelay, testNode.route.chooseRoute(testNode.now));
              assertTrue(testNode.route.routeChangeCount() > changesBefore);
            }),
        testCase(
            "calls return to a recovered direct path, later after each relapse",
            testNode -> {
              long previousRecoveryMs = 0;
              for (int relapse = 0; relapse < 4; relapse++) {
                testNode.now += 100;
                testNode.advertise("n1", 10);
                testNode.directCall(false);
                assertEquals(0, testNode.route.chooseRoute(testNode.now));
                long failedMs = testNode.now;
                while (testNode.route.chooseRoute(testNode.now) != RouteSelector.DIRECT) {
                  testNode.now += 100;
                  testNode.advertise("n1", 10);
                  testNode.directCall(true);
                }
                assertTrue(testNode.now - failedMs > previousRecoveryMs, "relapse " + relapse);
                previousRecoveryMs = testNode.now - failedMs;
              }
              assertTrue(previousRecoveryMs <= 16 * POLICY.recoveryMs() + 500);
            }),
        testCase(
            "calls without a relay return to the direct path at its first success",
            testNode -> {
              testNode.directCall(false);
              testNode.route.chooseRoute(testNode.now);
              testNode.now += 500;
              testNode.directCall(true);
              assertFalse(testNode.route.isDirectPathDown());
            }),
        testCase(
            "the direct path is probed while calls are relayed, at most twice a second",
            testNode -> {
              assertFalse(testNode.route.startProbeIfDue(testNode.now));
              testNode.advertise("n1", 10);
              testNode.directCall(false);
              int probes = 0;
              for (int i = 0; i < 100; i++) {
                testNode.now += 100;
                probes += testNode.route.startProbeIfDue(testNode.now) ? 1 : 0;
              }
              assertEquals(20, probes);
            }));
  }

  @TestFactory
  Stream<DynamicTest> heartbeatRelay() {
    return Stream.of(
        testCase(
            "a new worker is redirected; one that the leader has served is relayed",
            testNode -> {
              assertFalse(testNode.shouldRelay("m1", 2, -1));
              assertTrue(testNode.shouldRelay("m2", 3, -1));
            }),
        testCase(
            "a worker that returns soon after its redirection is relayed",
            testNode -> {
              assertFalse(testNode.shouldRelay("m1", 2, -1));
              testNode.now += 6_000;
              assertTrue(testNode.shouldRelay("m1", 2, -1));
            }),
        testCase(
            "a worker that returns long after its redirection is redirected again",
            testNode -> {
              assertFalse(testNode.shouldRelay("m1", 2, -1));
              testNode.now += 60_000;
              assertFalse(testNode.shouldRelay("m1", 2, -1));
            }),
        testCase(
            "the workers of a zone are redirected once the leader has received its canary",
            testNode -> {
              for (int i = 0; i < 200; i++) {
                assertTrue(testNode.shouldRelay("m" + i, 3, -1));
              }
              testNode.now += POLICY.relayHoldMs();
              int canaries = reportAll(testNode, -1);
              assertEquals(1, canaries);
              testNode.now += 3_000;
              assertEquals(0, reportAll(testNode, 2_000));
              testNode.now += 4_000;
              // A recovered zone does not send all of its workers to the leader at once: only 32
              // are redirected per second.
              assertEquals(32, reportAll(testNode, 2_000));
              testNode.now += 1_000;
              assertEquals(32, reportAll(testNode, 2_000));
            }),
        testCase(
            "a canary that returns is relayed for twice as long, and another one is tried",
            testNode -> {
              for (int i = 0; i < 20; i++) {
                assertTrue(testNode.shouldRelay("m" + i, 3, -1));
              }
              testNode.now += POLICY.relayHoldMs();
              assertFalse(testNode.shouldRelay("m0", 3, -1));
              testNode.now += 5_500;
              assertTrue(testNode.shouldRelay("m0", 3, 100));
              testNode.now += POLICY.relayHoldMs();
              assertTrue(
                  testNode.shouldRelay("m0", 3, 100),
                  "the canary that returned is relayed for twice as long");
              assertFalse(testNode.shouldRelay("m1", 3, 100), "another worker becomes the canary");
              assertTrue(testNode.shouldRelay("m2", 3, 100), "there is only one canary at a time");
            }),
        testCase(
            "a new leader resets the tracked workers, and their number is bounded",
            testNode -> {
              for (int i = 0; i < 10_000; i++) {
                testNode.shouldRelay("m" + i, 3, -1);
              }
              assertEquals(HeartbeatRelay.MAX_WORKERS, testNode.relay.trackedWorkerCount());
              assertFalse(testNode.relay.shouldRelay("m9999", 0, 3, 4, -1, testNode.now));
              assertEquals(1, testNode.relay.trackedWorkerCount());
            }));
  }

  private static int reportAll(TestNode testNode, long leaderContactMs) {
    int newlyRedirected = 0;
    for (int i = 0; i < 200; i++) {
      // Workers that were redirected do not send their heartbeats to this node.
      String machine = "m" + i;
      if (!testNode.redirectedMachines.contains(machine)
          && !testNode.shouldRelay(machine, 3, leaderContactMs)) {
        testNode.redirectedMachines.add(machine);
        newlyRedirected++;
      }
    }
    return newlyRedirected;
  }
}
