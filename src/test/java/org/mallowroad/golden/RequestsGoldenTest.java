package org.mallowroad.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.mallowroad.VirtualTimeHarness;
import org.mallowroad.api.JsonResponses;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.WorkerCommand;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;
import org.mallowroad.wire.CloudCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.JobCodec;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.WorkerCodec;

/**
 * Compares requests to the state service and the cloud, commands to workers and error responses to
 * users with golden files.
 */
final class RequestsGoldenTest {
  private static final String SUBMISSION =
      "{'name_id':'job-000412','docket':'train','crew':'vision','form':'sweep','rank':'urgent',"
          + "'moves':16,'cpus':8.0,'cards':1.0,'mem_gb':64.0,'kit':'img-07','size_gb':6.2,"
          + "'builds':['g8'],'ground':null,'together':true,'scatter':false,'driftwood':true,"
          + "'reckon_s':240.0,'cairn_s':30.0,'stow_s':4.0,'due_s':900.0}";

  /** Changes that make the submission invalid, as JSON to be merged into it. */
  private static final List<String> INVALID_CHANGES =
      List.of(
          "{'name_id':null}",
          "{'name_id':'job-x'}",
          "{'docket':''}",
          "{'crew':7}",
          "{'form':'heap'}",
          "{'rank':'high'}",
          "{'moves':0}",
          "{'moves':1.5}",
          "{'cpus':-1}",
          "{'cards':'x'}",
          "{'mem_gb':1e12}",
          "{'kit':null}",
          "{'size_gb':null}",
          "{'builds':[1]}",
          "{'builds':'g8'}",
          "{'ground':3}",
          "{'together':null}",
          "{'scatter':1}",
          "{'driftwood':'yes'}",
          "{'reckon_s':null}",
          "{'cairn_s':-1}",
          "{'stow_s':'x'}",
          "{'due_s':-1}",
          "{'folds':[]}",
          "{'folds':[{'league':'l','game':1,'revision':0,'members':['m']}]}",
          "{'folds':[{'league':'l/','game':1,'revision':1,'members':['m']}]}",
          "{'folds':[{'league':'l','game':1,'revision':1,'members':['m','m']}]}",
          "{'form':'gang','folds':[{'league':'l','game':1,'revision':1,'members':['m']}]}",
          "{'holds':[]}",
          "{'holds':{'jobs':[]}}",
          "{'holds':{'jobs':['x']}}",
          "{'holds':{'games':[{'league':'l','up_to':-1}]}}",
          "{'holds':{'games':[{'league':'l','up_to':1,'member':'/'}]}}");

  /** Records each request and reports it as unsent. */
  private static final class RecordingSender implements RequestSender {
    private final Map<String, String> requests = new LinkedHashMap<>();
    private String label = "";

    @Override
    public void send(
        String method, String path, byte[] body, long timeoutMs, ResponseHandler handler) {
      String text = body == null ? "no body" : GoldenFile.text(body);
      requests.put(label + ": " + method + " " + path + " within " + timeoutMs + " ms", text);
      handler.onFailure(false);
    }

    @Override
    public void close() {}

    RecordingSender withLabel(String newLabel) {
      label = newLabel;
      return this;
    }
  }

  private static EventLoop newEventLoop() {
    return new VirtualTimeHarness().new Process();
  }

  @Test
  void requestsToTheStateServiceMatchTheGoldenFile() {
    RecordingSender recorder = new RecordingSender();
    KeyValueStore store = new KeyValueStore(newEventLoop(), recorder, recorder);
    recorder.withLabel("read");
    store.get("fold/pnw-2026/0000031", (result, item) -> {});
    recorder.withLabel("list");
    store.list("open/", (result, items, revision) -> {});
    recorder.withLabel("first of a range");
    store.listPage("end/", null, 50, (result, items, revision) -> {});
    recorder.withLabel("rest of a range");
    store.listPage("fold/", "fold/a b&c/0000031", 50, (result, items, revision) -> {});
    recorder.withLabel("lease");
    store.grantLease(3_000, (result, lease) -> {});
    recorder.withLabel("renewal");
    store.renewLease(7, 900, (result, lease) -> {});
    recorder.withLabel("end of a lease");
    store.releaseLease(7);
    recorder.withLabel("watch");
    store.watch("hold/", 431, 10_000, (result, events, revision) -> {});
    recorder.withLabel("transaction");
    store.compareAndSwap(transaction(), (result, revision, failed) -> {});
    recorder.withLabel("repeated transaction");
    store.compareAndSwapWithRetry(transaction(), () -> {}, (result, revision, failed) -> {});
    recorder.withLabel("empty transaction");
    store.compareAndSwap(new Transaction(), (result, revision, failed) -> {});
    new GoldenFile("state-requests.txt").check(recorder.requests);
  }

  private static Transaction transaction() {
    return new Transaction()
        .requireVersion("a/b", 0)
        .requireVersion("leader", 412)
        .put("a/b", Json.object().put("number", 1.5))
        .put("leader", Json.object().put("text", "\u00e9\""), 7)
        .delete("c/d");
  }

