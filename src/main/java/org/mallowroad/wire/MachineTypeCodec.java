package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;

/** Machine types as the cloud lists them, which is also the format of their stored copy. */
public final class MachineTypeCodec {
  private static final double MAX_AMOUNT = 1e9;
  private static final int MAX_NAME_LENGTH = 200;
  private static final double DEFAULT_FETCH_GB_PER_S = 1;
  private static final double DEFAULT_BOOT_S = 60;

  private MachineTypeCodec() {}

  /**
   * Decodes a list of machine types. Their names are added to {@code types}; zones that are not in
   * {@code zones} are left out.
   */
  public static List<MachineType> decode(ObjectNode o, NameIndex types, NameIndex zones)
      throws InvalidMessageException {
    List<MachineType> out = new ArrayList<>();
    for (JsonNode t : Json.requiredArray(o, Fields.MACHINE_TYPES)) {
      List<String> zoneNames = new ArrayList<>();
      for (JsonNode z : Json.requiredArray(t, Fields.ZONES)) {
        zoneNames.add(z.asText());
      }
      String name = Json.requiredString(t, Fields.TYPE_NAME, MAX_NAME_LENGTH);
      double price = Json.requiredNumber(t, Fields.PRICE, MAX_AMOUNT);
      out.add(
          new MachineType(
              types.intern(name),
              name,
              Json.requiredNumber(t, Fields.CPUS, MAX_AMOUNT),
              Json.optionalNumber(t, Fields.CARDS, MAX_AMOUNT, 0),
              Json.requiredNumber(t, Fields.MEMORY_GB, MAX_AMOUNT),
              Json.optionalNumber(t, Fields.IMAGE_CACHE_GB, MAX_AMOUNT, 0),
              Json.optionalNumber(
                  t, Fields.IMAGE_FETCH_GB_PER_S, MAX_AMOUNT, DEFAULT_FETCH_GB_PER_S),
              price,
              Json.optionalNumber(t, Fields.SPOT_PRICE, MAX_AMOUNT, price),
              Json.optionalNumber(t, Fields.BOOT_TIME_S, MAX_AMOUNT, DEFAULT_BOOT_S),
              zoneNames.stream().mapToInt(zones::find).filter(z -> z >= 0).toArray()));
    }
    return out;
  }

  /** Encodes machine types as the cloud would list them. */
  public static ObjectNode encode(List<MachineType> types, NameIndex zones) {
    ObjectNode o = Json.object();
    ArrayNode list = o.putArray(Fields.MACHINE_TYPES);
    for (MachineType t : types) {
      ObjectNode e = list.addObject();
      e.put(Fields.TYPE_NAME, t.name()).put(Fields.CPUS, t.cpus()).put(Fields.CARDS, t.cards());
      e.put(Fields.MEMORY_GB, t.memGb()).put(Fields.IMAGE_CACHE_GB, t.cacheGb());
      e.put(Fields.IMAGE_FETCH_GB_PER_S, t.fetchGbPerS()).put(Fields.PRICE, t.price());
      e.put(Fields.SPOT_PRICE, t.spotPrice()).put(Fields.BOOT_TIME_S, t.bootS());
      ArrayNode zoneList = e.putArray(Fields.ZONES);
      for (int z : t.zones()) {
        zoneList.add(zones.name(z));
      }
    }
    return o;
  }
}
