/**
 * Nothing is printed before it is confirmed: jobs that wait for other jobs and for games, and what
 * opens them (docs/holds.md). Decisions only; {@code org.mallowroad.controller.HoldKeeper} does the
 * I/O.
 */
package org.mallowroad.core.hold;
