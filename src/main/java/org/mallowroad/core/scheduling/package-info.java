/**
 * Decides which waiting task starts on which machine. {@link
 * org.mallowroad.core.scheduling.TaskScheduler} is the entry; behind it stand the order of the
 * queue, first-fit bin packing, the placement of gangs, preemption and the draining of machines.
 * Every start is checked by {@link org.mallowroad.core.SchedulerState}. Decisions only: nothing
 * here does I/O or reads a clock, and all of it runs on the event loop's thread.
 */
package org.mallowroad.core.scheduling;
