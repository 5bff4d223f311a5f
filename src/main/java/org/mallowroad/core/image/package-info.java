/**
 * Distribution of large images that many machines need at once: which machines are confirmed
 * holders, how many fetch at a time, and from which source (docs/weights.md). Decisions only; the
 * workers do the I/O.
 */
package org.mallowroad.core.image;
