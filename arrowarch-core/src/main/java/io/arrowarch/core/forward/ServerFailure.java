package io.arrowarch.core.forward;

import java.util.Locale;

/** How an attempt ended without an answer. */
public enum ServerFailure {
  /** No connection could be opened; nothing was written. */
  UNREACHABLE(false),
  /** A connection that had rested was found closed before anything was written. */
  NOT_WRITTEN(false),
  /** The connection broke after writing began. */
  BROKEN(true),
  /** The bytes that came are no answer, or not the answer to this request. */
  GARBLED(true),
  /** Nothing came until the attempt's deadline. */
  SILENT(true);

  private final boolean maybeRun;

  ServerFailure(boolean maybeRun) {
    this.maybeRun = maybeRun;
  }

  /** The name in logs. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Whether the server may have run the request. */
  public boolean maybeRun() {
    return maybeRun;
  }
}
