/**
 * The HTTP API for users: submitting, querying and cancelling jobs, and the routing of all requests
 * on the node's public listener.
 *
 * <p>Any node serves any request. An answer about a job that is not over comes from a read that was
 * made for the question, so no node is behind what another one has said; nothing is told before it
 * is committed. {@link org.mallowroad.api.UserApi} is the entry, with one class for each kind of
 * request; {@code JobLookup}, {@code OpenJobs} and {@code TaskCounts} read jobs within the limit
 * that {@code ReadQueue} keeps. Jobs that fold games or have dependencies are accepted by {@link
 * org.mallowroad.api.claim}.
 *
 * <p>All classes are confined to the event loop.
 */
package org.mallowroad.api;
