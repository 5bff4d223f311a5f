package org.mallowroad.controller.provisioning;

import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Machine;
import org.mallowroad.core.SchedulerState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Deletes the machines that are marked for deletion, one call at a time. The cloud's response
 * proves that nothing runs on them any more, so their tasks are freed. Confined to the event loop.
 */
final class MachineDeleter {
  private static final Logger LOG = LoggerFactory.getLogger(MachineDeleter.class);
  private static final int MAX_MACHINES_PER_CALL = 100;

  private final ProvisioningServices services;
  private final BootingMachines booting;
  private final Runnable onAttemptsFreed;
  private boolean isDeleting;
  private boolean isStopped;

  /**
   * Creates a deleter; {@link #deleteMarked} sends the calls.
   *
   * @param onAttemptsFreed run when machines have been deleted
   */
  MachineDeleter(ProvisioningServices services, BootingMachines booting, Runnable onAttemptsFreed) {
    this.services = services;
    this.booting = booting;
    this.onAttemptsFreed = onAttemptsFreed;
  }

  void stop() {
    isStopped = true;
  }

  /** Deletes marked machines, unless a call is in progress. */
  void deleteMarked() {
    if (isDeleting) {
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
    isDeleting = true;
    services
        .cloud()
        .delete(
            names,
            ok -> {
              isDeleting = false;
              if (ok && !isStopped) {
                handleDeleted(names);
              }
            });
  }

  private void handleDeleted(List<String> names) {
    LOG.info("event=machines_deleted machines={}", names);
    SchedulerState schedulerState = services.schedulerState();
    for (String name : names) {
      Machine machine = schedulerState.machine(name);
      if (machine != null) {
        schedulerState.machineDeleted(machine, services.loop().now());
      }
      booting.remove(name);
    }
    onAttemptsFreed.run();
  }
}
