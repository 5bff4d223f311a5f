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
 * Refreshes the machine types from the cloud and saves a copy of them in the state service.
 *
 * <p>The copy survives restarts of the nodes. Without it, a node that starts while the cloud is
 * unavailable would know no machine types: it could not validate submissions and, as the leader,
 * could neither read attempts nor stop cancelled tasks (docs/incidents, leader-without-types). The
 * prices in the copy may be outdated; the next answer of the cloud replaces them.
 *
 * <p>Runs on the event loop only.
 */
final class MachineTypeCache {
  /** Key of the copy in the state service. */
  static final String STATE_KEY = "types";

  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCache.class);

  private static final long CLOUD_REFRESH_INTERVAL_MS = 60_000;
  private static final long CLOUD_RETRY_MS = 500;

  /**
   * Time that the cloud has to answer before the copy is read, and the interval at which reading is
   * retried until types are known.
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

  /** Starts polling the cloud and, until types are known, also reading the saved copy. */
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
        STATE_KEY,
        (result, savedRecord) -> {
          isRestoring = false;
          if (result == CallResult.OK && savedRecord.value() != null) {
            useSavedTypes(savedRecord);
          }
          loop.after(RESTORE_INTERVAL_MS, this::restore);
        });
  }

  private void useSavedTypes(VersionedValue savedRecord) {
    if (!clusterConfig.machineTypes().isEmpty()) {
      return;
    }
    try {
      List<MachineType> types = decode(savedRecord);
      if (!types.isEmpty()) {
        LOG.info("event=machine_types_restored types={}", types.size());
        clusterConfig.replaceMachineTypes(types);
      }
    } catch (InvalidMessageException e) {
      LOG.error("event=record_unreadable key={} reason=\"{}\"", STATE_KEY, e.getMessage());
    }
  }

  private List<MachineType> decode(VersionedValue savedRecord) throws InvalidMessageException {
    if (!savedRecord.value().isObject()) {
      throw new InvalidMessageException("not an object");
    }
    return MachineTypeCodec.decode(
        (ObjectNode) savedRecord.value(), clusterConfig.typeNames, clusterConfig.zones);
  }

  /**
   * Saves the known types if the saved copy differs in more than prices. Only the leader may call
   * this.
   *
   * @param leaderKeyVersion version of the key {@code leader} in the leader's term
   */
  void save(long leaderKeyVersion) {
    List<MachineType> types = clusterConfig.machineTypes();
    state.get(
        STATE_KEY,
        (result, savedRecord) -> {
          if (result != CallResult.OK || hasSameTypes(savedRecord, types)) {
            return;
          }
          ObjectNode value = MachineTypeCodec.encode(types, clusterConfig.zones);
          if (Json.toBytes(value).length > clusterConfig.settings.valueKb() * 1024) {
            LOG.warn("event=machine_types_not_saved reason=\"too large\"");
            return;
          }
          // Not retried: if this write is lost, the next term saves the types.
          Transaction transaction =
              new Transaction()
                  .requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion)
                  .requireVersion(STATE_KEY, savedRecord.version())
                  .put(STATE_KEY, value);
          state.compareAndSwap(transaction, (writeResult, revision, failed) -> {});
        });
  }

  private boolean hasSameTypes(VersionedValue savedRecord, List<MachineType> types) {
    if (savedRecord.value() == null) {
      return false;
    }
    try {
      return encodeWithoutPrices(decode(savedRecord)).equals(encodeWithoutPrices(types));
    } catch (InvalidMessageException e) {
      return false;
    }
  }

  private String encodeWithoutPrices(List<MachineType> types) {
    return MachineTypeCodec.encode(
            types.stream()
                .map(
                    type ->
                        new MachineType(
                            type.index(),
                            type.name(),
                            type.cpus(),
                            type.cards(),
                            type.memGb(),
                            type.cacheGb(),
                            type.fetchGbPerS(),
                            0,
                            0,
                            type.bootS(),
                            type.zones()))
                .toList(),
            clusterConfig.zones)
        .toString();
  }
}
