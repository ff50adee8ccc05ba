package io.arrowarch.core.query;

import io.arrowarch.core.error.Executed;

/** What is known about execution from all attempts of one query. */
final class ExecutionEvidence {
  private boolean ran;
  private boolean mayHaveRun;

  void recordRun() {
    ran = true;
  }

  void recordPossibleRun() {
    mayHaveRun = true;
  }

  /**
   * Whether the query has been executed, as far as the evidence shows.
   *
   * @param attemptsOutstanding number of attempts whose outcome is not yet known
   */
  Executed conclude(int attemptsOutstanding) {
    if (ran) {
      return Executed.YES;
    }
    return mayHaveRun || attemptsOutstanding > 0 ? Executed.UNKNOWN : Executed.NO;
  }
}
