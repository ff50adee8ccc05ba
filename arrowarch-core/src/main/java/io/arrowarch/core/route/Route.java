package io.arrowarch.core.route;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;

/**
 * How requests for one host and path prefix are forwarded.
 *
 * @param host lower case, without port
 * @param pathPrefix begins and ends with a slash
 * @param repeatable whether a request may run more than once
 * @param timeout time after which a request without an answer fails
 * @param objective time within which an answer is on time; a late one is worth less
 * @param maximumAttempts the most servers that one request, or one shard of a search, may run on
 * @param priority priority under overload; 0 is the most urgent
 * @param isPublic whether requests need no API key
 * @param regions regions in which servers and gathering routers must be; empty for any
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

  /** The same route with another priority. */
  public Route withPriority(int changed) {
    return with(maximumAttempts, changed, target);
  }

  /** The same route with another target. */
  public Route withTarget(RouteTarget changed) {
    return with(maximumAttempts, priority, changed);
  }

  /** The same route with another maximum of attempts. */
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
