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
 * Reads and writes JSON. The accessors check type and bounds of a field, and throw an {@link
 * InvalidMessageException} that names an invalid field.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Returns a new empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Returns a new empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }

  /** Parses a JSON object; the body must contain nothing else. */
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

  /** Encodes a JSON value as UTF-8. */
  public static byte[] toBytes(JsonNode node) {
    return toText(node).getBytes(StandardCharsets.UTF_8);
  }

  /** Encodes a JSON value as text. */
  public static String toText(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("encoding JSON to memory must not fail", e);
    }
  }

  private static boolean isAbsent(JsonNode node) {
    return node == null || node.isNull() || node.isMissingNode();
  }

  /** Returns a required, non-empty string of at most {@code maxLength} characters. */
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

  /**
   * Returns an optional string of at most {@code maxLength} characters, or null if it is absent.
   */
  public static String optionalString(JsonNode object, String field, int maxLength)
      throws InvalidMessageException {
    return isAbsent(object.get(field)) ? null : requiredString(object, field, maxLength);
  }

  /** Returns a required boolean. */
  public static boolean requiredBoolean(JsonNode object, String field)
      throws InvalidMessageException {
    JsonNode node = object.get(field);
    if (isAbsent(node) || !node.isBoolean()) {
      throw new InvalidMessageException(field + ": true or false is needed");
    }
    return node.booleanValue();
  }

  /** Returns a required finite number from 0 to {@code max}. */
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

  /** Returns a number from 0 to {@code max}, or {@code defaultValue} if the field is absent. */
  public static double optionalNumber(
      JsonNode object, String field, double max, double defaultValue)
      throws InvalidMessageException {
    return isAbsent(object.get(field)) ? defaultValue : requiredNumber(object, field, max);
  }

  /** Returns a required integer from {@code min} to {@code max}. */
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

  /** Returns a required array. */
  public static ArrayNode requiredArray(JsonNode object, String field)
      throws InvalidMessageException {
    if (!(object.get(field) instanceof ArrayNode array)) {
      throw new InvalidMessageException(field + ": a list is needed");
    }
    return array;
  }
}
