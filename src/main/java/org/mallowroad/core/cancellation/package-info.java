/**
 * Cancellation of jobs: the age of a leader's view of cancellations, which bounds how long
 * cancelled tasks run, and the notices that tell peers of a cancellation earlier
 * (docs/cancellation.md).
 *
 * <p>The classes do no I/O, have no clock, and are confined to the controller's event loop.
 */
package org.mallowroad.core.cancellation;
