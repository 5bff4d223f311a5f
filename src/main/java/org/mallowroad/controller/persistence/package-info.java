/**
 * Persistence of the leader's state in the state service: loading the records at the start of a
 * term ({@link org.mallowroad.controller.persistence.StateLoader}), writing changes in batches
 * after the scheduling decisions ({@link
 * org.mallowroad.controller.persistence.WriteBehindCommitter}), and adjusting the leader's share of
 * the service's write rate ({@link org.mallowroad.controller.persistence.LeaderWriteRateAdjuster}).
 *
 * <p>Everything here is confined to the controller's event loop.
 */
package org.mallowroad.controller.persistence;
