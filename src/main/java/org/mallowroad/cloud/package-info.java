/**
 * The client of the cloud's API: machine types, and renting, listing and deleting machines.
 *
 * <p>Message formats are in {@link org.mallowroad.wire.CloudCodec} and {@link
 * org.mallowroad.wire.MachineTypeCodec}. The callers decide when to rent and what to delete.
 */
package org.mallowroad.cloud;
