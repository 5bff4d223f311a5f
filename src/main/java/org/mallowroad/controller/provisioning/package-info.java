/**
 * The leader's side of the cloud: machines are requested and deleted as the autoscaler decides,
 * listed machines are reconciled with those that send heartbeats, and unhealthy ones are replaced.
 */
package org.mallowroad.controller.provisioning;
