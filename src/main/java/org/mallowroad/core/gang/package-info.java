/**
 * Gangs: room is gathered for them, in one place at a time and for a bounded time, so that a gang
 * of any size that a zone can hold starts, and no two gangs hold halves against each other.
 */
package org.mallowroad.core.gang;
