package org.mallowroad.controller.provisioning;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.cloud.RentalResult;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.Autoscaler;
import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;
import org.mallowroad.core.gang.GangReservations;
import org.mallowroad.core.objective.ServiceLevelObjectives;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.CloudCodec.ListedMachine;
import org.mallowroad.wire.CloudCodec.RentalRequest;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines as {@link Autoscaler} decides; every rent is recorded before its call.
 */
public final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);
  private static final long LIST_MS = 4_000;
  private static final long TYPES_MS = 30_000;
  private static final long MET_MS = 25_000;
  private static final long JUDGE_MS = 500;
  private static final long AGAIN_MS = 300;

  /** The field of a request's record that names the gang it was made for. */
  private static final String GANG = "gang";

  private final EventLoop loop;
  private final KeyValueStore state;
  private final CloudClient cloud;
  private final MachineTypeCatalog machineTypes;
  private final NameIndex zones;
  private final AutoscalerPolicy policy;
  private final SchedulerState schedulerState;
  private final Autoscaler fleet;
  private final RateLimiter writes;
  private final int maxOps;
  private final FailureResponder responder;
  private final long term;
  private final long version;
  private final Listener listener;
  private final List<EventLoop.Timer> duties = new ArrayList<>();
  private final Object2ObjectLinkedOpenHashMap<String, Hire> rentals =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Object2ObjectLinkedOpenHashMap<String, Expected> expected =
      new Object2ObjectLinkedOpenHashMap<>();
  private int counter;
  private boolean listing;
  private boolean deleting;
  private boolean recording;
  private boolean settling;
  private boolean stopped;

  /** What the manager asks of the leader. */
  public interface Listener {
    /** True while the leader reaches the state service and its lease holds. */
    boolean firm();

    /** Jobs with waiting tasks, in order. */
    List<Job> queue();

    /** Attempts were freed. */
    void changed();

    /** Another leads. */
    void deposed();
  }

  /** A recorded rental request. */
  private static final class Hire {
    final String name;
    final MachineVariant variant;
    final int count;
    final long sinceMs;

    /** The gang that its machines are gathered for, or null. */
    final String gang;

    boolean calling;
    boolean answered;
    List<String> machines = List.of();

    Hire(String name, MachineVariant variant, int count, long sinceMs, String gang) {
      this.gang = gang;
      this.name = name;
      this.variant = variant;
      this.count = count;
      this.sinceMs = sinceMs;
    }
  }

  /** A machine that was rented or listed and has not reported in this term. */
  private record Expected(
      String name, MachineVariant variant, long rentedMs, long metMs, String gang) {}

  public MachineProvisioner(
      EventLoop loop,
      KeyValueStore state,
      CloudClient cloud,
      MachineTypeCatalog machineTypes,
      NameIndex zones,
      AutoscalerPolicy policy,
      ServiceLevelObjectives objectives,
      SchedulerState schedulerState,
      FailureResponder responder,
      RateLimiter writes,
      int maxOps,
      long term,
      long version,
      Listener listener) {
    this.loop = loop;
    this.state = state;
    this.cloud = cloud;
    this.machineTypes = machineTypes;
    this.zones = zones;
    this.policy = policy;
    this.schedulerState = schedulerState;
    this.writes = writes;
    this.maxOps = maxOps;
    this.responder = responder;
    this.fleet = new Autoscaler(schedulerState, policy, objectives);
    this.term = term;
    this.version = version;
    this.listener = listener;
  }

  /** Begins; decisions wait until {@link #act()}. */
  public void start() {
    duties.add(loop.every(LIST_MS, this::list));
    duties.add(loop.every(TYPES_MS, this::types));
    list();
  }

  /** The report round is over: from now on machines are rented and returned. */
  public void act() {
    duties.add(loop.every(policy.cycleMs(), this::cycle));
    duties.add(loop.every(JUDGE_MS, this::judge));
    cycle();
  }

  public void stop() {
    stopped = true;
    duties.forEach(EventLoop.Timer::cancel);
  }

  /** Takes a recorded request on takeover; repeating it tells which machines it brought. */
  public void restore(String name, JsonNode v) {
    MachineType type = machineTypes.type(v.path("type").asText());
    int zone = zones.find(v.path("zone").asText());
    if (type == null || zone < 0) {
      return;
    }
    Hire h =
        new Hire(
            name,
            new MachineVariant(type, zone, v.path("spot").asBoolean()),
            v.path("count").asInt(),
            loop.now(),
            v.path(GANG).asText(null));
    rentals.put(name, h);
    call(h);
  }

  /** Machines whose workers should report. */
  public int running() {
    int n = 0;
    for (Machine m : schedulerState.machines()) {
      if (!m.deleting && !m.failed) {
        n++;
      }
    }
    return n;
  }

  /** The machine reported: it is no longer on its way. */
  public void reported(Machine m) {
    Expected e = expected.remove(m.name);
    if (e != null) {
      schedulerState.costAccounting().machineBooted(m, loop.now() - e.rentedMs);
    }
  }

  private void types() {
    cloud.listMachineTypes(
        types -> {
          if (!stopped) {
            types.ifPresent(machineTypes::replaceMachineTypes);
          }
        });
  }

  private void list() {
    if (listing || stopped) {
      return;
    }
    listing = true;
    cloud.listMachines(
        machines -> {
          listing = false;
          if (machines.isPresent() && !stopped) {
            machines.get().forEach(this::listed);
          }
        });
  }

  private void listed(ListedMachine l) {
    MachineType type = machineTypes.type(l.type());
    int zone = zones.find(l.zone());
    if (type == null || zone < 0 || schedulerState.isDeleted(l.name())) {
      return;
    }
    long now = loop.now();
    Machine m = schedulerState.machine(l.name());
    if (l.state().equals(Fields.FAILED)) {
      if (m == null) {
        m = schedulerState.registerMachine(l.name(), type, zone, l.spot(), now);
      }
      if (!m.failed) {
        LOG.info("event=machine_failed machine={}", l.name());
        schedulerState.machineFailed(m, now);
        m.deleting = true;
        expected.remove(l.name());
        listener.changed();
      }
      return;
    }
    if (m == null || m.lastHeartbeatMs < 0) {
      expected.putIfAbsent(
          l.name(),
          new Expected(
              l.name(),
              new MachineVariant(type, zone, l.spot()),
              now - (long) (l.ageS() * 1000),
              now,
              null));
    }
  }

  private void cycle() {
    if (stopped || !listener.firm()) {
      return;
    }
    long now = loop.now();
    for (Hire h : rentals.values()) {
      if (!h.answered && !h.calling) {
        call(h);
      }
    }
    settle();
    List<PendingMachines> coming = coming(now);
    List<Job> queue = listener.queue();
    // What one transaction cannot record is asked for again in the next cycle.
    List<ScaleOutRequest> rents = fleet.rents(queue, coming, machineTypes.machineTypes(), now);
    for (GangReservations.Change c : schedulerState.gangReservations().changes()) {
      LOG.info(
          "event=gang_{} job={} zone={} places={} of={} lasted_ms={}",
          c.what().name().toLowerCase(Locale.ROOT),
          c.job().spec.id(),
          c.zone() < 0 ? "any" : zones.name(c.zone()),
          c.places(),
          c.need(),
          c.lastedMs());
    }
    if (!rents.isEmpty() && !recording) {
      rent(rents.subList(0, Math.min(rents.size(), maxOps)), now);
    }
    for (Machine m : fleet.returns(!queue.isEmpty(), now)) {
      LOG.info("event=return machine={} idle_ms={}", m.name, now - m.idleSinceMs);
      m.deleting = true;
    }
  }

  private void judge() {
    if (!stopped && listener.firm()) {
      responder.judge(loop.now());
      judgeExpected(loop.now());
      sendDeletes();
    }
  }

  /** Since when the cloud has refused the variant; -1 while it has not. */
  public long refusedSinceMs(MachineVariant v) {
    return fleet.refusedSinceMs(v);
  }

  /** Machines rented and not yet reporting, those overdue left out. */
  public List<PendingMachines> coming(long now) {
    List<PendingMachines> out = new ArrayList<>();
    for (Hire h : rentals.values()) {
      if (!h.answered) {
        out.add(new PendingMachines(h.variant, h.count, h.sinceMs, h.gang));
      }
    }
    for (Expected e : expected.values()) {
      // One that is long overdue may never come: it no longer holds back a replacement.
      if (now - e.rentedMs < (long) (e.variant.type().bootS() * 1800) + 4000) {
        out.add(new PendingMachines(e.variant, 1, e.rentedMs, e.gang));
      }
    }
    return out;
  }

  /** Records requests, all in one transaction, before their calls. */
  private void rent(List<ScaleOutRequest> rents, long now) {
    List<Hire> batch = new ArrayList<>();
    Transaction transaction = new Transaction().requireVersion(LeaderElection.LEADER, version);
    for (ScaleOutRequest r : rents) {
      String name = "r-" + term + "-" + counter++;
      Hire h = new Hire(name, r.variant(), r.count(), now, r.gang());
      h.calling = true;
      rentals.put(name, h);
      batch.add(h);
      ObjectNode v = Json.object();
      v.put("type", r.variant().type().name());
      v.put("zone", zones.name(r.variant().zone()));
      v.put("spot", r.variant().spot());
      v.put("count", r.count());
      if (r.gang() != null) {
        v.put(GANG, r.gang()); // The next leader goes on gathering for it.
      }
      transaction.requireVersion(RecordKeys.rental(name), 0).put(RecordKeys.rental(name), v);
    }
    writes.forceAcquire(transaction.writes(), now);
    recording = true;
    state.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          recording = false;
          if (stopped) {
            return;
          }
          if (result == CallResult.OK) {
            batch.forEach(this::call);
          } else if (result == CallResult.CONDITION_FAILED
              && failed.contains(LeaderElection.LEADER)) {
            listener.deposed();
          } else {
            // Not known to be recorded: never called. The names stay unused.
            batch.forEach(h -> rentals.remove(h.name));
          }
        });
  }

  /** Machines of a variant that the cloud has given: known, or on their way. */
  private int there(MachineVariant v) {
    int n = 0;
    for (Machine m : schedulerState.machines()) {
      boolean is = m.type.index() == v.type().index() && m.zone == v.zone() && m.spot == v.spot();
      n += is && !m.failed ? 1 : 0;
    }
    for (Expected e : expected.values()) {
      n += e.variant.key() == v.key() && schedulerState.machine(e.name) == null ? 1 : 0;
    }
    return n;
  }

  private void call(Hire h) {
    h.calling = true;
    LOG.info(
        "event=rent hire={} type={} zone={} spot={} count={}",
        h.name,
        h.variant.type().name(),
        zones.name(h.variant.zone()),
        h.variant.spot(),
        h.count);
    cloud.rent(
        new RentalRequest(
            h.name,
            h.variant.type().name(),
            zones.name(h.variant.zone()),
            h.variant.spot(),
            h.count),
        result -> {
          if (stopped) {
            return;
          }
          h.calling = false;
          long now = loop.now();
          if (result instanceof RentalResult.Unknown) {
            // Unknown, or beyond the budget: the same request is repeated.
            loop.after(
                AGAIN_MS,
                () -> {
                  if (!stopped && !h.calling && listener.firm()) {
                    call(h);
                  }
                });
            return;
          }
          List<String> names =
              result instanceof RentalResult.Rented rented ? rented.machines() : List.of();
          h.answered = true;
          h.machines = names;
          if (result instanceof RentalResult.OutOfCapacity || names.size() < h.count) {
            LOG.info("event=rent_short hire={} got={} of={}", h.name, names.size(), h.count);
            fleet.refused(h.variant, now);
            schedulerState
                .gangReservations()
                .refused(h.variant, there(h.variant) + names.size(), now);
          } else {
            fleet.granted(h.variant);
          }
          for (String n : names) {
            Machine m = schedulerState.machine(n);
            if ((m == null || m.lastHeartbeatMs < 0) && !schedulerState.isDeleted(n)) {
              // Over what a list said meanwhile, which does not know for whom it was rented.
              expected.put(n, new Expected(n, h.variant, h.sinceMs, now, h.gang));
            }
          }
        });
  }

  /** Deletes the records of requests of which each machine reported or is gone. */
  private void settle() {
    if (settling) {
      return;
    }
    List<Hire> over = new ArrayList<>();
    for (Hire h : rentals.values()) {
      if (h.answered
          && over.size() < maxOps / 2
          && h.machines.stream().noneMatch(expected::containsKey)) {
        over.add(h);
      }
    }
    // Nobody waits for this, so it leaves the budget to the starts; but a takeover repeats each
    // recorded request, so they must not pile up.
    if (over.isEmpty()
        || (over.size() < maxOps / 2 && writes.availablePermits(loop.now()) < over.size() + 2)) {
      return;
    }
    Transaction transaction = new Transaction().requireVersion(LeaderElection.LEADER, version);
    over.forEach(h -> transaction.delete(RecordKeys.rental(h.name)));
    writes.forceAcquire(transaction.writes(), loop.now());
    settling = true;
    state.compareAndSwap(
        transaction,
        (result, revision, failed) -> {
          settling = false;
          if (result == CallResult.OK) {
            over.forEach(h -> rentals.remove(h.name));
          }
        });
  }

  /** Machines that never report, though they are long up by the cloud's figures, are returned. */
  private void judgeExpected(long now) {
    for (Expected e : expected.values().toArray(new Expected[0])) {
      long late = (long) (e.variant.type().bootS() * 2500) + 10_000;
      if (now - e.rentedMs > late
          && now - e.metMs > MET_MS
          && !schedulerState.health().failureDetector().isPartitioned(e.variant.zone())) {
        LOG.info("event=machine_never_came machine={}", e.name);
        Machine m =
            schedulerState.registerMachine(
                e.name, e.variant.type(), e.variant.zone(), e.variant.spot(), now);
        if (m != null) {
          m.deleting = true;
        }
        expected.remove(e.name);
      }
    }
  }

  private void sendDeletes() {
    if (deleting) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (Machine m : schedulerState.machines()) {
      if (m.deleting && names.size() < 100) {
        names.add(m.name);
      }
    }
    if (names.isEmpty()) {
      return;
    }
    deleting = true;
    cloud.delete(
        names,
        ok -> {
          deleting = false;
          if (stopped || !ok) {
            return;
          }
          LOG.info("event=deleted machines={}", names);
          for (String n : names) {
            Machine m = schedulerState.machine(n);
            if (m != null) {
              schedulerState.machineDeleted(m, loop.now());
            }
            expected.remove(n);
          }
          listener.changed();
        });
  }
}
