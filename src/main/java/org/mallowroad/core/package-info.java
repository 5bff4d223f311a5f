/**
 * The state of one leadership term and the rules that apply to it, without I/O, clocks or threads:
 * callers pass the time as milliseconds on the process's monotonic clock, and all code is confined
 * to the event loop's thread. This makes it possible to simulate a whole cluster in virtual time.
 *
 * <p>{@link org.mallowroad.core.SchedulerState} is the facade over the classes that own the state:
 *
 * <ul>
 *   <li>{@code StartAdmission} alone decides whether a task may start on a machine.
 *   <li>{@code AttemptTracker} manages the life cycle of attempts. Its class comment states the
 *       scheduler's central invariant, that an attempt counts from its start until it is proven
 *       gone, and lists the valid proofs. Read it first.
 *   <li>{@code JobRegistry} and {@code MachineRegistry} hold {@link org.mallowroad.core.Job} and
 *       {@link org.mallowroad.core.Machine}.
 *   <li>{@code PendingWrites} tracks the {@link org.mallowroad.core.AttemptRecord}s to be written
 *       to the state service; {@link org.mallowroad.core.SharedAttemptRecords} assigns small jobs
 *       to shared records.
 *   <li>{@link org.mallowroad.core.HeartbeatReconciler} turns heartbeats into proofs and commands.
 *       Its class comment explains why exits may have to wait for a higher fencing token.
 *   <li>{@link org.mallowroad.core.CostAccounting} accounts for the costs of the term.
 * </ul>
 *
 * <p>The subpackages place tasks, reserve machines for gangs, scale the fleet, monitor the health
 * of machines, distribute images and explain why jobs are pending.
 */
package org.mallowroad.core;
