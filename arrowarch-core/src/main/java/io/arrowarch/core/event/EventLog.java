package io.arrowarch.core.event;

/** Logs events for operators. Implementations neither block nor throw. */
public interface EventLog {
  /** Discards all events. */
  EventLog NONE = event -> {};

  /**
   * Whether the routine events of a request are written. Callers need not create them for a request
   * that is not sampled. Important events are always accepted.
   */
  default boolean isSampled(String requestId) {
    return true;
  }

  /** Logs an event. */
  void log(RouterEvent event);
}
