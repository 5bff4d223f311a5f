package org.mallowroad.peer;

import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.apache.avro.Schema;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.wire.InvalidMessageException;

/** Samples of all messages between controllers, for tests of other packages. */
public final class PeerMessages {
  private static final PeerCodec PEER_CODEC = new PeerCodec();
  private static final LinkCodec LINK_CODEC = new LinkCodec();
  private static final byte[] BODY = "{\"moves\":16}".getBytes(StandardCharsets.UTF_8);

  /** Decodes a message and encodes it again. */
  @FunctionalInterface
  private interface Reencoder {
    byte[] apply(byte[] bytes) throws InvalidMessageException;
  }

  private static final Map<String, byte[]> SAMPLES = new LinkedHashMap<>();
  private static final Map<String, Reencoder> REENCODERS = new LinkedHashMap<>();

  static {
    addSample(
        "term announced",
        PEER_CODEC.encode(new PeerCodec.LeadershipAnnouncement("hearth-1", 4_294_967_298L)),
        message -> PEER_CODEC.encode(PEER_CODEC.decodeAnnouncement(message)));
    addSample(
        "user's request",
        PEER_CODEC.encode(new PeerCodec.RelayedRequest("POST", "/v1/jobs", BODY)),
        message -> PEER_CODEC.encode(PEER_CODEC.decodeRequest(message)));
    addSample(
        "answer to a user's request",
        PEER_CODEC.encode(new PeerCodec.RelayedResponse(201, BODY)),
        message -> PEER_CODEC.encode(PEER_CODEC.decodeResponse(message)));
    addSample(
        "leader with too much to record",
        PEER_CODEC.encode(new PeerCodec.OverloadNotice(7)),
        message -> PEER_CODEC.encode(PEER_CODEC.decodeOverloadNotice(message)));
    addSample(
        "cancelled jobs",
        PEER_CODEC.encode(new PeerCodec.CancelledJobs(List.of("job-000412", "job-7"))),
        message -> PEER_CODEC.encode(PEER_CODEC.decodeCancelledJobs(message)));
    addSample("no cancelled jobs", PEER_CODEC.encode(new PeerCodec.CancelledJobs(List.of())), null);
    List<LinkStateAdvertisement.ZoneContact> zones =
        List.of(
            new LinkStateAdvertisement.ZoneContact("a", 250, -1),
            new LinkStateAdvertisement.ZoneContact("b", -1, 3_000));
    LinkStateAdvertisement linkState =
        new LinkStateAdvertisement(
            "hearth-2", 1_800_000_000_123L, 88, 3, true, 40, -1, List.of("hearth-0", "n9"), zones);
    addSample(
        "row of links",
        LINK_CODEC.encode(linkState),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeLinkState(message)));
    addSample(
        "call for another controller",
        LINK_CODEC.encode(new LinkCodec.RelayedCall("state", "POST", "/multi", BODY, 1_500)),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeCall(message)));
    addSample(
        "answered call",
        LINK_CODEC.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.ANSWERED, 200, BODY)),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeResult(message)));
    addSample(
        "call that was not sent",
        LINK_CODEC.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.NOT_SENT, 0, new byte[0])),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeResult(message)));
    addSample(
        "call of unknown outcome",
        LINK_CODEC.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.UNKNOWN, 0, new byte[0])),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeResult(message)));
    addSample(
        "worker's report",
        LINK_CODEC.encode(new LinkCodec.RelayedHeartbeat("hearth-1", BODY)),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeHeartbeat(message)));
    addSample(
        "later process",
        LINK_CODEC.encode(new LinkCodec.NewerProcess(1_800_000_000_456L)),
        message -> LINK_CODEC.encode(LINK_CODEC.decodeNewerProcess(message)));
  }

  private PeerMessages() {}

  private static void addSample(String name, byte[] bytes, Reencoder reencoder) {
    SAMPLES.put(name, bytes);
    REENCODERS.put(
        name,
        reencoder == null
            ? message -> PEER_CODEC.encode(PEER_CODEC.decodeCancelledJobs(message))
            : reencoder);
  }

  /** The bytes of one message of each form, by the sample's name in the golden file. */
  public static Map<String, byte[]> samples() {
    return SAMPLES;
  }

  /** Decodes the bytes of the named sample and encodes the message again. */
  public static byte[] reencode(String name, byte[] bytes) throws InvalidMessageException {
    return REENCODERS.get(name).apply(bytes);
  }

  /** The schemas of all messages and of the records nested in them. */
  public static List<Schema> schemas() throws IllegalAccessException {
    List<Schema> schemas = new ArrayList<>();
    Set<String> seenSchemas = new TreeSet<>();
    for (Object codec : List.of(PEER_CODEC, LINK_CODEC)) {
      for (Field field : codec.getClass().getDeclaredFields()) {
        field.setAccessible(true);
        Schema schema = schemaOf(field.get(codec));
        if (schema != null && seenSchemas.add(schema.toString())) {
          schemas.add(schema);
        }
      }
    }
    return schemas;
  }

  /** Returns the value if it is a schema, otherwise the schema in one of its fields, or null. */
  private static Schema schemaOf(Object value) throws IllegalAccessException {
    if (value == null || value instanceof Schema) {
      return (Schema) value;
    }
    if (value.getClass().getNestHost() != LinkCodec.class) {
      return null;
    }
    for (Field field : value.getClass().getDeclaredFields()) {
      if (field.getType() == Schema.class) {
        field.setAccessible(true);
        return (Schema) field.get(value);
      }
    }
    return null;
  }
}
