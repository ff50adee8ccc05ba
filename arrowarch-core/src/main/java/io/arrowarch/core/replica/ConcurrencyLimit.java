package io.arrowarch.core.replica;

/**
 * How many attempts this router keeps in flight at one back end. Additive increase on success while
 * the limit is in use, multiplicative decrease on refusal, between 1 and a maximum.
 */
final class ConcurrencyLimit {
  private static final double DECREASE_FACTOR = 0.7;

  private final int maximum;
  private double limit;

  ConcurrencyLimit(int maximum) {
    this.maximum = maximum;
    this.limit = maximum;
  }

  int current() {
    return (int) limit;
  }

  void onSuccess(int inFlight) {
    if (inFlight + 1 >= current()) {
      limit = Math.min(maximum, limit + 1.0 / limit);
    }
  }

  void onShed() {
    limit = Math.max(1.0, limit * DECREASE_FACTOR);
  }
}
