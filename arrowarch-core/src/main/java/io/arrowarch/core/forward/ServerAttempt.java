package io.arrowarch.core.forward;

import io.arrowarch.core.server.ServerEntry;

/**
 * One sending of one request to one server.
 *
 * @param number unique within the process
 * @param deadlineNanos when the server should stop, on the router's monotonic clock
 */
public record ServerAttempt(
    long number, ServerEntry server, ForwardedRequest request, long deadlineNanos) {}
