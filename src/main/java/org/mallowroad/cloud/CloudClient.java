package org.mallowroad.cloud;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.mallowroad.core.MachineType;
import org.mallowroad.core.NameIndex;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.LogLimiter;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.net.RequestSender;
import org.mallowroad.wire.CloudCodec;
import org.mallowroad.wire.CloudCodec.ListedMachine;
import org.mallowroad.wire.CloudCodec.RentalRequest;
import org.mallowroad.wire.Fields;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.MachineTypeCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls the cloud's API within its rate limit. A call beyond the limit is not sent and fails at
 * once; callers retry it. Each listener is called once, on the event loop.
 */
public final class CloudClient {
  private static final Logger LOG = LoggerFactory.getLogger(CloudClient.class);
  private static final long READ_TIMEOUT_MS = 5_000;
  private static final long WRITE_TIMEOUT_MS = 10_000;
  private static final String MACHINES_PATH = "/machines";
  private static final String FIRST_PAGE_PATH = "/machines?limit=500";
  private static final String DELETE_PATH = "/machines/delete";

  /** A substring of the error text with which the cloud reports that it has no capacity. */
  private static final String CAPACITY_ERROR = "capacity";

  /** The path of the list of machine types; the cheapest call, which is also used as a probe. */
  public static final String MACHINE_TYPES_PATH = "/machine_types";

  private final EventLoop loop;
  private final LogLimiter invalidResponseLogLimiter = LogLimiter.withDefaultLimits();
  private final RequestSender sender;
  private final RateLimiter rateLimiter;
  private final NameIndex typeNames;
  private final NameIndex zoneNames;
  private long invalidResponses;

  /**
   * Creates a client that calls the cloud through a sender.
   *
   * @param rateLimiter limits the calls of this node
   * @param typeNames the index to which the names of listed machine types are added
   * @param zoneNames the zones of the settings; machine types omit all other zones
   */
  public CloudClient(
      EventLoop loop,
      RequestSender sender,
      RateLimiter rateLimiter,
      NameIndex typeNames,
      NameIndex zoneNames) {
    this.loop = loop;
    this.sender = sender;
    this.rateLimiter = rateLimiter;
    this.typeNames = typeNames;
    this.zoneNames = zoneNames;
  }

  /** The number of responses so far that violated the protocol. */
  public long invalidResponses() {
    return invalidResponses;
  }

  /** Lists the machine types; the listener gets an empty value if the call failed. */
  public void listMachineTypes(Consumer<Optional<List<MachineType>>> listener) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      listener.accept(Optional.empty());
      return;
    }
    sender.send(
        "GET",
        MACHINE_TYPES_PATH,
        null,
        READ_TIMEOUT_MS,
        new JsonResponseHandler() {
          @Override
          void onSuccess(ObjectNode body) throws InvalidMessageException {
            listener.accept(Optional.of(MachineTypeCodec.decode(body, typeNames, zoneNames)));
          }

          @Override
          void onFailure() {
            listener.accept(Optional.empty());
          }
        });
  }

  /** Lists all machines, page by page; the listener gets an empty value if any call failed. */
  public void listMachines(Consumer<Optional<List<ListedMachine>>> listener) {
    listPage(FIRST_PAGE_PATH, new ArrayList<>(), listener);
  }

  private void listPage(
      String path,
      List<ListedMachine> earlierPages,
      Consumer<Optional<List<ListedMachine>>> listener) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      listener.accept(Optional.empty());
      return;
    }
    sender.send(
        "GET",
        path,
        null,
        READ_TIMEOUT_MS,
        new JsonResponseHandler() {
          @Override
          void onSuccess(ObjectNode body) throws InvalidMessageException {
            CloudCodec.MachinePage page = CloudCodec.decodePage(body);
            earlierPages.addAll(page.machines());
            if (page.nextPageToken() != null) {
              listPage(FIRST_PAGE_PATH + "&from=" + page.nextPageToken(), earlierPages, listener);
            } else {
              listener.accept(Optional.of(earlierPages));
            }
          }

          @Override
          void onFailure() {
            listener.accept(Optional.empty());
          }
        });
  }

  /** Rents machines; the request's name must never be reused for another request. */
  public void rent(RentalRequest request, Consumer<RentalResult> listener) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      listener.accept(new RentalResult.Unknown());
      return;
    }
    sender.send(
        "POST",
        MACHINES_PATH,
        CloudCodec.encode(request),
        WRITE_TIMEOUT_MS,
        new JsonResponseHandler() {
          @Override
          void onSuccess(ObjectNode body) throws InvalidMessageException {
            listener.accept(new RentalResult.Rented(CloudCodec.decodeRentedNames(body)));
          }

          @Override
          void onErrorResponse(int status, String error) {
            boolean outOfCapacity = status == 503 && error.contains(CAPACITY_ERROR);
            listener.accept(
                outOfCapacity ? new RentalResult.OutOfCapacity() : new RentalResult.Unknown());
          }

          @Override
          void onFailure() {
            listener.accept(new RentalResult.Unknown());
          }
        });
  }

  /**
   * Deletes machines and everything that runs on them; the listener gets whether the cloud
   * confirmed the deletion.
   */
  public void delete(List<String> names, Consumer<Boolean> listener) {
    if (!rateLimiter.tryAcquire(1, loop.now())) {
      listener.accept(false);
      return;
    }
    sender.send(
        "POST",
        DELETE_PATH,
        CloudCodec.encodeDeletion(names),
        WRITE_TIMEOUT_MS,
        new JsonResponseHandler() {
          @Override
          void onSuccess(ObjectNode body) {
            listener.accept(true);
          }

          @Override
          void onFailure() {
            listener.accept(false);
          }
        });
  }

  /** Parses a response and dispatches on success, an error response or no usable response. */
  private abstract class JsonResponseHandler implements RequestSender.ResponseHandler {
    /** The call succeeded with this body. */
    abstract void onSuccess(ObjectNode body) throws InvalidMessageException;

    /** There was no response, or a malformed one. */
    abstract void onFailure();

    /** The cloud answered with an error; handled like a missing response unless overridden. */
    void onErrorResponse(int status, String error) {
      onFailure();
    }

    @Override
    public final void onResponse(int status, byte[] responseBody) {
      try {
        ObjectNode body = responseBody.length == 0 ? Json.object() : Json.parseObject(responseBody);
        if (status == 200) {
          onSuccess(body);
          return;
        }
        if (status == 400) {
          LOG.error("event=cloud_request_rejected body={}", body);
        }
        onErrorResponse(status, body.path(Fields.ERROR).asText());
      } catch (InvalidMessageException e) {
        invalidResponses++;
        if (invalidResponseLogLimiter.tryAcquire(loop.now())) {
          LOG.warn(
              "event=cloud_response_invalid status={} reason=\"{}\" suppressed={}",
              status,
              e.getMessage(),
              invalidResponseLogLimiter.suppressedLines());
        }
        onFailure();
      }
    }

    @Override
    public final void onFailure(boolean sent) {
      onFailure();
    }
  }
}
