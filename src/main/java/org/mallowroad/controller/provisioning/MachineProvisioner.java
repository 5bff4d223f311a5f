package org.mallowroad.controller.provisioning;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.mallowroad.core.Job;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.Autoscaler;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.core.autoscaling.PendingMachines;
import org.mallowroad.core.autoscaling.ScaleOutRequest;
import org.mallowroad.core.gang.GangReservations;
import org.mallowroad.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Adjusts the fleet as {@link Autoscaler} decides during one term. It scales out with recorded
 * rental requests ({@link RentalRecords}), scales in and replaces unhealthy machines ({@link
 * FailureResponder}) by deleting machines ({@link MachineDeleter}), and reconciles the cloud's list
 * of machines ({@link MachineListReconciler}). Confined to the event loop.
 */
public final class MachineProvisioner {
  private static final Logger LOG = LoggerFactory.getLogger(MachineProvisioner.class);
  private static final long MACHINE_LIST_INTERVAL_MS = 4_000;
  private static final long MACHINE_TYPES_INTERVAL_MS = 30_000;
  private static final long HEALTH_INTERVAL_MS = 500;

  private final EventLoop loop;
  private final ProvisioningServices services;
  private final ProvisioningSettings settings;
  private final SchedulerState schedulerState;
  private final FailureResponder failureResponder;
  private final Listener listener;
  private final Autoscaler autoscaler;
  private final BootingMachines booting = new BootingMachines();
  private final RentalRecords rentals;
  private final MachineListReconciler machineListReconciler;
  private final MachineDeleter deleter;
  private final List<EventLoop.Timer> timers = new ArrayList<>();
  private boolean isStopped;

  /** Gives provisioning access to the leader and notifies the leader of events. */
  public interface Listener {
    /** Returns whether the leader's lease is valid, so that it may act. */
    boolean isLeaseValid();

    /** Returns the jobs with waiting tasks, in the order in which they are placed. */
    List<Job> waitingJobs();

    /** Attempts were freed, so there may be tasks to place. */
    void attemptsFreed();

    /** A write failed because another node is the leader. */
    void deposed();
  }

  /** Creates a provisioner for one term; nothing runs before {@link #start()}. */
  public MachineProvisioner(
      ProvisioningServices services,
      ProvisioningSettings settings,
      FailureResponder failureResponder,
      Listener listener) {
    this.loop = services.loop();
    this.services = services;
    this.settings = settings;
    this.schedulerState = services.schedulerState();
    this.failureResponder = failureResponder;
    this.listener = listener;
    this.autoscaler = new Autoscaler(schedulerState, settings.policy(), settings.objectives());
    this.rentals = new RentalRecords(services, settings, booting, new RentalListener());
    this.machineListReconciler =
        new MachineListReconciler(services, booting, listener::attemptsFreed);
    this.deleter = new MachineDeleter(services, booting, listener::attemptsFreed);
  }

  /** Starts to poll the cloud's lists. The fleet is not changed before {@link #activate()}. */
  public void start() {
    timers.add(loop.every(MACHINE_LIST_INTERVAL_MS, machineListReconciler::reconcile));
    timers.add(loop.every(MACHINE_TYPES_INTERVAL_MS, this::readMachineTypes));
    machineListReconciler.reconcile();
  }

  /**
   * Starts to rent and delete machines. Called once all workers have had time to send a heartbeat.
   */
  public void activate() {
    timers.add(loop.every(settings.policy().cycleMs(), this::runAutoscaler));
    timers.add(loop.every(HEALTH_INTERVAL_MS, this::replaceUnhealthy));
    runAutoscaler();
  }

  /** Stops provisioning; responses that arrive later are ignored. */
  public void stop() {
    isStopped = true;
    rentals.stop();
    machineListReconciler.stop();
    deleter.stop();
    timers.forEach(EventLoop.Timer::cancel);
  }

  /** Takes over a rental request that an earlier leader recorded. */
  public void restoreRental(String name, JsonNode record) {
    rentals.restore(name, record);
  }

