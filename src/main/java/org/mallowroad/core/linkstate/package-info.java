/**
 * Link-state routing between the controllers. {@link LinkStateTable} holds the state of a node's
 * own links and, from the advertisements of its peers, of theirs. {@link RouteSelector} decides by
 * which route calls to an external service are sent. {@link HeartbeatRelay} decides whether a
 * worker's heartbeat is relayed to the leader or the worker is redirected.
 *
 * <p>Link state is evidence and proves nothing about a task: a wrong conclusion costs a longer
 * route or a few seconds, but never correctness (docs/links.md). The classes do no I/O, have no
 * clock, and are confined to the controller's event loop.
 */
package org.mallowroad.core.linkstate;
