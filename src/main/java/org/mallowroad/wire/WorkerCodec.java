package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;

/** Reports and orders. */
public final class WorkerCodec {
  private WorkerCodec() {}

  /** Decodes a report. */
  public static Heartbeat decodeHeartbeat(JsonNode o) throws InvalidMessageException {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    for (JsonNode t : Json.list(o, Fields.TASKS)) {
      String name = Json.string(t, Fields.TASK, 200);
      int slash = name.lastIndexOf('/');
      int task;
      try {
        task = Integer.parseInt(name.substring(slash + 1));
      } catch (NumberFormatException e) {
        throw new InvalidMessageException(Fields.TASK + ": not a task");
      }
      if (slash <= 0) {
        throw new InvalidMessageException(Fields.TASK + ": not a task");
      }
      Heartbeat.State state =
          switch (Json.string(t, Fields.STATE, 40)) {
            case Fields.RUNNING -> Heartbeat.State.RUNNING;
            case Fields.FLUSHING -> Heartbeat.State.FLUSHING;
            case Fields.EXITED -> Heartbeat.State.EXITED;
            // Anything else that is on the machine and has not ended counts as waiting.
            default -> Heartbeat.State.PULLING;
          };
      entries.add(
          new Heartbeat.Entry(
              name.substring(0, slash),
              task,
              (int) Json.integer(t, Fields.ATTEMPT, 0, Integer.MAX_VALUE),
              state,
              Json.stringOrNull(t, Fields.CAUSE, 200)));
    }
    String address = Json.stringOrNull(o, Fields.ADDRESS, 200);
    return new Heartbeat(
        Json.string(o, Fields.MACHINE, 150),
        address == null ? "" : address,
        Json.string(o, Fields.MACHINE_TYPE, 200),
        Json.string(o, Fields.ZONE, 200),
        Json.bool(o, Fields.SPOT),
        Json.integer(o, Fields.INCARNATION, 0, Long.MAX_VALUE),
        Json.integer(o, Fields.SEQUENCE, 0, Long.MAX_VALUE),
        o.get(Fields.FENCING_TOKEN) == null
            ? 0
            : Json.integer(o, Fields.FENCING_TOKEN, 0, Long.MAX_VALUE),
        Json.amountOr(o, Fields.PREEMPTION_NOTICE_S, 1e9, -1),
        entries,
        o.path(Fields.SHARES_IMAGES).asBoolean(false));
  }

  /** A direct message to a worker's session. */
  public static ObjectNode encodeDirectCommands(
      long fencingToken, long incarnation, List<WorkerCommand> commands) {
    ObjectNode o = encodeCommands(fencingToken, commands);
    o.put(Fields.INCARNATION, incarnation);
    return o;
  }

  /** A response to a worker. */
  public static ObjectNode encodeCommands(long fencingToken, List<WorkerCommand> commands) {
    ObjectNode o = Json.object();
    o.put(Fields.FENCING_TOKEN, fencingToken);
    ArrayNode list = o.putArray(Fields.COMMANDS);
    for (WorkerCommand c : commands) {
      ObjectNode e = list.addObject();
      e.put(
          Fields.COMMAND,
          switch (c.kind()) {
            case LAUNCH -> Fields.LAUNCH;
            case STOP -> Fields.STOP;
            case CLEAR -> Fields.CLEAR;
          });
      e.put(Fields.TASK, c.job() + "/" + c.task());
      e.put(Fields.ATTEMPT, c.attempt());
      if (!c.imageSources().isEmpty()) {
        ArrayNode imageSources = e.putArray(Fields.IMAGE_SOURCES);
        c.imageSources().forEach(imageSources::add);
      }
      if (c.kind() == WorkerCommand.Kind.STOP) {
        e.put(Fields.GRACE_PERIOD_S, c.graceS());
      }
    }
    return o;
  }
}
