package org.mallowroad.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.Heartbeat;
import org.mallowroad.core.WorkerCommand;

/** Decodes heartbeats from workers and encodes commands to workers. */
public final class WorkerCodec {
  private static final int MAX_NAME_LENGTH = 200;
  private static final int MAX_MACHINE_NAME_LENGTH = 150;
  private static final int MAX_STATE_LENGTH = 40;
  private static final double MAX_PREEMPTION_NOTICE_S = 1e9;

  /** The preemption notice of a machine that is not about to be preempted. */
  private static final double NO_PREEMPTION_NOTICE_S = -1;

  private WorkerCodec() {}

  /** Decodes a heartbeat. */
  public static Heartbeat decodeHeartbeat(JsonNode body) throws InvalidMessageException {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    for (JsonNode item : Json.requiredArray(body, Fields.TASKS)) {
      entries.add(decodeEntry(item));
    }
    String address = Json.optionalString(body, Fields.ADDRESS, MAX_NAME_LENGTH);
    return new Heartbeat(
        Json.requiredString(body, Fields.MACHINE, MAX_MACHINE_NAME_LENGTH),
        address == null ? "" : address,
        Json.requiredString(body, Fields.MACHINE_TYPE, MAX_NAME_LENGTH),
        Json.requiredString(body, Fields.ZONE, MAX_NAME_LENGTH),
        Json.requiredBoolean(body, Fields.SPOT),
        Json.requiredInteger(body, Fields.INCARNATION, 0, Long.MAX_VALUE),
        Json.requiredInteger(body, Fields.SEQUENCE, 0, Long.MAX_VALUE),
        body.get(Fields.FENCING_TOKEN) == null
            ? 0
            : Json.requiredInteger(body, Fields.FENCING_TOKEN, 0, Long.MAX_VALUE),
        Json.optionalNumber(
            body, Fields.PREEMPTION_NOTICE_S, MAX_PREEMPTION_NOTICE_S, NO_PREEMPTION_NOTICE_S),
        entries,
        body.path(Fields.SHARES_IMAGES).asBoolean(false));
  }

  private static Heartbeat.Entry decodeEntry(JsonNode item) throws InvalidMessageException {
    String name = Json.requiredString(item, Fields.TASK, MAX_NAME_LENGTH);
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
    Heartbeat.State state = decodeState(Json.requiredString(item, Fields.STATE, MAX_STATE_LENGTH));
    return new Heartbeat.Entry(
        name.substring(0, slash),
        task,
        (int) Json.requiredInteger(item, Fields.ATTEMPT, 0, Integer.MAX_VALUE),
        state,
        Json.optionalString(item, Fields.CAUSE, MAX_NAME_LENGTH));
  }

  private static Heartbeat.State decodeState(String state) {
    return switch (state) {
      case Fields.RUNNING -> Heartbeat.State.RUNNING;
      case Fields.FLUSHING -> Heartbeat.State.FLUSHING;
      case Fields.EXITED -> Heartbeat.State.EXITED;
      // In any other state the attempt is on the machine, but has not started running yet.
      default -> Heartbeat.State.PULLING;
    };
  }

  /** Encodes commands that are sent directly to one incarnation of a worker. */
  public static ObjectNode encodeDirectCommands(
      long fencingToken, long incarnation, List<WorkerCommand> commands) {
    ObjectNode body = encodeCommands(fencingToken, commands);
    body.put(Fields.INCARNATION, incarnation);
    return body;
  }

  /** Encodes the commands in the response to a heartbeat. */
  public static ObjectNode encodeCommands(long fencingToken, List<WorkerCommand> commands) {
    ObjectNode body = Json.object();
    body.put(Fields.FENCING_TOKEN, fencingToken);
    ArrayNode list = body.putArray(Fields.COMMANDS);
    for (WorkerCommand command : commands) {
      ObjectNode item = list.addObject();
      item.put(
          Fields.COMMAND,
          switch (command.kind()) {
            case LAUNCH -> Fields.LAUNCH;
            case STOP -> Fields.STOP;
            case CLEAR -> Fields.CLEAR;
          });
      item.put(Fields.TASK, command.job() + "/" + command.task());
      item.put(Fields.ATTEMPT, command.attempt());
      if (!command.imageSources().isEmpty()) {
        ArrayNode imageSources = item.putArray(Fields.IMAGE_SOURCES);
        command.imageSources().forEach(imageSources::add);
      }
      if (command.kind() == WorkerCommand.Kind.STOP) {
        item.put(Fields.GRACE_PERIOD_S, command.graceS());
      }
    }
    return body;
  }
}
