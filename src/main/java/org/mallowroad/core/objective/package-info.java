/** The service-level objectives of the settings, and how far the jobs of a term attain them. */
package org.mallowroad.core.objective;
