package io.arrowarch.core.hedge;

/**
 * A token bucket that bounds extra attempts (hedges and retries) to a fraction of first attempts.
 * One per query kind and router.
 */
public final class ExtraAttemptBudget {
  /**
   * At low traffic, first attempts earn few tokens; this many let a query retry its shards when a
   * back end fails.
   */
  private static final double MAXIMUM_TOKENS = 16;

  private static final double COST_AFTER_SHED = 3;

  private final double fraction;
  private double tokens = MAXIMUM_TOKENS;

  /**
   * Creates a full bucket.
   *
   * @param fraction extra attempts allowed per first attempt; 0 forbids them, although the bucket
   *     is full
   */
  public ExtraAttemptBudget(double fraction) {
    this.fraction = fraction;
  }

  /** Counts a first attempt, which adds a fraction of a token. */
  public void onFirstAttempt() {
    tokens = Math.min(MAXIMUM_TOKENS, tokens + fraction);
  }

  /** Withdraws a token for an extra attempt; returns false when there are too few. */
  public boolean tryWithdraw() {
    return tryWithdraw(1);
  }

  /**
   * Withdraws tokens for a retry after a back end shed the request. Such a retry costs more than
   * another extra attempt, so that retries do not add much to the load that caused the refusal.
   */
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
