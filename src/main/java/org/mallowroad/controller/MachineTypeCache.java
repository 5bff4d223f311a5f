package org.mallowroad.controller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
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
 * The machine types outlive the processes that learnt them. A node that starts while the cloud is
 * away would otherwise know none: it could judge no submission, and as leader read no attempt and
 * stop no cancelled task (docs/incidents, leader-without-types). Prices in the record are as old as
 * it is; the cloud's own answer replaces them.
 */
final class MachineTypeCache {
  /** Under it the record stands. */
  static final String KEY = "types";

  private static final Logger LOG = LoggerFactory.getLogger(MachineTypeCache.class);

  /** The cloud has so long to answer itself; then the record is read, and again until it is. */
  private static final long PATIENCE_MS = 1_000;

  private final EventLoop loop;
  private final KeyValueStore state;
  private final ClusterConfig clusterConfig;
  private boolean recalling;

  MachineTypeCache(EventLoop loop, KeyValueStore state, ClusterConfig clusterConfig) {
    this.loop = loop;
    this.state = state;
    this.clusterConfig = clusterConfig;
  }

  /** Begins: until types are known in any way, the record is asked as well. */
  void start() {
    loop.after(PATIENCE_MS, this::recall);
  }

  private void recall() {
    if (recalling || !clusterConfig.machineTypes().isEmpty()) {
      return;
    }
    recalling = true;
    state.get(
        KEY,
        (result, item) -> {
          recalling = false;
          if (result == CallResult.OK && item.value() != null) {
            take(item);
          }
          loop.after(PATIENCE_MS, this::recall);
        });
  }

  private void take(VersionedValue item) {
    if (!clusterConfig.machineTypes().isEmpty()) {
      return;
    }
    try {
      List<MachineType> t = decode(item);
      if (!t.isEmpty()) {
        LOG.info("event=types_recalled types={}", t.size());
        clusterConfig.replaceMachineTypes(t);
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

  /** A leader writes down what it knows where the record says otherwise; prices do not count. */
  void keep(long leaderVersion) {
    List<MachineType> now = clusterConfig.machineTypes();
    state.get(
        KEY,
        (result, item) -> {
          if (result != CallResult.OK || same(item, now)) {
            return;
          }
          ObjectNode v = MachineTypeCodec.encode(now, clusterConfig.zones);
          if (Json.bytes(v).length > clusterConfig.settings.valueKb() * 1024) {
            LOG.warn("event=types_not_kept reason=\"too large\"");
            return;
          }
          // Lost, it is written by the next term.
          Transaction transaction =
              new Transaction()
                  .requireVersion(LeaderElection.LEADER, leaderVersion)
                  .requireVersion(KEY, item.version())
                  .put(KEY, v);
          state.compareAndSwap(transaction, (r, revision, failed) -> {});
        });
  }

  private boolean same(VersionedValue item, List<MachineType> now) {
    if (item.value() == null) {
      return false;
    }
    try {
      return priceless(decode(item)).equals(priceless(now));
    } catch (InvalidMessageException e) {
      return false;
    }
  }

  private String priceless(List<MachineType> types) {
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
