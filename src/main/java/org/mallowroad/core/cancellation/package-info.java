/**
 * Cancellations: the age of a leader's view of them, which bounds how long cancelled tasks run, and
 * the notices by which a node tells its peers of them sooner (docs/cancellation.md).
 *
 * <p>The classes do no I/O, have no clock, and are confined to the controller's event loop.
 */
package org.mallowroad.core.cancellation;
