/**
 * Codecs of the JSON messages that the process exchanges with others: users' submissions, workers'
 * heartbeats and commands, the cloud's API, and the console API.
 *
 * <p>{@link org.mallowroad.wire.Fields} defines the platform's field names in one place. A decoder
 * validates what it reads and throws {@link org.mallowroad.wire.InvalidMessageException}, which
 * names the invalid field; outside this package messages are typed records. Codecs keep no state
 * between calls, except for the name indices of {@link org.mallowroad.wire.JobCodec}.
 */
package org.mallowroad.wire;
