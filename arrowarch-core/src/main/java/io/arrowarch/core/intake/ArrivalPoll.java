package io.arrowarch.core.intake;

/** The polls of an event loop for what has arrived: requests, replies, ends of connections. */
public interface ArrivalPoll {
  /**
   * Runs a task once what has arrived up to now has been handled. Tasks run in the order in which
   * they are submitted.
   */
  void afterArrivals(Runnable task);
}
