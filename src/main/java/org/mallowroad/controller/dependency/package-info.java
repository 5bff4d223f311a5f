/**
 * The leader's I/O for job dependencies. It opens dependency gates in the state service once all
 * dependencies are confirmed (docs/holds.md) and maintains the fold records (docs/folds.md). The
 * decisions are made in {@code org.mallowroad.core.dependency} and {@code
 * org.mallowroad.core.fold}.
 */
package org.mallowroad.controller.dependency;
