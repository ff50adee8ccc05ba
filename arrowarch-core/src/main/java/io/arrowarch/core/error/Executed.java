package io.arrowarch.core.error;

/** Whether a request ran on any back end, as far as the router can prove it. */
public enum Executed {
  /** At least one back end answered that it ran the request. */
  YES("yes"),
  /** No attempt ran: each was never written, or was refused with the not-run mark. */
  NO("no"),
  /** Nothing is proven: an attempt was written and its outcome is not known. */
  UNKNOWN("unknown");

  private final String wireName;

  Executed(String wireName) {
    this.wireName = wireName;
  }

  /** The lower-case name in answers and headers. */
  public String wireName() {
    return wireName;
  }
}
