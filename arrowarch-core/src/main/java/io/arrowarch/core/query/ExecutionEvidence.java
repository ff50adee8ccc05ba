package io.arrowarch.core.query;

import io.arrowarch.core.error.Executed;

/** What is proven about execution over all attempts of one query. */
final class ExecutionEvidence {
  private boolean ran;
  private boolean uncertain;

  void ran() {
    ran = true;
  }

  void maybeRan() {
    uncertain = true;
  }

  /**
   * The claim that the evidence supports.
   *
   * @param attemptsOutstanding attempts whose outcome has not been seen
   */
  Executed conclude(int attemptsOutstanding) {
    if (ran) {
      return Executed.YES;
    }
    return uncertain || attemptsOutstanding > 0 ? Executed.UNKNOWN : Executed.NO;
  }
}
