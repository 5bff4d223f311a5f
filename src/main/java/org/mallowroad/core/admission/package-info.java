/**
 * How many jobs are accepted while the records cannot keep up with what was accepted before.
 *
 * <p>No I/O and no clock: what is measured and when comes from outside.
 */
package org.mallowroad.core.admission;
