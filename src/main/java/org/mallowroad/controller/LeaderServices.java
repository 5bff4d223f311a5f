package org.mallowroad.controller;

import java.util.function.IntSupplier;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.worker.WorkerClient;

/**
 * Clients and configuration of the node that its leaders use. They live as long as the process, not
 * only for one term.
 *
 * @param loop the event loop on which everything of the node runs
 * @param state client of the state service
 * @param cloud client of the cloud provider
 * @param clusterConfig names, machine types, teams and settings
 * @param election the election that made this node the leader
 * @param workers sends commands directly to workers
 * @param claims the acceptance of jobs that fold games
 * @param reachablePeers how many peers' advertisements are fresh; 0 where links are not monitored
 */
record LeaderServices(
    EventLoop loop,
    KeyValueStore state,
    CloudClient cloud,
    ClusterConfig clusterConfig,
    LeaderElection election,
    WorkerClient workers,
    ClaimService claims,
    IntSupplier reachablePeers) {}
