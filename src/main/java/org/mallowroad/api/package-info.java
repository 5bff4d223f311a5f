/**
 * The HTTP API for users: submitting, querying and cancelling jobs, and the routing of all requests
 * on the node's public listener.
 *
 * <p>Any node serves any request. A response about a job that has not ended comes from a read that
 * was made for this request, so no node returns an older state than another node has returned
 * before; only committed state is returned. {@link org.mallowroad.api.UserApi} is the entry point,
 * with one class for each kind of request. {@code JobLookup}, {@code OpenJobs} and {@code
 * TaskCounts} read jobs within the rate limit that {@code ReadQueue} enforces. Jobs that fold games
 * or have dependencies are accepted by {@link org.mallowroad.api.claim}.
 *
 * <p>All classes are confined to the event loop.
 */
package org.mallowroad.api;
