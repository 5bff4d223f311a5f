package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: Map, List, String, Long, Double, Boolean, null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Parses a JSON value; throws IllegalArgumentException if the text is not JSON. */
  static Object parse(String text) {
    try {
      Json parser = new Json(text);
      Object value = parser.value();
      parser.space();
      if (parser.at != text.length()) {
        throw new IllegalArgumentException("trailing text");
      }
      return value;
    } catch (IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("incomplete JSON", e);
    }
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Object value = parse(text);
    if (value instanceof Map) {
      return (Map<String, Object>) value;
    }
    throw new IllegalArgumentException("not an object");
  }

  /** Builds an object from alternating keys and values. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static String str(Map<String, Object> map, String key) {
    Object value = map.get(key);
    return value == null ? null : value.toString();
  }

  static long num(Map<String, Object> map, String key) {
    Object value = map.get(key);
    return value instanceof Number number ? number.longValue() : 0;
  }

  static double dbl(Map<String, Object> map, String key) {
    Object value = map.get(key);
    return value instanceof Number number ? number.doubleValue() : 0;
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> list(Map<String, Object> map, String key) {
    Object value = map.get(key);
    return value == null ? List.of() : (List<Map<String, Object>>) value;
  }

  private void space() {
    while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      space();
      if (text.charAt(at) == '}') {
        at++;
        return map;
      }
      while (true) {
        space();
        String key = string();
        space();
        expect(':');
        map.put(key, value());
        space();
        if (text.charAt(at) == ',') {
          at++;
        } else {
          expect('}');
          return map;
        }
      }
    }
    if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      space();
      if (text.charAt(at) == ']') {
        at++;
        return list;
      }
      while (true) {
        list.add(value());
        space();
        if (text.charAt(at) == ',') {
          at++;
        } else {
          expect(']');
          return list;
        }
      }
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        if (word.indexOf('.') < 0 && word.indexOf('e') < 0 && word.indexOf('E') < 0) {
          return Long.parseLong(word);
        }
        return Double.parseDouble(word);
    }
  }

  private void expect(char c) {
    if (text.charAt(at) != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = text.charAt(at++);
      if (c == '"') {
        return out.toString();
      }
      if (c != '\\') {
        out.append(c);
        continue;
      }
      c = text.charAt(at++);
      switch (c) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(c);
      }
    }
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      boolean first = true;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        if (!first) {
          out.append(',');
        }
        first = false;
        writeString(entry.getKey().toString(), out);
        out.append(':');
        write(entry.getValue(), out);
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      for (int i = 0; i < list.size(); i++) {
        if (i > 0) {
          out.append(',');
        }
        write(list.get(i), out);
      }
      out.append(']');
    } else if (value instanceof String text) {
      writeString(text, out);
    } else {
      out.append(value);
    }
  }

  private static void writeString(String text, StringBuilder out) {
    out.append('"');
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    out.append('"');
  }
}
