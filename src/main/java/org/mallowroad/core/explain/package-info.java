/**
 * Explains why tasks wait, and makes the snapshots of a node that the console shows.
 *
 * <p>The reasons come from the decisions themselves: {@link
 * org.mallowroad.core.scheduling.TaskScheduler#placementRefusal} and the quotas are asked once
 * more, and no rule is repeated here. {@link org.mallowroad.core.explain.PendingReasonExplainer}
 * surveys the machines, then explains job by job: {@code PlacementExplainer} for tasks without a
 * place, with {@code CapacityExplainer} for missing machines, and {@code UnstartedTasksExplainer}
 * for tasks that are placed and do not run.
 *
 * <p>Nothing is computed while nobody asks, and a bounded number of questions in each turn of the
 * event loop otherwise. docs/console.md compares the alternatives. The names of record components
 * and enum constants are the console's JSON.
 */
package org.mallowroad.core.explain;
