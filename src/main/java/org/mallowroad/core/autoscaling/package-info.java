/**
 * Decides when machines are requested (scale out) and returned (scale in), after the capacity-only
 * mode of the Workload Variant Autoscaler (docs/design.md).
 */
package org.mallowroad.core.autoscaling;
