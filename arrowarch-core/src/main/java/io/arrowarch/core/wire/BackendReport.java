package io.arrowarch.core.wire;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Set;

/**
 * A back end's state as it reports it, in every reply and in response to probes.
 *
 * @param backend the back end's id
 * @param incarnation identifies one start of the back end; differs after every restart
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
