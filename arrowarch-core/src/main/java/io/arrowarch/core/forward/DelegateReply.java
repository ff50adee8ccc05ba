package io.arrowarch.core.forward;

import io.arrowarch.core.error.QueryError;
import java.time.Duration;

/** A delegate's reply to a delegated search. */
public sealed interface DelegateReply {
  /**
   * The delegate has an answer.
   *
   * @param took time from receipt to answer, from which the delegating router derives the overhead
   * @param inProgress number of requests in progress at the delegate
   */
  record Answered(ForwardedAnswer.Merged answer, Duration took, int inProgress)
      implements DelegateReply {}

  /** The delegate has not run the search and never will. */
  record Declined(String reason) implements DelegateReply {}

  /** The search has failed, and servers may have run it. */
  record Failed(QueryError error) implements DelegateReply {}
}
