package org.mallowroad.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mallowroad.Clockwork;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.Job;
import org.mallowroad.core.JobSpec;
import org.mallowroad.core.Ledger;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.Names;
import org.mallowroad.core.Specs;
import org.mallowroad.core.Team;
import org.mallowroad.core.WorkerReport;
import org.mallowroad.election.Election;
import org.mallowroad.net.Budget;
import org.mallowroad.state.StateStore;

/** Which records come first when there are more than the state service takes. */
final class CommitterTest {
  private static final double RPS = 22;
  private final Clockwork c = new Clockwork();
  private final Clockwork.Process p = c.new Process();
  private final StateStore state = new StateStore(p, p, p);
  private final Names zones = new Names();
  private final MachineType type =
      new MachineType(0, "t9", 9_000, 0, 9_000, 100, 1, 2.0, 0.5, 30, new int[] {0});
  private final Ledger ledger;
  private final Machine machine;
  private final Committer committer;

  CommitterTest() {
    zones.intern("a");
    ledger = new Ledger(1, 26, 4, List.of(new Team("t", 0, 0, 0, 0)), zones);
    machine = ledger.meet("n-1", type, 0, false, c.now);
    ledger.report(
        machine,
        new WorkerReport("n-1", "h:1", "t9", "a", false, 1, 1, 1, -1, List.of()),
        true,
        c.now);
    long mark = put(Election.LEADER);
    committer =
        new Committer(
            p,
            state,
            new Budget(RPS, 24, c.now),
            ledger,
            zones,
            mark,
            16,
            new Committer.Events() {
              @Override
              public void guard(Job job, StateStore.Txn txn) {}

              @Override
              public void guarded(Job job, long revision) {}

              @Override
              public void reguard(Job job, Runnable next) {
                next.run();
              }

              @Override
              public void deposed() {
                throw new IllegalStateException("deposed");
              }

              @Override
              public void committed() {}

              @Override
              public void ended(Job job, boolean done) {}
            });
  }

  private long put(String key) {
    String body = "{\"writes\":[{\"put\":\"" + key + "\",\"v\":{}}]}";
    return c.serve("POST", "/multi", body).body().path("epoch").asLong();
  }

  private Attempt start(String id, int priority) {
    JobSpec s = Specs.array(id, 1, 1).priority(priority).build();
    Job job = ledger.accept(s, put("open/" + id), 0, c.now);
    return ledger.start(job, 0, machine, c.now);
  }

  @Test
  void startsOfIdleJobsDoNotHoldOthersUpAndAreNotLeftOutEither() {
    List<Attempt> idle = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      idle.add(start("job-1" + i, JobSpec.IDLE));
    }
    List<Attempt> others = new ArrayList<>();
    for (int s = 0; s < 6; s++) {
      // As many as there are writes for.
      for (int i = 0; i < RPS; i++) {
        others.add(start("job-2" + s + i, 1));
      }
      committer.kick();
      c.run(1_000);
      if (s == 0) {
        assertTrue(recorded(others) >= 10, "in the first second: " + recorded(others));
      }
    }
    assertTrue(recorded(others) >= 70, "others: " + recorded(others));
    assertTrue(recorded(idle) >= 25, "idle: " + recorded(idle));
    c.run(25_000);
    assertEquals(432, recorded(others) + recorded(idle));
  }

  private static long recorded(List<Attempt> of) {
    return of.stream().filter(a -> a.phase == Attempt.Phase.READY).count();
  }
}
