/**
 * What a node knows of its links, and which way it goes when some are cut: evidence and decisions,
 * no I/O, no clock. Nothing here proves anything about a task: a wrong guess costs a detour or a
 * few seconds, never a rule (docs/links.md).
 */
package org.mallowroad.core.linkstate;
