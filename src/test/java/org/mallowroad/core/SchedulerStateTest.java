package org.mallowroad.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.mallowroad.core.Heartbeat.State;
import org.mallowroad.core.scheduling.TaskScheduler;

/** Each rule with its failure: when a task may start, and when its attempt is proven gone. */
final class SchedulerStateTest {
  private static final long TERM = 7;

  /** A small world on virtual time: one team of 8 CPUs, machines of 4. */
  static final class Simulation {
    final NameIndex zones = new NameIndex();
    final MachineType type;
    final SchedulerState schedulerState;
    final TaskScheduler placement;
    long now = 1_000_000;
    int sequence;

    Simulation() {
      zones.intern("a");
      zones.intern("b");
      type = new MachineType(0, "t4", 4, 0, 16, 100, 1, 1.0, 0.4, 30, new int[] {0, 1});
      schedulerState =
          new SchedulerState(
              TERM,
              20,
              3,
              List.of(new Team("team", 4, 0, 8, 0), new Team("other", 8, 0, 8, 0)),
              zones);
      placement = new TaskScheduler(schedulerState);
    }

    Job job(String id, int tasks, double cpus) {
      return schedulerState.accept(JobSpecs.array(id, tasks, cpus).build(), 5, 0, now);
    }

    Machine machine(String name, int zone) {
      Machine m = schedulerState.registerMachine(name, type, zone, false, now);
      report(m, 1, TERM);
      return m;
    }

    List<WorkerCommand> report(
        Machine m, long incarnation, long fencingToken, Heartbeat.Entry... entries) {
      return at(m, incarnation, ++sequence, fencingToken, entries);
    }

    List<WorkerCommand> at(
        Machine m, long incarnation, long s, long fencingToken, Heartbeat.Entry... entries) {
      List<WorkerCommand> o =
          schedulerState.processHeartbeat(
              m,
              new Heartbeat(
                  m.name,
                  "h:1",
                  "t4",
                  "a",
                  false,
                  incarnation,
                  s,
                  fencingToken,
                  -1,
                  List.of(entries)),
              true,
              now);
      m.lastResponseMs = now;
      return o;
    }

    Attempt start(Job j, int task, Machine m) {
      Attempt a = schedulerState.start(j, task, m, now);
      commit();
      return a;
    }

    void commit() {
      JobSpecs.commit(schedulerState, now);
    }

    static Heartbeat.Entry entry(Attempt a, State state, String why) {
      return new Heartbeat.Entry(a.job.spec.id(), a.task, a.number, state, why);
    }
  }

  private interface Case {
    void run(Simulation w);
  }

  private static DynamicTest rule(String name, Case c) {
    return DynamicTest.dynamicTest(name, () -> c.run(new Simulation()));
  }

