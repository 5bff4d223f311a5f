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
 * Encodes and decodes the responses of the console API: the records of {@code core.explain} as
 * JSON, with the names of their components as field names. The decoder ignores unknown fields, and
 * rejects a response that lacks a list or has another format version.
 */
public final class ConsoleCodec {
  /** The prefix of the console API's paths, which ends with the version of the API. */
  public static final String PATH_PREFIX = "/console/v1/";

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
      throw new UncheckedIOException("encoding a record to memory must not fail", e);
    }
  }

  /** Decodes a node's status; checks that its format is supported and that no list is missing. */
  public static NodeStatus decodeStatus(byte[] body) throws InvalidMessageException {
    NodeStatus status = read(body, NodeStatus.class);
    if (status.format() < 1 || status.node() == null || status.stack() == null) {
      throw invalidResponse();
    }
    NodeSnapshot snapshot = status.picture();
    if (snapshot != null
        && (snapshot.format() != NodeSnapshot.FORMAT_VERSION
            || snapshot.phase() == null
            || snapshot.totals() == null
            || snapshot.teams() == null
            || snapshot.jobs() == null
            || snapshot.zones() == null
            || snapshot.machines() == null
            || snapshot.reasons() == null)) {
      throw new InvalidMessageException(
          "invalid snapshot: format "
              + snapshot.format()
              + ", expected "
              + NodeSnapshot.FORMAT_VERSION);
    }
    if (snapshot != null
        && Stream.of(
                snapshot.teams(),
                snapshot.jobs(),
                snapshot.zones(),
                snapshot.machines(),
                snapshot.reasons())
            .anyMatch(list -> list.stream().anyMatch(Objects::isNull))) {
      throw invalidResponse();
    }
    return status;
  }

  /** Decodes the snapshot of one job. */
  public static JobSnapshot decodeJob(byte[] body) throws InvalidMessageException {
    JobSnapshot job = read(body, JobSnapshot.class);
    if (job.id() == null || job.tasks() == null) {
      throw invalidResponse();
    }
    return job;
  }

  /** Decodes the recent samples of a node's metrics, oldest first. */
  public static List<MetricSample> decodeHistory(byte[] body) throws InvalidMessageException {
    MetricSample[] samples = read(body, MetricSample[].class);
    for (MetricSample sample : samples) {
      if (sample.waiting() == null
          || sample.running() == null
          || sample.machines() == null
          || sample.reasons() == null) {
        throw new InvalidMessageException("not a valid console history");
      }
    }
    return List.of(samples);
  }

  private static InvalidMessageException invalidResponse() {
    return new InvalidMessageException("not a valid console response");
  }

  private static <T> T read(byte[] body, Class<T> type) throws InvalidMessageException {
    try {
      T value = MAPPER.readValue(body, type);
      if (value != null) {
        return value;
      }
    } catch (IOException e) {
      // Replaced by the exception below: the library's message names Java classes, which is of no
      // use to a user.
    }
    throw invalidResponse();
  }
}
