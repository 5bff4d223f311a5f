/**
 * Reads cron tables from XML files, which are validated against a published schema and may refer to
 * iCalendar files in the same directory.
 */
package org.mallowroad.calendar.file;
