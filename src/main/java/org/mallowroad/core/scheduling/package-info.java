/**
 * Decides which waiting task starts on which machine: the order of the queue, first-fit bin packing
 * and preemption. Every start is checked by {@link org.mallowroad.core.SchedulerState}; nothing
 * here does I/O or reads a clock.
 */
package org.mallowroad.core.scheduling;
