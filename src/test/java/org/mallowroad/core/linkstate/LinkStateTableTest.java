package org.mallowroad.core.linkstate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Which way things go when links are cut: a table of cases, no clock, no sockets. */
final class LinkStateTableTest {
  private static final LinkPolicy POLICY = LinkPolicy.defaults();

  /** A node with two peers and two zones. */
  private static final class Here {
    private long now = 1_000_000;
    private final LinkStateTable links =
        new LinkStateTable(POLICY, "n0", List.of("n1", "n2"), List.of("a", "b"), 1, now);
    private final RouteSelector route = new RouteSelector(links, ExternalService.STATE);
    private final HeartbeatRelay carriage = new HeartbeatRelay(POLICY, 2);
    private long sequence;
    private final java.util.Set<String> gone = new java.util.HashSet<>();

    private void row(String node, long stateMs) {
      links.row(
          new LinkStateAdvertisement(
              node, 1, ++sequence, 1, false, stateMs, -1, List.of(), List.of()),
          now);
      links.usedPeer(links.peer(node), true, now, now);
    }

    private void direct(boolean worked) {
      route.direct(worked, now - 5, now);
    }

    private boolean carry(String machine, long fencingToken, long heardMs) {
      return carriage.carry(machine, 0, fencingToken, 3, heardMs, now);
    }
  }

  private static DynamicTest rule(String name, Consumer<Here> test) {
    return DynamicTest.dynamicTest(name, () -> test.accept(new Here()));
  }

  @TestFactory
  Stream<DynamicTest> evidence() {
    return Stream.of(
        rule(
            "a failure of what was sent before a success says nothing against the link",
            h -> {
              h.links.used(ExternalService.STATE, true, h.now - 10, h.now);
              h.links.used(ExternalService.STATE, false, h.now - 20, h.now);
              assertFalse(h.links.down(ExternalService.STATE));
              h.links.used(ExternalService.STATE, false, h.now - 5, h.now);
              assertTrue(h.links.down(ExternalService.STATE));
            }),
        rule(
            "a success that was sent before the failure does not bring the link up",
            h -> {
              h.links.used(ExternalService.STATE, false, h.now - 5, h.now);
              h.links.used(ExternalService.STATE, true, h.now - 10, h.now);
              assertTrue(h.links.down(ExternalService.STATE));
            }),
        rule(
            "an older row, a stranger's and one of an earlier process are left out",
            h -> {
              LinkStateAdvertisement newer =
                  new LinkStateAdvertisement("n1", 2, 1, 1, false, 10, 10, List.of(), List.of());
              assertTrue(h.links.row(newer, h.now));
              assertFalse(
                  h.links.row(
                      new LinkStateAdvertisement(
                          "n1", 1, 9, 1, false, 10, 10, List.of(), List.of()),
                      h.now));
              assertFalse(h.links.row(newer, h.now));
              assertFalse(
                  h.links.row(
                      new LinkStateAdvertisement(
                          "n9", 9, 1, 1, false, 10, 10, List.of(), List.of()),
                      h.now));
            }),
        rule(
            "a process that is back before the time of day has moved on is not taken for an old one",
            h -> {
              LinkStateTable back =
                  new LinkStateTable(POLICY, "n1", List.of("n0"), List.of("a", "b"), 90, h.now);
              assertTrue(
                  h.links.row(
                      new LinkStateAdvertisement("n1", 100, 7, 1, true, 5, 5, List.of(), List.of()),
                      h.now));
              assertFalse(h.links.row(back.own(1, false, h.now), h.now));
              back.outrun(h.links.began("n1"));
              assertTrue(h.links.row(back.own(1, false, h.now), h.now));
              // What is told of an own earlier row changes nothing.
              back.outrun(50);
              assertTrue(h.links.row(back.own(1, false, h.now), h.now));
              assertEquals(101, h.links.began("n1"));
            }),
        rule(
            "a peer is a way while its row is fresh, its use too, and it is reached itself",
            h -> {
              h.row("n1", 10);
              assertTrue(h.links.reaches(0, ExternalService.STATE, h.now));
              h.links.usedPeer(0, false, h.now, h.now);
              assertFalse(h.links.reaches(0, ExternalService.STATE, h.now));
              h.row("n2", POLICY.freshMs() + 1);
              assertFalse(h.links.reaches(1, ExternalService.STATE, h.now));
              h.row("n2", -1);
              assertFalse(h.links.reaches(1, ExternalService.STATE, h.now));
              h.row("n2", 0);
              h.now += POLICY.freshMs() + 1;
              assertFalse(h.links.reaches(1, ExternalService.STATE, h.now));
              assertNull(h.links.fresh(1, h.now));
            }),
        rule(
            "changes are told once, by whose word, and what waits to be logged is bounded",
            h -> {
              for (int i = 0; i < 200; i++) {
                h.now += 10;
                h.links.used(ExternalService.STATE, i % 2 == 1, h.now, h.now);
              }
              List<LinkStateTable.Change> changes = h.links.changes();
              assertEquals(64, changes.size());
              assertEquals(136, h.links.leftOut());
              assertEquals("n0 state true", text(changes.get(0)));
              h.row("n1", 10);
              h.row("n1", -1);
              assertEquals(
                  List.of("n1 state true"),
                  h.links.changes().stream().map(LinkStateTableTest::text).toList());
            }),
        rule(
            "lists of a broken peer's row are cut",
            h -> {
              List<String> many = new ArrayList<>();
              for (int i = 0; i < 5_000; i++) {
                many.add("n" + i);
              }
              assertEquals(
                  LinkStateAdvertisement.MOST,
                  new LinkStateAdvertisement("n1", 1, 1, 1, false, 0, 0, many, List.of())
                      .peers()
                      .size());
            }));
  }

