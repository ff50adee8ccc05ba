package io.arrowarch.core.event;

/** Takes events for operators. Never blocks and never fails. */
public interface EventLog {
  /** Drops everything. */
  EventLog NONE = event -> {};

  /**
   * Whether routine events of a request are written; those of others need not even be made. Events
   * that are important are taken in any case.
   */
  default boolean isSampled(String requestId) {
    return true;
  }

  /** Takes an event. */
  void log(RouterEvent event);
}
