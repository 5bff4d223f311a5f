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

/**
 * Checks that messages between controllers survive a round trip and malformed ones are rejected.
 */
final class PeerCodecTest {
  private final PeerCodec peerCodec = new PeerCodec();

  @Test
  void decodingReturnsTheEncodedMessage() throws InvalidMessageException {
    PeerCodec.LeadershipAnnouncement announcement = new PeerCodec.LeadershipAnnouncement("n1", 41);
    assertEquals(announcement, peerCodec.decodeAnnouncement(peerCodec.encode(announcement)));
    byte[] body = {1, 2, 3};
    PeerCodec.RelayedRequest request =
        peerCodec.decodeRequest(
            peerCodec.encode(new PeerCodec.RelayedRequest("POST", "/v1/jobs", body)));
    assertEquals("POST /v1/jobs", request.method() + " " + request.path());
    assertArrayEquals(body, request.body());
    PeerCodec.RelayedResponse response =
        peerCodec.decodeResponse(peerCodec.encode(new PeerCodec.RelayedResponse(201, body)));
    assertEquals(201, response.status());
    assertArrayEquals(body, response.body());
  }

  @Test
  void cancelledJobsAreDecodedAndAnotherFormatVersionIsRejected() throws InvalidMessageException {
    PeerCodec.CancelledJobs cancelledJobs =
        new PeerCodec.CancelledJobs(List.of("job-000001", "job-000002"));
    byte[] bytes = peerCodec.encode(cancelledJobs);
    assertEquals(cancelledJobs, peerCodec.decodeCancelledJobs(bytes));
    bytes[0] = (byte) (bytes[0] + 2); // The version comes first, in Avro's zigzag encoding.
    assertThrows(InvalidMessageException.class, () -> peerCodec.decodeCancelledJobs(bytes));
    assertThrows(InvalidMessageException.class, () -> peerCodec.decodeCancelledJobs(new byte[0]));
  }

  @Test
  void relayMessagesAreDecodedAndAnotherSchemaIsRejected() throws InvalidMessageException {
    LinkCodec linkCodec = new LinkCodec();
    LinkStateAdvertisement linkState =
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
    assertEquals(linkState, linkCodec.decodeLinkState(linkCodec.encode(linkState)));
    byte[] body = {1, 2, 3};
    LinkCodec.RelayedCall call =
        linkCodec.decodeCall(
            linkCodec.encode(new LinkCodec.RelayedCall("STATE", "GET", "/kv/a", body, 900)));
    assertEquals(
        "STATE GET /kv/a 900",
        call.destination() + " " + call.method() + " " + call.path() + " " + call.timeoutMs());
    assertArrayEquals(body, call.body());
    LinkCodec.RelayedResult result =
        linkCodec.decodeResult(
            linkCodec.encode(new LinkCodec.RelayedResult(LinkCodec.Outcome.UNKNOWN, 0, body)));
    assertEquals(LinkCodec.Outcome.UNKNOWN, result.outcome());
    assertArrayEquals(
        body,
        linkCodec
            .decodeHeartbeat(linkCodec.encode(new LinkCodec.RelayedHeartbeat("n1", body)))
            .heartbeat());
    // A message of another type, one with a changed schema fingerprint and a truncated one are
    // rejected.
    assertThrows(
        InvalidMessageException.class,
        () ->
            linkCodec.decodeLinkState(
                linkCodec.encode(new LinkCodec.RelayedHeartbeat("n1", body))));
    byte[] otherSchema = linkCodec.encode(linkState);
    otherSchema[4]++;
    assertThrows(InvalidMessageException.class, () -> linkCodec.decodeLinkState(otherSchema));
    assertThrows(
        InvalidMessageException.class, () -> linkCodec.decodeCall(new byte[] {(byte) 0xC3, 1}));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "{\"node\":\"n1\",\"term\":4}", "\u0001"})
  void malformedBytesAreRejected(String text) {
    byte[] bytes = text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
    assertThrows(InvalidMessageException.class, () -> peerCodec.decodeAnnouncement(bytes));
    assertThrows(InvalidMessageException.class, () -> peerCodec.decodeRequest(bytes));
  }
}
