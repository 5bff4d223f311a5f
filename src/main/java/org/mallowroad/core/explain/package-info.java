/**
 * Explains why tasks are pending or do not run yet, and builds the node snapshots that the console
 * shows.
 *
 * <p>Reasons come from the scheduler's own decisions: {@link
 * org.mallowroad.core.scheduling.TaskScheduler#placementRefusal} and the quotas are evaluated
 * again, and no rule is duplicated here. {@link org.mallowroad.core.explain.PendingReasonExplainer}
 * surveys the machines, then explains one job after another: {@code PlacementExplainer} handles
 * tasks that are not placed, with {@code CapacityExplainer} for a lack of machines, and {@code
 * UnstartedTasksExplainer} handles tasks that are placed and do not run.
 *
 * <p>Explanations are computed only on request, with a bounded number of evaluations in each turn
 * of the event loop. docs/console.md compares the alternatives. The names of record components and
 * enum constants are the field names and values of the console's JSON.
 */
package org.mallowroad.core.explain;
