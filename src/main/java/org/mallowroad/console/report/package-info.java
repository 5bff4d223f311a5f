/** One HTML page from an overview: a template with escaping by default, and a library's plots. */
package org.mallowroad.console.report;
