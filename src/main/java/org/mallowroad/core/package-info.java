/**
 * The state of one leader's term and its rules, without I/O, clocks or threads: callers pass the
 * time as milliseconds on the process's steady clock, and everything is confined to one thread, the
 * event loop's. So a whole cluster can be simulated in virtual time.
 *
 * <p>{@link org.mallowroad.core.SchedulerState} is the facade over the classes that own the state:
 *
 * <ul>
 *   <li>{@code StartAdmission} answers whether a task may start on a machine; nothing else does.
 *   <li>{@code AttemptTracker} has the life cycle of attempts. Its class comment is the central
 *       rule of the scheduler: an attempt counts from its start until it is proven gone, and which
 *       proofs there are. Read it first.
 *   <li>{@code JobRegistry} and {@code MachineRegistry} hold {@link org.mallowroad.core.Job} and
 *       {@link org.mallowroad.core.Machine}.
 *   <li>{@code PendingWrites} knows which {@link org.mallowroad.core.AttemptRecord}s are to be
 *       written to the state service; {@link org.mallowroad.core.SharedAttemptRecords} which small
 *       jobs share one.
 *   <li>{@link org.mallowroad.core.HeartbeatReconciler} turns heartbeats into proofs and commands.
 *       Its class comment says why exits may have to wait for a higher fencing token.
 *   <li>{@link org.mallowroad.core.CostAccounting} sums up where the money went.
 * </ul>
 *
 * <p>The packages below this one place tasks, reserve machines for gangs, scale the fleet, judge
 * the health of machines, distribute images and explain why jobs wait.
 */
package org.mallowroad.core;
