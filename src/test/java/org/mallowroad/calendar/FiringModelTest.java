package org.mallowroad.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mallowroad.calendar.Agenda.Batch;
import org.mallowroad.calendar.Catchup.Missed;
import org.mallowroad.calendar.Rules.Closed;
import org.mallowroad.calendar.Rules.Repeated;
import org.mallowroad.calendar.Rules.Skipped;

/**
 * The transaction that fires, in a model in virtual time: leaders that are deposed, frozen and
 * late, transactions that are applied late, twice or without an answer, clocks within their bound,
 * absences of hours, edits in between. Whatever happens, each instant fires once, by the version
 * that stood when it was decided, and never early.
 */
final class FiringModelTest {
  private static final long BOUND_S = 2;
  private static final int MOST = 3;

  /** What the transaction is conditional on. */
  private enum Condition {
    LEADER,
    VERSION,
    WATERMARK,
    /** No open and no end record of the job. */
    ABSENT
  }

  private record Transaction(
      int leader, int version, long mark, Batch batch, Table table, Position from) {}

  /** What a leader read last: it acts by that until a failure tells it to read again. */
  private static final class Leader {
    final int office;
    int version;
    long mark;
    Position watermark;
    Table table;

    Leader(int office) {
      this.office = office;
    }
  }

  private static final class History {
    final SplittableRandom random;
    final Set<Condition> conditions;
    final List<Table> versions = new ArrayList<>();
    final Set<String> records = new HashSet<>();
    final TreeSet<Position> decided = new TreeSet<>();
    final List<Transaction> late = new ArrayList<>();
    Instant now = Instant.parse("2027-03-13T20:00:00Z");
    int office = 1;
    int version;
    long mark = 1;
    Position watermark = Position.upTo(now);
    Leader leader;
    Leader deposed;
    String broken;

    History(long seed, Set<Condition> conditions) throws InvalidCronExpressionException {
      random = new SplittableRandom(seed);
      this.conditions = conditions;
      versions.add(table());
      leader = read(new Leader(office));
    }

    Table table() throws InvalidCronExpressionException {
      List<Table.Entry> out = new ArrayList<>();
      String[] crons = {"*/20 * * * *", "30 2 * * *", "@hourly", "15,45 1-3 * * *", "*/7 * * * *"};
      for (int i = 0; i < 1 + random.nextInt(3); i++) {
        Rules r =
            new Rules(
                Skipped.values()[random.nextInt(2)],
                Repeated.values()[random.nextInt(2)],
                Closed.RUN);
        out.add(
            new Table.Entry(
                "e" + i,
                new Schedule(
                    CronExpression.parse(crons[random.nextInt(crons.length)]),
                    ZoneId.of("America/New_York"),
                    OpenDays.always(),
                    r),
                new Catchup(Missed.ALL, Duration.ofMinutes(1), Duration.ofDays(30), 10_000)));
      }
      return new Table("t", out);
    }

    Leader read(Leader l) {
      l.version = version;
      l.table = versions.get(version);
      l.mark = mark;
      l.watermark = watermark;
      return l;
    }

    void plan(Leader l) {
      // A node's clock is off by the bound at the most, and the bound is taken off again.
      Instant clock = now.plusSeconds(random.nextLong(-BOUND_S, BOUND_S + 1)).minusSeconds(BOUND_S);
      Batch b = new Agenda(l.table, l.watermark).due(clock, MOST);
      if (b.watermark().compareTo(l.watermark) <= 0) {
        return;
      }
      Transaction t = new Transaction(l.office, l.version, l.mark, b, l.table, l.watermark);
      switch (random.nextInt(6)) {
        case 0 -> late.add(t); // Held on the way; its sender knows nothing and reads again.
        case 1 -> {
          apply(t);
          late.add(t); // Delivered once more, later.
        }
        case 2 -> {
          apply(t); // The answer is lost: it is sent again with the same marks.
          apply(t);
        }
        default -> apply(t);
      }
      read(l);
    }

    void apply(Transaction t) {
      if ((conditions.contains(Condition.LEADER) && t.leader != office)
          || (conditions.contains(Condition.VERSION) && t.version != version)
          || (conditions.contains(Condition.WATERMARK) && t.mark != mark)) {
        return;
      }
      if (conditions.contains(Condition.ABSENT)) {
        for (Firing f : t.batch.fire()) {
          if (records.contains(f.job())) {
            return;
          }
        }
      }
      if (t.leader != office) {
        broken = "a deposed leader fired";
      } else if (t.version != version) {
        broken = "a version that was replaced fired";
      } else if (t.from.compareTo(watermark) != 0) {
        broken = "the watermark went from where it was not";
      }
      for (Firing f : t.batch.fire()) {
        if (!records.add(f.job())) {
          broken = "fired twice: " + f;
        }
        if (f.instant().isAfter(now)) {
          broken = "fired early: " + f;
        }
        decided.add(f.position());
      }
      Set<Position> due = expected(t.table, t.from, t.batch.watermark());
      Set<Position> fired = new HashSet<>();
      t.batch.fire().forEach(f -> fired.add(f.position()));
      if (!due.equals(fired)) {
        broken = "between " + t.from + " and " + t.batch.watermark() + " " + due + " not " + fired;
      }
      watermark = t.batch.watermark();
      mark++;
    }

