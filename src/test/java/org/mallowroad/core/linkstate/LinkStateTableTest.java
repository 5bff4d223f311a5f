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

/** Link state, routes and relayed heartbeats while links are down; no clock, no sockets. */
final class LinkStateTableTest {
  private static final LinkPolicy POLICY = LinkPolicy.defaults();

  /** Node n0 with two peers and two zones. */
  private static final class Fixture {
    private long now = 1_000_000;
    private final LinkStateTable links =
        new LinkStateTable(POLICY, "n0", List.of("n1", "n2"), List.of("a", "b"), 1, now);
    private final RouteSelector route = new RouteSelector(links, ExternalService.STATE);
    private final HeartbeatRelay relay = new HeartbeatRelay(POLICY, 2);
    private long sequence;
    private final Set<String> redirected = new HashSet<>();

    private void advertise(String node, long stateMs) {
      links.accept(
          new LinkStateAdvertisement(
              node, 1, ++sequence, 1, false, stateMs, -1, List.of(), List.of()),
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

  private static DynamicTest testCase(String name, Consumer<Fixture> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Fixture()));
  }

  @TestFactory
  Stream<DynamicTest> linkState() {
    return Stream.of(
        testCase(
            "a failed call that was sent before a successful one does not take the link down",
            f -> {
              f.links.recordCall(ExternalService.STATE, true, f.now - 10, f.now);
              f.links.recordCall(ExternalService.STATE, false, f.now - 20, f.now);
              assertFalse(f.links.isDown(ExternalService.STATE));
              f.links.recordCall(ExternalService.STATE, false, f.now - 5, f.now);
              assertTrue(f.links.isDown(ExternalService.STATE));
            }),
        testCase(
            "a successful call that was sent before the failed one does not bring the link up",
            f -> {
              f.links.recordCall(ExternalService.STATE, false, f.now - 5, f.now);
              f.links.recordCall(ExternalService.STATE, true, f.now - 10, f.now);
              assertTrue(f.links.isDown(ExternalService.STATE));
            }),
        testCase(
            "advertisements that are older, of an earlier process or of a stranger are ignored",
            f -> {
              LinkStateAdvertisement newer =
                  new LinkStateAdvertisement("n1", 2, 1, 1, false, 10, 10, List.of(), List.of());
              assertTrue(f.links.accept(newer, f.now));
              assertFalse(
                  f.links.accept(
                      new LinkStateAdvertisement(
                          "n1", 1, 9, 1, false, 10, 10, List.of(), List.of()),
                      f.now));
              assertFalse(f.links.accept(newer, f.now));
              assertFalse(
                  f.links.accept(
                      new LinkStateAdvertisement(
                          "n9", 9, 1, 1, false, 10, 10, List.of(), List.of()),
                      f.now));
            }),
        testCase(
            "a restarted process whose time of day was set back is not taken for the earlier one",
            f -> {
              LinkStateTable restarted =
                  new LinkStateTable(POLICY, "n1", List.of("n0"), List.of("a", "b"), 90, f.now);
              assertTrue(
                  f.links.accept(
                      new LinkStateAdvertisement("n1", 100, 7, 1, true, 5, 5, List.of(), List.of()),
                      f.now));
              assertFalse(f.links.accept(restarted.advertise(1, false, f.now), f.now));
              restarted.advanceStartTimePast(f.links.processStartedMs("n1"));
              assertTrue(f.links.accept(restarted.advertise(1, false, f.now), f.now));
              // An earlier start time changes nothing.
              restarted.advanceStartTimePast(50);
              assertTrue(f.links.accept(restarted.advertise(1, false, f.now), f.now));
              assertEquals(101, f.links.processStartedMs("n1"));
            }),
        testCase(
            "a peer reaches a service while it and its advertisement and success are fresh",
            f -> {
              f.advertise("n1", 10);
              assertTrue(f.links.canPeerReach(0, ExternalService.STATE, f.now));
              f.links.recordPeerCall(0, false, f.now, f.now);
              assertFalse(f.links.canPeerReach(0, ExternalService.STATE, f.now));
              f.advertise("n2", POLICY.maxAgeMs() + 1);
              assertFalse(f.links.canPeerReach(1, ExternalService.STATE, f.now));
              f.advertise("n2", -1);
              assertFalse(f.links.canPeerReach(1, ExternalService.STATE, f.now));
              f.advertise("n2", 0);
              f.now += POLICY.maxAgeMs() + 1;
              assertFalse(f.links.canPeerReach(1, ExternalService.STATE, f.now));
              assertNull(f.links.freshAdvertisement(1, f.now));
            }),
        testCase(
            "changes are taken once, name their source, and are bounded",
            f -> {
              for (int i = 0; i < 200; i++) {
                f.now += 10;
                f.links.recordCall(ExternalService.STATE, i % 2 == 1, f.now, f.now);
              }
              List<LinkStateTable.LinkChange> changes = f.links.takeChanges();
              assertEquals(64, changes.size());
              assertEquals(136, f.links.takeDroppedChangeCount());
              assertEquals("n0 state true", text(changes.get(0)));
              f.advertise("n1", 10);
              f.advertise("n1", -1);
              assertEquals(
                  List.of("n1 state true"),
                  f.links.takeChanges().stream().map(LinkStateTableTest::text).toList());
            }),
        testCase(
            "the lists of an advertisement are bounded",
            f -> {
              List<String> many = new ArrayList<>();
              for (int i = 0; i < 5_000; i++) {
                many.add("n" + i);
              }
              assertEquals(
                  LinkStateAdvertisement.MAX_ENTRIES,
                  new LinkStateAdvertisement("n1", 1, 1, 1, false, 0, 0, many, List.of())
                      .reachablePeers()
                      .size());
            }));
  }

