package io.arrowarch.core.hedge;

/**
 * A token bucket that bounds extra attempts (hedges and retries) to a fraction of first attempts.
 * One per query kind and router.
 */
public final class ExtraAttemptBudget {
  /** Allows the shards of a query that meets a dying back end to be retried at low traffic. */
  private static final double BURST = 16;

  private static final double COST_AFTER_SHED = 3;

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

  /** Pays for an extra attempt; false when the bucket does not hold enough. */
  public boolean tryWithdraw() {
    return tryWithdraw(1);
  }

  /** Pays for a retry after a refusal because of load, which must not add to that load. */
  public boolean tryWithdrawAfterShed() {
    return tryWithdraw(COST_AFTER_SHED);
  }

  private boolean tryWithdraw(double cost) {
    if (fraction <= 0 || tokens < cost) {
      return false;
    }
    tokens -= cost;
    return true;
  }
}
