/**
 * Calculates when entries fire from cron expressions, time zones and calendars. Nothing here reads
 * a clock or does I/O; results depend only on the arguments. docs/calendar.md states the rules and
 * compares the alternatives.
 */
package org.mallowroad.calendar;
