package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;

/** Machine types, as the cloud tells them and as they are remembered. */
public final class MachineTypeCodec {
  private static final String TYPES = "builds";

  private MachineTypeCodec() {}

  /** Zones that the settings do not know are left out. */
  public static List<MachineType> decode(ObjectNode o, NameIndex types, NameIndex zones)
      throws InvalidMessageException {
    List<MachineType> out = new ArrayList<>();
    for (JsonNode t : Json.list(o, TYPES)) {
      List<String> in = new ArrayList<>();
      for (JsonNode z : Json.list(t, Fields.ZONES)) {
        in.add(z.asText());
      }
      String name = Json.string(t, Fields.TYPE_NAME, 200);
      double price = Json.amount(t, Fields.PRICE, 1e9);
      out.add(
          new MachineType(
              types.intern(name),
              name,
              Json.amount(t, Fields.CPUS, 1e9),
              Json.amountOr(t, Fields.CARDS, 1e9, 0),
              Json.amount(t, Fields.MEMORY_GB, 1e9),
              Json.amountOr(t, Fields.IMAGE_CACHE_GB, 1e9, 0),
              Json.amountOr(t, Fields.IMAGE_FETCH_GB_PER_S, 1e9, 1),
              price,
              Json.amountOr(t, Fields.SPOT_PRICE, 1e9, price),
              Json.amountOr(t, Fields.BOOT_TIME_S, 1e9, 60),
              in.stream().mapToInt(zones::find).filter(z -> z >= 0).toArray()));
    }
    return out;
  }

  /** The same as the cloud would tell it. */
  public static ObjectNode encode(List<MachineType> types, NameIndex zones) {
    ObjectNode o = Json.object();
    ArrayNode list = o.putArray(TYPES);
    for (MachineType t : types) {
      ObjectNode e = list.addObject();
      e.put(Fields.TYPE_NAME, t.name()).put(Fields.CPUS, t.cpus()).put(Fields.CARDS, t.cards());
      e.put(Fields.MEMORY_GB, t.memGb()).put(Fields.IMAGE_CACHE_GB, t.cacheGb());
      e.put(Fields.IMAGE_FETCH_GB_PER_S, t.fetchGbPerS()).put(Fields.PRICE, t.price());
      e.put(Fields.SPOT_PRICE, t.spotPrice()).put(Fields.BOOT_TIME_S, t.bootS());
      ArrayNode in = e.putArray(Fields.ZONES);
      for (int z : t.zones()) {
        in.add(zones.name(z));
      }
    }
    return o;
  }
}
