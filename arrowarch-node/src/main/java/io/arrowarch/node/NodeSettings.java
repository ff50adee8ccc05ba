package io.arrowarch.node;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * The settings of one router process.
 *
 * @param id kept over restarts; the configuration names voters by it
 * @param zone where the process runs
 * @param callers address for callers and operators; port 0 lets the system choose
 * @param peers address for other routers, TCP and UDP; port 0 lets the system choose
 * @param platform address of the platform's HTTP service
 * @param contacts peer addresses of other routers to try first
 * @param drainGrace how long a stopping router still takes queries, so that callers can turn away
 * @param maximumQueries queries in progress above which new ones are refused
 * @param maximumBodyBytes largest request body taken from a caller
 */
public record NodeSettings(
    String id,
    String zone,
    SocketAddressSetting callers,
    SocketAddressSetting peers,
    SocketAddressSetting platform,
    ImmutableList<SocketAddressSetting> contacts,
    Duration drainGrace,
    int maximumQueries,
    int maximumBodyBytes) {
  public NodeSettings {
    requireNonNull(id, "id is null");
    requireNonNull(zone, "zone is null");
    requireNonNull(callers, "callers is null");
    requireNonNull(peers, "peers is null");
    requireNonNull(platform, "platform is null");
    requireNonNull(contacts, "contacts is null");
    requireNonNull(drainGrace, "drainGrace is null");
  }
}
