package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;

/**
 * Parts of a search that one router delegates to another, which is nearer to their servers.
 *
 * @param request the request as the caller sent it
 * @param version of the delegating router's configuration
 * @param parts the parts to search, by the delegating router's configuration; the delegate's own
 *     configuration does not change them
 * @param timeLeft time within which the delegate must answer. It is shorter than the time until the
 *     request times out, by the estimated delegation overhead.
 * @param objectiveLeft time within which the delegate must answer for the search to meet its
 *     objective, likewise without the overhead; negative if it is late already
 * @param isProven whether a server has already run the request to an answer, so that it is not
 *     suspected of crashing servers
 */
public record DelegatedSearch(
    ForwardedRequest request,
    long version,
    RouteTarget.AllShards parts,
    Duration timeLeft,
    Duration objectiveLeft,
    boolean isProven) {
  public DelegatedSearch {
    requireNonNull(request, "request is null");
    requireNonNull(parts, "parts is null");
    requireNonNull(timeLeft, "timeLeft is null");
    requireNonNull(objectiveLeft, "objectiveLeft is null");
  }

  /** The shards to search. */
  public ImmutableList<String> shards() {
    return parts.services();
  }

  /** Returns a copy with the longest time for which it may have waited in its socket. */
  public DelegatedSearch withUnread(Duration longest) {
    return new DelegatedSearch(
        request.withUnread(longest), version, parts, timeLeft, objectiveLeft, isProven);
  }

  /** The route restricted to these parts. */
  Route narrow(Route route) {
    return route.withTarget(parts);
  }
}
