/**
 * Health evidence about machines, zones and this controller: a failure detector for silent machines
 * and partitioned zones, a straggler detector for slow and faulty machines, a detector of one-way
 * links, and a detector of pauses of this process.
 *
 * <p>Evidence is kept separate from proof. Only proof frees an attempt, and it is the
 * responsibility of {@link org.mallowroad.core.SchedulerState}. Evidence may be wrong; it decides
 * where new tasks are placed and which machines are rented or deleted, and never whether an attempt
 * may start again.
 *
 * <p>The classes do no I/O, have no clock, and are confined to the controller's event loop. They do
 * not depend on the rest of the core; callers pass in all information. docs/health.md describes the
 * alternatives that were considered.
 */
package org.mallowroad.core.health;