  private static String text(LinkStateTable.Change c) {
    return c.from() + " " + c.to() + " " + c.down();
  }

  @TestFactory
  Stream<DynamicTest> detours() {
    return Stream.of(
        rule(
            "calls go straight while the link works, and after one failure through a peer",
            h -> {
              h.row("n2", 10);
              h.direct(true);
              assertEquals(RouteSelector.DIRECT, h.route.choose(h.now));
              h.now += 100;
              h.direct(false);
              assertEquals(1, h.route.choose(h.now));
            }),
        rule(
            "in an outage nobody is better off: calls go straight",
            h -> {
              h.row("n1", -1);
              h.row("n2", -1);
              h.direct(false);
              assertEquals(RouteSelector.DIRECT, h.route.choose(h.now));
            }),
        rule(
            "a peer that fails is left for another",
            h -> {
              h.row("n1", 10);
              h.row("n2", 10);
              h.direct(false);
              int first = h.route.choose(h.now);
              long turns = h.route.turns();
              h.route.through(first, false, h.now);
              assertEquals(1 - first, h.route.choose(h.now));
              assertTrue(h.route.turns() > turns);
            }),
        rule(
            "the way back needs the direct way to work for a while, longer after each relapse",
            h -> {
              long before = 0;
              for (int relapse = 0; relapse < 4; relapse++) {
                h.now += 100;
                h.row("n1", 10);
                h.direct(false);
                assertEquals(0, h.route.choose(h.now));
                long from = h.now;
                while (h.route.choose(h.now) != RouteSelector.DIRECT) {
                  h.now += 100;
                  h.row("n1", 10);
                  h.direct(true);
                }
                assertTrue(h.now - from > before, "relapse " + relapse);
                before = h.now - from;
              }
              assertTrue(before <= 16 * POLICY.steadyMs() + 500);
            }),
        rule(
            "with no peer left the direct way is taken back at its first success",
            h -> {
              h.direct(false);
              h.route.choose(h.now);
              h.now += 500;
              h.direct(true);
              assertFalse(h.route.astray());
            }),
        rule(
            "the direct way is tried while calls go round, twice a second at most",
            h -> {
              assertFalse(h.route.probeDue(h.now));
              h.row("n1", 10);
              h.direct(false);
              int tries = 0;
              for (int i = 0; i < 100; i++) {
                h.now += 100;
                tries += h.route.probeDue(h.now) ? 1 : 0;
              }
              assertEquals(20, tries);
            }));
  }

  @TestFactory
  Stream<DynamicTest> carriage() {
    return Stream.of(
        rule(
            "a worker that the leader has not served is sent on; one that it has is carried",
            h -> {
              assertFalse(h.carry("m1", 2, -1));
              assertTrue(h.carry("m2", 3, -1));
            }),
        rule(
            "a worker that was sent on and is back is carried",
            h -> {
              assertFalse(h.carry("m1", 2, -1));
              h.now += 6_000;
              assertTrue(h.carry("m1", 2, -1));
            }),
        rule(
            "one that is back much later begins anew",
            h -> {
              assertFalse(h.carry("m1", 2, -1));
              h.now += 60_000;
              assertFalse(h.carry("m1", 2, -1));
            }),
        rule(
            "one of a zone tries the direct way; the others follow once the leader hears it",
            h -> {
              for (int i = 0; i < 200; i++) {
                assertTrue(h.carry("m" + i, 3, -1));
              }
              h.now += POLICY.holdMs();
              int on = sendOn(h, -1);
              assertEquals(1, on);
              h.now += 3_000;
              assertEquals(0, sendOn(h, 2_000));
              h.now += 4_000;
              // A second's part only: no storm when a zone comes back.
              assertEquals(32, sendOn(h, 2_000));
              h.now += 1_000;
              assertEquals(32, sendOn(h, 2_000));
            }),
        rule(
            "while the one that tries comes back, no other is sent, and it waits longer each time",
            h -> {
              for (int i = 0; i < 20; i++) {
                assertTrue(h.carry("m" + i, 3, -1));
              }
              h.now += POLICY.holdMs();
              assertFalse(h.carry("m0", 3, -1));
              h.now += 5_500;
              assertTrue(h.carry("m0", 3, 100));
              h.now += POLICY.holdMs();
              assertTrue(h.carry("m0", 3, 100), "held twice as long");
              assertFalse(h.carry("m1", 3, 100), "another may try");
              assertTrue(h.carry("m2", 3, 100), "one at a time");
            }),
        rule(
            "with another leader everybody begins anew, and what is remembered is bounded",
            h -> {
              for (int i = 0; i < 10_000; i++) {
                h.carry("m" + i, 3, -1);
              }
              assertEquals(HeartbeatRelay.MOST, h.carriage.size());
              assertFalse(h.carriage.carry("m9999", 0, 3, 4, -1, h.now));
              assertEquals(1, h.carriage.size());
            }));
  }

  private static int sendOn(Here h, long heardMs) {
    int on = 0;
    for (int i = 0; i < 200; i++) {
      // Those that are on the direct way do not report here.
      String m = "m" + i;
      if (!h.gone.contains(m) && !h.carry(m, 3, heardMs)) {
        h.gone.add(m);
        on++;
      }
    }
    return on;
  }
}
