package io.arrowarch.core.replica;

/**
 * How many attempts this router may keep in flight at one back end, from 1 to a maximum. The limit
 * starts at the maximum and follows additive increase, multiplicative decrease: it rises on a
 * success while it is fully used, and falls when the back end sheds load.
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
