package org.mallowroad.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.Schema;
import org.apache.avro.SchemaBuilder;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;
import org.mallowroad.wire.InvalidMessageException;

/**
 * The messages of {@link PeerMessenger} in Avro's binary form. Confined to the event loop.
 *
 * <p>Names of schemas and fields are part of the wire format.
 */
final class PeerCodec {
  /**
   * The version of the formats of {@link CancelledJobs} and {@link OverloadNotice}. A message of
   * another version is rejected, which only delays the information that it carries.
   */
  private static final int FORMAT_VERSION = 1;

  /** The announcement by which a new leader makes its term known. */
  record LeadershipAnnouncement(String node, long term) {}

  /** A user's request that the sender cannot serve because it cannot reach the state service. */
  record RelayedRequest(String method, String path, byte[] body) {}

  /** The response to a {@link RelayedRequest}. */
  record RelayedResponse(int status, byte[] body) {}

  /** The leader of this term has more records to write than the state service accepts. */
  record OverloadNotice(long term) {}

  /** Jobs whose cancellation is committed. */
  record CancelledJobs(List<String> jobs) {}

  private final Schema cancelledJobsSchema =
      SchemaBuilder.record("Cancelled")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("version")
          .name("jobs")
          .type()
          .array()
          .items()
          .stringType()
          .noDefault()
          .endRecord();
  private final Schema overloadNoticeSchema =
      SchemaBuilder.record("Overloaded")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("version")
          .requiredLong("term")
          .endRecord();
  private final Schema announcementSchema =
      SchemaBuilder.record("Announce")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredString("node")
          .requiredLong("term")
          .endRecord();
  private final Schema requestSchema =
      SchemaBuilder.record("Relay")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredString("method")
          .requiredString("path")
          .requiredBytes("body")
          .endRecord();
  private final Schema responseSchema =
      SchemaBuilder.record("Relayed")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("status")
          .requiredBytes("body")
          .endRecord();

  byte[] encode(LeadershipAnnouncement announcement) {
    GenericRecord record = new GenericData.Record(announcementSchema);
    record.put("node", announcement.node());
    record.put("term", announcement.term());
    return write(announcementSchema, record);
  }

  byte[] encode(RelayedRequest message) {
    GenericRecord record = new GenericData.Record(requestSchema);
    record.put("method", message.method());
    record.put("path", message.path());
    record.put("body", ByteBuffer.wrap(message.body()));
    return write(requestSchema, record);
  }

  byte[] encode(RelayedResponse message) {
    GenericRecord record = new GenericData.Record(responseSchema);
    record.put("status", message.status());
    record.put("body", ByteBuffer.wrap(message.body()));
    return write(responseSchema, record);
  }

  byte[] encode(CancelledJobs message) {
    GenericRecord record = new GenericData.Record(cancelledJobsSchema);
    record.put("version", FORMAT_VERSION);
    record.put("jobs", message.jobs());
    return write(cancelledJobsSchema, record);
  }

  byte[] encode(OverloadNotice message) {
    GenericRecord record = new GenericData.Record(overloadNoticeSchema);
    record.put("version", FORMAT_VERSION);
    record.put("term", message.term());
    return write(overloadNoticeSchema, record);
  }

  OverloadNotice decodeOverloadNotice(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = read(overloadNoticeSchema, bytes);
    checkVersion(record);
    return new OverloadNotice((Long) record.get("term"));
  }

  CancelledJobs decodeCancelledJobs(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = read(cancelledJobsSchema, bytes);
    checkVersion(record);
    List<String> jobs = new ArrayList<>();
    for (Object id : (List<?>) record.get("jobs")) {
      jobs.add(id.toString());
    }
    return new CancelledJobs(jobs);
  }

  LeadershipAnnouncement decodeAnnouncement(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = read(announcementSchema, bytes);
    return new LeadershipAnnouncement(record.get("node").toString(), (Long) record.get("term"));
  }

  RelayedRequest decodeRequest(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = read(requestSchema, bytes);
    return new RelayedRequest(
        record.get("method").toString(), record.get("path").toString(), readBody(record));
  }

  RelayedResponse decodeResponse(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = read(responseSchema, bytes);
    return new RelayedResponse((Integer) record.get("status"), readBody(record));
  }

  private static void checkVersion(GenericRecord record) throws InvalidMessageException {
    if ((Integer) record.get("version") != FORMAT_VERSION) {
      throw new InvalidMessageException("unsupported message format version");
    }
  }

  private static byte[] readBody(GenericRecord record) {
    ByteBuffer buffer = (ByteBuffer) record.get("body");
    byte[] copy = new byte[buffer.remaining()];
    buffer.get(copy);
    return copy;
  }

  private static byte[] write(Schema schema, GenericRecord record) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().binaryEncoder(out, null);
    try {
      new GenericDatumWriter<GenericRecord>(schema).write(record, encoder);
      encoder.flush();
    } catch (IOException e) {
      throw new UncheckedIOException("failed to encode a message into a memory buffer", e);
    }
    return out.toByteArray();
  }

  private static GenericRecord read(Schema schema, byte[] bytes) throws InvalidMessageException {
    try {
      return new GenericDatumReader<GenericRecord>(schema)
          .read(null, DecoderFactory.get().binaryDecoder(bytes, null));
    } catch (IOException | AvroRuntimeException e) {
      throw new InvalidMessageException("malformed peer message");
    }
  }
}
