package io.arrowarch.core.hedge;

/**
 * A token bucket that bounds extra attempts (hedges and retries) to a fraction of first attempts.
 * One per query kind and router.
 */
public final class ExtraAttemptBudget {
  /** Allows the shards of a query that meets a dying back end to be retried at low traffic. */
  private static final double BURST = 16;

  private final double fraction;
  private double tokens = BURST;

  /**
   * Creates a full bucket.
   *
   * @param fraction extra attempts allowed per first attempt
   */
  public ExtraAttemptBudget(double fraction) {
    this.fraction = fraction;
  }

  /** Notes a first attempt, which earns a fraction of a token. */
  public void onFirstAttempt() {
    tokens = Math.min(BURST, tokens + fraction);
  }

  /** Takes a token for an extra attempt; false when there is none. */
  public boolean tryWithdraw() {
    if (fraction <= 0 || tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