  private static String text(LinkStateTable.LinkChange c) {
    return c.from() + " " + c.to() + " " + c.down();
  }

  @TestFactory
  Stream<DynamicTest> routeSelection() {
    return Stream.of(
        testCase(
            "calls are direct while the link works, and relayed by a peer after one failure",
            f -> {
              f.advertise("n2", 10);
              f.directCall(true);
              assertEquals(RouteSelector.DIRECT, f.route.chooseRoute(f.now));
              f.now += 100;
              f.directCall(false);
              assertEquals(1, f.route.chooseRoute(f.now));
            }),
        testCase(
            "calls are direct when no peer reaches the service",
            f -> {
              f.advertise("n1", -1);
              f.advertise("n2", -1);
              f.directCall(false);
              assertEquals(RouteSelector.DIRECT, f.route.chooseRoute(f.now));
            }),
        testCase(
            "another peer relays after one fails",
            f -> {
              f.advertise("n1", 10);
              f.advertise("n2", 10);
              f.directCall(false);
              int first = f.route.chooseRoute(f.now);
              long changes = f.route.routeChangeCount();
              f.route.recordRelayedCall(first, false, f.now);
              assertEquals(1 - first, f.route.chooseRoute(f.now));
              assertTrue(f.route.routeChangeCount() > changes);
            }),
        testCase(
            "calls return to the direct path after it has worked, later after each relapse",
            f -> {
              long before = 0;
              for (int relapse = 0; relapse < 4; relapse++) {
                f.now += 100;
                f.advertise("n1", 10);
                f.directCall(false);
                assertEquals(0, f.route.chooseRoute(f.now));
                long from = f.now;
                while (f.route.chooseRoute(f.now) != RouteSelector.DIRECT) {
                  f.now += 100;
                  f.advertise("n1", 10);
                  f.directCall(true);
                }
                assertTrue(f.now - from > before, "relapse " + relapse);
                before = f.now - from;
              }
              assertTrue(before <= 16 * POLICY.recoveryMs() + 500);
            }),
        testCase(
            "without a relay calls return to the direct path at its first success",
            f -> {
              f.directCall(false);
              f.route.chooseRoute(f.now);
              f.now += 500;
              f.directCall(true);
              assertFalse(f.route.isDirectPathDown());
            }),
        testCase(
            "the direct path is probed while calls are relayed, at most twice a second",
            f -> {
              assertFalse(f.route.startProbeIfDue(f.now));
              f.advertise("n1", 10);
              f.directCall(false);
              int tries = 0;
              for (int i = 0; i < 100; i++) {
                f.now += 100;
                tries += f.route.startProbeIfDue(f.now) ? 1 : 0;
              }
              assertEquals(20, tries);
            }));
  }

