/**
 * Asks nodes' consoles and the state service from outside: all at once, each with a time-out, and
 * the state service read-only and within a small budget.
 */
package org.mallowroad.console.ask;
