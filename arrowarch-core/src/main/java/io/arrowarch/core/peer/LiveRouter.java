package io.arrowarch.core.peer;

/**
 * Another router, of any zone, that is alive.
 *
 * @param incarnation rises with every restart
 * @param address IP:PORT for messages from other routers
 * @param cores processor capacity, in cores; 0 when unknown
 */
public record LiveRouter(String id, long incarnation, String zone, String address, double cores) {}
