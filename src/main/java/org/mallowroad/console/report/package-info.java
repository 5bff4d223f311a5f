/**
 * Renders an overview as one HTML page, from a template that escapes by default and plots drawn by
 * a library.
 */
package org.mallowroad.console.report;
