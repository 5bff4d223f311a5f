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
 * The messages of {@link RelayTransport} in Avro's single-object encoding. Each message begins with
 * the fingerprint of its schema, so a message of another version is told from garbage, and a reader
 * that is given an earlier version's schema as well reads both. Confined to the event loop.
 *
 * <p>Names of schemas and fields are part of the wire format.
 */
final class LinkCodec {
  /**
   * A call to make for the sender.
   *
   * @param to the name of an external service, or {@link RelayTransport#WORKER}
   * @param path the path of the call, or a worker's address
   */
  record RelayedCall(String to, String method, String path, byte[] body, long timeoutMs) {}

  /** The result of a relayed call or heartbeat; status and body are those of an answered one. */
  record RelayedResult(Outcome outcome, int status, byte[] body) {}

  /** A worker's heartbeat that arrived at {@code from}, which is not the leader. */
  record RelayedHeartbeat(String from, byte[] heartbeat) {}

  /** A newer process of the node that sent a link state started then, in wall-clock time. */
  record NewerProcess(long startedMs) {}

  /** What became of a relayed request; the ordinals are part of the wire format. */
  enum Outcome {
    /** The receiver answered. */
    ANSWERED,
    /** The receiver certainly did not get the request. */
    NOT_SENT,
    /** The receiver may have got the request, or may still get it. */
    UNKNOWN;

    /** A number that is not known is taken for the outcome that claims nothing. */
    private static Outcome decode(int number) {
      return number == 0 ? ANSWERED : number == 1 ? NOT_SENT : UNKNOWN;
    }
  }

  private static final GenericData DATA = GenericData.get();

  private static SchemaBuilder.FieldAssembler<Schema> record(String name) {
    return SchemaBuilder.record(name).namespace("org.mallowroad.peer").fields();
  }

  /** The encoder and decoder of one kind of message. */
  private static final class Format {
    private final Schema schema;
    private final BinaryMessageEncoder<GenericRecord> encoder;
    private final BinaryMessageDecoder<GenericRecord> decoder;

    Format(Schema schema) {
      this.schema = schema;
      this.encoder = new BinaryMessageEncoder<>(DATA, schema);
      this.decoder = new BinaryMessageDecoder<>(DATA, schema);
    }

    GenericRecord newRecord() {
      return new GenericData.Record(schema);
    }

    byte[] write(GenericRecord r) {
      try {
        ByteBuffer b = encoder.encode(r);
        byte[] out = new byte[b.remaining()];
        b.get(out);
        return out;
      } catch (IOException e) {
        throw new UncheckedIOException("a message cannot be written to memory", e);
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

  private final Schema zoneSchema =
      record("Heard")
          .requiredString("zone")
          .requiredLong("directMs")
          .requiredLong("carriedMs")
          .endRecord();
  private final Format linkState =
      new Format(
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
              .items(zoneSchema)
              .noDefault()
              .endRecord());
  private final Format call =
      new Format(
          record("Forward")
              .requiredString("to")
              .requiredString("method")
              .requiredString("path")
              .requiredBytes("body")
              .requiredLong("timeoutMs")
              .endRecord());
  private final Format result =
      new Format(
          record("Forwarded")
              .requiredInt("outcome")
              .requiredInt("status")
              .requiredBytes("body")
              .endRecord());
  private final Format heartbeat =
      new Format(record("Carry").requiredString("from").requiredBytes("report").endRecord());

  private final Format newerProcess = new Format(record("Later").requiredLong("began").endRecord());

  byte[] encode(NewerProcess p) {
    GenericRecord g = newerProcess.newRecord();
    g.put("began", p.startedMs());
    return newerProcess.write(g);
  }

  NewerProcess decodeNewerProcess(byte[] bytes) throws InvalidMessageException {
    return new NewerProcess((Long) newerProcess.read(bytes).get("began"));
  }

  byte[] encode(LinkStateAdvertisement r) {
    GenericRecord g = linkState.newRecord();
    g.put("node", r.node());
    g.put("started", r.processStartedMs());
    g.put("seq", r.sequence());
    g.put("term", r.term());
    g.put("leading", r.leading());
    g.put("stateMs", r.stateAgeMs());
    g.put("cloudMs", r.cloudAgeMs());
    g.put("peers", r.reachablePeers());
    List<GenericRecord> zones = new ArrayList<>();
    for (LinkStateAdvertisement.ZoneContact h : r.zoneContacts()) {
      GenericRecord z = new GenericData.Record(zoneSchema);
      z.put("zone", h.zone());
      z.put("directMs", h.directAgeMs());
      z.put("carriedMs", h.relayedAgeMs());
      zones.add(z);
    }
    g.put("zones", zones);
    return linkState.write(g);
  }

  byte[] encode(RelayedCall f) {
    GenericRecord g = call.newRecord();
    g.put("to", f.to());
    g.put("method", f.method());
    g.put("path", f.path());
    g.put("body", ByteBuffer.wrap(f.body()));
    g.put("timeoutMs", f.timeoutMs());
    return call.write(g);
  }

  byte[] encode(RelayedResult f) {
    GenericRecord g = result.newRecord();
    g.put("outcome", f.outcome().ordinal());
    g.put("status", f.status());
    g.put("body", ByteBuffer.wrap(f.body()));
    return result.write(g);
  }

  byte[] encode(RelayedHeartbeat h) {
    GenericRecord g = heartbeat.newRecord();
    g.put("from", h.from());
    g.put("report", ByteBuffer.wrap(h.heartbeat()));
    return heartbeat.write(g);
  }

  LinkStateAdvertisement decodeLinkState(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = linkState.read(bytes);
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

  RelayedCall decodeCall(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = call.read(bytes);
    return new RelayedCall(
        g.get("to").toString(),
        g.get("method").toString(),
        g.get("path").toString(),
        bytes(g, "body"),
        (Long) g.get("timeoutMs"));
  }

  RelayedResult decodeResult(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = result.read(bytes);
    return new RelayedResult(
        Outcome.decode((Integer) g.get("outcome")), (Integer) g.get("status"), bytes(g, "body"));
  }

  RelayedHeartbeat decodeHeartbeat(byte[] bytes) throws InvalidMessageException {
    GenericRecord g = heartbeat.read(bytes);
    return new RelayedHeartbeat(g.get("from").toString(), bytes(g, "report"));
  }

  private static byte[] bytes(GenericRecord r, String field) {
    ByteBuffer b = ((ByteBuffer) r.get(field)).duplicate();
    byte[] out = new byte[b.remaining()];
    b.get(out);
    return out;
  }
}
