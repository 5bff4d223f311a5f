package org.mallowroad.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mallowroad.net.StubEnvironment;
import org.mallowroad.worker.WorkerClient.DeliveryResult;

/**
 * Guards against a launch that counts as not sent although it, or a duplicate of it, may still
 * arrive: the task would be started elsewhere as well.
 */
final class WorkerClientTest {
  private static final int NO_RELAY = -1;
  private static final int RELAY_PEER = 0;

  @ParameterizedTest
  @CsvSource({
    // A refused connection of this process: no byte has left it.
    NO_RELAY + ",false,NOT_SENT",
    NO_RELAY + ",true,UNKNOWN",
    // A peer that refused to relay the message has received it; a duplicate may be relayed later.
    RELAY_PEER + ",false,UNKNOWN",
    RELAY_PEER + ",true,UNKNOWN"
  })
  void aMessageCountsAsNotSentOnlyIfItNeverLeftThisProcess(
      int relayPeer, boolean sent, DeliveryResult expected) {
    WorkerClient client =
        new WorkerClient(new StubEnvironment(handler -> handler.onFailure(sent)), 1);
    client.setRelay((peer, address, body, handler) -> handler.onFailure(sent));
    List<DeliveryResult> results = new ArrayList<>();
    client.send("h:1", relayPeer, 1, 1, List.of(), (result, heartbeat) -> results.add(result));
    assertEquals(List.of(expected), results);
  }
}
