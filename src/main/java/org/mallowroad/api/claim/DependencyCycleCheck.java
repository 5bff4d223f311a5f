package org.mallowroad.api.claim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mallowroad.core.dependency.DependencyCycles;
import org.mallowroad.core.dependency.JobDependencies;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.RecordKeys;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.DependencyCodec;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;

/**
 * Checks that a job with dependencies would not wait for itself.
 *
 * <p>Every job with dependencies changes the record {@code RecordKeys.DEPENDENCY_ORDER_KEY} with
 * its acceptance, whose version is a condition of the acceptance. So of two jobs that together
 * would close a cycle, the second is checked again and sees the first.
 */
final class DependencyCycleCheck {
  /** The result of a check; one method is called, once. */
  interface Listener {
    /** The job would not wait for itself. */
    void onAcyclic();

    /** The job would wait for itself. */
    void onCycle(String reason);

    /** The state service does not answer. */
    void onUnavailable();

    /** A record cannot be decoded. */
    void onUndecodable(String reason);
  }

  private final KeyValueStore state;
  private final ValueReader reader;
  private final String id;
  private final JobDependencies dependencies;

  /** The version of the order record that was checked; 0 when there was none. */
  private long orderRecordVersion;

  DependencyCycleCheck(
      KeyValueStore state, ValueReader reader, String id, JobDependencies dependencies) {
    this.state = state;
    this.reader = reader;
    this.id = id;
    this.dependencies = dependencies;
  }

  /** Reads the other jobs' dependencies and checks them; at once for a job that has none. */
  void run(Listener listener) {
    if (!dependencies.isGated()) {
      listener.onAcyclic();
      return;
    }
    reader.read(
        RecordKeys.DEPENDENCY_ORDER_KEY,
        (value, version) -> {
          orderRecordVersion = version;
          state.list(
              RecordKeys.DEPENDENCIES_PREFIX,
              (result, items, revision) -> {
                if (result != CallResult.OK) {
                  listener.onUnavailable();
                } else {
                  check(items, listener);
                }
              });
        });
  }

  private void check(List<VersionedValue> items, Listener listener) {
    Map<String, JobDependencies> dependenciesByJob = new HashMap<>();
    for (VersionedValue item : items) {
      try {
        dependenciesByJob.put(
            item.key().substring(RecordKeys.DEPENDENCIES_PREFIX.length()),
            DependencyCodec.decodeRecord(item.value()));
      } catch (InvalidMessageException e) {
        listener.onUndecodable(item.key() + " cannot be read: " + e.getMessage());
        return;
      }
    }
    if (dependenciesByJob.containsKey(id)) {
      listener.onAcyclic(); // Accepted before: its own record must not look like a cycle.
      return;
    }
    Optional<String> lastJobOfCycle =
        DependencyCycles.findCycle(id, dependencies, dependenciesByJob);
    if (lastJobOfCycle.isEmpty()) {
      listener.onAcyclic();
    } else {
      listener.onCycle(
          "holds: " + id + " would wait for itself, by way of " + lastJobOfCycle.get());
    }
  }

  /** Adds the job's dependencies to its acceptance, on condition that the check still holds. */
  void addTo(Transaction transaction) {
    if (dependencies.isGated()) {
      transaction.requireVersion(RecordKeys.DEPENDENCY_ORDER_KEY, orderRecordVersion);
      transaction.put(RecordKeys.DEPENDENCY_ORDER_KEY, Json.object().put("by", id));
      transaction.put(RecordKeys.dependencies(id), DependencyCodec.encodeRecord(dependencies));
    }
  }
}
