/**
 * Link-state routing between the controllers: what a node knows of its own links and, by the
 * others' advertisements, of theirs ({@link LinkStateTable}), and the decisions that follow: which
 * way calls to an external service take ({@link RouteSelector}), and whether a worker's heartbeat
 * is relayed to the leader or its worker redirected ({@link HeartbeatRelay}).
 *
 * <p>Link state is evidence and proves nothing about a task: a wrong conclusion costs a longer
 * route or a few seconds, never correctness (docs/links.md). The classes do no I/O, have no clock,
 * and are confined to the controller's event loop.
 */
package org.mallowroad.core.linkstate;
