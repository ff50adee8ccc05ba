package io.arrowarch.core.forward;

import java.util.Locale;

/** How a search that was handed on ended without a reply. */
public enum DelegateFailure {
  /** No connection came up: nothing was sent. */
  UNREACHABLE,
  /** The connection broke, or what came is no reply. */
  BROKEN,
  /** Nothing came in time. */
  SILENT;

  /** Whether servers may have run the search. */
  boolean maybeRun() {
    return this != UNREACHABLE;
  }

  /** The stable name in logs. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
