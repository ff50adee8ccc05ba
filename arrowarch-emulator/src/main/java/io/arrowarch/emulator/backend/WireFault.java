package io.arrowarch.emulator.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Ways in which an emulated back end answers attempts wrongly. */
public enum WireFault {
  @JsonProperty("none")
  NONE,
  /** Bytes that are no JSON. */
  @JsonProperty("garbage")
  GARBAGE,
  /** Half of a reply, with the length of the whole. */
  @JsonProperty("truncated")
  TRUNCATED,
  /** More bytes than a router reads. */
  @JsonProperty("too-long")
  TOO_LONG,
  /** The reply to another attempt. */
  @JsonProperty("wrong-attempt")
  WRONG_ATTEMPT,
  /** No reply. */
  @JsonProperty("never")
  NEVER,
  /** Runs the attempt and closes the connection without a reply. */
  @JsonProperty("reset-after-run")
  RESET_AFTER_RUN,
  /** Closes the connection without running the attempt. */
  @JsonProperty("reset-before-run")
  RESET_BEFORE_RUN,
  /** Runs the attempt and answers status 503 without the not-run mark. */
  @JsonProperty("unmarked-503")
  UNMARKED_503
}
