/**
 * How a leader's state is kept in the state service: what a new term reads ({@link
 * org.mallowroad.controller.persistence.StateLoader}), what it writes from then on, behind the
 * decisions and in batches ({@link org.mallowroad.controller.persistence.WriteBehindCommitter}),
 * and the share of the service's write rate that it may use ({@link
 * org.mallowroad.controller.persistence.LeaderWriteRateAdjuster}).
 *
 * <p>Everything here is confined to the controller's event loop.
 */
package org.mallowroad.controller.persistence;
