/**
 * Machine provisioning by the leader: rents and deletes machines as the autoscaler decides,
 * reconciles the cloud's machine list with the machines that send heartbeats, and replaces
 * unhealthy machines.
 */
package org.mallowroad.controller.provisioning;
