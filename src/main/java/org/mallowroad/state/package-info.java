/**
 * The client of the state service, a small consensus-backed key-value store, and the encoding of
 * the records that the controllers store in it.
 *
 * <ul>
 *   <li>{@link org.mallowroad.state.KeyValueStore} sends the requests; {@link
 *       org.mallowroad.state.Transaction} holds the conditions and writes of a compare-and-swap;
 *       {@link org.mallowroad.state.TransactionRetry} resends a transaction while its response is
 *       late.
 *   <li>{@link org.mallowroad.state.ServiceHealth} tracks the health of the service, as observed
 *       through these requests.
 *   <li>{@link org.mallowroad.state.RecordKeys} defines the key schema; {@link
 *       org.mallowroad.state.JobRecordCodec}, {@link org.mallowroad.state.AttemptRecordCodec} and
 *       {@link org.mallowroad.state.LeagueRecordCodec} encode the values.
 * </ul>
 *
 * <p>Everything here is confined to one {@link org.mallowroad.net.EventLoop}.
 */
package org.mallowroad.state;
