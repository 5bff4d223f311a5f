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
   * another version is refused, which delays what it tells and has no other effect.
   */
  private static final int VERSION = 1;

  /** A leader announces its term. */
  record LeadershipAnnouncement(String node, long term) {}

  /** A user's request that the sender cannot serve, since it does not reach the state service. */
  record RelayedRequest(String method, String path, byte[] body) {}

  /** The response to a {@link RelayedRequest}. */
  record RelayedResponse(int status, byte[] body) {}

  /** The leader of this term has more to record than the state service accepts. */
  record OverloadNotice(long term) {}

  /** Jobs whose cancellation is committed. */
  record CancelledJobs(List<String> jobs) {}

  private final Schema cancelledSchema =
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
  private final Schema overloadedSchema =
      SchemaBuilder.record("Overloaded")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("version")
          .requiredLong("term")
          .endRecord();
  private final Schema announceSchema =
      SchemaBuilder.record("Announce")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredString("node")
          .requiredLong("term")
          .endRecord();
  private final Schema relaySchema =
      SchemaBuilder.record("Relay")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredString("method")
          .requiredString("path")
          .requiredBytes("body")
          .endRecord();
  private final Schema relayedSchema =
      SchemaBuilder.record("Relayed")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("status")
          .requiredBytes("body")
          .endRecord();

  byte[] encode(LeadershipAnnouncement a) {
    GenericRecord r = new GenericData.Record(announceSchema);
    r.put("node", a.node());
    r.put("term", a.term());
    return write(announceSchema, r);
  }

  byte[] encode(RelayedRequest m) {
    GenericRecord r = new GenericData.Record(relaySchema);
    r.put("method", m.method());
    r.put("path", m.path());
    r.put("body", ByteBuffer.wrap(m.body()));
    return write(relaySchema, r);
  }

  byte[] encode(RelayedResponse m) {
    GenericRecord r = new GenericData.Record(relayedSchema);
    r.put("status", m.status());
    r.put("body", ByteBuffer.wrap(m.body()));
    return write(relayedSchema, r);
  }

  byte[] encode(CancelledJobs m) {
    GenericRecord r = new GenericData.Record(cancelledSchema);
    r.put("version", VERSION);
    r.put("jobs", m.jobs());
    return write(cancelledSchema, r);
  }

  byte[] encode(OverloadNotice m) {
    GenericRecord r = new GenericData.Record(overloadedSchema);
    r.put("version", VERSION);
    r.put("term", m.term());
    return write(overloadedSchema, r);
  }

  OverloadNotice decodeOverloadNotice(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(overloadedSchema, bytes);
    checkVersion(r);
    return new OverloadNotice((Long) r.get("term"));
  }

  CancelledJobs decodeCancelledJobs(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(cancelledSchema, bytes);
    checkVersion(r);
    List<String> jobs = new ArrayList<>();
    for (Object id : (List<?>) r.get("jobs")) {
      jobs.add(id.toString());
    }
    return new CancelledJobs(jobs);
  }

  LeadershipAnnouncement decodeAnnouncement(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(announceSchema, bytes);
    return new LeadershipAnnouncement(r.get("node").toString(), (Long) r.get("term"));
  }

  RelayedRequest decodeRequest(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(relaySchema, bytes);
    return new RelayedRequest(r.get("method").toString(), r.get("path").toString(), bytes(r));
  }

  RelayedResponse decodeResponse(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(relayedSchema, bytes);
    return new RelayedResponse((Integer) r.get("status"), bytes(r));
  }

  private static void checkVersion(GenericRecord r) throws InvalidMessageException {
    if ((Integer) r.get("version") != VERSION) {
      throw new InvalidMessageException("another build's message");
    }
  }

  private static byte[] bytes(GenericRecord r) {
    ByteBuffer b = (ByteBuffer) r.get("body");
    byte[] out = new byte[b.remaining()];
    b.get(out);
    return out;
  }

  private static byte[] write(Schema schema, GenericRecord r) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BinaryEncoder e = EncoderFactory.get().binaryEncoder(out, null);
    try {
      new GenericDatumWriter<GenericRecord>(schema).write(r, e);
      e.flush();
    } catch (IOException x) {
      throw new UncheckedIOException("a message cannot be written to memory", x);
    }
    return out.toByteArray();
  }

  private static GenericRecord read(Schema schema, byte[] bytes) throws InvalidMessageException {
    try {
      return new GenericDatumReader<GenericRecord>(schema)
          .read(null, DecoderFactory.get().binaryDecoder(bytes, null));
    } catch (IOException | AvroRuntimeException e) {
      throw new InvalidMessageException("not a peer's message");
    }
  }
}
