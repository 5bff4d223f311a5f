/**
 * Decides when machines are rented (scale out) and returned (scale in), after the capacity-only
 * mode of the Workload Variant Autoscaler (docs/design.md).
 */
package org.mallowroad.core.autoscaling;
