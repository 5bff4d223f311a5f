package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;

/** Heartbeats of workers and commands to workers. */
public final class WorkerCodec {
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_MACHINE_NAME_LENGTH = 150;
  private static final int MAX_STATE_LENGTH = 40;
  private static final double MAX_NOTICE_S = 1e9;

  /** The notice of a machine that is not about to be preempted. */
  private static final double NO_NOTICE = -1;

  private WorkerCodec() {}

  /** Decodes a heartbeat. */
  public static Heartbeat decodeHeartbeat(JsonNode o) throws InvalidMessageException {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    for (JsonNode t : Json.requiredArray(o, Fields.TASKS)) {
      entries.add(decodeEntry(t));
    }
    String address = Json.optionalString(o, Fields.ADDRESS, MAX_NAME_LENGTH);
    return new Heartbeat(
        Json.requiredString(o, Fields.MACHINE, MAX_MACHINE_NAME_LENGTH),
        address == null ? "" : address,
        Json.requiredString(o, Fields.MACHINE_TYPE, MAX_NAME_LENGTH),
        Json.requiredString(o, Fields.ZONE, MAX_NAME_LENGTH),
        Json.requiredBoolean(o, Fields.SPOT),
        Json.requiredInteger(o, Fields.INCARNATION, 0, Long.MAX_VALUE),
        Json.requiredInteger(o, Fields.SEQUENCE, 0, Long.MAX_VALUE),
        o.get(Fields.FENCING_TOKEN) == null
            ? 0
            : Json.requiredInteger(o, Fields.FENCING_TOKEN, 0, Long.MAX_VALUE),
        Json.optionalNumber(o, Fields.PREEMPTION_NOTICE_S, MAX_NOTICE_S, NO_NOTICE),
        entries,
        o.path(Fields.SHARES_IMAGES).asBoolean(false));
  }

  private static Heartbeat.Entry decodeEntry(JsonNode t) throws InvalidMessageException {
    String name = Json.requiredString(t, Fields.TASK, MAX_NAME_LENGTH);
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
    Heartbeat.State state = decodeState(Json.requiredString(t, Fields.STATE, MAX_STATE_LENGTH));
    return new Heartbeat.Entry(
        name.substring(0, slash),
        task,
        (int) Json.requiredInteger(t, Fields.ATTEMPT, 0, Integer.MAX_VALUE),
        state,
        Json.optionalString(t, Fields.CAUSE, MAX_NAME_LENGTH));
  }

  private static Heartbeat.State decodeState(String state) {
    return switch (state) {
      case Fields.RUNNING -> Heartbeat.State.RUNNING;
      case Fields.FLUSHING -> Heartbeat.State.FLUSHING;
      case Fields.EXITED -> Heartbeat.State.EXITED;
      // Any other attempt that is on the machine and has not ended has not started yet.
      default -> Heartbeat.State.PULLING;
    };
  }

  /** Encodes commands that are sent to one incarnation of a worker. */
  public static ObjectNode encodeDirectCommands(
      long fencingToken, long incarnation, List<WorkerCommand> commands) {
    ObjectNode o = encodeCommands(fencingToken, commands);
    o.put(Fields.INCARNATION, incarnation);
    return o;
  }

  /** Encodes the commands in the response to a heartbeat. */
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
