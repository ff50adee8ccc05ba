package io.arrowarch.node.http;

import java.util.Locale;

/** What is wrong with the bytes of a peer that should be responses. */
public enum ResponseFault {
  /** They came while no response was awaited. */
  UNREQUESTED,
  /** They followed a whole response. */
  SURPLUS,
  /** A head holds the start of another response. */
  STATUS_LINE_WITHIN_HEAD,
  /** The connection ended within a head. */
  INCOMPLETE_HEAD,
  /** The next request was about to be sent before a response was whole. */
  UNFINISHED,
  /** A head is longer than the limit. */
  LONG_HEAD,
  /** The first line of a head is no status line. */
  STATUS_LINE,
  /** A line of a head is no field. */
  FIELD,
  /** The fields do not tell how long the body is, or contradict each other. */
  BODY_LENGTH,
  /** A chunk of a body is malformed. */
  CHUNK,
  /** More interim responses (1xx) than a peer has reason to send. */
  INTERIM_RESPONSES;

  /** The name in logs and metrics: lower case, with hyphens. */
  public String logName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
