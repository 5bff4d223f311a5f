/** Cron tables as files: XML checked by a published schema, with iCalendar files beside it. */
package org.mallowroad.calendar.file;
