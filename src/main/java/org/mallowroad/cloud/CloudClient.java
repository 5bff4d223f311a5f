package org.mallowroad.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.MachineTypeCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The cloud's calls. */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final long TIMEOUT_MS = 5_000;

  /** Where the types are listed: the cheapest question there is. */
  public static final String TYPES = "/machine_types";

  private final EventLoop loop;
  private final LogLimiter garbled = LogLimiter.usual();
  private final RequestSender caller;
  private final RateLimiter rateLimiter;
  private final NameIndex typeNames;
  private final NameIndex zoneNames;
  private long wrong;

  /** A machine as the list gives it. */
  public record Listed(
      String name,
      String type,
      String zone,
      boolean spot,
      String address,
      String state,
      double ageS) {}

  /** An answer with a list, or null when there was none. */
  public interface Got<T> {
    /** Null when the call failed. */
    void got(List<T> items);
  }

  /** How a rental call went. */
  public interface Rented {
    /**
     * The request has an outcome, or none that is known.
     *
     * @param names the machines rented; null when the call has no known outcome
     * @param refused true when the cloud has none of this kind
     */
    void rented(List<String> names, boolean refused);
  }

  /** Over a caller, within a budget. */
  public CloudClient(
      EventLoop loop,
      RequestSender caller,
      RateLimiter rateLimiter,
      NameIndex types,
      NameIndex zones) {
    this.loop = loop;
    this.caller = caller;
    this.rateLimiter = rateLimiter;
    this.typeNames = types;
    this.zoneNames = zones;
  }

  /** Answers that were not what the protocol says. */
  public long wrong() {
    return wrong;
  }

  /** Reads the machine types. */
  public void types(Got<MachineType> got) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      got.got(null);
      return;
    }
    caller.call(
        "GET",
        TYPES,
        null,
        TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            got.got(MachineTypeCodec.decode(o, typeNames, zoneNames));
          }

          @Override
          void none() {
            got.got(null);
          }
        });
  }

  /** Lists all machines. */
  public void machines(Got<Listed> got) {
    page(null, new ArrayList<>(), got);
  }

  private void page(String from, List<Listed> sofar, Got<Listed> got) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      got.got(null);
      return;
    }
    caller.call(
        "GET",
        "/machines?limit=500" + (from == null ? "" : "&from=" + from),
        null,
        TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode o) throws InvalidMessageException {
            String last = null;
            for (JsonNode m : Json.list(o, Fields.MACHINES)) {
              String address = Json.stringOrNull(m, Fields.ADDRESS, 200);
              last = Json.string(m, Fields.ID, 150);
              sofar.add(
                  new Listed(
                      last,
                      Json.string(m, Fields.MACHINE_TYPE, 200),
                      Json.string(m, Fields.ZONE, 200),
                      Json.bool(m, Fields.SPOT),
                      address == null ? "" : address,
                      Json.string(m, Fields.STATE, 40),
                      Json.amountOr(m, Fields.AGE_S, 1e12, 0)));
            }
            JsonNode more = o.get(Fields.TRUNCATED);
            if (more != null && more.asBoolean() && last != null) {
              page(last, sofar, got);
            } else {
              got.got(sofar);
            }
          }

          @Override
          void none() {
            got.got(null);
          }
        });
  }

  /** Rents machines under a name that is never used again for another request. */
  public void rent(
      String rental, String type, String zone, boolean spot, int count, Rented rented) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      rented.rented(null, false);
      return;
    }
    ObjectNode o = Json.object();
    o.put(Fields.RENTAL_REQUEST, rental);
    o.put(Fields.MACHINE_TYPE, type);
    o.put(Fields.ZONE, zone);
    o.put(Fields.SPOT, spot);
    o.put(Fields.COUNT, count);
    caller.call(
        "POST",
        "/machines",
        Json.bytes(o),
        2 * TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode r) throws InvalidMessageException {
            List<String> names = new ArrayList<>();
            for (JsonNode n : Json.list(r, Fields.MACHINES)) {
              names.add(n.asText());
            }
            rented.rented(names, false);
          }

          @Override
          void refused(int status, String error) {
            if (status == 503 && error.contains("capacity")) {
              rented.rented(List.of(), true);
            } else {
              rented.rented(null, false);
            }
          }

          @Override
          void none() {
            rented.rented(null, false);
          }
        });
  }

  /** Deletes machines; with true they and all on them are gone. */
  public void delete(List<String> names, java.util.function.Consumer<Boolean> done) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      done.accept(false);
      return;
    }
    ObjectNode o = Json.object();
    ArrayNode list = o.putArray(Fields.MACHINES);
    names.forEach(list::add);
    caller.call(
        "POST",
        "/machines/delete",
        Json.bytes(o),
        2 * TIMEOUT_MS,
        new Parsed() {
          @Override
          void ok(int status, ObjectNode r) {
            done.accept(true);
          }

          @Override
          void none() {
            done.accept(false);
          }
        });
  }

  private abstract class Parsed implements RequestSender.ResponseHandler {
    abstract void ok(int status, ObjectNode o) throws InvalidMessageException;

    abstract void none();

    void refused(int status, String error) {
      none();
    }

    @Override
    public final void answered(int status, byte[] body) {
      try {
        ObjectNode o = body.length == 0 ? Json.object() : Json.parseObject(body);
        if (status == 200) {
          ok(status, o);
        } else {
          if (status == 400) {
            LOG.error("event=cloud_refused body={}", o);
          }
          refused(status, o.path(Fields.ERROR).asText());
        }
      } catch (InvalidMessageException e) {
        wrong++;
        long left = garbled.line(loop.now());
        if (left >= 0) {
          LOG.warn(
              "event=cloud_garbled status={} reason=\"{}\" left_out={}",
              status,
              e.getMessage(),
              left);
        }
        none();
      }
    }

    @Override
    public final void failed(boolean sent) {
      none();
    }
  }
}
