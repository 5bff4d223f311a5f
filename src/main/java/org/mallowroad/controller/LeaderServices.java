package org.mallowroad.controller;

import java.util.function.IntSupplier;
import org.mallowroad.api.claim.ClaimService;
import org.mallowroad.cloud.CloudClient;
import org.mallowroad.election.LeaderElection;
import org.mallowroad.net.EventLoop;
import org.mallowroad.state.KeyValueStore;
import org.mallowroad.worker.WorkerClient;

/**
 * Clients and configuration of the node that its leader terms use. They live as long as the
 * process, across terms.
 *
 * @param loop the event loop on which all components of the node run
 * @param state client of the state service
 * @param cloud client of the cloud provider
 * @param clusterConfig names, machine types, teams and settings
 * @param election the election that made this node the leader
 * @param workers sends commands directly to workers
 * @param claims accepts jobs that fold games and manages their claims
 * @param reachablePeers the number of peers with a fresh link state advertisement; 0 if link
 *     monitoring is disabled
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
