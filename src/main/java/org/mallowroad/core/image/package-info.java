/**
 * Distribution of large images that many machines need at once (docs/weights.md). Tracks which
 * machines hold an image, and decides how many machines fetch at a time and from which source. The
 * package does no I/O; the workers fetch the images.
 */
package org.mallowroad.core.image;
