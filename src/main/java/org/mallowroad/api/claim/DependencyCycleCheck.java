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
 * Checks that accepting a job would not close a cycle of dependencies.
 *
 * <p>The acceptance of every job with dependencies changes the record {@code
 * RecordKeys.DEPENDENCY_ORDER_KEY}, and the version of this record is a condition of the
 * acceptance. So if two jobs would together close a cycle, the acceptance of the second one fails,
 * and the repeated check sees the first one.
 */
final class DependencyCycleCheck {
  /** Receives the result of a check; exactly one method is called, once. */
  interface Listener {
    /** The job would not close a cycle. */
    void onAcyclic();

    /** The job would close a cycle. */
    void onCycle(String reason);

    /** The state service does not answer. */
    void onUnavailable();

    /** The dependency record of another job cannot be decoded. */
    void onUndecodable(String reason);
  }

  private final KeyValueStore state;
  private final ValueReader reader;
  private final String id;
  private final JobDependencies dependencies;

  /** The version of the order record at the time of the check; 0 if there was no record. */
  private long orderRecordVersion;

  DependencyCycleCheck(
      KeyValueStore state, ValueReader reader, String id, JobDependencies dependencies) {
    this.state = state;
    this.reader = reader;
    this.id = id;
    this.dependencies = dependencies;
  }

  /**
   * Reads the other jobs' dependencies and checks them; a job without dependencies passes at once.
   */
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
      listener.onAcyclic(); // Accepted before; its own record would look like a cycle.
      return;
    }
    Optional<String> lastJobOfCycle =
        DependencyCycles.findCycle(id, dependencies, dependenciesByJob);
    if (lastJobOfCycle.isEmpty()) {
      listener.onAcyclic();
    } else {
      listener.onCycle("holds: " + id + " would depend on itself, through " + lastJobOfCycle.get());
    }
  }

  /** Adds the job's dependencies to its acceptance, on condition that the check is still valid. */
  void addTo(Transaction transaction) {
    if (dependencies.isGated()) {
      transaction.requireVersion(RecordKeys.DEPENDENCY_ORDER_KEY, orderRecordVersion);
      transaction.put(RecordKeys.DEPENDENCY_ORDER_KEY, Json.object().put("by", id));
      transaction.put(RecordKeys.dependencies(id), DependencyCodec.encodeRecord(dependencies));
    }
  }
}
