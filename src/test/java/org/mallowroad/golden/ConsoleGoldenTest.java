package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.mallowroad.core.Attempt;
import org.mallowroad.core.explain.JobSnapshot;
import org.mallowroad.core.explain.MetricSample;
import org.mallowroad.core.explain.NodeSnapshot;
import org.mallowroad.core.explain.NodeStatus;
import org.mallowroad.core.explain.PendingCause;
import org.mallowroad.core.linkstate.ExternalService;
import org.mallowroad.wire.ConsoleCodec;
import org.mallowroad.wire.InvalidMessageException;

/**
 * Compares the console's JSON and the names of enum constants in messages with golden files. The
 * JSON fields are named after record components, so renaming a component or constant would change
 * the protocol.
 */
final class ConsoleGoldenTest {
  private static final GoldenFile RESPONSES = new GoldenFile("console.txt");
  private static final String NODE_STATUS = "node";
  private static final String NODE_STATUS_WITHOUT_SNAPSHOT = "node without a picture";
  private static final String JOB = "job";
  private static final String CLOSED_JOB = "job that is not open";
  private static final String HISTORY = "history";

  private static final NodeSnapshot.JobLine JOB_LINE =
      new NodeSnapshot.JobLine(
          "job-000412",
          "vision",
          "train",
          1,
          16,
          3,
          4,
          2,
          7,
          1,
          61.5,
          true,
          -3.25,
          true,
          2,
          PendingCause.BOOTING.name(),
          12.5,
          30.0,
          "a",
          "2 machines of g8");

  private static NodeSnapshot nodeSnapshot() {
    return new NodeSnapshot(
        NodeSnapshot.FORMAT_VERSION,
        "hearth-0",
        NodeSnapshot.Phase.LEADING,
        3,
        "hearth-0",
        1_800_000_000_123L,
        850,
        4,
        0.25,
        true,
        new NodeSnapshot.Totals(1, 7, 2, 4, 5, 2, 90, 61, 12.75, 3),
        List.of(new NodeSnapshot.TeamLine("vision", 48.0, 64.0, 128.0, 7, 4)),
        List.of(JOB_LINE),
        5,
        List.of(new NodeSnapshot.ZoneLine("a", 4, 1, true, 9.5)),
        List.of(
            new NodeSnapshot.MachineLine(
                "a", "g8", true, 4, 2, 1, 1, 0, 1, 384.0, 48.0, 4.5, -1.0)),
        List.of(
            new NodeSnapshot.ReasonLine(
                "vision",
                "train",
                PendingCause.BOOTING.name(),
                1,
                7,
                12.5,
                "job-000412",
                "2 machines")));
  }

  private static Map<String, Object> samples() {
    Map<String, Object> samples = new LinkedHashMap<>();
    List<String> stack = List.of("one frame", "another");
    samples.put(NODE_STATUS, new NodeStatus(1, "hearth-0", 1_250, stack, 0.5, nodeSnapshot()));
    samples.put(
        NODE_STATUS_WITHOUT_SNAPSHOT, new NodeStatus(1, "hearth-1", 0, List.of(), -1, null));
    samples.put(
        JOB,
        new JobSnapshot(
            "job-000412",
            JOB_LINE,
            PendingCause.BOOTING.remedy(),
            List.of(
                new JobSnapshot.TaskLine(
                    3, 2, "running", "n-000231", "g8", "a", true, false, true, 61.5)),
            9));
    samples.put(CLOSED_JOB, new JobSnapshot("job-7", null, "", List.of(), 0));
    samples.put(
        HISTORY,
        List.of(
            new MetricSample(
                1_800_000_000_123L,
                3,
                90,
                61,
                12.75,
                new TreeMap<>(Map.of("vision", 7)),
                new TreeMap<>(Map.of("vision", 4)),
                new TreeMap<>(Map.of("g8 a", 4)),
                new TreeMap<>(Map.of(PendingCause.BOOTING.name(), 7)))));
    return samples;
  }

  @Test
  void responsesMatchTheGoldenFileByteForByte() {
    Map<String, String> json = new LinkedHashMap<>();
    samples().forEach((name, value) -> json.put(name, GoldenFile.text(ConsoleCodec.encode(value))));
    RESPONSES.check(json);
  }

  @Test
  void responsesOfAnEarlierBuildAreDecodedAndReencodedUnchanged() throws InvalidMessageException {
    for (Map.Entry<String, String> response : RESPONSES.entries().entrySet()) {
      byte[] golden = response.getValue().getBytes(StandardCharsets.UTF_8);
      Object decoded =
          switch (response.getKey()) {
            case NODE_STATUS, NODE_STATUS_WITHOUT_SNAPSHOT -> ConsoleCodec.decodeStatus(golden);
            case JOB, CLOSED_JOB -> ConsoleCodec.decodeJob(golden);
            default -> ConsoleCodec.decodeHistory(golden);
          };
      assertEquals(response.getValue(), GoldenFile.text(ConsoleCodec.encode(decoded)));
      assertEquals(samples().get(response.getKey()), decoded);
    }
  }

  @Test
  void namesOfConstantsInMessagesMatchTheGoldenFile() {
    Map<String, String> texts = new LinkedHashMap<>();
    texts.put("path of the console", ConsoleCodec.PATH_PREFIX);
    texts.put("phases of a node", names(NodeSnapshot.Phase.values()));
    texts.put("parties outside", names(ExternalService.values()));
    texts.put("phases of a task", names(Attempt.Phase.values()).toLowerCase(Locale.ROOT));
    for (PendingCause cause : PendingCause.values()) {
      texts.put("reason " + cause.name(), cause.description() + "; " + cause.remedy());
    }
    new GoldenFile("words.txt").check(texts);
  }

  private static String names(Enum<?>[] constants) {
    return Stream.of(constants).map(Enum::name).collect(Collectors.joining(" "));
  }
}
