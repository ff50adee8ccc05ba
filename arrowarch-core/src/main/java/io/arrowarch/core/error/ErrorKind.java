package io.arrowarch.core.error;

import java.util.Locale;

/**
 * All errors that a caller can see.
 *
 * <p>Each kind determines the HTTP status, whether the same request may be retried, and the claim
 * about execution that an error makes when it is created without attempts. That claim is {@code
 * UNKNOWN} for kinds that usually end a query with attempts, and for tickets whose earlier request
 * may have run. An error that ends a query with attempts carries its own {@link Executed}, from the
 * attempts of its query.
 */
public enum ErrorKind {
  /** The request could not be parsed. */
  MALFORMED_REQUEST(400, Executed.NO, false),
  /** No query kind of this name is configured. */
  UNKNOWN_KIND(404, Executed.NO, false),
  /** There is no such path or method. */
  UNKNOWN_PATH(404, Executed.NO, false),
  /** The deadline header is not a number, or outside the allowed range. */
  INVALID_DEADLINE(400, Executed.NO, false),
  /** A header that may occur only once was given more than once. */
  DUPLICATE_HEADER(400, Executed.NO, false),
  /** The body is larger than the configured limit. */
  BODY_TOO_LARGE(413, Executed.NO, false),
  /** The body did not arrive within the time allowed for reading it. */
  REQUEST_TIMEOUT(408, Executed.NO, true),
  /** A non-repeatable request carried no ticket; the answer contains one. */
  TICKET_REQUIRED(428, Executed.NO, true),
  /** The ticket was issued by another router or by an earlier incarnation of this one. */
  TICKET_ELSEWHERE(421, Executed.UNKNOWN, false),
  /** The number of the ticket is not above that of a redemption that this router has dropped. */
  TICKET_EXPIRED(410, Executed.UNKNOWN, false),
  /** The ticket has already been redeemed with another request. */
  TICKET_MISMATCH(409, Executed.NO, false),
  /** The request needs the API key of a tenant, and has none or an unknown one. */
  UNAUTHENTICATED(401, Executed.NO, false),
  /** The tenant has exceeded its limit over all routers. */
  LIMIT_EXCEEDED(429, Executed.NO, true),
  /** The router is shutting down and accepts no new queries. */
  DRAINING(503, Executed.NO, true),
  /** The router could not confirm that its configuration is current. */
  NOT_CONFIRMED(503, Executed.NO, true),
  /** The router holds no configuration yet. */
  NO_CONFIGURATION(503, Executed.NO, true),
  /** Too many queries are in progress or waiting. */
  OVERLOADED(503, Executed.NO, true),
  /** No rule of the kind selects a back end at this place and time. */
  NOTHING_SELECTED(503, Executed.NO, true),
  /** Servers crashed while running this request, so it is not sent to others. */
  ENDS_SERVERS(503, Executed.NO, false),
  /** Fewer shards answered than the kind's minimum coverage. */
  COVERAGE_TOO_LOW(503, Executed.UNKNOWN, true),
  /** The deadline passed without an answer. */
  DEADLINE_EXCEEDED(504, Executed.UNKNOWN, true),
  /** The back end of a single-shard request failed or was unreachable. */
  BACKEND_FAILED(502, Executed.UNKNOWN, true),
  /** A defect in the router itself. */
  INTERNAL(500, Executed.UNKNOWN, false);

  private final int httpStatus;
  private final Executed executed;
  private final boolean retryable;

  ErrorKind(int httpStatus, Executed executed, boolean retryable) {
    this.httpStatus = httpStatus;
    this.executed = executed;
    this.retryable = retryable;
  }

  /** The HTTP status of an answer of this kind. */
  public int httpStatus() {
    return httpStatus;
  }

  /** The claim about execution of an error of this kind that is created without attempts. */
  public Executed executed() {
    return executed;
  }

  /** Whether a retry of the same request can succeed; the answer then has {@code Retry-After}. */
  public boolean retryable() {
    return retryable;
  }

  /** The stable name in answers, for example {@code unknown-kind}. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
