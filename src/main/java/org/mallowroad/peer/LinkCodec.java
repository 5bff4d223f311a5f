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
 * the fingerprint of its schema, which distinguishes a message of another version from corrupt
 * bytes. A decoder that also has the schema of an earlier version can decode both versions.
 * Confined to the event loop.
 *
 * <p>Names of schemas and fields are part of the wire format.
 */
final class LinkCodec {
  /**
   * A call that the receiving controller makes on behalf of the sender.
   *
   * @param destination the name of an external service, or {@link
   *     RelayTransport#WORKER_DESTINATION}
   * @param path the path of the call; for a call to a worker, the worker's address (host:port)
   */
  record RelayedCall(String destination, String method, String path, byte[] body, long timeoutMs) {}

  /** The result of a relayed call or heartbeat; status and body are set only for ANSWERED. */
  record RelayedResult(Outcome outcome, int status, byte[] body) {}

  /** A worker's heartbeat that was received by {@code fromNode}, which is not the leader. */
  record RelayedHeartbeat(String fromNode, byte[] heartbeat) {}

  /**
   * The rejection of a link state whose sending process was replaced by a newer process of its
   * node.
   *
   * @param startedMs when the newer process started, in wall-clock milliseconds since 1970
   */
  record NewerProcess(long startedMs) {}

  /** The outcome of a relayed request; the ordinals are part of the wire format. */
  enum Outcome {
    /** The receiver responded. */
    ANSWERED,
    /** The receiver certainly did not receive the request. */
    NOT_SENT,
    /** The receiver may have received the request, or may still receive it. */
    UNKNOWN;

    /**
     * Decodes a number; an unrecognised one becomes UNKNOWN, the outcome that guarantees nothing.
     */
    private static Outcome decode(int number) {
      return number == 0 ? ANSWERED : number == 1 ? NOT_SENT : UNKNOWN;
    }
  }

  private static final GenericData GENERIC_DATA = GenericData.get();

  private static SchemaBuilder.FieldAssembler<Schema> newRecordSchema(String name) {
    return SchemaBuilder.record(name).namespace("org.mallowroad.peer").fields();
  }

  /** The encoder and decoder of one kind of message. */
  private static final class MessageFormat {
    private final Schema schema;
    private final BinaryMessageEncoder<GenericRecord> encoder;
    private final BinaryMessageDecoder<GenericRecord> decoder;

    MessageFormat(Schema schema) {
      this.schema = schema;
      this.encoder = new BinaryMessageEncoder<>(GENERIC_DATA, schema);
      this.decoder = new BinaryMessageDecoder<>(GENERIC_DATA, schema);
    }

    GenericRecord newRecord() {
      return new GenericData.Record(schema);
    }

    byte[] write(GenericRecord record) {
      try {
        ByteBuffer buffer = encoder.encode(record);
        byte[] encoded = new byte[buffer.remaining()];
        buffer.get(encoded);
        return encoded;
      } catch (IOException e) {
        throw new UncheckedIOException("failed to encode a message into a memory buffer", e);
      }
    }

