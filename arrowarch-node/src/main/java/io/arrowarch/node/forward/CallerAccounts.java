package io.arrowarch.node.forward;

import io.arrowarch.core.memory.CallerAccount;
import io.arrowarch.core.time.RouterClock;

/** Creates accounts of what callers make a process hold. */
final class CallerAccounts {
  /** What is passed on takes as much again outside of the heap. */
  private static final int HEAP_DIVISOR = 4;

  private CallerAccounts() {}

  /** An account of a fixed part of this process's heap. */
  static CallerAccount ofHeap(RouterClock clock, int maximumConnections) {
    return new CallerAccount(
        clock, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR, maximumConnections);
  }
}