  @TestFactory
  Stream<DynamicTest> starts() {
    return Stream.of(
        rule(
            "a start that is not committed is not launched",
            w -> {
              Machine m = w.machine("n-1", 0);
              w.schedulerState.start(w.job("job-1", 1, 1), 0, m, w.now);
              assertEquals(List.of(), w.report(m, 1, TERM));
            }),
        rule(
            "a job that was found done, and was placed again by an older list, starts nothing",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 2, 1);
              Attempt recording = w.schedulerState.start(j, 0, m, w.now);
              w.schedulerState.markEnded(j, w.now);
              assertEquals(Attempt.Phase.GONE, recording.phase);
              assertTrue(j.isFinished());
              assertEquals(List.of(), w.report(m, 1, TERM));
              Attempt launched = w.start(w.job("job-2", 1, 1), 0, m);
              w.schedulerState.markEnded(launched.job, w.now);
              assertTrue(launched.isStopping());
            }),
        rule(
            "a lost launch is sent again as the same attempt",
            w -> {
              Machine m = w.machine("n-1", 0);
              w.start(w.job("job-1", 1, 1), 0, m);
              WorkerCommand launch = new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-1", 0, 1, 0);
              assertEquals(List.of(launch), w.report(m, 1, TERM));
              assertEquals(List.of(launch), w.report(m, 1, TERM));
            }),
        rule(
            "a leader without state launches nothing",
            w -> {
              Machine m = w.machine("n-1", 0);
              w.start(w.job("job-1", 1, 1), 0, m);
              Heartbeat r =
                  new Heartbeat("n-1", "h:1", "t4", "a", false, 1, 99, TERM, -1, List.of());
              assertEquals(List.of(), w.schedulerState.processHeartbeat(m, r, false, w.now));
            }),
        rule(
            "a limit of 0 is none: a guest team without a guarantee runs",
            w -> {
              Team guest = new Team("guest", 0, 0, 0, 0);
              JobSpec s = JobSpecs.array("job-1", 900, 32).build();
              assertTrue(guest.couldEverRun(s, 900));
              assertTrue(guest.allows(s, 900));
              assertFalse(guest.staysWithinGuarantee(s));
              assertEquals(900, guest.maxTasks(s, 900));
            }),
        rule(
            "launches that a worker does not take in three reports make it deaf, until it hears",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 2, 1);
              Attempt a = w.start(j, 0, m);
              for (int i = 0; i < 4; i++) {
                w.report(m, 1, TERM);
                w.now += 2_500;
              }
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE, w.schedulerState.machineRefusal(m, w.now));
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE, w.schedulerState.startRefusal(j, 1, m, w.now));
              // Stopped, it is gone with the next report that does not list it.
              w.schedulerState.requestStop(a, 0, w.now);
              w.report(m, 1, TERM);
              assertNull(j.liveAttempt(0));
              w.now += 10_000;
              w.report(m, 1, TERM);
              assertTrue(m.fencingToken > TERM, "told something that shows whether it hears");
              w.report(m, 1, m.fencingToken);
              assertNull(w.schedulerState.machineRefusal(m, w.now));
            }),
        rule(
            "a session that ends although its reports were answered makes it deaf; a hung one not",
            w -> {
              Machine m = w.machine("n-1", 0);
              w.now += 4_000;
              w.report(m, 2, TERM);
              assertEquals(
                  StartRefusal.OUTBOUND_UNREACHABLE, w.schedulerState.machineRefusal(m, w.now));
              Machine n = w.machine("n-2", 0);
              w.now += 25_000;
              w.report(n, 2, TERM);
              assertNull(w.schedulerState.machineRefusal(n, w.now));
            }),
        rule(
            "late copies of reports change nothing, whatever they say and whenever they come",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              Attempt a = w.start(j, 0, m);
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              long heard = m.lastHeartbeatMs;
              w.now += 40_000;
              assertNull(w.at(m, 1, w.sequence - 1, TERM));
              assertNull(w.at(m, 1, w.sequence, TERM, Simulation.entry(a, State.EXITED, "done")));
              assertEquals(Attempt.Phase.RUNNING, a.phase);
              assertEquals(heard, m.lastHeartbeatMs);
              w.schedulerState.machineDeleted(m, w.now);
              assertNull(w.schedulerState.registerMachine("n-1", w.type, 0, false, w.now));
            }),
        rule(
            "a task with an unresolved attempt does not start again",
            w -> {
              Machine m = w.machine("n-1", 0);
              Machine n = w.machine("n-2", 0);
              Job j = w.job("job-1", 1, 1);
              w.start(j, 0, m);
              assertEquals(
                  StartRefusal.TASK_NOT_PENDING, w.schedulerState.startRefusal(j, 0, n, w.now));
            }),
        rule(
            "unproven tasks use the team's limit",
            w -> {
              Job j = w.job("job-1", 3, 4);
              w.start(j, 0, w.machine("n-1", 0));
              w.start(j, 1, w.machine("n-2", 0));
              Machine free = w.machine("n-3", 0);
              assertEquals(StartRefusal.QUOTA, w.schedulerState.startRefusal(j, 2, free, w.now));
              w.schedulerState.machineDeleted(w.schedulerState.machine("n-1"), w.now);
              assertNull(w.schedulerState.startRefusal(j, 2, free, w.now));
            }),
        rule(
            "together keeps to one zone, scatter to half of the tasks a zone",
            w -> {
              Machine a = w.machine("n-1", 0);
              Machine b = w.machine("n-2", 1);
              Job t =
                  w.schedulerState.accept(
                      JobSpecs.array("job-1", 2, 1).together().build(), 5, 0, w.now);
              w.start(t, 0, a);
              assertEquals(StartRefusal.ZONE_RULES, w.schedulerState.startRefusal(t, 1, b, w.now));
              Job s =
                  w.schedulerState.accept(
                      JobSpecs.array("job-2", 3, 0.5).scatter().build(), 5, 0, w.now);
              w.start(s, 0, a);
              w.start(s, 1, a);
              assertEquals(StartRefusal.ZONE_RULES, w.schedulerState.startRefusal(s, 2, a, w.now));
              assertNull(w.schedulerState.startRefusal(s, 2, b, w.now));
            }),
        rule(
            "type, zone and kind are the job's to allow",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job z =
                  w.schedulerState.accept(
                      JobSpecs.array("job-1", 1, 1).zone(1).build(), 5, 0, w.now);
              assertEquals(StartRefusal.CONSTRAINTS, w.schedulerState.startRefusal(z, 0, m, w.now));
              Machine spot = w.schedulerState.registerMachine("n-2", w.type, 0, true, w.now);
              w.report(spot, 1, TERM);
              Job o = w.schedulerState.accept(JobSpecs.array("job-2", 1, 1).build(), 5, 0, w.now);
              assertEquals(
                  StartRefusal.CONSTRAINTS, w.schedulerState.startRefusal(o, 0, spot, w.now));
            }),
        rule(
            "a silent machine gets no work",
            w -> {
              Machine m = w.machine("n-1", 0);
              w.now += 7_000;
              assertEquals(
                  StartRefusal.HEARTBEAT_OVERDUE,
                  w.schedulerState.startRefusal(w.job("job-1", 1, 1), 0, m, w.now));
            }),
        rule(
            "a gang starts with all its tasks or not at all",
            w -> {
              w.machine("n-1", 0);
              Job g =
                  w.schedulerState.accept(
                      JobSpecs.array("job-1", 2, 4).gang().build(), 5, 0, w.now);
              assertEquals(0, w.placement.placeTasks(w.now).size());
              w.machine("n-2", 1);
              assertEquals(2, w.placement.placeTasks(w.now).size());
              assertFalse(g.hasWaitingTasks());
            }));
  }

  @TestFactory
  Stream<DynamicTest> proofs() {
    return Stream.of(
        rule(
            "an exit frees the attempt but is cleared only once committed",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 2, 1);
              Attempt a = w.start(j, 0, m);
              Heartbeat.Entry exit = Simulation.entry(a, State.EXITED, "done");
              assertEquals(List.of(), w.report(m, 1, TERM, exit));
              assertTrue(j.isDone(0));
              assertEquals(List.of(), w.report(m, 1, TERM, exit));
              w.commit();
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-1", 0, 1, 0)),
                  w.report(m, 1, TERM, exit));
            }),
        rule(
            "an older report is dropped",
            w -> {
              Machine m = w.machine("n-1", 0);
              Attempt a = w.start(w.job("job-1", 1, 1), 0, m);
              w.at(m, 1, 50, TERM, Simulation.entry(a, State.RUNNING, null));
              assertNull(w.at(m, 1, 49, TERM));
              assertEquals(Attempt.Phase.RUNNING, a.phase);
            }),
        rule(
            "a report without the task proves nothing before the worker obeys this term",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              Attempt a = w.start(j, 0, m);
              w.schedulerState.cancel(j, w.now);
              w.report(m, 1, TERM - 1);
              assertEquals(Attempt.Phase.COMMITTED, a.phase);
              w.report(m, 1, TERM);
              assertEquals(Attempt.Phase.GONE, a.phase);
            }),
        rule(
            "a later session frees all attempts of earlier ones",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              Attempt a = w.start(j, 0, m);
              w.report(m, 2, TERM);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertTrue(j.hasWaitingTasks());
            }),
        rule(
            "a silent worker's lease frees its tasks only if it had seen this term",
            w -> {
              Machine m = w.machine("n-1", 0);
              Machine old = w.schedulerState.registerMachine("n-2", w.type, 0, false, w.now);
              w.report(old, 1, TERM - 1);
              Job j = w.job("job-1", 2, 1);
              Attempt a = w.start(j, 0, m);
              Attempt b = w.start(j, 1, old);
              w.now += 20_000;
              w.schedulerState.expireLeases(w.now);
              assertEquals(Attempt.Phase.COMMITTED, a.phase);
              w.now += 1_000;
              w.schedulerState.expireLeases(w.now);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertEquals(Attempt.Phase.COMMITTED, b.phase);
            }),
        rule(
            "a deleted machine frees its tasks and is never met again",
            w -> {
              Machine m = w.machine("n-1", 0);
              Attempt a = w.start(w.job("job-1", 1, 1), 0, m);
              w.schedulerState.machineDeleted(m, w.now);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertNull(w.schedulerState.registerMachine("n-1", w.type, 0, false, w.now));
            }),
        rule(
            "a withdrawn job is stopped, starts nothing and counts until it is gone",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 2, 4);
              Attempt a = w.start(j, 0, m);
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              w.schedulerState.cancel(j, w.now);
              assertEquals(
                  StartRefusal.JOB_NOT_ELIGIBLE, w.schedulerState.startRefusal(j, 1, m, w.now));
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.STOP, "job-1", 0, 1, 0)),
                  w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null)));
              assertEquals(4, w.schedulerState.team(j.spec).usedCpus());
              w.report(m, 1, TERM, Simulation.entry(a, State.EXITED, "stopped"));
              assertEquals(0, w.schedulerState.team(j.spec).usedCpus());
              assertTrue(j.isFinished());
            }),
        rule(
            "a start withdrawn while it was being recorded is never launched",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              Attempt a = w.schedulerState.start(j, 0, m, w.now);
              AttemptRecord c = j.attemptRecord(0);
              long changes = c.changeCount;
              w.schedulerState.cancel(j, w.now);
              w.schedulerState.recordCommitted(c, 9, changes, List.of(a), w.now);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertEquals(List.of(), w.report(m, 1, TERM));
            }),
        rule(
            "an attempt that no record knows is stopped, then cleared",
            w -> {
              Machine m = w.machine("n-1", 0);
              Heartbeat.Entry e = new Heartbeat.Entry("job-9", 0, 3, State.RUNNING, null);
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.STOP, "job-9", 0, 3, 0)),
                  w.report(m, 1, TERM, e));
            }),
        rule(
            "a job that fails everywhere is held back ever longer",
            w -> {
              Job j = w.job("job-1", 1, 1);
              long last = 0;
              for (int i = 1; i <= 4; i++) {
                Machine m = w.machine("n-" + i, 0);
                Attempt a = w.start(j, 0, m);
                w.report(m, 1, TERM, Simulation.entry(a, State.EXITED, "error"));
                assertTrue(j.retryNotBeforeMs - w.now > last);
                last = j.retryNotBeforeMs - w.now;
              }
            }),
        rule(
            "attempt numbers of a restored task go on from the highest recorded one",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 2, 1);
              w.schedulerState.restoreRecord(j.attemptRecord(0), 3, new java.util.BitSet(), 6);
              assertEquals(7, w.start(j, 0, m).number);
            }),
        rule(
            "a restored attempt counts, and reports of earlier sessions are dropped",
            w -> {
              Machine m = w.schedulerState.registerMachine("n-1", w.type, 0, false, w.now);
              Job j = w.job("job-1", 1, 1);
              w.schedulerState.restoreAttempt(j, 0, 2, m, 4, w.now);
              assertEquals(1, w.schedulerState.team(j.spec).usedCpus());
              assertNull(w.at(m, 3, 100, TERM));
            }),
        rule(
            "a report frees restored attempts of an earlier session, also where a later one is known",
            w -> {
              Machine m = w.schedulerState.registerMachine("n-1", w.type, 0, false, w.now);
              Job j = w.job("job-1", 2, 1);
              w.schedulerState.restoreAttempt(j, 0, 1, m, 1, w.now);
              w.schedulerState.restoreAttempt(j, 1, 1, m, 2, w.now);
              w.schedulerState.finishRestore(j, w.now);
              w.at(m, 2, 100, TERM - 1);
              assertEquals(1, w.schedulerState.team(j.spec).usedCpus());
              assertEquals(1, j.waitingCount());
            }));
  }

  @TestFactory
  Stream<DynamicTest> directOrders() {
    return Stream.of(
        rule(
            "a launch is sent straight once, and only to a worker that obeys this term",
            w -> {
              Machine old = w.schedulerState.registerMachine("n-2", w.type, 0, false, w.now);
              w.report(old, 1, TERM - 1);
              w.start(w.job("job-1", 1, 1), 0, old);
              assertEquals(
                  List.of(),
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(old, true, w.now));
              Machine m = w.machine("n-1", 0);
              w.start(w.job("job-2", 1, 1), 0, m);
              assertEquals(
                  List.of(),
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(m, false, w.now));
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-2", 0, 1, 0)),
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now));
              assertEquals(
                  List.of(),
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now));
            }),
        rule(
            "an exit is not cleared while a launch of the attempt may still arrive",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 2, 1);
              Attempt a = w.start(j, 0, m);
              List<WorkerCommand> sent =
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now);
              Heartbeat.Entry exit = Simulation.entry(a, State.EXITED, "done");
              w.report(m, 1, TERM, exit);
              w.commit();
              assertEquals(List.of(), w.report(m, 1, TERM, exit));
              w.schedulerState.heartbeatReconciler().directCommandsAnswered(m, sent);
              // Answered or not: a copy of the launch may come, so the token rises with the clear.
              assertEquals(List.of(), w.report(m, 1, TERM, exit));
              assertEquals(TERM, m.fencingToken);
              w.now += HeartbeatReconciler.TOKEN_RAISE_DELAY_MS;
              assertEquals(
                  List.of(new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-1", 0, 1, 0)),
                  w.report(m, 1, TERM, exit));
              assertEquals(TERM + 1, m.fencingToken);
            }),
        rule(
            "so many exits that wait for a higher token raise it at once",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", HeartbeatReconciler.TOKEN_RAISE_EXITS, 0.1);
              Heartbeat.Entry[] exits = new Heartbeat.Entry[HeartbeatReconciler.TOKEN_RAISE_EXITS];
              for (int t = 0; t < exits.length; t++) {
                exits[t] = Simulation.entry(w.start(j, t, m), State.EXITED, "done");
              }
              w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now);
              w.report(m, 1, TERM, exits);
              w.commit();
              assertEquals(List.of(), w.report(m, 1, TERM, exits));
              assertEquals(exits.length, w.report(m, 1, TERM, exits).size());
              assertEquals(TERM + 1, m.fencingToken);
            }),
        rule(
            "what was launched in answers alone is cleared at once, and the token stays",
            w -> {
              Machine m = w.machine("n-1", 0);
              Attempt a = w.start(w.job("job-1", 1, 1), 0, m);
              w.report(m, 1, TERM);
              Heartbeat.Entry exit = Simulation.entry(a, State.EXITED, "done");
              w.report(m, 1, TERM, exit);
              w.commit();
              assertEquals(1, w.report(m, 1, TERM, exit).size());
              assertEquals(TERM, m.fencingToken);
            }),
        rule(
            "a withdrawn launch in flight raises the token, and is gone once the worker has it",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              w.start(j, 0, m);
              w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now);
              w.schedulerState.cancel(j, w.now);
              w.report(m, 1, TERM);
              assertEquals(TERM + 1, m.fencingToken);
              assertFalse(j.isFinished());
              w.report(m, 1, TERM + 1);
              assertTrue(j.isFinished());
            }),
        rule(
            "at the last token of the term launches go in answers only",
            w -> {
              Machine m = w.machine("n-1", 0);
              m.fencingToken = FencingTokens.last(TERM);
              w.start(w.job("job-1", 1, 1), 0, m);
              assertEquals(
                  List.of(),
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now));
              assertEquals(1, w.report(m, 1, TERM).size());
            }),
        rule(
            "a withdrawn attempt with a launch in flight counts until its machine is deleted",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              Attempt a = w.start(j, 0, m);
              w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now);
              w.schedulerState.cancel(j, w.now);
              w.report(m, 1, TERM);
              w.report(m, 1, TERM);
              assertEquals(Attempt.Phase.COMMITTED, a.phase);
              assertFalse(w.schedulerState.heartbeatReconciler().needsDeletionToFence(m, w.now));
              w.now += 9_000;
              assertTrue(w.schedulerState.heartbeatReconciler().needsDeletionToFence(m, w.now));
              w.schedulerState.machineDeleted(m, w.now);
              assertTrue(j.isFinished());
            }),
        rule(
            "a later session fences a launch in flight",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job j = w.job("job-1", 1, 1);
              Attempt a = w.start(j, 0, m);
              w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now);
              w.report(m, 2, TERM);
              assertEquals(Attempt.Phase.GONE, a.phase);
              assertTrue(m.unfencedLaunches.isEmpty());
            }),
        rule(
            "a launch refused as a whole is sent again in the next response",
            w -> {
              Machine m = w.machine("n-1", 0);
              w.start(w.job("job-1", 1, 1), 0, m);
              List<WorkerCommand> sent =
                  w.schedulerState.heartbeatReconciler().takeDirectCommands(m, true, w.now);
              w.schedulerState.heartbeatReconciler().directCommandsAnswered(m, sent);
              assertEquals(sent, w.report(m, 1, TERM));
            }));
  }

  @TestFactory
  Stream<DynamicTest> notices() {
    return Stream.of(
        rule(
            "a machine about to be taken gets no work, and its tasks save or move",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job saving =
                  w.schedulerState.accept(
                      JobSpecs.array("job-1", 1, 1).saves(30, 4).build(), 5, 0, w.now);
              Job other = w.job("job-2", 1, 1);
              Attempt a = w.start(saving, 0, m);
              Attempt b = w.start(other, 0, m);
              Heartbeat.Entry ra = Simulation.entry(a, State.RUNNING, null);
              Heartbeat.Entry rb = Simulation.entry(b, State.RUNNING, null);
              w.report(m, 1, TERM, ra, rb);
              w.schedulerState.processHeartbeat(
                  m,
                  new Heartbeat(
                      "n-1", "h:1", "t4", "a", false, 1, ++w.sequence, TERM, 15, List.of(ra, rb)),
                  true,
                  w.now);
              assertEquals(
                  StartRefusal.DRAINING_OR_FAILED,
                  w.schedulerState.startRefusal(w.job("job-3", 1, 1), 0, m, w.now));
              w.placement.drain(w.now);
              assertEquals(
                  List.of(
                      new WorkerCommand(WorkerCommand.Kind.STOP, "job-1", 0, 1, 4),
                      new WorkerCommand(WorkerCommand.Kind.STOP, "job-2", 0, 1, 0)),
                  w.report(m, 1, TERM, ra, rb));
            }),
        rule(
            "a task that is expected to end before the notice is over goes on",
            w -> {
              Machine m = w.machine("n-1", 0);
              Attempt a = w.start(w.job("job-1", 1, 1), 0, m);
              Heartbeat.Entry e = Simulation.entry(a, State.RUNNING, null);
              w.report(m, 1, TERM, e);
              m.interruptionMs = w.now + 90_000; // Estimated at 60 s.
              w.placement.drain(w.now);
              assertFalse(a.isStopping());
            }));
  }

  @TestFactory
  Stream<DynamicTest> preemption() {
    return Stream.of(
        rule(
            "higher priority stops lower, never the same",
            w -> {
              Machine m = w.machine("n-1", 0);
              Job low = w.job("job-1", 1, 4);
              Attempt a = w.start(low, 0, m);
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              w.schedulerState.accept(JobSpecs.array("job-2", 1, 4).build(), 6, 0, w.now);
              w.now += 2_000;
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              w.placement.placeTasks(w.now);
              assertFalse(a.isStopping());
              w.schedulerState.accept(
                  JobSpecs.array("job-3", 1, 4).priority(1).build(), 7, 0, w.now);
              w.now += 2_000;
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              w.placement.placeTasks(w.now);
              assertTrue(a.isStopping());
            }),
        rule(
            "a guarantee stops what another team borrows at the same priority",
            w -> {
              Machine m = w.machine("n-1", 0);
              Machine n = w.machine("n-2", 0);
              Job j = w.job("job-1", 2, 4);
              Attempt a = w.start(j, 0, m);
              Attempt b = w.start(j, 1, n);
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              w.report(n, 1, TERM, Simulation.entry(b, State.RUNNING, null));
              w.schedulerState.accept(JobSpecs.array("job-2", 1, 4).team(1).build(), 6, 0, w.now);
              w.now += 5_000;
              w.report(m, 1, TERM, Simulation.entry(a, State.RUNNING, null));
              w.report(n, 1, TERM, Simulation.entry(b, State.RUNNING, null));
              w.placement.placeTasks(w.now);
              assertEquals(1, (a.isStopping() ? 1 : 0) + (b.isStopping() ? 1 : 0));
            }));
  }
}
