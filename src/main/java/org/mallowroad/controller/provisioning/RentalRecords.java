package org.mallowroad.controller.provisioning;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.cloud.RentalResult;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.CloudCodec.RentalRequest;
import org.mallowroad.wire.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rental requests, each recorded in the state service before it is sent to the cloud. A request is
 * idempotent by its name: it is repeated until its outcome is known, also by the next leader, and
 * rents nothing more. Its record is deleted once each of its machines sent a heartbeat or is gone.
 * Confined to the event loop.
 */
final class RentalRecords {
  private static final Logger LOG = LoggerFactory.getLogger(RentalRecords.class);
  private static final long RETRY_MS = 300;

  private static final String TYPE = "type";
  private static final String ZONE = "zone";
  private static final String SPOT = "spot";
  private static final String COUNT = "count";
  private static final String GANG = "gang";

  private final ProvisioningServices services;
  private final ProvisioningSettings settings;
  private final BootingMachines booting;
  private final Listener listener;
  private final Object2ObjectLinkedOpenHashMap<String, Rental> rentals =
      new Object2ObjectLinkedOpenHashMap<>();
  private int nextNumber;
  private boolean recording;
  private boolean deleting;
  private boolean stopped;

  /** What becomes of the requests. */
  interface Listener {
    /** True while this node's lease holds; without it nothing is sent. */
    boolean isLeaseValid();

    /**
     * The cloud answered a request, before its machines are added to those that boot.
     *
     * @param machines how many it rented
     * @param isShort true when these are fewer than requested
     */
    void answered(MachineVariant variant, int machines, boolean isShort);

    /** Another node leads. */
    void deposed();
  }

  /** A recorded request. */
  private static final class Rental {
    final String name;
    final ScaleOutRequest request;
    final long requestedMs;
    boolean isSent;
    boolean isAnswered;
    List<String> machines = List.of();

    Rental(String name, ScaleOutRequest request, long requestedMs) {
      this.name = name;
      this.request = request;
      this.requestedMs = requestedMs;
    }
  }

  RentalRecords(
      ProvisioningServices services,
      ProvisioningSettings settings,
      BootingMachines booting,
      Listener listener) {
    this.services = services;
    this.settings = settings;
    this.booting = booting;
    this.listener = listener;
  }

  void stop() {
    stopped = true;
  }

  /** Takes over a recorded request; repeating it tells which machines it brought. */
  void restore(String name, JsonNode record) {
    MachineType type = services.machineTypes().machineType(record.path(TYPE).asText());
    int zone = services.zones().find(record.path(ZONE).asText());
    if (type == null || zone < 0) {
      return;
    }
    MachineVariant variant = new MachineVariant(type, zone, record.path(SPOT).asBoolean());
    ScaleOutRequest request =
        new ScaleOutRequest(variant, record.path(COUNT).asInt(), record.path(GANG).asText(null));
    Rental rental = new Rental(name, request, services.loop().now());
    rentals.put(name, rental);
    send(rental);
  }

  /** Adds the machines of all requests that were not answered yet. */
  void addPending(List<PendingMachines> pending) {
    for (Rental rental : rentals.values()) {
      if (!rental.isAnswered) {
        ScaleOutRequest r = rental.request;
        pending.add(new PendingMachines(r.variant(), r.count(), rental.requestedMs, r.gangId()));
      }
    }
  }

  /** Sends again what was not answered and is not being sent. */
  void repeatUnanswered() {
    for (Rental rental : rentals.values()) {
      if (!rental.isAnswered && !rental.isSent) {
        send(rental);
      }
    }
  }

  /**
   * Records as many requests as one transaction holds and sends them once that is done. Does
   * nothing while an earlier transaction is under way: the autoscaler asks again in its next cycle.
   */
  void submit(List<ScaleOutRequest> requests, long now) {
    if (requests.isEmpty() || recording) {
      return;
    }
    int count = Math.min(requests.size(), settings.maxTransactionWrites());
    List<Rental> batch = new ArrayList<>();
    Transaction transaction = leaderTransaction();
    for (ScaleOutRequest request : requests.subList(0, count)) {
      Rental rental = new Rental("r-" + settings.term() + "-" + nextNumber++, request, now);
      rental.isSent = true;
      rentals.put(rental.name, rental);
      batch.add(rental);
      String key = RecordKeys.rental(rental.name);
      transaction.requireVersion(key, 0).put(key, encode(request));
    }
    services.writes().forceAcquire(transaction.writeCount(), now);
    recording = true;
    services
        .store()
        .compareAndSwap(
            transaction,
            (result, revision, failed) -> {
              recording = false;
              recorded(batch, result, failed);
            });
  }

