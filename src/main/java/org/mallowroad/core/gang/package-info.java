/**
 * Gang scheduling: machines are reserved for a gang in one place at a time and for a bounded time
 * until all of its tasks can start. So a gang of any size that a zone can hold starts, and two
 * gangs cannot block each other with partial reservations.
 */
package org.mallowroad.core.gang;
