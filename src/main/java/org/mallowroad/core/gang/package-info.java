/**
 * Gang scheduling: machines are reserved for a gang until all of its tasks can start. A gang has
 * one reservation at a time, in one zone or the whole fleet, and only for a bounded time. So every
 * gang that fits into a zone eventually starts, and two gangs cannot block each other with partial
 * reservations.
 */
package org.mallowroad.core.gang;
