package io.arrowarch.core.peer;

/**
 * Another router that answers.
 *
 * @param incarnation differs after every restart
 * @param address IP:PORT for peers
 * @param cores how much processor it has, in cores; 0 when it does not say
 */
public record NearbyRouter(
    String id, long incarnation, String zone, String address, double cores) {}
