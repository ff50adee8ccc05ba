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

/** All back ends known to one router, by id. Not thread-safe. */
public final class ReplicaTable {
  private final Map<String, ReplicaState> replicas = new LinkedHashMap<>();

  /**
   * Drain marks from peers for back ends that are not in the configuration. They are kept without a
   * time limit and applied when a later configuration names the back end.
   */
  private final Map<String, Set<String>> pendingDrainMarks = new HashMap<>();

  private final BiConsumer<String, String> onNewDrainMark;

  /**
   * Creates an empty table.
   *
   * @param onNewDrainMark receives the back end's id and incarnation for each drain that this
   *     router learns from the back end itself, so that peers can be notified
   */
  public ReplicaTable(BiConsumer<String, String> onNewDrainMark) {
    this.onNewDrainMark = onNewDrainMark;
  }

  /**
   * Applies the back ends of a configuration. Those that remain at the same address keep their
   * state, except that a changed maximum of attempts in flight resets the concurrency limit to it.
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
        pendingDrainMarks.getOrDefault(backend.id(), Set.of()).forEach(added::onDrainMark);
        replicas.put(backend.id(), added);
      }
    }
    pendingDrainMarks.keySet().removeAll(backends.keySet());
  }

  /**
   * The lower of the back end's slots and this router's share of its connections, of which one is
   * kept for probes; at least 1.
   */
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

  /** The given back ends that may get new work; ejected ones only where no other is left. */
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

  /** Applies a report from a reply or a probe. A report that names another back end is ignored. */
  public void onReport(String backendId, BackendReport report, long nowNanos) {
    ReplicaState replica = replicas.get(backendId);
    if (replica == null || !backendId.equals(report.backend())) {
      return;
    }
    if (replica.onReport(report, nowNanos)) {
      onNewDrainMark.accept(backendId, report.incarnation());
    }
  }

  /** Applies a drain mark from a peer; returns whether it was not known before. */
  public boolean onDrainMark(String backendId, String incarnation) {
    ReplicaState replica = replicas.get(backendId);
    if (replica == null) {
      return pendingDrainMarks.computeIfAbsent(backendId, id -> new HashSet<>()).add(incarnation);
    }
    return replica.onDrainMark(incarnation);
  }

  /** Applies the platform's list. As it lags, a back end that is not listed keeps its state. */
  public void onMachineList(MachineList list) {
    for (MachineList.Machine machine : list.machines()) {
      ReplicaState replica = replicas.get(machine.id());
      if (replica != null && machine.role() == MachineList.Role.BACKEND) {
        replica.onListed(machine.state() == MachineList.State.LEAVING);
      }
    }
  }

  /** Records that an attempt is sent to a back end. */
  public void onAttemptStarted(String backendId) {
    find(backendId).ifPresent(ReplicaState::onAttemptStarted);
  }

  /** Records that an attempt has ended. */
  public void onAttemptEnded(String backendId, AttemptResult result, long nowNanos) {
    find(backendId).ifPresent(replica -> replica.onAttemptEnded(result, nowNanos));
  }
}
