/**
 * Why anything waits. The decision itself yields the reason: {@link
 * org.mallowroad.core.scheduling.TaskScheduler#refusal} and {@link
 * org.mallowroad.core.SchedulerState#startRefusal} are asked once more, nothing here repeats their
 * rules. It costs nothing while nobody asks, and a bounded number of questions a turn of the loop
 * when someone does. docs/console.md weighs the ways.
 */
package org.mallowroad.core.explain;
