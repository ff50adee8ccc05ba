package io.arrowarch.core.forward;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Refuses requests before any attempt is sent, so that they have certainly not been executed. */
final class Refusals {
  private static final Duration BASE_RETRY_AFTER = Duration.ofMillis(150);

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double UNKNOWN_AGE = -1;

  private final LongSupplier version;
  private final Supplier<Optional<Duration>> viewAge;
  private final RandomGenerator random;
  private final EventLog events;

  /**
   * Creates refusals.
   *
   * @param version version of the configuration in force; 0 if there is none
   * @param viewAge upper bound of the age of the router's view of the store; empty before there is
   *     a view
   */
  Refusals(
      LongSupplier version,
      Supplier<Optional<Duration>> viewAge,
      RandomGenerator random,
      EventLog events) {
    this.version = version;
    this.viewAge = viewAge;
    this.random = random;
    this.events = events;
  }

  /** Refuses a request. If it is retryable, the caller is told to retry after the default delay. */
  ForwardHandle refuse(
      ForwardedRequest request,
      ErrorKind kind,
      String detail,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    return refuse(request, kind, detail, Optional.empty(), sink);
  }

  /**
   * Refuses a request.
   *
   * @param retryAfter when the caller should retry; if empty, after the default delay. Ignored for
   *     errors that are not retryable.
   */
  ForwardHandle refuse(
      ForwardedRequest request,
      ErrorKind kind,
      String detail,
      Optional<Duration> retryAfter,
      Consumer<Either<QueryError, ForwardedAnswer>> sink) {
    events.log(
        new RouterEvent.RequestEnded(
            request.id(),
            kind == ErrorKind.ENDS_SERVERS ? RequestMonitor.keyOf(request).logName() : "",
            "",
            version.getAsLong(),
            "refused",
            kind.wireName(),
            detail,
            0,
            0,
            0,
            0,
            0,
            0,
            viewAgeMillis(),
            request.unread().toNanos() / NANOS_PER_MILLI,
            List.of()));
    QueryError error = QueryError.of(kind, detail);
    sink.accept(
        Either.left(
            kind.retryable()
                ? error.withRetryAfter(retryAfter.orElseGet(this::defaultRetryAfter))
                : error));
    return ForwardHandle.NONE;
  }

  private double viewAgeMillis() {
    return viewAge.get().map(age -> age.toNanos() / NANOS_PER_MILLI).orElse(UNKNOWN_AGE);
  }

  private Duration defaultRetryAfter() {
    return BASE_RETRY_AFTER.plusMillis(random.nextLong(BASE_RETRY_AFTER.toMillis()));
  }
}
