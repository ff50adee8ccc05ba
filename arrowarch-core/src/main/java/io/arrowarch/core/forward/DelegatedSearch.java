package io.arrowarch.core.forward;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.route.Route;
import io.arrowarch.core.route.RouteTarget;
import java.time.Duration;

/**
 * Parts of a search that one router hands to another, nearer to their servers.
 *
 * @param request as the caller sent it
 * @param version of the configuration of the router that hands it on
 * @param parts what is searched by that version, whatever the other router's says
 * @param timeLeft how long the caller can be held
 * @param objectiveLeft how long an answer is in time; negative when it is late already
 * @param isProven whether a server has run the request to an answer, so that it ends none
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

  /** The shards of the parts. */
  public ImmutableList<String> shards() {
    return parts.services();
  }

  /** The route with these parts. */
  Route narrow(Route route) {
    return route.withTarget(parts);
  }
}
