/**
 * The client of the state service, a small consensus-backed key-value store, and the form of the
 * records that the controllers keep there.
 *
 * <ul>
 *   <li>{@link org.mallowroad.state.KeyValueStore} makes the calls; {@link
 *       org.mallowroad.state.Transaction} is what a compare-and-swap checks and writes; {@link
 *       org.mallowroad.state.TransactionRetry} sends one again while its response is late.
 *   <li>{@link org.mallowroad.state.ServiceHealth} is what those calls show of the service.
 *   <li>{@link org.mallowroad.state.RecordKeys} is the key schema; {@link
 *       org.mallowroad.state.JobRecordCodec}, {@link org.mallowroad.state.AttemptRecordCodec} and
 *       {@link org.mallowroad.state.LeagueRecordCodec} encode the values.
 * </ul>
 *
 * <p>Everything here is confined to one {@link org.mallowroad.net.EventLoop}.
 */
package org.mallowroad.state;
