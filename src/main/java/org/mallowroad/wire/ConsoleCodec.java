package org.mallowroad.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeStatus;

/**
 * The console's answers: the records of {@code core.explain} as JSON, with the names of their
 * components. A reader ignores fields that it does not know, and rejects an answer that lacks a
 * list or has another format version.
 */
public final class ConsoleCodec {
  /** The prefix of the console's paths; its last part is the version of the API. */
  public static final String PATH = "/console/v1/";

  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private ConsoleCodec() {}

  /** Encodes a record of {@code core.explain}, or a list of them. */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException("a record can always be written to memory", e);
    }
  }

  /** Decodes a node's status; all its lists are present and its format is known to this build. */
  public static NodeStatus decodeStatus(byte[] body) throws InvalidMessageException {
    NodeStatus s = read(body, NodeStatus.class);
    if (s.format() < 1 || s.node() == null || s.stack() == null) {
      throw notAnAnswer();
    }
    NodeSnapshot p = s.picture();
    if (p != null
        && (p.format() != NodeSnapshot.FORMAT_VERSION
            || p.phase() == null
            || p.totals() == null
            || p.teams() == null
            || p.jobs() == null
            || p.zones() == null
            || p.machines() == null
            || p.reasons() == null)) {
      throw new InvalidMessageException(
          "a picture of form " + p.format() + ", not " + NodeSnapshot.FORMAT_VERSION);
    }
    if (p != null
        && Stream.of(p.teams(), p.jobs(), p.zones(), p.machines(), p.reasons())
            .anyMatch(l -> l.stream().anyMatch(Objects::isNull))) {
      throw notAnAnswer();
    }
    return s;
  }

  /** Decodes one job. */
  public static JobSnapshot decodeJob(byte[] body) throws InvalidMessageException {
    JobSnapshot j = read(body, JobSnapshot.class);
    if (j.id() == null || j.tasks() == null) {
      throw notAnAnswer();
    }
    return j;
  }

  /** Decodes the recent samples of a node's metrics, the oldest first. */
  public static List<MetricSample> decodeHistory(byte[] body) throws InvalidMessageException {
    MetricSample[] samples = read(body, MetricSample[].class);
    for (MetricSample s : samples) {
      if (s.waiting() == null
          || s.running() == null
          || s.machines() == null
          || s.reasons() == null) {
        throw new InvalidMessageException("not a console's history");
      }
    }
    return List.of(samples);
  }

  private static InvalidMessageException notAnAnswer() {
    return new InvalidMessageException("not a console's answer");
  }

  private static <T> T read(byte[] body, Class<T> type) throws InvalidMessageException {
    try {
      T t = MAPPER.readValue(body, type);
      if (t != null) {
        return t;
      }
    } catch (IOException e) {
      // Replaced by the exception below: the library's text names classes, which helps no user.
    }
    throw notAnAnswer();
  }
}
