/**
 * When something is due by a cron expression, a time zone and a calendar: pure functions of what
 * they are given, without a clock and without I/O. docs/calendar.md weighs the ways and states the
 * rules.
 */
package org.mallowroad.calendar;
