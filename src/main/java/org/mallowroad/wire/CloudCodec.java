package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes requests to the cloud's machine API and decodes its responses, except for machine types
 * ({@link MachineTypeCodec}).
 */
public final class CloudCodec {
  private static final int MAX_NAME_LENGTH = 150;
  private static final int MAX_TYPE_LENGTH = 200;
  private static final int MAX_STATE_LENGTH = 40;
  private static final double MAX_AGE_S = 1e12;

  private CloudCodec() {}

  /**
   * A rented machine as the cloud lists it.
   *
   * @param address host:port of its worker; empty while it has none
   * @param state the state as the cloud names it
   * @param ageS the time since it was rented, in seconds
   */
  public record ListedMachine(
      String name,
      String type,
      String zone,
      boolean spot,
      String address,
      String state,
      double ageS) {}

  /**
   * One page of the list of machines.
   *
   * @param nextPageToken the name of the last machine of this page, after which the next page
   *     begins; null on the last page
   */
  public record MachinePage(List<ListedMachine> machines, String nextPageToken) {}

  /**
   * A request to rent machines.
   *
   * @param name the idempotency key: a repeated request with the same name rents no further
   *     machines
   */
  public record RentalRequest(String name, String type, String zone, boolean spot, int count) {}

  /** Decodes one page of the list of machines. */
  public static MachinePage decodePage(ObjectNode page) throws InvalidMessageException {
    List<ListedMachine> machines = new ArrayList<>();
    String lastName = null;
    for (JsonNode item : Json.requiredArray(page, Fields.MACHINES)) {
      ListedMachine machine = decodeMachine(item);
      lastName = machine.name();
      machines.add(machine);
    }
    JsonNode truncated = page.get(Fields.TRUNCATED);
    return new MachinePage(machines, truncated != null && truncated.asBoolean() ? lastName : null);
  }

  private static ListedMachine decodeMachine(JsonNode machine) throws InvalidMessageException {
    String address = Json.optionalString(machine, Fields.ADDRESS, MAX_TYPE_LENGTH);
    return new ListedMachine(
        Json.requiredString(machine, Fields.ID, MAX_NAME_LENGTH),
        Json.requiredString(machine, Fields.MACHINE_TYPE, MAX_TYPE_LENGTH),
        Json.requiredString(machine, Fields.ZONE, MAX_TYPE_LENGTH),
        Json.requiredBoolean(machine, Fields.SPOT),
        address == null ? "" : address,
        Json.requiredString(machine, Fields.STATE, MAX_STATE_LENGTH),
        Json.optionalNumber(machine, Fields.AGE_S, MAX_AGE_S, 0));
  }

  /** Encodes a request to rent machines. */
  public static byte[] encode(RentalRequest request) {
    ObjectNode body = Json.object();
    body.put(Fields.RENTAL_REQUEST, request.name());
    body.put(Fields.MACHINE_TYPE, request.type());
    body.put(Fields.ZONE, request.zone());
    body.put(Fields.SPOT, request.spot());
    body.put(Fields.COUNT, request.count());
    return Json.toBytes(body);
  }

  /** Decodes the names of the machines that a request rented. */
  public static List<String> decodeRentedNames(ObjectNode response) throws InvalidMessageException {
    List<String> names = new ArrayList<>();
    for (JsonNode item : Json.requiredArray(response, Fields.MACHINES)) {
      names.add(item.asText());
    }
    return names;
  }

  /** Encodes a request to delete machines. */
  public static byte[] encodeDeletion(List<String> names) {
    ObjectNode body = Json.object();
    ArrayNode list = body.putArray(Fields.MACHINES);
    names.forEach(list::add);
    return Json.toBytes(body);
  }
}
