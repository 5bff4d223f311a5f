package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mallowroad.core.linkstate.LinkStateAdvertisement;
import org.mallowroad.wire.InvalidMessageException;

/** Messages between controllers are decoded as they were encoded, and garbage is rejected. */
final class PeerCodecTest {
  private final PeerCodec codec = new PeerCodec();

  @Test
  void decodesWhatWasEncoded() throws InvalidMessageException {
    PeerCodec.LeadershipAnnouncement a = new PeerCodec.LeadershipAnnouncement("n1", 41);
    assertEquals(a, codec.decodeAnnouncement(codec.encode(a)));
    byte[] body = {1, 2, 3};
    PeerCodec.RelayedRequest r =
        codec.decodeRequest(codec.encode(new PeerCodec.RelayedRequest("POST", "/v1/jobs", body)));
    assertEquals("POST /v1/jobs", r.method() + " " + r.path());
    assertArrayEquals(body, r.body());
    PeerCodec.RelayedResponse d =
        codec.decodeResponse(codec.encode(new PeerCodec.RelayedResponse(201, body)));
    assertEquals(201, d.status());
    assertArrayEquals(body, d.body());
  }

  @Test
  void decodesCancellationsAndRejectsAnotherVersion() throws InvalidMessageException {
    PeerCodec.CancelledJobs c = new PeerCodec.CancelledJobs(List.of("job-000001", "job-000002"));
    byte[] bytes = codec.encode(c);
    assertEquals(c, codec.decodeCancelledJobs(bytes));
    bytes[0] = (byte) (bytes[0] + 2); // The version comes first, in Avro's zigzag form.
    assertThrows(InvalidMessageException.class, () -> codec.decodeCancelledJobs(bytes));
    assertThrows(InvalidMessageException.class, () -> codec.decodeCancelledJobs(new byte[0]));
  }

  @Test
  void decodesRelayMessagesAndRejectsAnotherVersion() throws InvalidMessageException {
    LinkCodec links = new LinkCodec();
    LinkStateAdvertisement row =
        new LinkStateAdvertisement(
            "n1",
            5,
            7,
            3,
            true,
            40,
            -1,
            List.of("n2"),
            List.of(new LinkStateAdvertisement.ZoneContact("a", 20, -1)));
    assertEquals(row, links.decodeLinkState(links.encode(row)));
    byte[] body = {1, 2, 3};
    LinkCodec.RelayedCall f =
        links.decodeCall(
            links.encode(new LinkCodec.RelayedCall("STATE", "GET", "/kv/a", body, 900)));
    assertEquals(
        "STATE GET /kv/a 900", f.to() + " " + f.method() + " " + f.path() + " " + f.timeoutMs());
    assertArrayEquals(body, f.body());
    LinkCodec.RelayedResult d =
        links.decodeResult(
            links.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.UNKNOWN, 0, body)));
    assertEquals(LinkCodec.Outcome.UNKNOWN, d.outcome());
    assertArrayEquals(
        body,
        links
            .decodeHeartbeat(links.encode(new LinkCodec.RelayedHeartbeat("n1", body)))
            .heartbeat());
    // One kind is not read as another, nor a byte of the schema's fingerprint changed.
    assertThrows(
        InvalidMessageException.class,
        () -> links.decodeLinkState(links.encode(new LinkCodec.RelayedHeartbeat("n1", body))));
    byte[] other = links.encode(row);
    other[4]++;
    assertThrows(InvalidMessageException.class, () -> links.decodeLinkState(other));
    assertThrows(
        InvalidMessageException.class, () -> links.decodeCall(new byte[] {(byte) 0xC3, 1}));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "{\"node\":\"n1\",\"term\":4}", "\u0001"})
  void rejectsGarbage(String bytes) {
    byte[] b = bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    assertThrows(InvalidMessageException.class, () -> codec.decodeAnnouncement(b));
    assertThrows(InvalidMessageException.class, () -> codec.decodeRequest(b));
  }
}
