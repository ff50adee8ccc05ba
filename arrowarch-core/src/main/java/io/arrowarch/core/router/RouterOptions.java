package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.query.NodeIdentity;

/**
 * The options of a router core.
 *
 * @param peerAddress address at which other routers reach this one
 * @param contacts addresses of other routers to contact at the start, and later while they are not
 *     reachable
 * @param maximumQueries a query that brings the number in progress to this value is refused, so at
 *     most one fewer run
 */
public record RouterOptions(
    NodeIdentity identity,
    String peerAddress,
    ImmutableList<String> contacts,
    int maximumQueries,
    HedgePolicy hedgePolicy) {}
