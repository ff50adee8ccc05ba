package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.route.Route;

/** Hands parts of searches to other routers. */
interface Delegator {
  /** Hands nothing on. */
  Delegator NONE = (search, listener) -> ImmutableList.of();

  /**
   * A search whose parts may be handed on.
   *
   * @param version of the configuration that the route is from
   * @param isProven whether a server has run the request to an answer already
   */
  record Search(
      ForwardedRequest request,
      Route route,
      long version,
      RequestTimes times,
      ImmutableList<String> shards,
      boolean isProven) {}

  /** Told how parts that were handed on have ended; once a group, unless it is cancelled. */
  interface Listener {
    /** The other router has answered for them, perhaps without some. */
    void onAnswered(Handed handed, ForwardedAnswer.Merged answer);

    /** Nothing has run of them, and nothing will. */
    void onDeclined(Handed handed);

    /** They may have run, and no answer will come. */
    void onLost(Handed handed);
  }

  /** Parts that were handed to one router. */
  interface Handed {
    /** The shards of these parts. */
    ImmutableList<String> shards();

    /** Makes the other router stop. */
    void cancel();
  }

  /** Hands parts of a search on, if that is of use; the listener is told later. */
  ImmutableList<Handed> handOn(Search search, Listener listener);
}
