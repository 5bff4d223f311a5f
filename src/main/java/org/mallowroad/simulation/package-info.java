/**
 * Simulates a whole cluster in one process and in virtual time, reproducibly from one seed: several
 * controllers, the state service, the cloud, workers and users, and a network whose links can fail
 * one by one. An invariant checker observes what happens. The controllers are the real nodes of the
 * service; all other parties are small models. Processor time, memory, sockets and JVMs are not
 * simulated (docs/links.md).
 */
package org.mallowroad.simulation;
