package io.arrowarch.emulator.backend;

import io.arrowarch.core.wire.BackendRequest;
import java.util.ArrayList;
import java.util.List;

/** What back ends really ran, for oracles. */
public final class ExecutionLog {
  private final List<Execution> executions = new ArrayList<>();

  /** One run of a request. */
  public record Execution(String backend, String incarnation, BackendRequest request) {}

  void record(Execution execution) {
    executions.add(execution);
  }

  /** All runs, in order. */
  public List<Execution> executions() {
    return executions;
  }
}
