package io.arrowarch.core.replica;

/** Why a selected back end gets no new work. */
public enum IneligibleReason {
  NEVER_HEARD("no probe has been answered yet"),
  DRAINING("this incarnation is draining"),
  LEAVING("the platform lists it as leaving"),
  NOT_HEARD_LATELY("nothing was heard of it within the freshness bound"),
  EJECTED("set aside after failures in a row");

  private final String description;

  IneligibleReason(String description) {
    this.description = description;
  }

  /** The reason in words, for operators. */
  public String description() {
    return description;
  }
}
