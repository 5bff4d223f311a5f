package org.mallowroad.controller.provisioning;

import org.mallowroad.cloud.CloudClient;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;

/**
 * What the classes of this package work with during one term.
 *
 * @param loop the thread on which all of them run
 * @param store the state service, which has the rental requests
 * @param cloud rents, lists and deletes machines
 * @param machineTypes the machine types that the cloud offers
 * @param zones the names of the zones
 * @param schedulerState the machines and tasks of the term
 * @param writes the leader's share of the state service's writes
 */
public record ProvisioningServices(
    EventLoop loop,
    KeyValueStore store,
    CloudClient cloud,
    MachineTypeCatalog machineTypes,
    NameIndex zones,
    SchedulerState schedulerState,
    RateLimiter writes) {}
