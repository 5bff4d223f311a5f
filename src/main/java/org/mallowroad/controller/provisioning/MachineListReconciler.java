package org.mallowroad.controller.provisioning;

import org.mallowroad.core.Machine;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.core.autoscaling.MachineVariant;
import org.mallowroad.wire.CloudCodec.ListedMachine;
import org.mallowroad.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles the cloud's list of machines with those that the leader knows. Detects machines that
 * failed and machines that the cloud lists but that have not sent a heartbeat in this term.
 * Confined to the event loop.
 */
final class MachineListReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListReconciler.class);

  private final ProvisioningServices services;
  private final BootingMachines booting;
  private final Runnable onAttemptsFreed;
  private boolean isListing;
  private boolean isStopped;

  /**
   * Creates a reconciler; {@link #reconcile} reads the list.
   *
   * @param onAttemptsFreed run when the failure of a machine has freed its tasks
   */
  MachineListReconciler(
      ProvisioningServices services, BootingMachines booting, Runnable onAttemptsFreed) {
    this.services = services;
    this.booting = booting;
    this.onAttemptsFreed = onAttemptsFreed;
  }

  void stop() {
    isStopped = true;
  }

  /** Reads the cloud's list and reconciles it, unless a read is in progress. */
  void reconcile() {
    if (isListing || isStopped) {
      return;
    }
    isListing = true;
    services
        .cloud()
        .listMachines(
            machines -> {
              isListing = false;
              if (machines.isPresent() && !isStopped) {
                machines.get().forEach(this::reconcileMachine);
              }
            });
  }

  private void reconcileMachine(ListedMachine listed) {
    SchedulerState schedulerState = services.schedulerState();
    MachineType type = services.machineTypes().machineType(listed.type());
    int zone = services.zones().find(listed.zone());
    if (type == null || zone < 0 || schedulerState.isDeleted(listed.name())) {
      return;
    }
    MachineVariant variant = new MachineVariant(type, zone, listed.spot());
    if (listed.state().equals(Fields.FAILED)) {
      handleFailedMachine(listed.name(), variant);
    } else if (awaitsFirstHeartbeat(listed.name(), schedulerState)) {
      long now = services.loop().now();
      long requestedMs = now - (long) (listed.ageS() * 1000);
      booting.addListed(
          new BootingMachines.BootingMachine(listed.name(), variant, requestedMs, now, null));
    }
  }

  private void handleFailedMachine(String name, MachineVariant variant) {
    SchedulerState schedulerState = services.schedulerState();
    long now = services.loop().now();
    Machine machine = schedulerState.machine(name);
    if (machine == null) {
      machine =
          schedulerState.registerMachine(name, variant.type(), variant.zone(), variant.spot(), now);
    }
    if (machine.failed) {
      return;
    }
    LOG.info("event=machine_failed machine={}", name);
    schedulerState.machineFailed(machine, now);
    machine.deleting = true;
    booting.remove(name);
    onAttemptsFreed.run();
  }

  /** Returns whether the machine may still send its first heartbeat of this term. */
  static boolean awaitsFirstHeartbeat(String name, SchedulerState schedulerState) {
    Machine machine = schedulerState.machine(name);
    return (machine == null || machine.lastHeartbeatMs < 0) && !schedulerState.isDeleted(name);
  }
}
