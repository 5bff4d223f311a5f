package org.mallowroad.controller.provisioning;

import org.mallowroad.cloud.CloudClient;
import org.mallowroad.core.NameIndex;
import org.mallowroad.core.SchedulerState;
import org.mallowroad.net.EventLoop;
import org.mallowroad.net.RateLimiter;
import org.mallowroad.state.KeyValueStore;

/**
 * The services and state that the classes of this package share during one term.
 *
 * @param loop the event loop to which all of them are confined
 * @param store the state service, which stores the rental requests
 * @param cloud rents, lists and deletes machines
 * @param machineTypes the machine types that the cloud offers
 * @param zones the names of the zones
 * @param schedulerState the machines and tasks of the term
 * @param writes the rate limiter of the leader's writes to the state service
 */
public record ProvisioningServices(
    EventLoop loop,
    KeyValueStore store,
    CloudClient cloud,
    MachineTypeCatalog machineTypes,
    NameIndex zones,
    SchedulerState schedulerState,
    RateLimiter writes) {}
