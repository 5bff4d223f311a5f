package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.simulation.RecordedHistory;
import org.mallowroad.simulation.RecordedHistory.Party;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Compares every byte that the controllers send in two short simulated histories with golden files:
 * one example of each message structure, in the order of first appearance, and a digest of all
 * messages in their order.
 */
final class HistoryGoldenTest {
  private static final String SEPARATE_START_RECORDS = "own-start-records";
  private static final String SHARED_START_RECORDS = "shared-start-records";
  private static final String METRICS_PATH = "/metrics";
  private static final Pattern JOB_NAME = Pattern.compile("job-[0-9]+");
  private static final Pattern DIGITS = Pattern.compile("[0-9]+");
  private static final Map<String, Recording> RECORDINGS = new LinkedHashMap<>();

  @BeforeAll
  static void recordHistories() {
    RECORDINGS.put(SEPARATE_START_RECORDS, recordHistory(11, false));
    RECORDINGS.put(SHARED_START_RECORDS, recordHistory(12, true));
  }

  private static Recording recordHistory(long seed, boolean sharedStarts) {
    Recording recording = new Recording();
    new RecordedHistory(seed, sharedStarts, recording).run();
    return recording;
  }

  @ParameterizedTest
  @ValueSource(strings = {SEPARATE_START_RECORDS, SHARED_START_RECORDS})
  void controllersSendTheSameMessagesByteForByte(String history) {
    Recording recording = RECORDINGS.get(history);
    new GoldenFile("messages-" + history + ".txt").check(recording.messages());
  }

  @ParameterizedTest
  @ValueSource(strings = {SEPARATE_START_RECORDS, SHARED_START_RECORDS})
  void controllersStoreTheSameRecordsByteForByte(String history) {
    Recording recording = RECORDINGS.get(history);
    new GoldenFile("records-" + history + ".txt").check(recording.records());
  }

  @Test
  void everyKindOfRecordHasAGoldenValue() throws IllegalAccessException {
    Set<String> found = new TreeSet<>();
    for (String history : RECORDINGS.keySet()) {
      new GoldenFile("records-" + history + ".txt")
          .entries()
          .keySet()
          .forEach(name -> found.add(keyPrefix(name.substring(name.indexOf(' ') + 1))));
    }
    Set<String> expected =
        new TreeSet<>(Set.of(LeaderElection.LEADER_KEY, LeaderElection.TERM_KEY, "types"));
    for (Field field : RecordKeys.class.getDeclaredFields()) {
      if (Modifier.isStatic(field.getModifiers()) && field.getType() == String.class) {
        field.setAccessible(true);
        expected.add((String) field.get(null));
      }
    }
    Set<String> missing = new TreeSet<>(expected);
    missing.removeAll(found);
    assertEquals(Set.of(), missing, "records without a golden value");
    found.remove("all");
    found.removeAll(expected);
    assertEquals(Set.of(), found, "golden values of records whose key is unknown");
  }

  @Test
  void messagesToEveryPartyAreRecorded() {
    Set<Party> parties = new TreeSet<>();
    RECORDINGS.values().forEach(r -> parties.addAll(r.parties));
    assertEquals(Set.of(Party.values()), parties);
  }

  private static String keyPrefix(String key) {
    int slash = key.indexOf('/');
    return slash < 0 ? key : key.substring(0, slash + 1);
  }

  /** Collects one example of each message and record structure, and digests of all of them. */
  private static final class Recording implements RecordedHistory.Listener {
    private final Map<String, String> messageExamples = new LinkedHashMap<>();
    private final Map<String, String> recordExamples = new LinkedHashMap<>();
    private final MessageDigest allMessages = sha256();
    private final MessageDigest allRecords = sha256();
    private final Set<Party> parties = new TreeSet<>();
    private final Set<String> seenStructures = new TreeSet<>();
    private int messageCount;
    private int recordCount;

    Map<String, String> messages() {
      return withDigest(messageExamples, messageCount, allMessages);
    }

    Map<String, String> records() {
      return withDigest(recordExamples, recordCount, allRecords);
    }

    private static Map<String, String> withDigest(
        Map<String, String> examples, int count, MessageDigest digest) {
      Map<String, String> entries = new LinkedHashMap<>(examples);
      entries.put("sha256 all", count + " " + HexFormat.of().formatHex(copy(digest).digest()));
      return entries;
    }

