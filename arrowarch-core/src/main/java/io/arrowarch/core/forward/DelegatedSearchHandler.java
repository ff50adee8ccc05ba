package io.arrowarch.core.forward;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.error.Executed;
import io.arrowarch.core.error.QueryError;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import io.arrowarch.core.route.RoutingConfiguration;
import io.arrowarch.core.suspect.SuspectRequests;
import io.arrowarch.core.time.RouterClock;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Runs, declines or fails searches that other routers delegate to this one; never delegates them
 * again.
 */
final class DelegatedSearchHandler {
  private final Supplier<Optional<RoutingConfiguration>> configuration;
  private final TenantAdmission tenants;
  private final SuspectRequests suspects;
  private final IntSupplier inProgress;
  private final int maximumRequests;
  private final RouterClock clock;
  private final RandomGenerator random;
  private final Runner runner;

  /** Runs a search on this router. */
  interface Runner {
    ForwardHandle run(
        ForwardedRequest request,
        Route route,
        RequestTimes times,
        RequestMonitor monitor,
        Consumer<Either<QueryError, ForwardedAnswer>> sink);
  }

  /**
   * Creates a handler of delegated searches.
   *
   * @param configuration the configuration in force, if any
   * @param inProgress number of requests in progress on this router
   * @param maximumRequests the handler declines a search if at least this many requests are in
   *     progress
   */
  DelegatedSearchHandler(
      Supplier<Optional<RoutingConfiguration>> configuration,
      TenantAdmission tenants,
      SuspectRequests suspects,
      IntSupplier inProgress,
      int maximumRequests,
      RouterClock clock,
      RandomGenerator random,
      Runner runner) {
    this.configuration = configuration;
    this.tenants = tenants;
    this.suspects = suspects;
    this.inProgress = inProgress;
    this.maximumRequests = maximumRequests;
    this.clock = clock;
    this.random = random;
    this.runner = runner;
  }

  /** See {@link ForwardCoordinator#submitDelegated}. */
  ForwardHandle submit(DelegatedSearch search, Consumer<DelegateReply> sink) {
    ForwardedRequest request = search.request();
    Optional<Route> route =
        configuration
            .get()
            .flatMap(known -> known.match(request.host(), request.target()))
            .filter(matched -> matched.target() instanceof RouteTarget.AllShards);
    if (route.isEmpty()) {
      return decline("no search route matches the host and path", sink);
    }
    if (inProgress.getAsInt() >= maximumRequests) {
      return decline("too many requests are in progress", sink);
    }
    Optional<RunPermit> permit = tenants.permitForDelegated(request, route.get());
    if (permit.isEmpty()) {
      return decline("the caller's key is not confirmed here", sink);
    }
    RequestMonitor monitor =
        search.isProven()
            ? RequestMonitor.ofAnswered(suspects, request, permit.get())
            : RequestMonitor.of(suspects, request, permit.get());
    if (monitor.isSuspected()) {
      return refuseSuspected(sink);
    }
    long arrivalNanos = clock.nanoTime();
    return runner.run(
        request,
        tenants.withTenantPriority(search.narrow(route.get()), request),
        RequestTimes.ofDelegated(route.get(), arrivalNanos, search, random.nextDouble()),
        monitor,
        outcome -> sink.accept(toReply(outcome, arrivalNanos)));
  }

  private static ForwardHandle decline(String reason, Consumer<DelegateReply> sink) {
    sink.accept(new DelegateReply.Declined(reason));
    return ForwardHandle.NONE;
  }

  /**
   * Fails the search rather than declining it: after a decline it would be delegated to another
   * router, which may not know yet that the request is suspected.
   */
  private static ForwardHandle refuseSuspected(Consumer<DelegateReply> sink) {
    sink.accept(
        new DelegateReply.Failed(
            QueryError.of(ErrorKind.ENDS_SERVERS, "servers that ran this request have ended")));
    return ForwardHandle.NONE;
  }

  private DelegateReply toReply(Either<QueryError, ForwardedAnswer> outcome, long arrivalNanos) {
    if (outcome.isLeft()) {
      QueryError error = outcome.getLeft();
      boolean mayRunElsewhere =
          error.executed() == Executed.NO && error.kind() != ErrorKind.ENDS_SERVERS;
      return mayRunElsewhere
          ? new DelegateReply.Declined(error.detail())
          : new DelegateReply.Failed(error);
    }
    // Only searches are delegated, and their answers are merged.
    ForwardedAnswer.Merged answer = (ForwardedAnswer.Merged) outcome.get();
    Duration took = Duration.ofNanos(clock.nanoTime() - arrivalNanos);
    return new DelegateReply.Answered(answer, took, inProgress.getAsInt());
  }
}
