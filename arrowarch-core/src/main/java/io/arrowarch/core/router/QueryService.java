package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
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

/**
 * What stands between a caller and the coordinator: planned stop, the right to serve, and tickets
 * of non-repeatable requests.
 */
final class QueryService {
  /** How long a query may wait for the lease of a node that has just started or woken. */
  private static final Duration LONGEST_CONFIRMATION_WAIT = Duration.ofMillis(400);

  private static final Duration RETRY_AFTER = Duration.ofMillis(500);
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

  /** Whether a planned stop has begun; queries are taken until {@link #drain}. */
  boolean isLeaving() {
    return leaving;
  }

  /** Queries received and not yet answered. */
  int pending() {
    return pending;
  }

  void submit(QueryRequest request, Consumer<Either<QueryError, QueryAnswer>> sink) {
    pending++;
    Consumer<Either<QueryError, QueryAnswer>> counted =
        outcome -> {
          pending--;
          sink.accept(outcome);
        };
    if (draining) {
      counted.accept(refusal(ErrorKind.DRAINING, "this node is stopping; ask another"));
      return;
    }
    Optional<QueryKind> kind =
        coordinator.configuration().flatMap(current -> current.kind(request.kind()));
    if (kind.isPresent() && !kind.get().repeatable()) {
      submitOnce(request, counted);
    } else {
      submitConfirmed(request, counted);
    }
  }

  /** Runs the queries that have waited for the lease. */
  void onConfirmed() {
    List<Runnable> ready = ImmutableList.copyOf(awaitingLease);
    awaitingLease.clear();
    ready.forEach(Runnable::run);
  }

  private void submitOnce(QueryRequest request, Consumer<Either<QueryError, QueryAnswer>> sink) {
    if (request.ticket().isEmpty()) {
      sink.accept(
          Either.left(
              QueryError.of(
                  ErrorKind.TICKET_REQUIRED,
                  "this kind is not repeatable; send the request again with the ticket given")));
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
        .peek(fresh -> fresh.ifPresent(redemption -> runOnce(request, redemption, sink)))
        .peekLeft(error -> sink.accept(Either.left(error)));
  }

  private void runOnce(
      QueryRequest request,
      TicketRegistry.Redemption<Either<QueryError, QueryAnswer>> redemption,
      Consumer<Either<QueryError, QueryAnswer>> sink) {
    submitConfirmed(
        request,
        outcome -> {
          Executed executed = outcome.fold(QueryError::executed, answer -> Executed.YES);
          tickets.complete(redemption, outcome, executed);
          sink.accept(outcome);
        });
  }

  private void submitConfirmed(
      QueryRequest request, Consumer<Either<QueryError, QueryAnswer>> sink) {
    long arrivalNanos = clock.nanoTime();
    if (agreement.isConfirmed(arrivalNanos)) {
      coordinator.submit(request, arrivalNanos, sink);
      return;
    }
    if (agreement.isSuperseded()) {
      sink.accept(refusal(ErrorKind.NOT_CONFIRMED, "a later incarnation of this node runs"));
      return;
    }
    awaitLease(request, arrivalNanos, sink);
    agreement.confirmNow();
  }

  private void awaitLease(
      QueryRequest request, long arrivalNanos, Consumer<Either<QueryError, QueryAnswer>> sink) {
    long wait = LONGEST_CONFIRMATION_WAIT.toNanos();
    long halfDeadline = request.deadline().map(deadline -> deadline.toNanos() / 2).orElse(wait);
    Runnable[] onLease = new Runnable[1];
    TimerQueue.Timer giveUp =
        timers.schedule(
            arrivalNanos + Math.min(wait, halfDeadline),
            () -> {
              awaitingLease.remove(onLease[0]);
              sink.accept(
                  refusal(
                      ErrorKind.NOT_CONFIRMED,
                      "no majority of this zone's routers confirms the configuration"));
            });
    onLease[0] =
        () -> {
          giveUp.cancel();
          coordinator.submit(request, arrivalNanos, sink);
        };
    awaitingLease.add(onLease[0]);
  }

  private static Either<QueryError, QueryAnswer> refusal(ErrorKind kind, String detail) {
    return Either.left(QueryError.of(kind, detail).withRetryAfter(RETRY_AFTER));
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
