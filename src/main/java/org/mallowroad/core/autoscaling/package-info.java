/**
 * Decides when machines are requested from the cloud (scale out) and returned to it (scale in). The
 * algorithm is based on the capacity-only mode of the Workload Variant Autoscaler (docs/design.md).
 */
package org.mallowroad.core.autoscaling;