    /** All positions after one and up to another; entry by entry, instant by instant. */
    static Set<Position> expected(Table t, Position after, Position upTo) {
      Set<Position> out = new HashSet<>();
      for (Table.Entry e : t.entries()) {
        Optional<Instant> i = e.schedule().next(after.instant().minusNanos(1));
        while (i.isPresent() && !i.get().isAfter(upTo.instant())) {
          Position p = new Position(i.get(), e.name());
          if (p.compareTo(after) > 0 && p.compareTo(upTo) <= 0) {
            out.add(p);
          }
          i = e.schedule().next(i.get());
        }
      }
      return out;
    }

    String run() throws InvalidCronExpressionException {
      for (int step = 0; step < 60 && broken == null; step++) {
        switch (random.nextInt(12)) {
          case 0 -> {
            deposed = leader; // Frozen rather than dead: it may go on at any time.
            office++;
            leader = read(new Leader(office));
          }
          case 1 -> {
            if (deposed != null) {
              plan(deposed);
            }
          }
          case 2 -> {
            if (!late.isEmpty()) {
              apply(late.remove(random.nextInt(late.size())));
            }
          }
          case 3 -> now = now.plusSeconds(random.nextInt(4 * 3600));
          case 4 -> {
            if (random.nextInt(3) == 0) {
              versions.add(table());
              version++;
            }
          }
          default -> now = now.plusSeconds(random.nextInt(900));
        }
        plan(leader);
      }
      // In the end a leader that is left alone catches up.
      for (int i = 0; i < 400 && broken == null; i++) {
        leader = read(leader);
        Batch b = new Agenda(leader.table, watermark).due(now, MOST);
        apply(new Transaction(office, version, mark, b, leader.table, watermark));
        if (watermark.equals(Position.upTo(now))) {
          return null;
        }
      }
      return broken == null ? "it never catches up" : broken;
    }
  }

  @Test
  void eachInstantFiresOnce() throws Exception {
    for (int seed = 0; seed < 3_000; seed++) {
      History h = new History(seed, EnumSet.allOf(Condition.class));
      String broken = h.run();
      assertEquals(null, broken, "seed " + seed + ": " + broken);
    }
  }

  @ParameterizedTest
  @EnumSource(Condition.class)
  void withoutAnyOneConditionItBreaks(Condition without) throws Exception {
    if (without == Condition.ABSENT) {
      return; // Guards against a watermark that came back from an old copy: below.
    }
    String broken = null;
    for (int seed = 0; seed < 3_000 && broken == null; seed++) {
      broken = new History(seed, EnumSet.complementOf(EnumSet.of(without))).run();
    }
    assertNotNull(broken, "nothing broke without " + without);
  }

  /** A store restored from an older copy has an older watermark, and keeps records it had not. */
  @Test
  void anOldWatermarkFiresNothingAgain() throws Exception {
    for (boolean guarded : new boolean[] {true, false}) {
      Set<Condition> c = EnumSet.allOf(Condition.class);
      if (!guarded) {
        c.remove(Condition.ABSENT);
      }
      History h = new History(7, c);
      Position old = h.watermark;
      h.now = h.now.plus(Duration.ofHours(12));
      h.plan(h.read(h.leader));
      h.apply(
          new Transaction(
              h.office,
              0,
              h.mark,
              new Agenda(h.leader.table, h.watermark).due(h.now, MOST),
              h.leader.table,
              h.watermark));
      assertTrue(!h.records.isEmpty());
      h.watermark = old;
      h.mark++;
      h.broken = null;
      Batch again = new Agenda(h.leader.table, old).due(h.now, MOST);
      h.apply(new Transaction(h.office, 0, h.mark, again, h.leader.table, old));
      assertEquals(!guarded, h.broken != null && h.broken.startsWith("fired twice"), "" + h.broken);
    }
  }

  @Test
  void anIdFollowsFromTheFiringAlone() {
    Instant i = Instant.parse("2027-03-14T07:00:00Z");
    String id = new Firing("clubs", "ratings", i).job();
    assertTrue(id.matches("job-9[0-9]{39}"), id);
    assertEquals(id, new Firing("clubs", "ratings", i).job());
    Set<String> others =
        Set.of(
            id,
            new Firing("clubs", "rating", i).job(),
            new Firing("club", "sratings", i).job(),
            new Firing("clubs", "ratings", i.plusSeconds(60)).job());
    assertEquals(4, others.size());
  }
}
