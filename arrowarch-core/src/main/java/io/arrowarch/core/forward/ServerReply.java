package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.server.LoadReport;
import java.util.Optional;

/**
 * A complete answer of a server.
 *
 * @param status HTTP status
 * @param answersRequest whether it answers the request just sent, not an earlier one
 * @param signature the server's signature of the answer
 * @param notRun whether the server guarantees that the request did not run
 * @param misdirected whether another server answered than the one addressed
 * @param load the server's load report, if the answer has one
 * @param headers those that are passed back to the caller
 */
public record ServerReply(
    int status,
    boolean answersRequest,
    Optional<String> signature,
    boolean notRun,
    boolean misdirected,
    Optional<LoadReport> load,
    ImmutableList<HeaderField> headers,
    Payload body) {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Whether it is a signed success (2xx). */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT && signature.isPresent();
  }

  /**
   * Whether the reply shows that the server has run the request and survived. A server error does
   * not: a sick or full server may send it without having begun.
   */
  boolean showsSurvival() {
    return answersRequest && signature.isPresent() && !notRun && !misdirected && !isServerFailure();
  }

  /** Whether it is a server error (5xx), so that another server may succeed. */
  boolean isServerFailure() {
    return status >= FIRST_SERVER_ERROR;
  }
}
