package org.mallowroad.controller.provisioning;

import java.util.List;
import org.mallowroad.core.MachineType;

/** The machine types that the cloud offers, as last read by this node. Used on the event loop. */
public interface MachineTypeCatalog {
  /** Returns all machine types; empty until the first response of the cloud. */
  List<MachineType> machineTypes();

  /** Returns the machine type with this name, or null if the cloud does not offer it. */
  MachineType machineType(String name);

  /** Replaces all machine types with those of a newer response. */
  void replaceMachineTypes(List<MachineType> types);
}
