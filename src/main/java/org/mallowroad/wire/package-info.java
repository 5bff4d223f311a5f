/**
 * Codecs of the JSON messages that cross the process's boundary: users' submissions, workers'
 * heartbeats and commands, the cloud's API, and the console's answers.
 *
 * <p>{@link org.mallowroad.wire.Fields} holds the platform's field names; no other class spells
 * them out. A decoder checks what it reads and throws {@link
 * org.mallowroad.wire.InvalidMessageException}, which names the wrong field; past this package
 * messages are typed records. Codecs keep no state between calls, except for the tables of names in
 * which {@link org.mallowroad.wire.JobCodec} looks indices up.
 */
package org.mallowroad.wire;
