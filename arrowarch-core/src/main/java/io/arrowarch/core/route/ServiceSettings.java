package io.arrowarch.core.route;

/**
 * What a configuration says of one service.
 *
 * @param maximumConnections connections that each server of it takes from all routers together
 */
public record ServiceSettings(String name, int maximumConnections) {}
