package io.arrowarch.node;

import java.time.Duration;

/** Told how long the turns of an event loop are, from one poll of its sockets to the next. */
public interface LoopTurns {
  /** Discards the figures. */
  LoopTurns NONE = (turn, events, longestEvent) -> {};

  /**
   * Called after each turn in which something was handled.
   *
   * @param turn length of the turn
   * @param events number of events that were handled
   * @param longestEvent the longest of them
   */
  void onTurn(Duration turn, int events, Duration longestEvent);
}
