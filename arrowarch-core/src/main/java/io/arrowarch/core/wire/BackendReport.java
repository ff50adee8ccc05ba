package io.arrowarch.core.wire;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Set;

/**
 * What a back end says of itself, in every reply and in answer to probes.
 *
 * @param backend its id
 * @param incarnation differs after every restart
 * @param draining whether it is leaving and takes no new work
 * @param running requests that occupy slots
 * @param waiting requests that wait for a slot
 * @param snapshots index snapshots that it can serve, by layout id
 */
public record BackendReport(
    String backend,
    String incarnation,
    boolean draining,
    int running,
    int waiting,
    Map<String, Set<Long>> snapshots) {
  public BackendReport {
    ImmutableMap.Builder<String, Set<Long>> copy = ImmutableMap.builder();
    if (snapshots != null) {
      snapshots.forEach((layout, held) -> copy.put(layout, ImmutableSet.copyOf(held)));
    }
    snapshots = copy.buildOrThrow();
  }
}
