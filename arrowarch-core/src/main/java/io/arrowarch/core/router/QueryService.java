package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Ordering;
import com.google.common.hash.Hashing;
import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.once.Ticket;
import io.arrowarch.core.once.TicketRegistry;
import io.arrowarch.core.query.QueryAnswer;
import io.arrowarch.core.query.QueryCoordinator;
import io.arrowarch.core.query.QueryRequest;
import io.arrowarch.core.quorum.ConfigurationAgreement;
import io.arrowarch.core.time.RouterClock;
import io.arrowarch.core.time.TimerQueue;
import io.arrowarch.core.topology.QueryKind;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Receives queries and passes them to the coordinator. Refuses them in the second step of a planned
 * stop. Holds them until this router has a lease, for at most {@link #MAXIMUM_CONFIRMATION_WAIT}.
 * Runs each non-repeatable request at most once per ticket; a request that is proven not to have
 * run may run again on its ticket.
 */
final class QueryService {
  /**
   * How long a query may wait for the lease, which is missing for example after a start or a
   * suspension of the process.
   */
  private static final Duration MAXIMUM_CONFIRMATION_WAIT = Duration.ofMillis(400);

  private static final char SEPARATOR = '\n';

  private final RouterClock clock;
  private final TimerQueue timers;
  private final QueryCoordinator coordinator;
  private final ConfigurationAgreement agreement;
  private final TicketRegistry<Either<QueryError, QueryAnswer>> tickets;
  private final List<Runnable> awaitingLease = new ArrayList<>();
  private boolean leaving;
  private boolean draining;
  private int pending;

  QueryService(
      RouterClock clock,
      TimerQueue timers,
      QueryCoordinator coordinator,
      ConfigurationAgreement agreement,
      TicketRegistry<Either<QueryError, QueryAnswer>> tickets) {
    this.clock = clock;
    this.timers = timers;
    this.coordinator = coordinator;
    this.agreement = agreement;
    this.tickets = tickets;
  }

  Ticket issueTicket() {
    return tickets.issue();
  }

  void announceLeaving() {
    leaving = true;
  }

  void drain() {
    draining = true;
  }

  /** Whether a planned stop has begun. Queries are still accepted until {@link #drain}. */
  boolean isLeaving() {
    return leaving;
  }

  /** Queries received and not yet answered. */
  int pending() {
    return pending;
  }

  void submit(QueryRequest request, Consumer<Either<QueryError, QueryAnswer>> sink) {
    pending++;
    Consumer<Either<QueryError, QueryAnswer>> countingSink =
        outcome -> {
          pending--;
          sink.accept(outcome);
        };
    if (draining) {
      countingSink.accept(
          refusal(ErrorKind.DRAINING, "this router is stopping; send the query to another one"));
      return;
    }
    long arrivalNanos = clock.nanoTime();
    if (agreement.isConfirmed(arrivalNanos)) {
      dispatch(request, arrivalNanos, countingSink);
    } else if (agreement.isSuperseded()) {
      countingSink.accept(
          refusal(ErrorKind.NOT_CONFIRMED, "a later incarnation of this router is running"));
    } else {
      awaitLease(request, arrivalNanos, countingSink);
      agreement.confirmNow();
    }
  }

  /** Runs the queries that are waiting for the lease. */
  void onConfirmed() {
    List<Runnable> ready = ImmutableList.copyOf(awaitingLease);
    awaitingLease.clear();
    ready.forEach(Runnable::run);
  }

  /**
   * Runs a query. The configuration must be confirmed, because it says whether the kind is
   * repeatable.
   */
  private void dispatch(
      QueryRequest request, long arrivalNanos, Consumer<Either<QueryError, QueryAnswer>> sink) {
    Optional<QueryKind> kind =
        coordinator.configuration().flatMap(current -> current.kind(request.kind()));
    if (kind.isPresent() && !kind.get().repeatable()) {
      dispatchOnce(request, arrivalNanos, sink);
    } else {
      coordinator.submit(request, arrivalNanos, sink);
    }
  }

  private void dispatchOnce(
      QueryRequest request, long arrivalNanos, Consumer<Either<QueryError, QueryAnswer>> sink) {
    if (request.ticket().isEmpty()) {
      sink.accept(
          Either.left(
              QueryError.of(
                  ErrorKind.TICKET_REQUIRED,
                  "this kind is not repeatable; send the request again with the ticket in this"
                      + " response")));
      return;
    }
    Optional<Ticket> ticket = Ticket.parse(request.ticket().get());
    if (ticket.isEmpty()) {
      sink.accept(
          Either.left(QueryError.of(ErrorKind.MALFORMED_REQUEST, "the ticket is malformed")));
      return;
    }
    Consumer<Either<QueryError, QueryAnswer>> resendSink =
        outcome -> sink.accept(outcome.map(answer -> answer.withRequestId(request.requestId())));
    tickets
        .redeem(ticket.get(), fingerprint(request), resendSink)
        .peek(
            fresh ->
                fresh.ifPresent(redemption -> runOnce(request, arrivalNanos, redemption, sink)))
        .peekLeft(error -> sink.accept(Either.left(error)));
  }

  private void runOnce(
      QueryRequest request,
      long arrivalNanos,
      TicketRegistry.Redemption<Either<QueryError, QueryAnswer>> redemption,
      Consumer<Either<QueryError, QueryAnswer>> sink) {
    coordinator.submit(
        request,
        arrivalNanos,
        outcome -> {
          Executed executed = outcome.fold(QueryError::executed, answer -> Executed.YES);
          tickets.complete(redemption, outcome, executed);
          sink.accept(outcome);
        });
  }

  private void awaitLease(
      QueryRequest request, long arrivalNanos, Consumer<Either<QueryError, QueryAnswer>> sink) {
    long wait = confirmationWait(request).toNanos();
    Runnable[] onLease = new Runnable[1];
    TimerQueue.Timer timeout =
        timers.schedule(
            arrivalNanos + wait,
            () -> {
              awaitingLease.remove(onLease[0]);
              sink.accept(
                  refusal(
                      ErrorKind.NOT_CONFIRMED,
                      "no majority of the voting group of this zone has confirmed the"
                          + " configuration"));
            });
    onLease[0] =
        () -> {
          timeout.cancel();
          dispatch(request, arrivalNanos, sink);
        };
    awaitingLease.add(onLease[0]);
  }

  /**
   * Half of the deadline, so that time is left to run the query, but at most {@link
   * #MAXIMUM_CONFIRMATION_WAIT}, which also applies when no deadline is known.
   */
  private Duration confirmationWait(QueryRequest request) {
    Optional<Duration> kindDeadline =
        coordinator
            .configuration()
            .flatMap(current -> current.kind(request.kind()))
            .map(QueryKind::deadline);
    return Stream.of(request.deadline(), kindDeadline)
        .flatMap(Optional::stream)
        .map(deadline -> deadline.dividedBy(2))
        .reduce(MAXIMUM_CONFIRMATION_WAIT, Ordering.natural()::min);
  }

  private Either<QueryError, QueryAnswer> refusal(ErrorKind kind, String detail) {
    return Either.left(QueryError.of(kind, detail).withRetryAfter(coordinator.retryAfter()));
  }

  private static String fingerprint(QueryRequest request) {
    return Hashing.sha256()
        .newHasher()
        .putString(request.kind(), StandardCharsets.UTF_8)
        .putChar(SEPARATOR)
        .putString(request.key().orElse(""), StandardCharsets.UTF_8)
        .putChar(SEPARATOR)
        .putString(request.body().toString(), StandardCharsets.UTF_8)
        .hash()
        .toString();
  }
}
