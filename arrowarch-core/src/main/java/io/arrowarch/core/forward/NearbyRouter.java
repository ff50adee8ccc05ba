package io.arrowarch.core.forward;

/**
 * Another router that answers.
 *
 * @param incarnation differs after every restart
 * @param address IP:PORT for peers
 */
public record NearbyRouter(String id, long incarnation, String zone, String address) {}
