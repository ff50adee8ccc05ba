package io.arrowarch.node.forward;

/**
 * What a process sends through itself before callers come.
 *
 * @param searches made-up searches at most
 * @param shards of each search
 * @param handedOn whether they go through a further router, as in fleets where some routers gather
 *     for the others
 */
record WarmUpPlan(int searches, int shards, boolean handedOn) {
  /** For routers that ask all servers themselves. */
  static final WarmUpPlan WHOLE_SEARCHES = new WarmUpPlan(80, 20, false);

  /** Runs what handing on needs, beside the first. */
  static final WarmUpPlan HANDED_ON = new WarmUpPlan(30, 20, true);

  /** Whether so many searches leave little code that is not compiled. */
  boolean isDone(int answered) {
    return 2 * answered >= searches;
  }
}
