package io.arrowarch.core.forward;

import java.util.Locale;

/** Why a delegated search ended without a reply. */
public enum DelegateFailure {
  /** No connection could be opened; nothing was sent. */
  UNREACHABLE,
  /** The connection broke, or the reply was malformed. */
  BROKEN,
  /** No reply came in time. */
  SILENT;

  /** Whether servers may have run the search. */
  boolean mayHaveRun() {
    return this != UNREACHABLE;
  }

  /** The name in log lines; stable. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