  /** Returns the number of machines whose workers should send heartbeats. */
  public int runningMachineCount() {
    int count = 0;
    for (Machine machine : schedulerState.machines()) {
      if (!machine.deleting && !machine.failed) {
        count++;
      }
    }
    return count;
  }

  /** Handles a heartbeat of the machine: it is no longer booting. */
  public void heartbeatReceived(Machine machine) {
    BootingMachines.BootingMachine booted = booting.remove(machine.name);
    if (booted != null) {
      schedulerState.costAccounting().machineBooted(machine, loop.now() - booted.requestedMs());
    }
  }

  /** Returns since when the cloud has had no capacity for the variant; -1 if it has capacity. */
  public long refusedSinceMs(MachineVariant variant) {
    return autoscaler.refusedSinceMs(variant);
  }

  /** Returns the machines that are requested or booting, except those that are long overdue. */
  public List<PendingMachines> pendingMachines(long now) {
    List<PendingMachines> pending = new ArrayList<>();
    rentals.addPending(pending);
    booting.addPending(pending, now);
    return pending;
  }

  private void readMachineTypes() {
    services
        .cloud()
        .listMachineTypes(
            types -> {
              if (!isStopped) {
                types.ifPresent(services.machineTypes()::replaceMachineTypes);
              }
            });
  }

  private void runAutoscaler() {
    if (isStopped || !listener.isLeaseValid()) {
      return;
    }
    long now = loop.now();
    rentals.repeatUnanswered();
    rentals.deleteCompleted();
    List<PendingMachines> pending = pendingMachines(now);
    List<Job> waiting = listener.waitingJobs();
    List<ScaleOutRequest> requests =
        autoscaler.planScaleOut(waiting, pending, services.machineTypes().machineTypes(), now);
    logGangChanges();
    rentals.submit(requests, now);
    for (Machine machine : autoscaler.planScaleIn(!waiting.isEmpty(), now)) {
      LOG.info("event=scale_in machine={} idle_ms={}", machine.name, now - machine.idleSinceMs);
      machine.deleting = true;
    }
  }

  private void logGangChanges() {
    for (GangReservations.Change change : schedulerState.gangReservations().drainChanges()) {
      LOG.info(
          "event=gang_{} job={} zone={} places={} of={} lasted_ms={}",
          change.transition().name().toLowerCase(Locale.ROOT),
          change.job().spec.id(),
          change.zone() < 0 ? "any" : services.zones().name(change.zone()),
          change.slots(),
          change.neededSlots(),
          change.durationMs());
    }
  }

  private void replaceUnhealthy() {
    if (isStopped || !listener.isLeaseValid()) {
      return;
    }
    failureResponder.evaluate(loop.now());
    for (String name : booting.expireOverdue(schedulerState, loop.now())) {
      LOG.info("event=machine_boot_timeout machine={}", name);
    }
    deleter.deleteMarked();
  }

  /**
   * Returns the number of rented machines of a variant: registered machines that have not failed,
   * and booting machines that are not registered.
   */
  private int rentedMachines(MachineVariant variant) {
    int count = 0;
    for (Machine machine : schedulerState.machines()) {
      boolean isSameVariant =
          machine.type.index() == variant.type().index()
              && machine.zone == variant.zone()
              && machine.spot == variant.spot();
      count += isSameVariant && !machine.failed ? 1 : 0;
    }
    return count + booting.countUnregistered(variant, schedulerState);
  }

  private final class RentalListener implements RentalRecords.Listener {
    @Override
    public boolean isLeaseValid() {
      return listener.isLeaseValid();
    }

    @Override
    public void answered(MachineVariant variant, int machines, boolean isIncomplete) {
      if (!isIncomplete) {
        autoscaler.recordGrant(variant);
        return;
      }
      long now = loop.now();
      autoscaler.recordRefusal(variant, now);
      schedulerState
          .gangReservations()
          .recordRefusal(variant, rentedMachines(variant) + machines, now);
    }

    @Override
    public void deposed() {
      listener.deposed();
    }
  }
}
