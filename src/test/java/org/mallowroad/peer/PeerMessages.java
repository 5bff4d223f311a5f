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

/** One of each message between controllers, for tests of other packages. */
public final class PeerMessages {
  private static final PeerCodec PEERS = new PeerCodec();
  private static final LinkCodec LINKS = new LinkCodec();
  private static final byte[] BODY = "{\"moves\":16}".getBytes(StandardCharsets.UTF_8);

  /** Reads a message and writes it again. */
  @FunctionalInterface
  private interface Rewrite {
    byte[] apply(byte[] bytes) throws InvalidMessageException;
  }

  private static final Map<String, byte[]> SAMPLES = new LinkedHashMap<>();
  private static final Map<String, Rewrite> REWRITES = new LinkedHashMap<>();

  static {
    add(
        "term announced",
        PEERS.encode(new PeerCodec.LeadershipAnnouncement("hearth-1", 4_294_967_298L)),
        b -> PEERS.encode(PEERS.decodeAnnouncement(b)));
    add(
        "user's request",
        PEERS.encode(new PeerCodec.RelayedRequest("POST", "/v1/jobs", BODY)),
        b -> PEERS.encode(PEERS.decodeRequest(b)));
    add(
        "answer to a user's request",
        PEERS.encode(new PeerCodec.RelayedResponse(201, BODY)),
        b -> PEERS.encode(PEERS.decodeResponse(b)));
    add(
        "leader with too much to record",
        PEERS.encode(new PeerCodec.OverloadNotice(7)),
        b -> PEERS.encode(PEERS.decodeOverloadNotice(b)));
    add(
        "cancelled jobs",
        PEERS.encode(new PeerCodec.CancelledJobs(List.of("job-000412", "job-7"))),
        b -> PEERS.encode(PEERS.decodeCancelledJobs(b)));
    add("no cancelled jobs", PEERS.encode(new PeerCodec.CancelledJobs(List.of())), null);
    List<LinkStateAdvertisement.ZoneContact> zones =
        List.of(
            new LinkStateAdvertisement.ZoneContact("a", 250, -1),
            new LinkStateAdvertisement.ZoneContact("b", -1, 3_000));
    LinkStateAdvertisement row =
        new LinkStateAdvertisement(
            "hearth-2", 1_800_000_000_123L, 88, 3, true, 40, -1, List.of("hearth-0", "n9"), zones);
    add("row of links", LINKS.encode(row), b -> LINKS.encode(LINKS.decodeLinkState(b)));
    add(
        "call for another controller",
        LINKS.encode(new LinkCodec.RelayedCall("state", "POST", "/multi", BODY, 1_500)),
        b -> LINKS.encode(LINKS.decodeCall(b)));
    add(
        "answered call",
        LINKS.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.ANSWERED, 200, BODY)),
        b -> LINKS.encode(LINKS.decodeResult(b)));
    add(
        "call that was not sent",
        LINKS.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.NOT_SENT, 0, new byte[0])),
        b -> LINKS.encode(LINKS.decodeResult(b)));
    add(
        "call of unknown outcome",
        LINKS.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.UNKNOWN, 0, new byte[0])),
        b -> LINKS.encode(LINKS.decodeResult(b)));
    add(
        "worker's report",
        LINKS.encode(new LinkCodec.RelayedHeartbeat("hearth-1", BODY)),
        b -> LINKS.encode(LINKS.decodeHeartbeat(b)));
    add(
        "later process",
        LINKS.encode(new LinkCodec.NewerProcess(1_800_000_000_456L)),
        b -> LINKS.encode(LINKS.decodeNewerProcess(b)));
  }

  private PeerMessages() {}

  private static void add(String name, byte[] bytes, Rewrite rewrite) {
    SAMPLES.put(name, bytes);
    REWRITES.put(name, rewrite == null ? b -> PEERS.encode(PEERS.decodeCancelledJobs(b)) : rewrite);
  }

  /** The bytes of one message of each form, by what it says. */
  public static Map<String, byte[]> samples() {
    return SAMPLES;
  }

  /** Reads the bytes of a message and writes it again. */
  public static byte[] reencode(String name, byte[] bytes) throws InvalidMessageException {
    return REWRITES.get(name).apply(bytes);
  }

  /** All schemas of the messages, those of their parts as well. */
  public static List<Schema> schemas() throws IllegalAccessException {
    List<Schema> schemas = new ArrayList<>();
    Set<String> seen = new TreeSet<>();
    for (Object codec : List.of(PEERS, LINKS)) {
      for (Field field : codec.getClass().getDeclaredFields()) {
        field.setAccessible(true);
        Schema schema = schema(field.get(codec));
        if (schema != null && seen.add(schema.toString())) {
          schemas.add(schema);
        }
      }
    }
    return schemas;
  }

  /** The value itself where it is a schema, or the schema that it holds, or null. */
  private static Schema schema(Object value) throws IllegalAccessException {
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
