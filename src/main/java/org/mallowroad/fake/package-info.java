/**
 * Small fakes of the state service, the cloud and the workers that listen on loopback, for the
 * rehearsal, the tests and {@code mallowroad try}. They implement as much of the protocol as those
 * need and can be made to fail in a few ways. Their performance says nothing about real services.
 */
package org.mallowroad.fake;
