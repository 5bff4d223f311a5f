/**
 * A node's console: an HTTP listener with its own thread that serves the latest snapshot of the
 * node even while the node's event loop is blocked. The console shares no mutable state with the
 * event loop: it requests snapshots, which are immutable, and reads the stack trace of a loop that
 * does not respond.
 */
package org.mallowroad.console;
