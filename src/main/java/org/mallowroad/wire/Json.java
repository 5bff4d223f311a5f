package org.mallowroad.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes JSON. Accessors check type and bounds; their {@link InvalidMessageException}
 * names the wrong field.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** An empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** An empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Parses a JSON object; nothing may follow it. */
  public static ObjectNode parseObject(byte[] body) throws InvalidMessageException {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new InvalidMessageException("not JSON");
    }
    if (!(node instanceof ObjectNode object)) {
      throw new InvalidMessageException("not an object");
    }
    return object;
  }

  /** The UTF-8 bytes of a value. */
  public static byte[] toBytes(JsonNode node) {
    return toText(node).getBytes(StandardCharsets.UTF_8);
  }

  /** The text of a value. */
  public static String toText(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a JSON tree can always be written to memory", e);
    }
  }

  private static boolean isAbsent(JsonNode node) {
    return node == null || node.isNull() || node.isMissingNode();
  }

  /** A required, non-empty string of at most {@code max} characters. */
  public static String requiredString(JsonNode object, String field, int maxLength)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (isAbsent(node)
        || !node.isTextual()
        || node.textValue().isEmpty()
        || node.textValue().length() > maxLength) {
      throw new InvalidMessageException(
          field + ": a string of 1 to " + maxLength + " characters is needed");
    }
    return node.textValue();
  }

  /** An optional string of at most {@code max} characters; null when it is absent. */
  public static String optionalString(JsonNode object, String field, int maxLength)
      throws InvalidMessageException {
    return isAbsent(object.get(field)) ? null : requiredString(object, field, maxLength);
  }

  /** A required boolean. */
  public static boolean requiredBoolean(JsonNode object, String field)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (isAbsent(node) || !node.isBoolean()) {
      throw new InvalidMessageException(field + ": true or false is needed");
    }
    return node.booleanValue();
  }

  /** A required finite number from 0 to {@code max}. */
  public static double requiredNumber(JsonNode object, String field, double max)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (isAbsent(node) || !node.isNumber()) {
      throw new InvalidMessageException(field + ": a number is needed");
    }
    double number = node.doubleValue();
    if (!Double.isFinite(number) || number < 0 || number > max) {
      throw new InvalidMessageException(field + ": a number from 0 to " + max + " is needed");
    }
    return number;
  }

  /** An optional number from 0 to {@code max}, or {@code otherwise} when it is absent. */
  public static double optionalNumber(
      JsonNode object, String field, double max, double defaultValue)
      throws InvalidMessageException {
    return isAbsent(object.get(field)) ? defaultValue : requiredNumber(object, field, max);
  }

  /** A required integer from {@code min} to {@code max}. */
  public static long requiredInteger(JsonNode object, String field, long min, long max)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (isAbsent(node)
        || !node.isIntegralNumber()
        || !node.canConvertToLong()
        || node.longValue() < min
        || node.longValue() > max) {
      throw new InvalidMessageException(
          field + ": an integer from " + min + " to " + max + " is needed");
    }
    return node.longValue();
  }

  /** A required array. */
  public static ArrayNode requiredArray(JsonNode object, String field)
      throws InvalidMessageException {
    if (!(object.get(field) instanceof ArrayNode array)) {
      throw new InvalidMessageException(field + ": a list is needed");
    }
    return array;
  }
}