  @TestFactory
  Stream<DynamicTest> heartbeatRelay() {
    return Stream.of(
        testCase(
            "a worker that the leader has not served is redirected; one that it has is relayed",
            f -> {
              assertFalse(f.shouldRelay("m1", 2, -1));
              assertTrue(f.shouldRelay("m2", 3, -1));
            }),
        testCase(
            "a worker that was redirected and is back is relayed",
            f -> {
              assertFalse(f.shouldRelay("m1", 2, -1));
              f.now += 6_000;
              assertTrue(f.shouldRelay("m1", 2, -1));
            }),
        testCase(
            "a redirected worker that is back much later is redirected again",
            f -> {
              assertFalse(f.shouldRelay("m1", 2, -1));
              f.now += 60_000;
              assertFalse(f.shouldRelay("m1", 2, -1));
            }),
        testCase(
            "one worker of a zone is the canary; the others follow once the leader hears it",
            f -> {
              for (int i = 0; i < 200; i++) {
                assertTrue(f.shouldRelay("m" + i, 3, -1));
              }
              f.now += POLICY.relayHoldMs();
              int canaries = redirect(f, -1);
              assertEquals(1, canaries);
              f.now += 3_000;
              assertEquals(0, redirect(f, 2_000));
              f.now += 4_000;
              // Only the share of one second, so that a zone that is back does not come at once.
              assertEquals(32, redirect(f, 2_000));
              f.now += 1_000;
              assertEquals(32, redirect(f, 2_000));
            }),
        testCase(
            "a canary that comes back is relayed twice as long, and one is tried at a time",
            f -> {
              for (int i = 0; i < 20; i++) {
                assertTrue(f.shouldRelay("m" + i, 3, -1));
              }
              f.now += POLICY.relayHoldMs();
              assertFalse(f.shouldRelay("m0", 3, -1));
              f.now += 5_500;
              assertTrue(f.shouldRelay("m0", 3, 100));
              f.now += POLICY.relayHoldMs();
              assertTrue(f.shouldRelay("m0", 3, 100), "held twice as long");
              assertFalse(f.shouldRelay("m1", 3, 100), "another may try");
              assertTrue(f.shouldRelay("m2", 3, 100), "one at a time");
            }),
        testCase(
            "another leader resets the tracked workers, and their number is bounded",
            f -> {
              for (int i = 0; i < 10_000; i++) {
                f.shouldRelay("m" + i, 3, -1);
              }
              assertEquals(HeartbeatRelay.MAX_WORKERS, f.relay.trackedWorkerCount());
              assertFalse(f.relay.shouldRelay("m9999", 0, 3, 4, -1, f.now));
              assertEquals(1, f.relay.trackedWorkerCount());
            }));
  }

  private static int redirect(Fixture f, long leaderContactMs) {
    int count = 0;
    for (int i = 0; i < 200; i++) {
      // Workers that were redirected do not send their heartbeats here.
      String m = "m" + i;
      if (!f.redirected.contains(m) && !f.shouldRelay(m, 3, leaderContactMs)) {
        f.redirected.add(m);
        count++;
      }
    }
    return count;
  }
}
