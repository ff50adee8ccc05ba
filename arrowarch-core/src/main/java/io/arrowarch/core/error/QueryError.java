package io.arrowarch.core.error;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * An error answer to one request.
 *
 * @param kind determines the HTTP status
 * @param detail one sentence for the caller
 * @param executed what this router can prove about execution
 * @param retryAfter after what delay to retry, for kinds that are retryable
 */
public record QueryError(
    ErrorKind kind, String detail, Executed executed, Optional<Duration> retryAfter) {
  public QueryError {
    requireNonNull(kind, "kind is null");
    requireNonNull(detail, "detail is null");
    requireNonNull(executed, "executed is null");
    requireNonNull(retryAfter, "retryAfter is null");
  }

  /** An error that arose before any attempt was written. */
  public static QueryError of(ErrorKind kind, String detail) {
    return new QueryError(kind, detail, kind.executed(), Optional.empty());
  }

  /** The same error with a delay after which to retry. */
  public QueryError withRetryAfter(Duration delay) {
    return new QueryError(kind, detail, executed, Optional.of(delay));
  }
}
