/**
 * Job dependencies: jobs that start only after other jobs are done and games are folded
 * (docs/holds.md). The package contains the edges of the dependency graph, the search for cycles,
 * and the state of the gates that keep such jobs from starting. It does no I/O; {@code
 * org.mallowroad.controller.dependency.DependencyGateController} reads and writes the records.
 */
package org.mallowroad.core.dependency;
