/**
 * The leader's I/O for job dependencies: dependency gates are opened in the state service once all
 * dependencies are confirmed (docs/holds.md), and the records of folds are maintained
 * (docs/folds.md). The decisions are in {@code org.mallowroad.core.dependency} and {@code
 * org.mallowroad.core.fold}.
 */
package org.mallowroad.controller.dependency;
