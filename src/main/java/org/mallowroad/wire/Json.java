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
    JsonNode n;
    try {
      n = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new InvalidMessageException("not JSON");
    }
    if (!(n instanceof ObjectNode o)) {
      throw new InvalidMessageException("not an object");
    }
    return o;
  }

  /** The UTF-8 bytes of a value. */
  public static byte[] toBytes(JsonNode n) {
    return toText(n).getBytes(StandardCharsets.UTF_8);
  }

  /** The text of a value. */
  public static String toText(JsonNode n) {
    try {
      return MAPPER.writeValueAsString(n);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a JSON tree can always be written to memory", e);
    }
  }

  private static boolean absent(JsonNode n) {
    return n == null || n.isNull() || n.isMissingNode();
  }

  /** A required, non-empty string of at most {@code max} characters. */
  public static String requiredString(JsonNode o, String field, int max)
      throws InvalidMessageException {
    JsonNode n = o.get(field);
    if (absent(n) || !n.isTextual() || n.textValue().isEmpty() || n.textValue().length() > max) {
      throw new InvalidMessageException(
          field + ": a string of 1 to " + max + " characters is needed");
    }
    return n.textValue();
  }

  /** An optional string of at most {@code max} characters; null when it is absent. */
  public static String optionalString(JsonNode o, String field, int max)
      throws InvalidMessageException {
    return absent(o.get(field)) ? null : requiredString(o, field, max);
  }

  /** A required boolean. */
  public static boolean requiredBoolean(JsonNode o, String field) throws InvalidMessageException {
    JsonNode n = o.get(field);
    if (absent(n) || !n.isBoolean()) {
      throw new InvalidMessageException(field + ": true or false is needed");
    }
    return n.booleanValue();
  }

  /** A required finite number from 0 to {@code max}. */
  public static double requiredNumber(JsonNode o, String field, double max)
      throws InvalidMessageException {
    JsonNode n = o.get(field);
    if (absent(n) || !n.isNumber()) {
      throw new InvalidMessageException(field + ": a number is needed");
    }
    double d = n.doubleValue();
    if (!Double.isFinite(d) || d < 0 || d > max) {
      throw new InvalidMessageException(field + ": a number from 0 to " + max + " is needed");
    }
    return d;
  }

  /** An optional number from 0 to {@code max}, or {@code otherwise} when it is absent. */
  public static double optionalNumber(JsonNode o, String field, double max, double otherwise)
      throws InvalidMessageException {
    return absent(o.get(field)) ? otherwise : requiredNumber(o, field, max);
  }

  /** A required integer from {@code min} to {@code max}. */
  public static long requiredInteger(JsonNode o, String field, long min, long max)
      throws InvalidMessageException {
    JsonNode n = o.get(field);
    if (absent(n)
        || !n.isIntegralNumber()
        || !n.canConvertToLong()
        || n.longValue() < min
        || n.longValue() > max) {
      throw new InvalidMessageException(
          field + ": an integer from " + min + " to " + max + " is needed");
    }
    return n.longValue();
  }

  /** A required array. */
  public static ArrayNode requiredArray(JsonNode o, String field) throws InvalidMessageException {
    if (!(o.get(field) instanceof ArrayNode a)) {
      throw new InvalidMessageException(field + ": a list is needed");
    }
    return a;
  }
}
