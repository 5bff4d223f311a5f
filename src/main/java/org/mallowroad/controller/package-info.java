/**
 * One controller of the cluster: a {@link org.mallowroad.controller.Node} takes part in the leader
 * election, serves users and, while it is elected, runs a term of leadership.
 *
 * <p>The package owns what a node does over time, not the decisions themselves, which are those of
 * {@code org.mallowroad.core}, nor the clients of other services ({@code state}, {@code cloud},
 * {@code worker}, {@code peer}):
 *
 * <ul>
 *   <li>{@code Node}, {@code NodeComponents}: life cycle and construction of a node; {@code
 *       LocalLeadership}: begins and ends its terms.
 *   <li>{@code Leader}: the life cycle of a term. {@code StateLoader} reads the records of the term
 *       before; {@code PlacementLoop}, {@code HeartbeatHandler} and {@code DirectCommandSender}
 *       place tasks and tell workers; {@code WriteBehindCommitter} commits what changed; {@code
 *       MachineProvisioner} rents and returns machines; {@code FailureResponder} acts on machines
 *       that fail; {@code DependencyGateController} and {@code FoldMaintenance} serve dependent
 *       jobs and the fold ledger.
 *   <li>{@code LinkMonitor}: advertises the state of this node's links and relays round broken
 *       ones; {@code CancellationPropagation}: tells peers of cancellations.
 *   <li>{@code SnapshotPublisher}, {@code NodeMetrics}: what operators see.
 * </ul>
 *
 * <p><b>Threads.</b> Everything here runs on the node's one {@code EventLoop} and is not
 * thread-safe; only the public methods of {@code Node} may be called from other threads. Nothing
 * may block the loop: a task that is longer than a few milliseconds is divided into several turns.
 */
package org.mallowroad.controller;
