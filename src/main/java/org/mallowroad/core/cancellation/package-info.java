/**
 * Cancellations: how old a leader's view of them is, and whom a node that learnt of one still has
 * to tell (docs/cancellation.md).
 */
package org.mallowroad.core.cancellation;
