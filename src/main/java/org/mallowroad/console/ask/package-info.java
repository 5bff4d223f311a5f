/**
 * Queries the consoles of the nodes and the state service from outside: concurrently, and each with
 * a timeout. The state service is only read, and with few requests.
 */
package org.mallowroad.console.ask;
