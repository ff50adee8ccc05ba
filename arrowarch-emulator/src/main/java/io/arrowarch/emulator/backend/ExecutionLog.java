package io.arrowarch.emulator.backend;

import io.arrowarch.core.wire.BackendRequest;
import java.util.ArrayList;
import java.util.List;

/** What back ends were offered and what they really ran, for oracles. */
public final class ExecutionLog {
  private final List<Entry> offers = new ArrayList<>();
  private final List<Entry> runs = new ArrayList<>();

  /**
   * One request at one back end.
   *
   * @param atNanos on the back end's monotonic clock
   */
  public record Entry(String backend, String incarnation, long atNanos, BackendRequest request) {}

  void recordOffer(Entry entry) {
    offers.add(entry);
  }

  void recordRun(Entry entry) {
    runs.add(entry);
  }

  /** All requests that arrived, in order, refused ones included. */
  public List<Entry> offers() {
    return offers;
  }

  /** All requests that were run, in order. */
  public List<Entry> runs() {
    return runs;
  }
}
