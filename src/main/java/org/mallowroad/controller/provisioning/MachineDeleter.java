package org.mallowroad.controller.provisioning;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes the machines that are marked for it, one call at a time. The cloud's answer proves that
 * nothing runs on them any more, which frees their tasks. Confined to the event loop.
 */
final class MachineDeleter {
  private static final Logger LOG = LoggerFactory.getLogger(MachineDeleter.class);
  private static final int MAX_MACHINES_PER_CALL = 100;

  private final ProvisioningServices services;
  private final BootingMachines booting;
  private final Runnable attemptsFreed;
  private boolean deleting;
  private boolean stopped;

  /**
   * Prepares the deletions.
   *
   * @param attemptsFreed called when machines are gone
   */
  MachineDeleter(ProvisioningServices services, BootingMachines booting, Runnable attemptsFreed) {
    this.services = services;
    this.booting = booting;
    this.attemptsFreed = attemptsFreed;
  }

  void stop() {
    stopped = true;
  }

  /** Deletes what is marked, unless a call is under way. */
  void deleteMarked() {
    if (deleting) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (Machine machine : services.schedulerState().machines()) {
      if (machine.deleting && names.size() < MAX_MACHINES_PER_CALL) {
        names.add(machine.name);
      }
    }
    if (names.isEmpty()) {
      return;
    }
    deleting = true;
    services
        .cloud()
        .delete(
            names,
            ok -> {
              deleting = false;
              if (ok && !stopped) {
                deleted(names);
              }
            });
  }

  private void deleted(List<String> names) {
    LOG.info("event=machines_deleted machines={}", names);
    SchedulerState schedulerState = services.schedulerState();
    for (String name : names) {
      Machine machine = schedulerState.machine(name);
      if (machine != null) {
        schedulerState.machineDeleted(machine, services.loop().now());
      }
      booting.remove(name);
    }
    attemptsFreed.run();
  }
}
