package org.mallowroad.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.core.MachineType;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.CallResult;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.state.Transaction;
import org.mallowroad.state.VersionedValue;
import org.mallowroad.wire.InvalidMessageException;
import org.mallowroad.wire.Json;
import org.mallowroad.wire.MachineTypeCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the machine types up to date from the cloud, and a copy of them in the state service.
 *
 * <p>The copy outlives the processes that learnt the types. A node that starts while the cloud is
 * unavailable would otherwise know none: it could judge no submission, and as leader read no
 * attempt and stop no cancelled task (docs/incidents, leader-without-types). Prices in the copy are
 * as old as it is; the cloud's own answer replaces them.
 *
 * <p>Runs on the event loop only.
 */
final class MachineTypeCache {
  /** Key of the copy in the state service. */
  static final String KEY = "types";

  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCache.class);

  private static final long CLOUD_REFRESH_INTERVAL_MS = 60_000;
  private static final long CLOUD_RETRY_MS = 500;

  /**
   * How long the cloud may take to answer before the copy is read, and the interval of reading it
   * until types are known.
   */
  private static final long RESTORE_INTERVAL_MS = 1_000;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final CloudClient cloud;
  private final ClusterConfig clusterConfig;
  private boolean isRestoring;

  MachineTypeCache(
      EventLoop loop, KeyValueStore state, CloudClient cloud, ClusterConfig clusterConfig) {
    this.loop = loop;
    this.state = state;
    this.cloud = cloud;
    this.clusterConfig = clusterConfig;
  }

  /** Begins: the cloud is asked regularly and, until types are known, the copy is read as well. */
  void start() {
    refresh();
    loop.after(RESTORE_INTERVAL_MS, this::restore);
  }

  private void refresh() {
    cloud.listMachineTypes(
        types -> {
          if (types.isPresent() && !types.get().isEmpty()) {
            clusterConfig.replaceMachineTypes(types.get());
            loop.after(CLOUD_REFRESH_INTERVAL_MS, this::refresh);
          } else {
            loop.after(CLOUD_RETRY_MS, this::refresh);
          }
        });
  }

  private void restore() {
    if (isRestoring || !clusterConfig.machineTypes().isEmpty()) {
      return;
    }
    isRestoring = true;
    state.get(
        KEY,
        (result, item) -> {
          isRestoring = false;
          if (result == CallResult.OK && item.value() != null) {
            adopt(item);
          }
          loop.after(RESTORE_INTERVAL_MS, this::restore);
        });
  }

  private void adopt(VersionedValue item) {
    if (!clusterConfig.machineTypes().isEmpty()) {
      return;
    }
    try {
      List<MachineType> types = decode(item);
      if (!types.isEmpty()) {
        LOG.info("event=machine_types_restored types={}", types.size());
        clusterConfig.replaceMachineTypes(types);
      }
    } catch (InvalidMessageException e) {
      LOG.error("event=record_unreadable key={} reason=\"{}\"", KEY, e.getMessage());
    }
  }

  private List<MachineType> decode(VersionedValue item) throws InvalidMessageException {
    if (!item.value().isObject()) {
      throw new InvalidMessageException("not an object");
    }
    return MachineTypeCodec.decode(
        (ObjectNode) item.value(), clusterConfig.types, clusterConfig.zones);
  }

  /**
   * Writes the known types where the copy differs; prices do not count. Only for a leader.
   *
   * @param leaderKeyVersion version of the key {@code leader} in the leader's term
   */
  void save(long leaderKeyVersion) {
    List<MachineType> types = clusterConfig.machineTypes();
    state.get(
        KEY,
        (result, item) -> {
          if (result != CallResult.OK || isSame(item, types)) {
            return;
          }
          ObjectNode value = MachineTypeCodec.encode(types, clusterConfig.zones);
          if (Json.toBytes(value).length > clusterConfig.settings.valueKb() * 1024) {
            LOG.warn("event=machine_types_not_saved reason=\"too large\"");
            return;
          }
          // No retry: a write that is lost is made by the next term.
          Transaction transaction =
              new Transaction()
                  .requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion)
                  .requireVersion(KEY, item.version())
                  .put(KEY, value);
          state.compareAndSwap(transaction, (r, revision, failed) -> {});
        });
  }

  private boolean isSame(VersionedValue item, List<MachineType> types) {
    if (item.value() == null) {
      return false;
    }
    try {
      return encodeWithoutPrices(decode(item)).equals(encodeWithoutPrices(types));
    } catch (InvalidMessageException e) {
      return false;
    }
  }

  private String encodeWithoutPrices(List<MachineType> types) {
    return MachineTypeCodec.encode(
            types.stream()
                .map(
                    t ->
                        new MachineType(
                            t.index(),
                            t.name(),
                            t.cpus(),
                            t.cards(),
                            t.memGb(),
                            t.cacheGb(),
                            t.fetchGbPerS(),
                            0,
                            0,
                            t.bootS(),
                            t.zones()))
                .toList(),
            clusterConfig.zones)
        .toString();
  }
}
