/**
 * Admission control: limits the rate at which a node accepts new jobs while the leader's commits to
 * the state service lag.
 *
 * <p>The classes do no I/O, have no clock, and are confined to the controller's event loop.
 */
package org.mallowroad.core.admission;
