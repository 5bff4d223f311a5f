/**
 * Admission control: how many new jobs a node accepts while the leader's commits to the state
 * service lag behind what was accepted before.
 *
 * <p>The classes do no I/O, have no clock, and are confined to the controller's event loop.
 */
package org.mallowroad.core.admission;
