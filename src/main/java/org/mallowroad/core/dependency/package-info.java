/**
 * Nothing is printed before it is confirmed: jobs that wait for other jobs and for games, and what
 * opens them (docs/holds.md). Decisions only; {@code
 * org.mallowroad.controller.dependency.DependencyGateController} does the I/O.
 */
package org.mallowroad.core.dependency;
