package io.arrowarch.core.replica;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.topology.Backend;
import io.arrowarch.core.wire.BackendReport;
import io.arrowarch.core.wire.MachineList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;

/** All back ends that this router knows, by id. Owned by one router; not thread-safe. */
public final class ReplicaTable {
  private final Map<String, ReplicaState> replicas = new LinkedHashMap<>();

  /** Marks for back ends that no configuration has named yet. */
  private final Map<String, Set<String>> earlyDrainMarks = new HashMap<>();

  private final BiConsumer<String, String> onNewDrainMark;

  /**
   * Creates an empty table.
   *
   * @param onNewDrainMark told the back end and incarnation of each drain that this router learns
   *     from the back end itself, so that peers can be told
   */
  public ReplicaTable(BiConsumer<String, String> onNewDrainMark) {
    this.onNewDrainMark = onNewDrainMark;
  }

  /**
   * Takes the back ends of a configuration; what is known of those that stay is kept.
   *
   * @param routers how many routers share the connections of each back end
   */
  public void reconfigure(Map<String, Backend> backends, int routers) {
    replicas.keySet().retainAll(backends.keySet());
    for (Backend backend : backends.values()) {
      ReplicaState known = replicas.get(backend.id());
      int maximumInFlight = maximumInFlight(backend, routers);
      if (known != null && known.backend().address().equals(backend.address())) {
        known.reconfigure(backend, maximumInFlight);
      } else {
        ReplicaState added = new ReplicaState(backend, maximumInFlight);
        earlyDrainMarks.getOrDefault(backend.id(), Set.of()).forEach(added::onDrainMark);
        replicas.put(backend.id(), added);
      }
    }
    earlyDrainMarks.keySet().removeAll(backends.keySet());
  }

  /** Within the server's slots and this router's share of its connections, less one for probes. */
  private static int maximumInFlight(Backend backend, int routers) {
    int share = backend.connections() / Math.max(1, routers) - 1;
    return Math.max(1, Math.min(backend.slots(), share));
  }

  /** The state of one back end. */
  public Optional<ReplicaState> find(String backendId) {
    return Optional.ofNullable(replicas.get(backendId));
  }

  /** All back ends in the order of the configuration. */
  public Collection<ReplicaState> all() {
    return replicas.values();
  }

  /** The replicas among the given back ends that may get new work; ejected ones only as a floor. */
  public ImmutableList<ReplicaState> usable(Collection<Backend> selected, long nowNanos) {
    ImmutableList.Builder<ReplicaState> healthy = ImmutableList.builder();
    ImmutableList.Builder<ReplicaState> ejected = ImmutableList.builder();
    for (Backend backend : selected) {
      ReplicaState replica = replicas.get(backend.id());
      if (replica == null || replica.ineligibleReason(nowNanos).isPresent()) {
        continue;
      }
      (replica.isEjected(nowNanos) ? ejected : healthy).add(replica);
    }
    ImmutableList<ReplicaState> preferred = healthy.build();
    return preferred.isEmpty() ? ejected.build() : preferred;
  }

  /** Takes a report from a reply or a probe. Reports under another id than expected are ignored. */
  public void onReport(String backendId, BackendReport report, long nowNanos) {
    ReplicaState replica = replicas.get(backendId);
    if (replica == null || !backendId.equals(report.backend())) {
      return;
    }
    if (replica.onReport(report, nowNanos)) {
      onNewDrainMark.accept(backendId, report.incarnation());
    }
  }

  /** Takes a drain mark from a peer; returns whether it was news. */
  public boolean onDrainMark(String backendId, String incarnation) {
    ReplicaState replica = replicas.get(backendId);
    if (replica == null) {
      return earlyDrainMarks.computeIfAbsent(backendId, id -> new HashSet<>()).add(incarnation);
    }
    return replica.onDrainMark(incarnation);
  }

  /** Takes the platform's list. A back end that is not listed keeps its state: the list lags. */
  public void onMachineList(MachineList list) {
    for (MachineList.Machine machine : list.machines()) {
      ReplicaState replica = replicas.get(machine.id());
      if (replica != null && machine.role() == MachineList.Role.BACKEND) {
        replica.onListed(machine.state() == MachineList.State.LEAVING);
      }
    }
  }

  /** Notes that an attempt goes to a back end. */
  public void onAttemptStarted(String backendId) {
    find(backendId).ifPresent(ReplicaState::onAttemptStarted);
  }

  /** Notes that an attempt has ended. */
  public void onAttemptEnded(String backendId, AttemptResult result, long nowNanos) {
    find(backendId).ifPresent(replica -> replica.onAttemptEnded(result, nowNanos));
  }
}
