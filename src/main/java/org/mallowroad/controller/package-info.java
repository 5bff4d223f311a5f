/**
 * One controller of the cluster: a {@link org.mallowroad.controller.Node} takes part in the leader
 * election, serves users and, while it is elected, runs a term of leadership.
 *
 * <p>This package contains the runtime behaviour of a node. The decisions are made in {@code
 * org.mallowroad.core}, and the clients of other services are in {@code state}, {@code cloud},
 * {@code worker} and {@code peer}:
 *
 * <ul>
 *   <li>{@code Node}, {@code NodeComponents}: life cycle and construction of a node; {@code
 *       LocalLeadership}: starts and ends its terms.
 *   <li>{@code Leader}: the life cycle of a term. {@code StateLoader} reads the records of the
 *       previous term; {@code PlacementLoop}, {@code HeartbeatHandler} and {@code
 *       DirectCommandSender} place tasks and send commands to workers; {@code WriteBehindCommitter}
 *       commits changed records; {@code MachineProvisioner} rents and returns machines; {@code
 *       FailureResponder} handles failing machines; {@code DependencyGateController} and {@code
 *       FoldMaintenance} serve dependent jobs and the fold ledger.
 *   <li>{@code LinkMonitor}: advertises the state of this node's links and relays around broken
 *       ones; {@code CancellationPropagation}: notifies peers of cancellations.
 *   <li>{@code SnapshotPublisher}, {@code NodeMetrics}: the state shown to operators.
 * </ul>
 *
 * <p><b>Threads.</b> All classes run on the node's single {@code EventLoop} and are not
 * thread-safe; only the public methods of {@code Node} may be called from other threads. Nothing
 * may block the loop: work that takes longer than a few milliseconds is split over several turns.
 */
package org.mallowroad.controller;
