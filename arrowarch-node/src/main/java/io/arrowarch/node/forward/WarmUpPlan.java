package io.arrowarch.node.forward;

import io.arrowarch.core.forward.SearchRole;

/**
 * What a process sends through itself before callers come.
 *
 * @param searches made-up searches at most
 * @param shards of each search
 * @param handedOn whether they go through a further router, as in fleets where some routers gather
 *     for the others
 */
record WarmUpPlan(int searches, int shards, boolean handedOn) {
  private static final int SEARCHES = 80;
  private static final int SHARDS = 20;

  /**
   * A router that hands searches on runs few of them, and none of the code that asks many servers:
   * compiling that takes a process three times as long as its start.
   */
  private static final int SEARCHES_TO_HAND_ON = 24;

  private static final int SHARDS_TO_HAND_ON = 2;

  /** Beside what the first searches warm there is little left to do for one that is handed on. */
  private static final int SEARCHES_HANDED_ON_LATER = 30;

  /** What a router needs in its role. */
  static WarmUpPlan of(SearchRole role) {
    return switch (role) {
      case ALONE -> new WarmUpPlan(SEARCHES, SHARDS, false);
      case GATHERS -> new WarmUpPlan(SEARCHES, SHARDS, true);
      case HANDS_ON -> new WarmUpPlan(SEARCHES_TO_HAND_ON, SHARDS_TO_HAND_ON, true);
    };
  }

  /** What a warm router lacks once searches are handed on in its fleet. */
  static WarmUpPlan handingOn() {
    return new WarmUpPlan(SEARCHES_HANDED_ON_LATER, SHARDS, true);
  }

  /** Whether so many searches leave little code that is not compiled. */
  boolean isDone(int answered) {
    return 2 * answered >= searches;
  }
}
