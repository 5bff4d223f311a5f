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
 * Every byte that leaves the controllers in two short histories: one example of each form in the
 * order of first appearance, and a digest over all messages in their order.
 */
final class HistoryGoldenTest {
  private static final String OWN_RECORDS = "own-start-records";
  private static final String SHARED_RECORDS = "shared-start-records";
  private static final String METRICS = "/metrics";
  private static final Pattern JOB = Pattern.compile("job-[0-9]+");
  private static final Pattern DIGITS = Pattern.compile("[0-9]+");
  private static final Map<String, Recording> RECORDINGS = new LinkedHashMap<>();

  @BeforeAll
  static void playHistories() {
    RECORDINGS.put(OWN_RECORDS, record(11, false));
    RECORDINGS.put(SHARED_RECORDS, record(12, true));
  }

  private static Recording record(long seed, boolean sharedStarts) {
    Recording recording = new Recording();
    new RecordedHistory(seed, sharedStarts, recording).play();
    return recording;
  }

  @ParameterizedTest
  @ValueSource(strings = {OWN_RECORDS, SHARED_RECORDS})
  void controllersSendTheSameMessagesByteForByte(String history) {
    Recording recording = RECORDINGS.get(history);
    new GoldenFile("messages-" + history + ".txt").check(recording.messages());
  }

  @ParameterizedTest
  @ValueSource(strings = {OWN_RECORDS, SHARED_RECORDS})
  void controllersStoreTheSameRecordsByteForByte(String history) {
    Recording recording = RECORDINGS.get(history);
    new GoldenFile("records-" + history + ".txt").check(recording.records());
  }

  @Test
  void everyKindOfRecordHasAGoldenValue() throws IllegalAccessException {
    Set<String> kinds = new TreeSet<>();
    for (String history : RECORDINGS.keySet()) {
      new GoldenFile("records-" + history + ".txt")
          .entries()
          .keySet()
          .forEach(name -> kinds.add(kind(name.substring(name.indexOf(' ') + 1))));
    }
    Set<String> wanted =
        new TreeSet<>(Set.of(LeaderElection.LEADER_KEY, LeaderElection.TERM_KEY, "types"));
    for (Field field : RecordKeys.class.getDeclaredFields()) {
      if (Modifier.isStatic(field.getModifiers()) && field.getType() == String.class) {
        field.setAccessible(true);
        wanted.add((String) field.get(null));
      }
    }
    Set<String> missing = new TreeSet<>(wanted);
    missing.removeAll(kinds);
    assertEquals(Set.of(), missing, "no golden value of these records");
    kinds.remove("all");
    kinds.removeAll(wanted);
    assertEquals(Set.of(), kinds, "records of no known kind");
  }

  @Test
  void everyKindOfPartyIsSentSomething() {
    Set<Party> parties = new TreeSet<>();
    RECORDINGS.values().forEach(r -> parties.addAll(r.parties));
    assertEquals(Set.of(Party.values()), parties);
  }

  private static String kind(String key) {
    int slash = key.indexOf('/');
    return slash < 0 ? key : key.substring(0, slash + 1);
  }

  /** One example of each form of message and record, and digests over all of them. */
  private static final class Recording implements RecordedHistory.Listener {
    private final Map<String, String> messageExamples = new LinkedHashMap<>();
    private final Map<String, String> recordExamples = new LinkedHashMap<>();
    private final MessageDigest allMessages = sha256();
    private final MessageDigest allRecords = sha256();
    private final Set<Party> parties = new TreeSet<>();
    private final Set<String> forms = new TreeSet<>();
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
      Map<String, String> all = new LinkedHashMap<>(examples);
      all.put("sha256 all", count + " " + HexFormat.of().formatHex(copy(digest).digest()));
      return all;
    }

    @Override
    public void request(int node, Party to, String method, String path, byte[] body) {
      add(node, to, "request " + to + " " + method + " ", path, body);
      if (to == Party.STATE && path.equals("/multi")) {
        transaction(body);
      }
    }

    @Override
    public void answer(
        int node,
        Party to,
        String method,
        String path,
        int status,
        String type,
        boolean retryLater,
        byte[] body) {
      String what = "answer " + to + " " + method + " " + status + " " + type;
      add(node, to, what + (retryLater ? " retry later " : " "), path, body);
    }

    private void add(int node, Party to, String what, String path, byte[] body) {
      parties.add(to);
      messageCount++;
      if (path.equals(METRICS)) {
        // Their values are those of the machine too.
        messageExamples.put("names n" + node + " " + what + path, metricNames(body));
        return;
      }
      allMessages.update((node + " " + what + path + "\n").getBytes(StandardCharsets.UTF_8));
      allMessages.update(body);
      String form = what + general(path) + " " + form(body);
      if (forms.add(form)) {
        String name = messageExamples.size() + " n" + node + " " + what + path;
        messageExamples.put(name, shown(body));
      }
    }

    private void transaction(byte[] body) {
      JsonNode transaction = parse(body);
      for (JsonNode write : transaction.path(Fields.WRITES)) {
        allRecords.update((write + "\n").getBytes(StandardCharsets.UTF_8));
        recordCount++;
        boolean put = write.has(Fields.PUT);
        String key = write.get(put ? Fields.PUT : Fields.DELETE).asText();
        JsonNode value = write.path(Fields.VALUE);
        String form = kind(key) + " " + put + write.has(Fields.LEASE) + form(value);
        if (forms.add(form)) {
          String attached = write.has(Fields.LEASE) ? "(leased) " : "";
          recordExamples.put(
              (recordExamples.size() + " " + key).trim(),
              put ? attached + Json.toText(value) : "(deleted)");
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

    private static String general(String path) {
      return DIGITS.matcher(path).replaceAll("0");
    }

    private static String shown(byte[] body) {
      String text = GoldenFile.text(body);
      boolean readable = text.chars().allMatch(c -> c >= ' ' && c < 127);
      return readable ? text : "hex " + HexFormat.of().formatHex(body);
    }

    private static String form(byte[] body) {
      if (body.length == 0) {
        return "empty";
      }
      if (body[0] != '{') {
        return "binary";
      }
      return form(parse(body));
    }

    /** The names of all fields and the types of their values. */
    private static String form(JsonNode node) {
      Set<String> paths = new TreeSet<>();
      collect("", node, paths);
      return String.join(",", paths);
    }

    private static void collect(String path, JsonNode node, Set<String> paths) {
      if (node.isObject()) {
        node.properties()
            .forEach(
                e ->
                    collect(
                        path + "." + JOB.matcher(e.getKey()).replaceAll("job"),
                        e.getValue(),
                        paths));
      } else if (node.isArray()) {
        node.forEach(e -> collect(path + "[]", e, paths));
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
