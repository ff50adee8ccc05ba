package io.arrowarch.core.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** The platform's list of live and leaving machines, which lags behind reality. */
public record MachineList(List<Machine> machines) {
  public MachineList {
    machines = machines == null ? ImmutableList.of() : ImmutableList.copyOf(machines);
  }

  /**
   * One machine.
   *
   * @param id the id of its router or back end
   * @param address IP number and port of its process
   */
  public record Machine(String id, Role role, String address, State state) {}

  /** What runs on a machine. */
  public enum Role {
    @JsonProperty("router")
    ROUTER,
    @JsonProperty("backend")
    BACKEND
  }

  /** What the platform believes of a machine. */
  public enum State {
    @JsonProperty("live")
    LIVE,
    @JsonProperty("leaving")
    LEAVING
  }
}
