/**
 * Evidence about machines, zones and the controller itself, kept apart from proof. Proof alone
 * frees an attempt and lives in {@link org.mallowroad.core.SchedulerState}; evidence may be wrong
 * and decides only where new work goes, what is rented and what is returned. No I/O, no clock, one
 * thread; nothing here knows of jobs or machines beyond what it is told, so arrows point from the
 * core to here.
 *
 * <p>The ways weighed are in docs/health.md.
 */
package org.mallowroad.core.health;
