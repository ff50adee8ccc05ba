package io.arrowarch.core.router;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.hedge.HedgePolicy;
import io.arrowarch.core.query.NodeIdentity;

/**
 * What a router core is told at its start.
 *
 * @param peerAddress where other routers reach this one
 * @param contacts peer addresses to try first
 * @param maximumQueries queries in progress above which new ones are refused
 */
public record RouterOptions(
    NodeIdentity identity,
    String peerAddress,
    ImmutableList<String> contacts,
    int maximumQueries,
    HedgePolicy hedgePolicy) {}
