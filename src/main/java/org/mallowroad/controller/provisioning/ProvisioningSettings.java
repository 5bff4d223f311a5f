package org.mallowroad.controller.provisioning;

import org.mallowroad.core.autoscaling.AutoscalerPolicy;
import org.mallowroad.core.objective.ServiceLevelObjectives;

/**
 * The settings of provisioning during one term.
 *
 * @param policy the operators' settings of the autoscaler
 * @param objectives the service-level objectives that the fleet is sized for
 * @param maxTransactionWrites maximum number of puts and deletes per transaction
 * @param term the term number, which is part of the names of its rental requests
 * @param leaderKeyVersion the version of the leader key, a condition of all writes
 */
public record ProvisioningSettings(
    AutoscalerPolicy policy,
    ServiceLevelObjectives objectives,
    int maxTransactionWrites,
    long term,
    long leaderKeyVersion) {}