  private void recorded(List<Rental> batch, CallResult result, List<String> failed) {
    if (stopped) {
      return;
    }
    if (result == CallResult.OK) {
      batch.forEach(this::send);
    } else if (result == CallResult.CONDITION_FAILED
        && failed.contains(LeaderElection.LEADER_KEY)) {
      listener.deposed();
    } else {
      // Not known to be recorded, so never sent. The names are not used again.
      batch.forEach(rental -> rentals.remove(rental.name));
    }
  }

  private Transaction leaderTransaction() {
    return new Transaction().requireVersion(LeaderElection.LEADER_KEY, settings.leaderKeyVersion());
  }

  private ObjectNode encode(ScaleOutRequest request) {
    ObjectNode record = Json.object();
    record.put(TYPE, request.variant().type().name());
    record.put(ZONE, services.zones().name(request.variant().zone()));
    record.put(SPOT, request.variant().spot());
    record.put(COUNT, request.count());
    if (request.gangId() != null) {
      record.put(
          GANG, request.gangId()); // The next leader keeps its machines reserved for the gang.
    }
    return record;
  }

  private void send(Rental rental) {
    rental.isSent = true;
    MachineVariant variant = rental.request.variant();
    RentalRequest call =
        new RentalRequest(
            rental.name,
            variant.type().name(),
            services.zones().name(variant.zone()),
            variant.spot(),
            rental.request.count());
    LOG.info(
        "event=scale_out_requested request={} type={} zone={} spot={} count={}",
        call.name(),
        call.type(),
        call.zone(),
        call.spot(),
        call.count());
    services.cloud().rent(call, result -> sent(rental, result));
  }

  private void sent(Rental rental, RentalResult result) {
    if (stopped) {
      return;
    }
    rental.isSent = false;
    if (result instanceof RentalResult.Unknown) {
      // Unknown, or beyond the cloud's rate limit: the same request is repeated.
      services.loop().after(RETRY_MS, () -> resend(rental));
      return;
    }
    rental.isAnswered = true;
    rental.machines = result instanceof RentalResult.Rented rented ? rented.machines() : List.of();
    int count = rental.machines.size();
    boolean isShort =
        result instanceof RentalResult.OutOfCapacity || count < rental.request.count();
    if (isShort) {
      LOG.info(
          "event=scale_out_short request={} got={} of={}",
          rental.name,
          count,
          rental.request.count());
    }
    listener.answered(rental.request.variant(), count, isShort);
    addBooting(rental);
  }

  private void resend(Rental rental) {
    if (!stopped && !rental.isSent && listener.isLeaseValid()) {
      send(rental);
    }
  }

  private void addBooting(Rental rental) {
    ScaleOutRequest request = rental.request;
    long now = services.loop().now();
    for (String name : rental.machines) {
      if (MachineListReconciler.isAwaited(name, services.schedulerState())) {
        booting.addRented(
            new BootingMachines.BootingMachine(
                name, request.variant(), rental.requestedMs, now, request.gangId()));
      }
    }
  }

  /**
   * Deletes the records of requests none of whose machines is booting any more. Nothing waits for
   * this, so it leaves the writes to the starts of tasks; but since a takeover repeats each
   * recorded request, it does not wait once half a transaction has come together.
   */
  void deleteCompleted() {
    if (deleting) {
      return;
    }
    int max = settings.maxTransactionWrites() / 2;
    List<Rental> completed = completed(max);
    long now = services.loop().now();
    if (completed.isEmpty()
        || (completed.size() < max
            && services.writes().availablePermits(now) < completed.size() + 2)) {
      return;
    }
    Transaction transaction = leaderTransaction();
    completed.forEach(rental -> transaction.delete(RecordKeys.rental(rental.name)));
    services.writes().forceAcquire(transaction.writeCount(), now);
    deleting = true;
    services
        .store()
        .compareAndSwap(
            transaction,
            (result, revision, failed) -> {
              deleting = false;
              if (result == CallResult.OK) {
                completed.forEach(rental -> rentals.remove(rental.name));
              }
            });
  }

  private List<Rental> completed(int max) {
    List<Rental> completed = new ArrayList<>();
    for (Rental rental : rentals.values()) {
      if (rental.isAnswered
          && completed.size() < max
          && rental.machines.stream().noneMatch(booting::contains)) {
        completed.add(rental);
      }
    }
    return completed;
  }
}
