/**
 * The HTTP protocol between controllers and workers: heartbeats that workers send ({@link
 * org.mallowroad.worker.HeartbeatApi}) and commands that the leader sends to a worker's own address
 * ({@link org.mallowroad.worker.WorkerClient}).
 *
 * <p>Message formats are in {@link org.mallowroad.wire.WorkerCodec}. All classes are confined to
 * the node's event loop.
 */
package org.mallowroad.worker;
