/**
 * Large images that many machines want at once: who holds them for certain, how many fetch at a
 * time, and from whom (docs/weights.md). Decisions only.
 */
package org.mallowroad.core.image;
