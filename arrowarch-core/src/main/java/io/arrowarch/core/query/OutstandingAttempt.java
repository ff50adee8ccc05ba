package io.arrowarch.core.query;

/**
 * An attempt whose outcome has not been seen.
 *
 * @param startNanos when it was handed to the transport
 */
record OutstandingAttempt(Attempt attempt, ShardProgress progress, long startNanos) {}
