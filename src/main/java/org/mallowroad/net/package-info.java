/**
 * Networking of a node: one event loop, an HTTP server and HTTP clients on it, and limits on rates,
 * buffered bytes and log lines.
 *
 * <p>Everything in a node runs on the one thread of its {@link org.mallowroad.net.EventLoop};
 * unless documented otherwise, a class is confined to that thread and has no locks. {@link
 * org.mallowroad.net.NodeEnvironment} and {@link org.mallowroad.net.RequestSender} are the
 * interfaces through which simulations replace sockets and clocks; the {@code Xnio} and {@code
 * Undertow} classes are their implementations in a process.
 */
package org.mallowroad.net;
