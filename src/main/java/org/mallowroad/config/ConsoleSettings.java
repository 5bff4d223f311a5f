package org.mallowroad.config;

/**
 * Settings of a node's console server (docs/console.md).
 *
 * @param listen the console's own listening address, separate from those for users and workers
 * @param snapshotIntervalMs a snapshot is taken at least this often, in ms, so that a recent one
 *     can be served while the event loop is blocked
 * @param maxSnapshotAgeMs a request is answered with a snapshot no older than this, in ms, unless
 *     the event loop is blocked
 * @param historyPoints number of past metric samples to keep, one every 15 s; 0 keeps none
 */
public record ConsoleSettings(
    Settings.Endpoint listen, long snapshotIntervalMs, long maxSnapshotAgeMs, int historyPoints) {}
