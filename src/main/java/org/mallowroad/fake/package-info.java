/**
 * Small stand-ins of the state service, the cloud and the workers over loopback, for the rehearsal,
 * the tests and {@code mallowroad try}. They do what the protocol says as far as those need it, and
 * can be told to fail in a few ways; they are no measure of anything.
 */
package org.mallowroad.fake;