  @Test
  void requestsToTheCloudMatchTheGoldenFile() {
    RecordingSender recorder = new RecordingSender();
    EventLoop loop = newEventLoop();
    RateLimiter rateLimiter = new RateLimiter(10, 10, loop.now());
    CloudClient cloud =
        new CloudClient(loop, recorder, rateLimiter, new NameIndex(), new NameIndex());
    recorder.withLabel("types");
    cloud.listMachineTypes(types -> {});
    recorder.withLabel("machines");
    cloud.listMachines(machines -> {});
    recorder.withLabel("spot machines");
    cloud.rent(new CloudCodec.RentalRequest("r-3-17", "g8", "a", true, 12), result -> {});
    recorder.withLabel("ordinary machine");
    cloud.rent(new CloudCodec.RentalRequest("r-3-18", "c16", "b", false, 1), result -> {});
    recorder.withLabel("deletion");
    cloud.delete(List.of("n-000231", "n-000232"), confirmed -> {});
    new GoldenFile("cloud-requests.txt").check(recorder.requests);
  }

  @Test
  void commandsToWorkersMatchTheGoldenFile() {
    Map<String, String> messages = new LinkedHashMap<>();
    List<WorkerCommand> commands =
        List.of(
            new WorkerCommand(WorkerCommand.Kind.LAUNCH, "job-000412", 4, 2, 0),
            new WorkerCommand(
                WorkerCommand.Kind.LAUNCH, "job-000412", 5, 1, 0, List.of("10.1.0.2:9000", "h:1")),
            new WorkerCommand(WorkerCommand.Kind.STOP, "job-000377", 1, 1, 10),
            new WorkerCommand(WorkerCommand.Kind.STOP, "job-000377", 2, 1, 2.5),
            new WorkerCommand(WorkerCommand.Kind.CLEAR, "job-000398", 0, 1, 0));
    messages.put("answer to a report", Json.toText(WorkerCodec.encodeCommands(41, commands)));
    messages.put("answer without orders", Json.toText(WorkerCodec.encodeCommands(41, List.of())));
    messages.put(
        "direct orders",
        Json.toText(WorkerCodec.encodeDirectCommands(4_294_967_296L, 3, commands)));
    new GoldenFile("worker-orders.txt").check(messages);
  }

  @Test
  void workerHeartbeatsAreDecoded() throws InvalidMessageException {
    String encoded =
        "{'hearth':'n-000231','address':'10.1.0.232:9000','build':'g8','ground':'a',"
            + "'driftwood':true,'watch':2,'tally':88,'baton':41,'warning_s':31.5,'hands_on':true,"
            + "'moves':[{'move':'job-000412/3','try':2,'standing':'running'},"
            + "{'move':'job-000412/4','try':3,'standing':'flushing'},"
            + "{'move':'job-000412/5','try':4,'standing':'pulling'},"
            + "{'move':'job-000412/6','try':5,'standing':'later word'},"
            + "{'move':'job-000398/0','try':1,'standing':'exited','cause':'done'}]}";
    Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(parseSingleQuoted(encoded));
    assertEquals("n-000231", heartbeat.machine());
    assertEquals("10.1.0.232:9000", heartbeat.address());
    assertEquals("g8", heartbeat.type());
    assertEquals("a", heartbeat.zone());
    assertEquals(true, heartbeat.spot());
    assertEquals(2, heartbeat.incarnation());
    assertEquals(88, heartbeat.sequence());
    assertEquals(41, heartbeat.fencingToken());
    assertEquals(31.5, heartbeat.interruptionNoticeS());
    assertEquals(true, heartbeat.servesImages());
    assertEquals(
        List.of(
            new Heartbeat.Entry("job-000412", 3, 2, Heartbeat.State.RUNNING, null),
            new Heartbeat.Entry("job-000412", 4, 3, Heartbeat.State.FLUSHING, null),
            new Heartbeat.Entry("job-000412", 5, 4, Heartbeat.State.PULLING, null),
            new Heartbeat.Entry("job-000412", 6, 5, Heartbeat.State.PULLING, null),
            new Heartbeat.Entry("job-000398", 0, 1, Heartbeat.State.EXITED, "done")),
        heartbeat.entries());
  }

  @Test
  void errorsForInvalidSubmissionsMatchTheGoldenFile() throws InvalidMessageException {
    NameIndex names = new NameIndex();
    JobCodec codec = new JobCodec(names, names, names, names, names);
    codec.validate(parseSingleQuoted(SUBMISSION));
    Map<String, String> errors = new LinkedHashMap<>();
    for (String change : INVALID_CHANGES) {
      ObjectNode submission = parseSingleQuoted(SUBMISSION);
      submission.setAll(parseSingleQuoted(change));
      errors.put(change, errorText(codec, submission));
    }
    for (String body : List.of("", "nothing", "[]", "{} {}")) {
      errors.put("body '" + body + "'", errorText(body));
    }
    new GoldenFile("refusals.txt").check(errors);
  }

  private static String errorText(JobCodec codec, ObjectNode submission) {
    try {
      codec.validate(submission);
      return "accepted";
    } catch (InvalidMessageException e) {
      return Json.toText(JsonResponses.errorBody(e.getMessage()));
    }
  }

  private static String errorText(String body) {
    try {
      return parseSingleQuoted(body).properties().stream()
          .map(Object::toString)
          .collect(Collectors.joining());
    } catch (InvalidMessageException e) {
      return Json.toText(JsonResponses.errorBody(e.getMessage()));
    }
  }

  private static ObjectNode parseSingleQuoted(String singleQuoted) throws InvalidMessageException {
    return Json.parseObject(singleQuoted.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }
}