    @Override
    public void onRequest(int node, Party to, String method, String path, byte[] body) {
      addMessage(node, to, "request " + to + " " + method + " ", path, body);
      if (to == Party.STATE && path.equals("/multi")) {
        addRecords(body);
      }
    }

    @Override
    public void onResponse(
        int node,
        Party to,
        String method,
        String path,
        int status,
        String type,
        boolean retryLater,
        byte[] body) {
      String description = "answer " + to + " " + method + " " + status + " " + type;
      addMessage(node, to, description + (retryLater ? " retry later " : " "), path, body);
    }

    private void addMessage(int node, Party to, String description, String path, byte[] body) {
      parties.add(to);
      messageCount++;
      if (path.equals(METRICS_PATH)) {
        // Only names are compared: some metric values, such as memory, depend on the machine.
        messageExamples.put("names n" + node + " " + description + path, metricNames(body));
        return;
      }
      allMessages.update((node + " " + description + path + "\n").getBytes(StandardCharsets.UTF_8));
      allMessages.update(body);
      String structure = description + withoutNumbers(path) + " " + structure(body);
      if (seenStructures.add(structure)) {
        String name = messageExamples.size() + " n" + node + " " + description + path;
        messageExamples.put(name, printable(body));
      }
    }

    private void addRecords(byte[] body) {
      JsonNode transaction = parse(body);
      for (JsonNode write : transaction.path(Fields.WRITES)) {
        allRecords.update((write + "\n").getBytes(StandardCharsets.UTF_8));
        recordCount++;
        boolean isPut = write.has(Fields.PUT);
        String key = write.get(isPut ? Fields.PUT : Fields.DELETE).asText();
        JsonNode value = write.path(Fields.VALUE);
        String structure =
            keyPrefix(key) + " " + isPut + write.has(Fields.LEASE) + structure(value);
        if (seenStructures.add(structure)) {
          String prefix = write.has(Fields.LEASE) ? "(leased) " : "";
          recordExamples.put(
              (recordExamples.size() + " " + key).trim(),
              isPut ? prefix + Json.toText(value) : "(deleted)");
        }
      }
    }

    private static String metricNames(byte[] body) {
      return GoldenFile.text(body)
          .lines()
          .filter(line -> !line.startsWith("#"))
          .map(line -> line.substring(0, line.lastIndexOf(' ')))
          .collect(Collectors.joining(" "));
    }

    private static String withoutNumbers(String path) {
      return DIGITS.matcher(path).replaceAll("0");
    }

    private static String printable(byte[] body) {
      String text = GoldenFile.text(body);
      boolean readable = text.chars().allMatch(c -> c >= ' ' && c < 127);
      return readable ? text : "hex " + HexFormat.of().formatHex(body);
    }

    private static String structure(byte[] body) {
      if (body.length == 0) {
        return "empty";
      }
      if (body[0] != '{') {
        return "binary";
      }
      return structure(parse(body));
    }

    /** The paths of all fields and the types of their values. */
    private static String structure(JsonNode node) {
      Set<String> paths = new TreeSet<>();
      collectFieldPaths("", node, paths);
      return String.join(",", paths);
    }

    private static void collectFieldPaths(String path, JsonNode node, Set<String> paths) {
      if (node.isObject()) {
        node.properties()
            .forEach(
                field ->
                    collectFieldPaths(
                        path + "." + JOB_NAME.matcher(field.getKey()).replaceAll("job"),
                        field.getValue(),
                        paths));
      } else if (node.isArray()) {
        node.forEach(field -> collectFieldPaths(path + "[]", field, paths));
      } else {
        paths.add(path + ":" + node.getNodeType());
      }
    }

    private static JsonNode parse(byte[] body) {
      try {
        return Json.parseObject(body);
      } catch (InvalidMessageException e) {
        throw new IllegalStateException(e);
      }
    }

    private static MessageDigest sha256() {
      try {
        return MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e);
      }
    }

    private static MessageDigest copy(MessageDigest digest) {
      try {
        return (MessageDigest) digest.clone();
      } catch (CloneNotSupportedException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
