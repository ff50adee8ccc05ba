package io.arrowarch.core.query;

/** Why an attempt ended without a valid reply. */
public enum AttemptFailure {
  /** No connection could be opened; nothing was written. */
  UNREACHABLE(false),
  /** Nothing was written, because {@link QueryCoordinator#mayWrite} returned false. */
  NOT_WRITTEN(false),
  /** The connection broke after writing began, possibly within the reply. */
  CONNECTION_LOST(true),
  /** The reply was malformed or too long, or named another attempt. */
  GARBLED_REPLY(true);

  private final boolean mayHaveRun;

  AttemptFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Whether the back end may have run the attempt. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
