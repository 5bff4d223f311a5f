/**
 * Builds what users see from the responses of the nodes and the state service, without I/O. Every
 * figure keeps its source and age, and unknown values are shown as unknown.
 */
package org.mallowroad.console.view;
