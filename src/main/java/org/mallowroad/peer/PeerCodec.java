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

/** What controllers say to each other, in Avro's binary form. */
final class PeerCodec {
  /**
   * Of the forms of {@link Cancelled} and {@link Overloaded}; another build's is refused, and costs
   * time alone.
   */
  private static final int VERSION = 1;

  /** A leader makes its term known. */
  record Announce(String node, long term) {}

  /** A user's request that this node cannot serve for want of the state service. */
  record Relay(String method, String path, byte[] body) {}

  /** What the other node answered. */
  record Relayed(int status, byte[] body) {}

  /** The leader of this term has more to record than the state service takes. */
  record Overloaded(long term) {}

  /** Jobs that are cancelled, for good. */
  record Cancelled(List<String> jobs) {}

  private final Schema cancelled =
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
  private final Schema overloaded =
      SchemaBuilder.record("Overloaded")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("version")
          .requiredLong("term")
          .endRecord();
  private final Schema announce =
      SchemaBuilder.record("Announce")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredString("node")
          .requiredLong("term")
          .endRecord();
  private final Schema relay =
      SchemaBuilder.record("Relay")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredString("method")
          .requiredString("path")
          .requiredBytes("body")
          .endRecord();
  private final Schema relayed =
      SchemaBuilder.record("Relayed")
          .namespace("org.mallowroad.peer")
          .fields()
          .requiredInt("status")
          .requiredBytes("body")
          .endRecord();

  byte[] encode(Announce a) {
    GenericRecord r = new GenericData.Record(announce);
    r.put("node", a.node());
    r.put("term", a.term());
    return write(announce, r);
  }

  byte[] encode(Relay m) {
    GenericRecord r = new GenericData.Record(relay);
    r.put("method", m.method());
    r.put("path", m.path());
    r.put("body", ByteBuffer.wrap(m.body()));
    return write(relay, r);
  }

  byte[] encode(Relayed m) {
    GenericRecord r = new GenericData.Record(relayed);
    r.put("status", m.status());
    r.put("body", ByteBuffer.wrap(m.body()));
    return write(relayed, r);
  }

  byte[] encode(Cancelled m) {
    GenericRecord r = new GenericData.Record(cancelled);
    r.put("version", VERSION);
    r.put("jobs", m.jobs());
    return write(cancelled, r);
  }

  byte[] encode(Overloaded m) {
    GenericRecord r = new GenericData.Record(overloaded);
    r.put("version", VERSION);
    r.put("term", m.term());
    return write(overloaded, r);
  }

  Overloaded overloaded(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(overloaded, bytes);
    if ((Integer) r.get("version") != VERSION) {
      throw new InvalidMessageException("another build's message");
    }
    return new Overloaded((Long) r.get("term"));
  }

  Cancelled cancelled(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(cancelled, bytes);
    if ((Integer) r.get("version") != VERSION) {
      throw new InvalidMessageException("another build's message");
    }
    List<String> jobs = new ArrayList<>();
    for (Object id : (List<?>) r.get("jobs")) {
      jobs.add(id.toString());
    }
    return new Cancelled(jobs);
  }

  Announce announce(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(announce, bytes);
    return new Announce(r.get("node").toString(), (Long) r.get("term"));
  }

  Relay relay(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(relay, bytes);
    return new Relay(r.get("method").toString(), r.get("path").toString(), bytes(r));
  }

  Relayed relayed(byte[] bytes) throws InvalidMessageException {
    GenericRecord r = read(relayed, bytes);
    return new Relayed((Integer) r.get("status"), bytes(r));
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
      throw new UncheckedIOException(x);
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
