package io.arrowarch.core.query;

/**
 * An attempt whose outcome is not yet known.
 *
 * @param startNanos when it was passed to the transport
 */
record OutstandingAttempt(Attempt attempt, ShardProgress progress, long startNanos) {}
