/**
 * What is shown to people, put together from what nodes and the state service answered; no I/O.
 * Every figure keeps its source and age, and what is unknown is said to be.
 */
package org.mallowroad.console.view;
