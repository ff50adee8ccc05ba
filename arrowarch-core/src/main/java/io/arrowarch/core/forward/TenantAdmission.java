package io.arrowarch.core.forward;

import io.arrowarch.core.error.ErrorKind;
import io.arrowarch.core.event.EventLog;
import io.arrowarch.core.event.RouterEvent;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.tenant.Authenticator;
import io.arrowarch.core.tenant.Credential;
import io.arrowarch.core.tenant.LimitDecision;
import io.arrowarch.core.tenant.Tenant;
import io.arrowarch.core.tenant.TenantLimiter;
import io.arrowarch.core.tenant.Tenants;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/** Admits requests by their API keys and within the rate limits of their tenants. */
final class TenantAdmission {
  private static final double NANOS_PER_MILLI = 1e6;

  private final Authenticator authenticator;
  private final TenantLimiter limiter;
  private final Supplier<Tenants> tenants;
  private final Supplier<Optional<Duration>> viewAge;
  private final EventLog events;
  private boolean closed;

  /** Receives the decision on a request. */
  interface Handler {
    /**
     * The request may run.
     *
     * @param request the request, with its tenant set
     * @param route the route, with the tenant's priority
     * @param permit whether attempts may still be sent
     * @param tenant the tenant whose limit the request was counted against, if any
     */
    ForwardHandle run(
        ForwardedRequest request, Route route, RunPermit permit, Optional<Tenant> tenant);

    /**
     * The request is refused and has not been executed. Without {@code retryAfter} the caller is
     * told the default delay if the error is retryable.
     */
    void refuse(ErrorKind kind, String detail, Optional<Duration> retryAfter);
  }

  /**
   * Creates an admission.
   *
   * @param tenants tenants of the configuration in force
   * @param viewAge upper bound of the age of this router's view of them; empty before there is a
   *     view
   */
  TenantAdmission(
      Authenticator authenticator,
      TenantLimiter limiter,
      Supplier<Tenants> tenants,
      Supplier<Optional<Duration>> viewAge,
      EventLog events) {
    this.authenticator = authenticator;
    this.limiter = limiter;
    this.tenants = tenants;
    this.viewAge = viewAge;
    this.events = events;
  }

  /** Whether requests with API keys are refused because this router's view is too old. */
  boolean refusesApiKeys() {
    return authenticator.refusesApiKeys(tenants.get());
  }

  /**
   * Decides on a request, at once or after asking the router that counts the requests of its
   * tenant.
   */
  ForwardHandle admit(ForwardedRequest request, Route route, Handler handler) {
    logViewChange();
    Optional<Credential> credential = request.caller().credential();
    Authenticator.Identity identity =
        authenticator.identify(tenants.get(), route.isPublic(), credential);
    if (identity instanceof Authenticator.Identity.Unknown unknown) {
      handler.refuse(ErrorKind.UNAUTHENTICATED, unknown.reason(), Optional.empty());
      return ForwardHandle.NONE;
    }
    if (identity instanceof Authenticator.Identity.NotConfirmed old) {
      handler.refuse(ErrorKind.NOT_CONFIRMED, old.reason(), Optional.empty());
      return ForwardHandle.NONE;
    }
    Optional<Tenant> tenant = ((Authenticator.Identity.Known) identity).tenant();
    if (tenant.isEmpty()) {
      return handler.run(request.withTenant(Optional.empty()), route, RunPermit.ALWAYS, tenant);
    }
    return acquire(request, route, tenant.get(), handler);
  }

  /**
   * The permit for a search that another router delegates to this one; empty if the search may not
   * run here. In this router's view, the API key of the search must belong to the tenant that the
   * search states. The delegating router has already counted it against the tenant's limit.
   */
  Optional<RunPermit> permitForDelegated(ForwardedRequest request, Route route) {
    Optional<Credential> credential = request.caller().credential();
    Authenticator.Identity identity =
        authenticator.identify(tenants.get(), route.isPublic(), credential);
    if (identity instanceof Authenticator.Identity.Known known) {
      Optional<String> name = known.tenant().map(Tenant::name);
      Optional<String> stated = request.caller().tenant();
      if (name.equals(stated)) {
        return Optional.of(permit(stated, credential));
      }
    }
    return Optional.empty();
  }

  /** Returns the route with the priority of the request's tenant, if that tenant has one. */
  Route withTenantPriority(Route route, ForwardedRequest request) {
    return request
        .caller()
        .tenant()
        .flatMap(tenants.get()::find)
        .flatMap(Tenant::priority)
        .map(route::withPriority)
        .orElse(route);
  }

  /**
   * Refunds the unit of the rate limit that an admitted request took. To be called if the request
   * was not executed and will not be.
   */
  void refund(Tenant tenant) {
    limiter.refund(tenant);
  }

  private ForwardHandle acquire(
      ForwardedRequest request, Route route, Tenant tenant, Handler handler) {
    Acquisition acquisition = new Acquisition(request, route, tenant, handler);
    acquisition.decision = limiter.acquire(tenant, acquisition::onDecision);
    return acquisition;
  }

  private RunPermit permit(Optional<String> tenant, Optional<Credential> credential) {
    if (tenant.isEmpty() || credential.isEmpty()) {
      return RunPermit.ALWAYS;
    }
    return () -> authenticator.mayRun(tenants.get(), tenant.get(), credential.get());
  }

  private void logViewChange() {
    boolean nowClosed = refusesApiKeys();
    if (nowClosed != closed) {
      closed = nowClosed;
      double age = viewAge.get().map(Duration::toNanos).map(n -> n / NANOS_PER_MILLI).orElse(-1.0);
      events.log(new RouterEvent.ViewChanged(closed ? "old" : "fresh", age));
    }
  }

  /** A request that may be waiting for the decision of the router that counts its tenant. */
  private final class Acquisition implements ForwardHandle {
    private final ForwardedRequest request;
    private final Route route;
    private final Tenant tenant;
    private final Handler handler;
    private TenantLimiter.PendingDecision decision = () -> {};
    private ForwardHandle running = ForwardHandle.NONE;

    Acquisition(ForwardedRequest request, Route route, Tenant tenant, Handler handler) {
      this.request = request;
      this.route = route;
      this.tenant = tenant;
      this.handler = handler;
    }

    void onDecision(LimitDecision decision) {
      if (decision instanceof LimitDecision.Refused refused) {
        handler.refuse(
            ErrorKind.LIMIT_EXCEEDED,
            "tenant " + tenant.name() + " asks beyond its limit, says " + refused.by(),
            Optional.of(refused.retryAfter()));
        return;
      }
      Optional<String> name = Optional.of(tenant.name());
      ForwardedRequest named = request.withTenant(name);
      RunPermit permit = permit(name, request.caller().credential());
      running = handler.run(named, withTenantPriority(route, named), permit, Optional.of(tenant));
    }

    @Override
    public void cancel() {
      decision.cancel();
      running.cancel();
    }
  }
}