    GenericRecord read(byte[] bytes) throws InvalidMessageException {
      try {
        return decoder.decode(bytes, null);
      } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
        throw new InvalidMessageException(
            "malformed peer message, or one of an unknown schema version");
      }
    }
  }

  private final Schema zoneContactSchema =
      newRecordSchema("Heard")
          .requiredString("zone")
          .requiredLong("directMs")
          .requiredLong("carriedMs")
          .endRecord();
  private final MessageFormat linkStateFormat =
      new MessageFormat(
          newRecordSchema("Row")
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
              .items(zoneContactSchema)
              .noDefault()
              .endRecord());
  private final MessageFormat callFormat =
      new MessageFormat(
          newRecordSchema("Forward")
              .requiredString("to")
              .requiredString("method")
              .requiredString("path")
              .requiredBytes("body")
              .requiredLong("timeoutMs")
              .endRecord());
  private final MessageFormat resultFormat =
      new MessageFormat(
          newRecordSchema("Forwarded")
              .requiredInt("outcome")
              .requiredInt("status")
              .requiredBytes("body")
              .endRecord());
  private final MessageFormat heartbeatFormat =
      new MessageFormat(
          newRecordSchema("Carry").requiredString("from").requiredBytes("report").endRecord());

  private final MessageFormat newerProcessFormat =
      new MessageFormat(newRecordSchema("Later").requiredLong("began").endRecord());

  byte[] encode(NewerProcess process) {
    GenericRecord record = newerProcessFormat.newRecord();
    record.put("began", process.startedMs());
    return newerProcessFormat.write(record);
  }

  NewerProcess decodeNewerProcess(byte[] bytes) throws InvalidMessageException {
    return new NewerProcess((Long) newerProcessFormat.read(bytes).get("began"));
  }

  byte[] encode(LinkStateAdvertisement linkState) {
    GenericRecord record = linkStateFormat.newRecord();
    record.put("node", linkState.node());
    record.put("started", linkState.processStartedMs());
    record.put("seq", linkState.sequence());
    record.put("term", linkState.term());
    record.put("leading", linkState.leading());
    record.put("stateMs", linkState.stateAgeMs());
    record.put("cloudMs", linkState.cloudAgeMs());
    record.put("peers", linkState.reachablePeers());
    List<GenericRecord> zones = new ArrayList<>();
    for (LinkStateAdvertisement.ZoneContact contact : linkState.zoneContacts()) {
      GenericRecord zoneContact = new GenericData.Record(zoneContactSchema);
      zoneContact.put("zone", contact.zone());
      zoneContact.put("directMs", contact.directAgeMs());
      zoneContact.put("carriedMs", contact.relayedAgeMs());
      zones.add(zoneContact);
    }
    record.put("zones", zones);
    return linkStateFormat.write(record);
  }

  byte[] encode(RelayedCall call) {
    GenericRecord record = callFormat.newRecord();
    record.put("to", call.destination());
    record.put("method", call.method());
    record.put("path", call.path());
    record.put("body", ByteBuffer.wrap(call.body()));
    record.put("timeoutMs", call.timeoutMs());
    return callFormat.write(record);
  }

  byte[] encode(RelayedResult result) {
    GenericRecord record = resultFormat.newRecord();
    record.put("outcome", result.outcome().ordinal());
    record.put("status", result.status());
    record.put("body", ByteBuffer.wrap(result.body()));
    return resultFormat.write(record);
  }

  byte[] encode(RelayedHeartbeat heartbeat) {
    GenericRecord record = heartbeatFormat.newRecord();
    record.put("from", heartbeat.fromNode());
    record.put("report", ByteBuffer.wrap(heartbeat.heartbeat()));
    return heartbeatFormat.write(record);
  }

  LinkStateAdvertisement decodeLinkState(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = linkStateFormat.read(bytes);
    List<String> peers = new ArrayList<>();
    for (Object peer : (List<?>) record.get("peers")) {
      peers.add(peer.toString());
    }
    List<LinkStateAdvertisement.ZoneContact> zones = new ArrayList<>();
    for (Object element : (List<?>) record.get("zones")) {
      GenericRecord zoneContact = (GenericRecord) element;
      zones.add(
          new LinkStateAdvertisement.ZoneContact(
              zoneContact.get("zone").toString(),
              (Long) zoneContact.get("directMs"),
              (Long) zoneContact.get("carriedMs")));
    }
    return new LinkStateAdvertisement(
        record.get("node").toString(),
        (Long) record.get("started"),
        (Long) record.get("seq"),
        (Long) record.get("term"),
        (Boolean) record.get("leading"),
        (Long) record.get("stateMs"),
        (Long) record.get("cloudMs"),
        peers,
        zones);
  }

  RelayedCall decodeCall(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = callFormat.read(bytes);
    return new RelayedCall(
        record.get("to").toString(),
        record.get("method").toString(),
        record.get("path").toString(),
        readBytes(record, "body"),
        (Long) record.get("timeoutMs"));
  }

  RelayedResult decodeResult(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = resultFormat.read(bytes);
    return new RelayedResult(
        Outcome.decode((Integer) record.get("outcome")),
        (Integer) record.get("status"),
        readBytes(record, "body"));
  }

  RelayedHeartbeat decodeHeartbeat(byte[] bytes) throws InvalidMessageException {
    GenericRecord record = heartbeatFormat.read(bytes);
    return new RelayedHeartbeat(record.get("from").toString(), readBytes(record, "report"));
  }

  private static byte[] readBytes(GenericRecord record, String field) {
    ByteBuffer buffer = ((ByteBuffer) record.get(field)).duplicate();
    byte[] copy = new byte[buffer.remaining()];
    buffer.get(copy);
    return copy;
  }
}
