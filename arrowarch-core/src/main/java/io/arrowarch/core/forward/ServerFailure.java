package io.arrowarch.core.forward;

import java.util.Locale;

/** How an attempt ended without a valid response. */
public enum ServerFailure {
  /** No connection could be opened; nothing was written. */
  UNREACHABLE(false),
  /** An idle connection turned out to be closed before anything was written. */
  NOT_WRITTEN(false),
  /** The server, or the network, broke the connection after writing had begun. */
  BROKEN(true),
  /** The received bytes are no answer, too many, or not the answer to this request. */
  GARBLED(true),
  /** No answer had come shortly after the attempt's deadline. */
  SILENT(true);

  private final boolean mayHaveRun;

  ServerFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** The name in logs: lower case, with hyphens. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Whether the server may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
