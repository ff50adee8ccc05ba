package io.arrowarch.cli;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How log lines are written to standard error. */
public enum LogFormat {
  /** One sentence a line, for people. */
  @JsonProperty("text")
  TEXT,
  /** One JSON object a line, for collectors. */
  @JsonProperty("json")
  JSON
}
