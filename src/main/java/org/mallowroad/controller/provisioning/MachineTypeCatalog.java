package org.mallowroad.controller.provisioning;

import java.util.List;
import org.mallowroad.core.MachineType;

/** The machine types that the cloud offers, as the node last read them. Used on the event loop. */
public interface MachineTypeCatalog {
  /** All machine types; empty before the first answer of the cloud. */
  List<MachineType> machineTypes();

  /** The machine type of this name, or null when the cloud does not offer it. */
  MachineType machineType(String name);

  /** Replaces all machine types by those of a newer answer. */
  void replaceMachineTypes(List<MachineType> types);
}
