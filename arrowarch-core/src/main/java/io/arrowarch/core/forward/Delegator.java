package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.route.Route;

/** Delegates parts of searches to other routers. */
interface Delegator {
  /** Delegates nothing. */
  Delegator NONE = (search, listener) -> ImmutableList.of();

  /**
   * A search whose parts may be delegated.
   *
   * @param version of the configuration that the route belongs to
   * @param shards the shards that may be delegated
   * @param isProven whether a server has already run the request to an answer
   */
  record Search(
      ForwardedRequest request,
      Route route,
      long version,
      RequestTimes times,
      ImmutableList<String> shards,
      boolean isProven) {}

  /** Notified once of the end of each delegated group, unless the group is cancelled. */
  interface Listener {
    /** The other router has answered; some parts may be missing from the answer. */
    void onAnswered(DelegatedGroup group, ForwardedAnswer.Merged answer);

    /** The other router has run none of the parts and never will. */
    void onDeclined(DelegatedGroup group);

    /** The parts may have run, and no answer will come. */
    void onLost(DelegatedGroup group);
  }

  /** Parts of a search that are delegated to one router. */
  interface DelegatedGroup {
    /** The shards of the group. */
    ImmutableList<String> shards();

    /** Cancels the group on the other router. */
    void cancel();
  }

  /**
   * Delegates groups of a search's parts where another router should run them.
   *
   * @param listener notified after this method has returned
   * @return the delegated groups; this router runs all other parts
   */
  ImmutableList<DelegatedGroup> delegate(Search search, Listener listener);
}
