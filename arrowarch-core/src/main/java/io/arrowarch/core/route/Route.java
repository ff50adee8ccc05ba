package io.arrowarch.core.route;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * How requests of one host and path prefix are passed on.
 *
 * @param host lower case, without port
 * @param pathPrefix begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param timeout the longest time that a request may be held
 * @param objective the time within which an answer earns its full worth
 * @param maximumAttempts the most servers that one request (of a search: one shard) may run on
 * @param priority rank under overload; 0 is the most urgent
 * @param isPublic whether its requests need no key
 * @param regions where servers and gathering routers must be; empty where any will do
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    boolean repeatable,
    Duration timeout,
    Duration objective,
    int maximumAttempts,
    int priority,
    boolean isPublic,
    ImmutableSet<String> regions,
    RouteTarget target) {
  public Route {
    requireNonNull(name, "name is null");
    requireNonNull(host, "host is null");
    requireNonNull(pathPrefix, "pathPrefix is null");
    requireNonNull(timeout, "timeout is null");
    requireNonNull(objective, "objective is null");
    requireNonNull(regions, "regions is null");
    requireNonNull(target, "target is null");
  }

  /** The same route with another rank. */
  public Route withPriority(int changed) {
    return with(maximumAttempts, changed, target);
  }

  /** The same route to something else. */
  public Route withTarget(RouteTarget changed) {
    return with(maximumAttempts, priority, changed);
  }

  /** The same route with another number of servers that may run a request. */
  public Route withMaximumAttempts(int changed) {
    return with(changed, priority, target);
  }

  private Route with(int changedAttempts, int changedPriority, RouteTarget changedTarget) {
    return new Route(
        name,
        host,
        pathPrefix,
        repeatable,
        timeout,
        objective,
        changedAttempts,
        changedPriority,
        isPublic,
        regions,
        changedTarget);
  }
}
