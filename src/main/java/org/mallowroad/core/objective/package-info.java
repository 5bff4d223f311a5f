/** The service-level objectives of jobs, and the measurement of how well they are attained. */
package org.mallowroad.core.objective;
