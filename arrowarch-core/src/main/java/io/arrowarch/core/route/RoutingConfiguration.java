package io.arrowarch.core.route;

import static com.google.common.collect.ImmutableListMultimap.toImmutableListMultimap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import io.arrowarch.core.tenant.Tenants;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** One immutable version of the routes. A request uses the same version from start to end. */
public final class RoutingConfiguration {
  private final long version;
  private final ImmutableList<Route> routes;
  private final ImmutableMap<String, ServiceSettings> services;
  private final CallerLimits limits;
  private final Tenants tenants;
  private final ImmutableListMultimap<String, Route> routesByHost;

  /** Creates a version without tenants. */
  public RoutingConfiguration(
      long version,
      ImmutableList<Route> routes,
      ImmutableMap<String, ServiceSettings> services,
      CallerLimits limits) {
    this(version, routes, services, limits, Tenants.NONE);
  }

  /**
   * Creates a version. Among the routes of a host, the one with the longest matching prefix wins.
   */
  public RoutingConfiguration(
      long version,
      ImmutableList<Route> routes,
      ImmutableMap<String, ServiceSettings> services,
      CallerLimits limits,
      Tenants tenants) {
    this.version = version;
    this.routes = routes;
    this.services = services;
    this.limits = limits;
    this.tenants = tenants;
    this.routesByHost =
        routes.stream()
            .sorted(Comparator.comparingInt((Route route) -> -route.pathPrefix().length()))
            .collect(toImmutableListMultimap(Route::host, route -> route));
  }

  /** Increases with every change; a router never applies the same or an older version. */
  public long version() {
    return version;
  }

  /** All routes, in the order of the configuration document. */
  public ImmutableList<Route> routes() {
    return routes;
  }

  /** Settings by service name. */
  public ImmutableMap<String, ServiceSettings> services() {
    return services;
  }

  /** Limits on the requests and connections of callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** The tenants that may use routes that are not public. */
  public Tenants tenants() {
    return tenants;
  }

  /**
   * The route with the longest prefix of a path.
   *
   * @param host value of the Host header; case and port are ignored
   * @param path path of the request target, with or without a query
   */
  public Optional<Route> match(String host, String path) {
    int query = path.indexOf('?');
    String bare = query < 0 ? path : path.substring(0, query);
    return routesByHost.get(hostName(host)).stream()
        .filter(route -> bare.startsWith(route.pathPrefix()))
        .findFirst();
  }

  private static String hostName(String host) {
    int port = host.lastIndexOf(':');
    String name = port < 0 || host.endsWith("]") ? host : host.substring(0, port);
    return name.toLowerCase(Locale.ROOT);
  }
}
