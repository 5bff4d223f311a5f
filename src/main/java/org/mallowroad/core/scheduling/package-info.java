/**
 * Decides which waiting task starts on which machine. The entry point is {@link
 * org.mallowroad.core.scheduling.TaskScheduler}. The other classes order the queue, place tasks by
 * first-fit bin packing, place gangs, preempt less important tasks and drain interrupted machines.
 * Each start is checked by {@link org.mallowroad.core.SchedulerState}.
 *
 * <p>The classes do no I/O, have no clock, and are confined to the event loop.
 */
package org.mallowroad.core.scheduling;
