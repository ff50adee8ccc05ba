package io.arrowarch.core.forward;

import io.arrowarch.core.server.ServerEntry;

/**
 * One attempt of one request at one server.
 *
 * @param number unique within the process
 * @param deadlineNanos when the server should stop, on the router's monotonic clock
 * @param merged whether its answer is merged with others, so that its headers are not passed on
 */
public record ServerAttempt(
    long number,
    ServerEntry server,
    ForwardedRequest request,
    long deadlineNanos,
    boolean merged) {}
