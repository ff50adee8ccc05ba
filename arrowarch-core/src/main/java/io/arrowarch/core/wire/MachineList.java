package io.arrowarch.core.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** The platform's list of live and leaving machines. It lags behind the actual state. */
public record MachineList(List<Machine> machines) {
  public MachineList {
    machines = machines == null ? ImmutableList.of() : ImmutableList.copyOf(machines);
  }

  /**
   * One machine.
   *
   * @param id the id of its router or back end
   * @param address IP address and port of its process
   */
  public record Machine(String id, Role role, String address, State state) {}

  /** What runs on a machine. */
  public enum Role {
    @JsonProperty("router")
    ROUTER,
    @JsonProperty("backend")
    BACKEND
  }

  /** State of a machine according to the platform. */
  public enum State {
    @JsonProperty("live")
    LIVE,
    @JsonProperty("leaving")
    LEAVING
  }
}
