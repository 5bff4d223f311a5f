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

/** What controllers say to each other survives the way, and garbage is refused. */
final class PeerCodecTest {
  private final PeerCodec codec = new PeerCodec();

  @Test
  void messagesSurviveTheWay() throws InvalidMessageException {
    PeerCodec.Announce a = new PeerCodec.Announce("n1", 41);
    assertEquals(a, codec.announce(codec.encode(a)));
    byte[] body = {1, 2, 3};
    PeerCodec.Relay r = codec.relay(codec.encode(new PeerCodec.Relay("POST", "/v1/jobs", body)));
    assertEquals("POST /v1/jobs", r.method() + " " + r.path());
    assertArrayEquals(body, r.body());
    PeerCodec.Relayed d = codec.relayed(codec.encode(new PeerCodec.Relayed(201, body)));
    assertEquals(201, d.status());
    assertArrayEquals(body, d.body());
  }

  @Test
  void cancellationsSurviveTheWayAndAnotherVersionIsRefused() throws InvalidMessageException {
    PeerCodec.Cancelled c = new PeerCodec.Cancelled(List.of("job-000001", "job-000002"));
    byte[] bytes = codec.encode(c);
    assertEquals(c, codec.cancelled(bytes));
    bytes[0] = (byte) (bytes[0] + 2); // The version comes first, in Avro's zigzag form.
    assertThrows(InvalidMessageException.class, () -> codec.cancelled(bytes));
    assertThrows(InvalidMessageException.class, () -> codec.cancelled(new byte[0]));
  }

  @Test
  void whatGoesRoundCutsSurvivesTheWayAndAnotherVersionIsRefused() throws InvalidMessageException {
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
    assertEquals(row, links.row(links.encode(row)));
    byte[] body = {1, 2, 3};
    LinkCodec.Forward f =
        links.forward(links.encode(new LinkCodec.Forward("STATE", "GET", "/kv/a", body, 900)));
    assertEquals(
        "STATE GET /kv/a 900", f.to() + " " + f.method() + " " + f.path() + " " + f.timeoutMs());
    assertArrayEquals(body, f.body());
    LinkCodec.Forwarded d =
        links.forwarded(links.encode(new LinkCodec.Forwarded(LinkCodec.UNKNOWN, 0, body)));
    assertEquals(LinkCodec.UNKNOWN, d.outcome());
    assertArrayEquals(body, links.carry(links.encode(new LinkCodec.Carry("n1", body))).report());
    // One kind is not read as another, nor a byte of the schema's fingerprint changed.
    assertThrows(
        InvalidMessageException.class,
        () -> links.row(links.encode(new LinkCodec.Carry("n1", body))));
    byte[] other = links.encode(row);
    other[4]++;
    assertThrows(InvalidMessageException.class, () -> links.row(other));
    assertThrows(InvalidMessageException.class, () -> links.forward(new byte[] {(byte) 0xC3, 1}));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "{\"node\":\"n1\",\"term\":4}", "\u0001"})
  void garbageIsRefused(String bytes) {
    byte[] b = bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    assertThrows(InvalidMessageException.class, () -> codec.announce(b));
    assertThrows(InvalidMessageException.class, () -> codec.relay(b));
  }
}
