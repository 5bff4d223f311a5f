package org.mallowroad.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mallowroad.wire.BadMessage;

/** What controllers say to each other survives the way, and garbage is refused. */
final class PeerCodecTest {
  private final PeerCodec codec = new PeerCodec();

  @Test
  void messagesSurviveTheWay() throws BadMessage {
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

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "{\"node\":\"n1\",\"term\":4}", "\u0001"})
  void garbageIsRefused(String bytes) {
    byte[] b = bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    assertThrows(BadMessage.class, () -> codec.announce(b));
    assertThrows(BadMessage.class, () -> codec.relay(b));
  }
}
