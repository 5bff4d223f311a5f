/**
 * Several controllers, the state service, the cloud, workers and users in one process and in
 * virtual time, from one seed, over a network whose links fail one by one; and a checker that reads
 * what happened. The controllers are the service's own nodes; all others are small models. It shows
 * nothing of processor time, memory, sockets or JVMs (docs/links.md).
 */
package org.mallowroad.simulation;
