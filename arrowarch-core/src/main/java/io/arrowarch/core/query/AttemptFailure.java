package io.arrowarch.core.query;

/** How an attempt failed without a reply. */
public enum AttemptFailure {
  /** No connection could be opened; nothing was written. */
  UNREACHABLE(false),
  /** Nothing was written, for another reason: {@link QueryCoordinator#mayWrite} said no. */
  NOT_WRITTEN(false),
  /** The connection broke after writing began. */
  CONNECTION_LOST(true),
  /** The reply was not a whole, well-formed message. */
  GARBLED_REPLY(true);

  private final boolean maybeRun;

  AttemptFailure(boolean maybeRun) {
    this.maybeRun = maybeRun;
  }

  /** Whether the back end may have run the attempt. */
  public boolean maybeRun() {
    return maybeRun;
  }
}
