package org.mallowroad.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.AvroRuntimeException;
import org.apache.avro.Schema;
import org.apache.avro.SchemaBuilder;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.message.BinaryMessageDecoder;
import org.apache.avro.message.BinaryMessageEncoder;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.wire.InvalidMessageException;

/**
 * What goes round cuts, in Avro's single-object form: each message begins with the fingerprint of
 * its schema, so one of another version is told from garbage, and a reader that is given an earlier
 * version's schema as well reads both.
 */
final class LinkCodec {
  /** A call to an outside party on behalf of the sender, or a message to a worker's address. */
  record Forward(String to, String method, String path, byte[] body, long timeoutMs) {}

  /** How it went: {@code outcome} is one of ANSWERED, NOT_SENT, UNKNOWN. */
  record Forwarded(int outcome, int status, byte[] body) {}

  /** A worker's report that came to a node that does not lead. */
  record Carry(String from, byte[] report) {}

  /** A later process of the node that sent a row has begun then, by its time of day. */
  record Later(long began) {}

  /** The party answered. */
  static final int ANSWERED = 0;

  /** The party certainly did not get it. */
  static final int NOT_SENT = 1;

  /** It may have got it, or may yet. */
  static final int UNKNOWN = 2;

  private static final GenericData DATA = GenericData.get();

  private static SchemaBuilder.FieldAssembler<Schema> record(String name) {
    return SchemaBuilder.record(name).namespace("org.mallowroad.peer").fields();
  }

  private static final class Kind {
    private final Schema schema;
    private final BinaryMessageEncoder<GenericRecord> encoder;
    private final BinaryMessageDecoder<GenericRecord> decoder;

    Kind(Schema schema) {
      this.schema = schema;
      this.encoder = new BinaryMessageEncoder<>(DATA, schema);
      this.decoder = new BinaryMessageDecoder<>(DATA, schema);
    }

    GenericRecord make() {
      return new GenericData.Record(schema);
    }

    byte[] write(GenericRecord r) {
      try {
        ByteBuffer b = encoder.encode(r);
        byte[] out = new byte[b.remaining()];
        b.get(out);
        return out;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    GenericRecord read(byte[] bytes) throws InvalidMessageException {
      try {
        return decoder.decode(bytes, null);
      } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
        throw new InvalidMessageException("not a peer's message of this version");
      }
    }
  }

  private final Schema heardSchema =
      record("Heard")
          .requiredString("zone")
          .requiredLong("directMs")
          .requiredLong("carriedMs")
          .endRecord();
  private final Kind row =
      new Kind(
          record("Row")
              .requiredString("node")
              .requiredLong("started")
              .requiredLong("seq")
              .requiredLong("term")
              .requiredBoolean("leading")
              .requiredLong("stateMs")
              .requiredLong("cloudMs")
              .name("peers")
              .type()
              .array()
              .items()
              .stringType()
              .noDefault()
              .name("zones")
              .type()
              .array()
              .items(heardSchema)
              .noDefault()
              .endRecord());
  private final Kind forward =
      new Kind(
          record("Forward")
              .requiredString("to")
              .requiredString("method")
              .requiredString("path")
              .requiredBytes("body")
              .requiredLong("timeoutMs")
              .endRecord());
  private final Kind forwarded =
      new Kind(
          record("Forwarded")
              .requiredInt("outcome")
              .requiredInt("status")
              .requiredBytes("body")
              .endRecord());
  private final Kind carry =
      new Kind(record("Carry").requiredString("from").requiredBytes("report").endRecord());

  private final Kind later = new Kind(record("Later").requiredLong("began").endRecord());

  byte[] encode(Later l) {
    GenericRecord g = later.make();
    g.put("began", l.began());
    return later.write(g);
  }

  Later later(byte[] bytes) throws InvalidMessageException {
    return new Later((Long) later.read(bytes).get("began"));
  }

  byte[] encode(LinkStateAdvertisement r) {
    GenericRecord g = row.make();
    g.put("node", r.node());
    g.put("started", r.started());
    g.put("seq", r.sequence());
    g.put("term", r.term());
    g.put("leading", r.leading());
    g.put("stateMs", r.stateAgeMs());
    g.put("cloudMs", r.cloudAgeMs());
    g.put("peers", r.peers());
    List<GenericRecord> zones = new ArrayList<>();
    for (LinkStateAdvertisement.ZoneContact h : r.zones()) {
      GenericRecord z = new GenericData.Record(heardSchema);
      z.put("zone", h.zone());
      z.put("directMs", h.directAgeMs());
      z.put("carriedMs", h.relayedAgeMs());
      zones.add(z);
    }
    g.put("zones", zones);
    return row.write(g);
  }

  byte[] encode(Forward f) {
    GenericRecord g = forward.make();
    g.put("to", f.to());
    g.put("method", f.method());
    g.put("path", f.path());
    g.put("body", ByteBuffer.wrap(f.body()));
    g.put("timeoutMs", f.timeoutMs());
    return forward.write(g);
  }

  byte[] encode(Forwarded f) {
    GenericRecord g = forwarded.make();
    g.put("outcome", f.outcome());
    g.put("status", f.status());
    g.put("body", ByteBuffer.wrap(f.body()));
    return forwarded.write(g);
  }

  byte[] encode(Carry c) {
    GenericRecord g = carry.make();
    g.put("from", c.from());
    g.put("report", ByteBuffer.wrap(c.report()));
    return carry.write(g);
  }

  LinkStateAdvertisement row(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = row.read(bytes);
    List<String> peers = new ArrayList<>();
    for (Object p : (List<?>) g.get("peers")) {
      peers.add(p.toString());
    }
    List<LinkStateAdvertisement.ZoneContact> zones = new ArrayList<>();
    for (Object o : (List<?>) g.get("zones")) {
      GenericRecord z = (GenericRecord) o;
      zones.add(
          new LinkStateAdvertisement.ZoneContact(
              z.get("zone").toString(), (Long) z.get("directMs"), (Long) z.get("carriedMs")));
    }
    return new LinkStateAdvertisement(
        g.get("node").toString(),
        (Long) g.get("started"),
        (Long) g.get("seq"),
        (Long) g.get("term"),
        (Boolean) g.get("leading"),
        (Long) g.get("stateMs"),
        (Long) g.get("cloudMs"),
        peers,
        zones);
  }

  Forward forward(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = forward.read(bytes);
    return new Forward(
        g.get("to").toString(),
        g.get("method").toString(),
        g.get("path").toString(),
        bytes(g, "body"),
        (Long) g.get("timeoutMs"));
  }

  Forwarded forwarded(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = forwarded.read(bytes);
    return new Forwarded((Integer) g.get("outcome"), (Integer) g.get("status"), bytes(g, "body"));
  }

  Carry carry(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = carry.read(bytes);
    return new Carry(g.get("from").toString(), bytes(g, "report"));
  }

  private static byte[] bytes(GenericRecord r, String field) {
    ByteBuffer b = ((ByteBuffer) r.get(field)).duplicate();
    byte[] out = new byte[b.remaining()];
    b.get(out);
    return out;
  }
}
