/**
 * The command line: starts a controller, and has the commands of users and operators. The {@code
 * experiment} and {@code try} commands run simulations and a demonstration cluster.
 */
package org.mallowroad.cli;
