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
 * Records rental requests in the state service and sends them to the cloud. Each request is
 * recorded before it is sent and is idempotent by its name: this leader or the next one repeats it
 * until its outcome is known, and a repetition rents no additional machines. The record is deleted
 * once each of the request's machines has sent a heartbeat or is gone. Confined to the event loop.
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
  private boolean isRecording;
  private boolean isDeleting;
  private boolean isStopped;

  /** Receives the outcomes of requests. */
  interface Listener {
    /** Returns whether this node's lease is valid; nothing is resent without it. */
    boolean isLeaseValid();

    /**
     * The cloud answered a request. Called before the request's machines are added to the booting
     * machines.
     *
     * @param machines the number of machines rented
     * @param isIncomplete true if the request was refused for lack of capacity or rented fewer
     *     machines than requested
     */
    void answered(MachineVariant variant, int machines, boolean isIncomplete);

    /** A write failed because another node is the leader. */
    void deposed();
  }

  /** A request that is recorded or being recorded. */
  private static final class Rental {
    final String name;
    final ScaleOutRequest request;
    final long requestedMs;
    boolean isInFlight;
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
    isStopped = true;
  }

  /** Takes over a recorded request and repeats it to learn which machines it rented. */
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

  /** Adds the machines of all requests that have not been answered to {@code pending}. */
  void addPending(List<PendingMachines> pending) {
    for (Rental rental : rentals.values()) {
      if (!rental.isAnswered) {
        ScaleOutRequest request = rental.request;
        pending.add(
            new PendingMachines(
                request.variant(), request.count(), rental.requestedMs, request.gangId()));
      }
    }
  }

  /** Resends the requests that are neither answered nor in flight. */
  void repeatUnanswered() {
    for (Rental rental : rentals.values()) {
      if (!rental.isAnswered && !rental.isInFlight) {
        send(rental);
      }
    }
  }

  /**
   * Records as many requests as fit into one transaction and sends them once they are recorded.
   * Does nothing while an earlier transaction is in progress, because the autoscaler submits its
   * requests again in the next cycle.
   */
  void submit(List<ScaleOutRequest> requests, long now) {
    if (requests.isEmpty() || isRecording) {
      return;
    }
    int batchSize = Math.min(requests.size(), settings.maxTransactionWrites());
    List<Rental> batch = new ArrayList<>();
    Transaction transaction = leaderTransaction();
    for (ScaleOutRequest request : requests.subList(0, batchSize)) {
      Rental rental = new Rental("r-" + settings.term() + "-" + nextNumber++, request, now);
      rental.isInFlight = true;
      rentals.put(rental.name, rental);
      batch.add(rental);
      String key = RecordKeys.rental(rental.name);
      transaction.requireVersion(key, 0).put(key, encode(request));
    }
    services.writes().forceAcquire(transaction.writeCount(), now);
    isRecording = true;
    services
        .store()
        .compareAndSwap(
            transaction,
            (result, revision, failedKeys) -> {
              isRecording = false;
              handleRecorded(batch, result, failedKeys);
            });
  }

  private void handleRecorded(List<Rental> batch, CallResult result, List<String> failedKeys) {
    if (isStopped) {
      return;
    }
    if (result == CallResult.OK) {
      batch.forEach(this::send);
    } else if (result == CallResult.CONDITION_FAILED
        && failedKeys.contains(LeaderElection.LEADER_KEY)) {
      listener.deposed();
    } else {
      // These requests are not known to be recorded, so they are never sent. Their names are not
      // reused.
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
      // Lets the next leader keep the machines reserved for the gang.
      record.put(GANG, request.gangId());
    }
    return record;
  }

  private void send(Rental rental) {
    rental.isInFlight = true;
    MachineVariant variant = rental.request.variant();
    RentalRequest rentalRequest =
        new RentalRequest(
            rental.name,
            variant.type().name(),
            services.zones().name(variant.zone()),
            variant.spot(),
            rental.request.count());
    LOG.info(
        "event=scale_out_requested request={} type={} zone={} spot={} count={}",
        rentalRequest.name(),
        rentalRequest.type(),
        rentalRequest.zone(),
        rentalRequest.spot(),
        rentalRequest.count());
    services.cloud().rent(rentalRequest, result -> handleResult(rental, result));
  }

  private void handleResult(Rental rental, RentalResult result) {
    if (isStopped) {
      return;
    }
    rental.isInFlight = false;
    if (result instanceof RentalResult.Unknown) {
      // The outcome is unknown or the cloud's rate limit was exceeded: repeat the same request.
      services.loop().after(RETRY_MS, () -> resend(rental));
      return;
    }
    rental.isAnswered = true;
    rental.machines = result instanceof RentalResult.Rented rented ? rented.machines() : List.of();
    int count = rental.machines.size();
    boolean isIncomplete =
        result instanceof RentalResult.OutOfCapacity || count < rental.request.count();
    if (isIncomplete) {
      LOG.info(
          "event=scale_out_short request={} got={} of={}",
          rental.name,
          count,
          rental.request.count());
    }
    listener.answered(rental.request.variant(), count, isIncomplete);
    addBooting(rental);
  }

  private void resend(Rental rental) {
    if (!isStopped && !rental.isInFlight && listener.isLeaseValid()) {
      send(rental);
    }
  }

  private void addBooting(Rental rental) {
    ScaleOutRequest request = rental.request;
    long now = services.loop().now();
    for (String name : rental.machines) {
      if (MachineListReconciler.awaitsFirstHeartbeat(name, services.schedulerState())) {
        booting.addRented(
            new BootingMachines.BootingMachine(
                name, request.variant(), rental.requestedMs, now, request.gangId()));
      }
    }
  }

  /**
   * Deletes the records of requests whose machines have all stopped booting. Nothing waits for
   * these deletions, so they yield the write rate to task starts. Once they fill half a transaction
   * they are sent regardless, because a new leader repeats every recorded request.
   */
  void deleteCompleted() {
    if (isDeleting) {
      return;
    }
    int maxCount = settings.maxTransactionWrites() / 2;
    List<Rental> completed = completedRentals(maxCount);
    long now = services.loop().now();
    if (completed.isEmpty()
        || (completed.size() < maxCount
            && services.writes().availablePermits(now) < completed.size() + 2)) {
      return;
    }
    Transaction transaction = leaderTransaction();
    completed.forEach(rental -> transaction.delete(RecordKeys.rental(rental.name)));
    services.writes().forceAcquire(transaction.writeCount(), now);
    isDeleting = true;
    services
        .store()
        .compareAndSwap(
            transaction,
            (result, revision, failedKeys) -> {
              isDeleting = false;
              if (result == CallResult.OK) {
                completed.forEach(rental -> rentals.remove(rental.name));
              }
            });
  }

  private List<Rental> completedRentals(int maxCount) {
    List<Rental> completed = new ArrayList<>();
    for (Rental rental : rentals.values()) {
      if (rental.isAnswered
          && completed.size() < maxCount
          && rental.machines.stream().noneMatch(booting::contains)) {
        completed.add(rental);
      }
    }
    return completed;
  }
}
