/**
 * The client of the cloud's API: machine types, and renting, listing and deleting machines.
 *
 * <p>Message formats are in {@link org.mallowroad.wire.CloudCodec} and {@link
 * org.mallowroad.wire.MachineTypeCodec}. When to rent and what to delete is decided by its callers.
 */
package org.mallowroad.cloud;
