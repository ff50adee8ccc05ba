package io.arrowarch.core.event;

/** Takes events for operators. Never blocks and never fails. */
public interface EventLog {
  /** Drops everything. */
  EventLog NONE = event -> {};

  /** Takes an event. */
  void log(RouterEvent event);
}
