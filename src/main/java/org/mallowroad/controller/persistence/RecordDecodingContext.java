package org.mallowroad.controller.persistence;

import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.wire.JobCodec;

/** The name indices and machine types that records are decoded with. Used on the event loop. */
public interface RecordDecodingContext {
  /** All machine types; empty before the first answer of the cloud. */
  List<MachineType> machineTypes();

  /** The machine type of this name, or null when the cloud does not offer it. */
  MachineType machineType(String name);

  /** The index of zone names. */
  NameIndex zones();

  /** Decodes submissions into job specifications. */
  JobCodec jobCodec();
}
