package io.arrowarch.core.forward;

import io.arrowarch.core.server.ServerEntry;

/**
 * One sending of one request to one server.
 *
 * @param number unique within the process
 * @param deadlineNanos when the server should stop, on the router's monotonic clock
 * @param merged whether its answer is merged with others, so that its headers do not travel on
 */
public record ServerAttempt(
    long number,
    ServerEntry server,
    ForwardedRequest request,
    long deadlineNanos,
    boolean merged) {}
