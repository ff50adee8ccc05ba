package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.query.NodeIdentity;

/**
 * The options of a router core.
 *
 * @param peerAddress address at which other routers reach this one
 * @param contacts addresses of other routers to contact at the start
 * @param maximumQueries limit of queries in progress; further ones are refused
 */
public record RouterOptions(
    NodeIdentity identity,
    String peerAddress,
    ImmutableList<String> contacts,
    int maximumQueries,
    HedgePolicy hedgePolicy) {}
