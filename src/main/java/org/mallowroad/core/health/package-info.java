/**
 * Health evidence about machines, zones and this controller: a failure detector for silent machines
 * and partitioned zones, a straggler detector for slow and faulty machines, a detector of one-way
 * links and one of this process's own pauses.
 *
 * <p>Evidence is kept apart from proof. Only proof frees an attempt, and it lives in {@link
 * org.mallowroad.core.SchedulerState}. Evidence may be wrong; it decides where new tasks are placed
 * and which machines are rented or deleted, and never whether an attempt may start again.
 *
 * <p>The classes do no I/O, have no clock, and are confined to the controller's event loop. They do
 * not depend on the rest of the core: what they need to know is passed to them. The alternatives
 * that were considered are in docs/health.md.
 */
package org.mallowroad.core.health;
