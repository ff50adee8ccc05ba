package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import java.time.Duration;

/** What a router says of a search that another handed to it. */
public sealed interface DelegateReply {
  /**
   * It has an answer.
   *
   * @param took from receipt to answer, so that the other router knows what the way costs
   * @param inProgress requests that it works on
   */
  record Answered(ForwardedAnswer.Merged answer, Duration took, int inProgress)
      implements DelegateReply {}

  /** It has not run the search and never will. */
  record Declined(String reason) implements DelegateReply {}

  /** The search has failed, and servers may have run it. */
  record Failed(QueryError error) implements DelegateReply {}
}
