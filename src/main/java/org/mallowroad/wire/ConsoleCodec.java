package org.mallowroad.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeStatus;

/**
 * What consoles exchange: the components of the records in {@code core.explain} by their names. A
 * reader ignores names it does not know; one that misses a list or has another form is told so.
 */
public final class ConsoleCodec {
  /** Prefix of the console's paths; the last part is the version of the form. */
  public static final String PATH = "/console/v1/";

  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private ConsoleCodec() {}

  /** The bytes of any record of {@code core.explain}, or of a list of them. */
  public static byte[] encode(Object o) {
    try {
      return MAPPER.writeValueAsBytes(o);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A node's answer; its lists are there and its form is one that this build knows. */
  public static NodeStatus decodeStatus(byte[] body) throws InvalidMessageException {
    NodeStatus s = read(body, NodeStatus.class);
    if (s.format() < 1 || s.node() == null || s.stack() == null) {
      throw new InvalidMessageException("not a console's answer");
    }
    NodeSnapshot p = s.picture();
    if (p != null
        && (p.format() != NodeSnapshot.FORMAT
            || p.phase() == null
            || p.totals() == null
            || p.teams() == null
            || p.jobs() == null
            || p.zones() == null
            || p.machines() == null
            || p.reasons() == null)) {
      throw new InvalidMessageException(
          "a picture of form " + p.format() + ", not " + NodeSnapshot.FORMAT);
    }
    if (p != null
        && Stream.of(p.teams(), p.jobs(), p.zones(), p.machines(), p.reasons())
            .anyMatch(l -> l.stream().anyMatch(Objects::isNull))) {
      throw new InvalidMessageException("not a console's answer");
    }
    return s;
  }

  /** One job's answer. */
  public static JobSnapshot decodeJob(byte[] body) throws InvalidMessageException {
    JobSnapshot j = read(body, JobSnapshot.class);
    if (j.id() == null || j.tasks() == null) {
      throw new InvalidMessageException("not a console's answer");
    }
    return j;
  }

  /** A node's past. */
  public static List<MetricSample> decodeHistory(byte[] body) throws InvalidMessageException {
    for (MetricSample s : read(body, MetricSample[].class)) {
      if (s.waiting() == null
          || s.running() == null
          || s.machines() == null
          || s.reasons() == null) {
        throw new InvalidMessageException("not a console's history");
      }
    }
    return List.of(read(body, MetricSample[].class));
  }

  private static <T> T read(byte[] body, Class<T> type) throws InvalidMessageException {
    try {
      T t = MAPPER.readValue(body, type);
      if (t != null) {
        return t;
      }
    } catch (IOException e) {
      // Falls through: what the library says names classes, which helps no user.
    }
    throw new InvalidMessageException("not a console's answer");
  }
}
