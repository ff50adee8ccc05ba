package io.arrowarch.core.forward;

import com.google.common.collect.ImmutableList;
import io.arrowarch.core.server.LoadReport;
import java.util.Optional;

/**
 * A whole answer of a server.
 *
 * @param own whether it answers the request just sent, and no earlier one
 * @param signature by which the server vouches for the answer
 * @param notRun whether the server vouches that the request did not run
 * @param misdirected whether another server than the one named answers
 * @param headers those that travel back to the caller
 */
public record ServerReply(
    int status,
    boolean own,
    Optional<String> signature,
    boolean notRun,
    boolean misdirected,
    Optional<LoadReport> load,
    ImmutableList<HeaderField> headers,
    Payload body) {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Whether it is a success that the server vouches for. */
  public boolean isGood() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT && signature.isPresent();
  }

  /** Whether the server vouches that it has run the request to an end, good or not. */
  boolean hasRun() {
    return own && signature.isPresent() && !notRun && !misdirected;
  }

  /** Whether another server may do better. */
  boolean isServerFailure() {
    return status >= FIRST_SERVER_ERROR;
  }
}
