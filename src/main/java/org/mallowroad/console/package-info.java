/**
 * A node's console: a listener and a thread of its own, which serve the newest picture of the node
 * whatever its loop does. It touches nothing of the loop's: it asks the loop for pictures, which
 * are immutable, and reads the stack of a loop that does not answer.
 */
package org.mallowroad.console;
