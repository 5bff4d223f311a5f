package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;

/**
 * Encodes and decodes machine types in the format of the cloud, which is also used to store them.
 */
public final class MachineTypeCodec {
  private static final double MAX_AMOUNT = 1e9;
  private static final int MAX_NAME_LENGTH = 200;
  private static final double DEFAULT_IMAGE_FETCH_GB_PER_S = 1;
  private static final double DEFAULT_BOOT_TIME_S = 60;

  private MachineTypeCodec() {}

  /**
   * Decodes a list of machine types. Their names are added to {@code types}; zones that are not in
   * {@code zones} are omitted.
   */
  public static List<MachineType> decode(ObjectNode list, NameIndex types, NameIndex zones)
      throws InvalidMessageException {
    List<MachineType> machineTypes = new ArrayList<>();
    for (JsonNode item : Json.requiredArray(list, Fields.MACHINE_TYPES)) {
      List<String> zoneNames = new ArrayList<>();
      for (JsonNode zone : Json.requiredArray(item, Fields.ZONES)) {
        zoneNames.add(zone.asText());
      }
      String name = Json.requiredString(item, Fields.TYPE_NAME, MAX_NAME_LENGTH);
      double price = Json.requiredNumber(item, Fields.PRICE, MAX_AMOUNT);
      machineTypes.add(
          new MachineType(
              types.intern(name),
              name,
              Json.requiredNumber(item, Fields.CPUS, MAX_AMOUNT),
              Json.optionalNumber(item, Fields.CARDS, MAX_AMOUNT, 0),
              Json.requiredNumber(item, Fields.MEMORY_GB, MAX_AMOUNT),
              Json.optionalNumber(item, Fields.IMAGE_CACHE_GB, MAX_AMOUNT, 0),
              Json.optionalNumber(
                  item, Fields.IMAGE_FETCH_GB_PER_S, MAX_AMOUNT, DEFAULT_IMAGE_FETCH_GB_PER_S),
              price,
              Json.optionalNumber(item, Fields.SPOT_PRICE, MAX_AMOUNT, price),
              Json.optionalNumber(item, Fields.BOOT_TIME_S, MAX_AMOUNT, DEFAULT_BOOT_TIME_S),
              zoneNames.stream().mapToInt(zones::find).filter(zone -> zone >= 0).toArray()));
    }
    return machineTypes;
  }

  /** Encodes machine types in the format in which the cloud lists them. */
  public static ObjectNode encode(List<MachineType> types, NameIndex zones) {
    ObjectNode list = Json.object();
    ArrayNode items = list.putArray(Fields.MACHINE_TYPES);
    for (MachineType type : types) {
      ObjectNode item = items.addObject();
      item.put(Fields.TYPE_NAME, type.name())
          .put(Fields.CPUS, type.cpus())
          .put(Fields.CARDS, type.cards());
      item.put(Fields.MEMORY_GB, type.memGb()).put(Fields.IMAGE_CACHE_GB, type.cacheGb());
      item.put(Fields.IMAGE_FETCH_GB_PER_S, type.fetchGbPerS()).put(Fields.PRICE, type.price());
      item.put(Fields.SPOT_PRICE, type.spotPrice()).put(Fields.BOOT_TIME_S, type.bootS());
      ArrayNode zoneList = item.putArray(Fields.ZONES);
      for (int zone : type.zones()) {
        zoneList.add(zones.name(zone));
      }
    }
    return list;
  }
}
