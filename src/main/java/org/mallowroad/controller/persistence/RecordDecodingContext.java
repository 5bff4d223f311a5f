package org.mallowroad.controller.persistence;

import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.wire.JobCodec;

/**
 * Provides the name index, machine types and job codec for decoding records. Used on the event
 * loop.
 */
public interface RecordDecodingContext {
  /** Returns all machine types; empty until the first response of the cloud. */
  List<MachineType> machineTypes();

  /** Returns the machine type with this name, or null if the cloud does not offer it. */
  MachineType machineType(String name);

  /** Returns the index of zone names. */
  NameIndex zones();

  /** Returns the codec that decodes submissions into job specifications. */
  JobCodec jobCodec();
}
