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
 * Reconciles the cloud's list of machines with those that the leader knows: finds machines that
 * failed, and machines that are running but have not sent a heartbeat. Confined to the event loop.
 */
final class MachineListReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListReconciler.class);

  private final ProvisioningServices services;
  private final BootingMachines booting;
  private final Runnable attemptsFreed;
  private boolean listing;
  private boolean stopped;

  /**
   * Prepares the reconciliation.
   *
   * @param attemptsFreed called when a machine's failure freed its tasks
   */
  MachineListReconciler(
      ProvisioningServices services, BootingMachines booting, Runnable attemptsFreed) {
    this.services = services;
    this.booting = booting;
    this.attemptsFreed = attemptsFreed;
  }

  void stop() {
    stopped = true;
  }

  /** Reads the list, unless it is being read. */
  void reconcile() {
    if (listing || stopped) {
      return;
    }
    listing = true;
    services
        .cloud()
        .listMachines(
            machines -> {
              listing = false;
              if (machines.isPresent() && !stopped) {
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
      failed(listed.name(), variant);
    } else if (isAwaited(listed.name(), schedulerState)) {
      long now = services.loop().now();
      long requestedMs = now - (long) (listed.ageS() * 1000);
      booting.addListed(
          new BootingMachines.BootingMachine(listed.name(), variant, requestedMs, now, null));
    }
  }

  private void failed(String name, MachineVariant variant) {
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
    attemptsFreed.run();
  }

  /** True while the machine may still send its first heartbeat of this term. */
  static boolean isAwaited(String name, SchedulerState schedulerState) {
    Machine machine = schedulerState.machine(name);
    return (machine == null || machine.lastHeartbeatMs < 0) && !schedulerState.isDeleted(name);
  }
}
